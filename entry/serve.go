package entry

import (
	"cmp"
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// Default times of the HTTP server.
const (
	// defaultReadHeader and defaultRead end callers that send too slowly, defaultWrite those that read too slowly.
	defaultReadHeader = 5 * time.Second
	defaultRead       = 15 * time.Second
	defaultWrite      = 15 * time.Second
	defaultIdle       = 2 * time.Minute
	// defaultDrain lets the load balancer see that readiness is off, and callers close their idle connections.
	defaultDrain   = 2 * time.Second
	maxHeaderBytes = 32 << 10
)

// Timeouts bounds callers and the shutdown. Zero selects the default.
type Timeouts struct {
	ReadHeader time.Duration
	// Read bounds the reading of one body, Write the writing of one answer.
	Read  time.Duration
	Write time.Duration
	Idle  time.Duration
	// Drain is how long Shutdown still accepts connections after readiness is off.
	Drain time.Duration
}

func (t Timeouts) withDefaults() Timeouts {
	t.ReadHeader = cmp.Or(t.ReadHeader, defaultReadHeader)
	t.Read = cmp.Or(t.Read, defaultRead)
	t.Write = cmp.Or(t.Write, defaultWrite)
	t.Idle = cmp.Or(t.Idle, defaultIdle)
	t.Drain = cmp.Or(t.Drain, defaultDrain)
	return t
}

// errLeaving is what readiness reports during a shutdown.
var errLeaving = eris.New("the VM is shutting down")

func (s *Server) newHTTPServer() *http.Server {
	return &http.Server{
		Handler:           s.Handler(),
		ReadHeaderTimeout: s.options.Timeouts.ReadHeader,
		IdleTimeout:       s.options.Timeouts.Idle,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// Serve answers callers on listener until Shutdown.
func (s *Server) Serve(listener net.Listener) error {
	err := s.http.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return eris.Wrap(err, "serve callers")
}

// Ready returns nil while the VM may get requests.
func (s *Server) Ready() error {
	if s.leaving.Load() {
		return errLeaving
	}
	return nil
}

// InFlight returns the requests in flight.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// Shutdown turns readiness off, keeps serving while the load balancer notices, and then returns when the last request
// is answered and the ends of claims are recorded. When ctx ends first, it cuts what is left off and says how much.
func (s *Server) Shutdown(ctx context.Context) error {
	s.leaving.Store(true)
	drain := time.NewTimer(s.options.Timeouts.Drain)
	defer drain.Stop()
	select {
	case <-drain.C:
	case <-ctx.Done():
	}
	if err := s.http.Shutdown(ctx); err != nil {
		left := s.InFlight()
		_ = s.http.Close()
		return eris.Wrapf(err, "%d requests were cut off", left)
	}
	return s.waitForClaims(ctx)
}

// Close cuts all connections at once.
func (s *Server) Close() error { return s.http.Close() }

func (s *Server) waitForClaims(ctx context.Context) error {
	if s.options.Claims == nil {
		return nil
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.options.Claims.Wait()
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return eris.Wrap(ctx.Err(), "ends of claims are not recorded yet")
	}
}

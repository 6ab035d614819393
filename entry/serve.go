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

// Default timeouts and limits of the HTTP server.
const (
	// defaultReadHeader and defaultRead disconnect callers that send too slowly, defaultWrite those that read too slowly.
	defaultReadHeader = 5 * time.Second
	defaultRead       = 15 * time.Second
	defaultWrite      = 15 * time.Second
	defaultIdle       = 2 * time.Minute
	// defaultDrain is the time for the load balancer to see that readiness is off, and for callers to close their idle
	// connections.
	defaultDrain   = 2 * time.Second
	maxHeaderBytes = 32 << 10
)

// Timeouts bounds calls of callers and the shutdown. Zero selects the default.
type Timeouts struct {
	ReadHeader time.Duration
	// Read bounds reading one body, Write writing one response.
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

// errShuttingDown is reported by Ready during a shutdown.
var errShuttingDown = eris.New("the VM is shutting down")

func (s *Server) newHTTPServer() *http.Server {
	return &http.Server{
		Handler:           s.Handler(),
		ReadHeaderTimeout: s.options.Timeouts.ReadHeader,
		IdleTimeout:       s.options.Timeouts.Idle,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// Serve serves callers on listener until Shutdown.
func (s *Server) Serve(listener net.Listener) error {
	err := s.http.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return eris.Wrap(err, "serve callers")
}

// Ready returns nil while the VM may receive new requests.
func (s *Server) Ready() error {
	if s.shuttingDown.Load() {
		return errShuttingDown
	}
	return nil
}

// InFlight returns the number of requests in flight.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// Shutdown turns readiness off, keeps accepting connections for the drain time, and returns when the last request is
// answered and the outcomes of claims are recorded. If ctx ends before the last request does, it closes the remaining
// connections and returns an error with the number of requests cut off.
func (s *Server) Shutdown(ctx context.Context) error {
	s.shuttingDown.Store(true)
	drain := time.NewTimer(s.options.Timeouts.Drain)
	defer drain.Stop()
	select {
	case <-drain.C:
	case <-ctx.Done():
	}
	if err := s.http.Shutdown(ctx); err != nil {
		remaining := s.InFlight()
		_ = s.http.Close()
		return eris.Wrapf(err, "%d requests were cut off", remaining)
	}
	return s.waitForClaims(ctx)
}

// Close closes all connections immediately.
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
		return eris.Wrap(ctx.Err(), "outcomes of claims are not recorded yet")
	}
}

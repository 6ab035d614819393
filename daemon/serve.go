package daemon

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/clock"
	"siskinstack.example/siskinstack/telemetry"
	"siskinstack.example/siskinstack/tlsfiles"
)

const (
	// readHeaderTimeout closes admin connections whose request headers arrive too slowly.
	readHeaderTimeout = 5 * time.Second
	// defaultShutdownTimeout bounds a planned stop if the settings set no timeout.
	defaultShutdownTimeout = 30 * time.Second
	// listenAttempts and listenRetryDelay bound the wait for an address that is in use.
	listenAttempts   = 20
	listenRetryDelay = 100 * time.Millisecond
)

// transportSecurity holds the TLS files of a VM; without files, connections are not encrypted.
type transportSecurity struct {
	peers, callers *tlsfiles.Source
	client, server credentials.TransportCredentials
}

func (s *transportSecurity) load(settings *siskinv1.Settings, c clock.Clock, logger logr.Logger) error {
	s.client, s.server = insecure.NewCredentials(), insecure.NewCredentials()
	var err error
	if files := settings.GetCallerTls(); files != nil {
		if s.callers, err = tlsfiles.New(files, c, logger); err != nil {
			return eris.Wrap(err, "TLS towards callers")
		}
	}
	files := settings.GetPeerTls()
	if files == nil {
		return nil
	}
	if s.peers, err = tlsfiles.New(files, c, logger); err != nil {
		return eris.Wrap(err, "TLS between entry VMs")
	}
	if s.client, err = s.peers.ClientCredentials(); err != nil {
		return eris.Wrap(err, "TLS between entry VMs")
	}
	s.server, err = s.peers.ServerCredentials()
	return eris.Wrap(err, "TLS between entry VMs")
}

// run reloads the files when they change.
func (s *transportSecurity) run(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		if s.peers != nil {
			s.peers.Run(ctx)
		}
	}()
	if s.callers != nil {
		s.callers.Run(ctx)
	}
	<-done
}

// serve opens the listeners and starts the servers. The error of a server that fails later is sent to failed.
func (d *Daemon) serve(failed chan<- error) error {
	listen := d.settings.GetListen()
	peers, err := d.openListener(listen.GetPeers())
	if err != nil {
		return eris.Wrap(err, "listen for peers")
	}
	d.goroutines.Go(func() { reportFailure(failed, d.peerServer.Serve(peers)) })
	callers, err := d.openListener(listen.GetCallers())
	if err != nil {
		return eris.Wrap(err, "listen for callers")
	}
	if d.transport.callers != nil {
		callers = tls.NewListener(callers, d.transport.callers.CallerServerConfig())
	}
	d.goroutines.Go(func() { reportFailure(failed, d.entry.Serve(callers)) })
	if listen.GetAdmin() == "" {
		return nil
	}
	admin, err := d.openListener(listen.GetAdmin())
	if err != nil {
		return eris.Wrap(err, "listen for operators")
	}
	d.admin = &http.Server{Handler: telemetry.AdminHandler(d.registry, d.Ready), ReadHeaderTimeout: readHeaderTimeout}
	d.goroutines.Go(func() { reportFailure(failed, d.admin.Serve(admin)) })
	return nil
}

// openListener opens a listener. It retries because a replaced process can keep the address in use for a moment.
func (d *Daemon) openListener(address string) (net.Listener, error) {
	for attempt := 1; ; attempt++ {
		listener, err := d.listen("tcp", address)
		if err == nil || attempt == listenAttempts || !errors.Is(err, syscall.EADDRINUSE) {
			return listener, err
		}
		if d.clock.Sleep(d.background, listenRetryDelay) != nil {
			return nil, err
		}
	}
}

func reportFailure(failed chan<- error, err error) {
	if err == nil || errors.Is(err, http.ErrServerClosed) {
		return
	}
	select {
	case failed <- err:
	default:
	}
}

// stop performs a planned stop: it reports not ready, finishes requests in flight and hands the shards over.
func (d *Daemon) stop() {
	timeout := time.Duration(d.settings.GetLimits().GetShutdownTimeoutMs()) * time.Millisecond
	if timeout <= 0 {
		timeout = defaultShutdownTimeout
	}
	ctx, cancel := context.WithTimeout(d.background, timeout)
	defer cancel()
	d.logger.Info("planned stop began", "timeout", timeout.String())
	d.leaving.Store(true)
	if err := d.entry.Shutdown(ctx); err != nil {
		d.logger.Error(err, "requests were cut off at the end of the planned stop")
	}
	d.shardOwnership.Leave()
	d.handOver(ctx)
	d.drainPeerCalls(ctx)
	d.logger.Info("planned stop ended")
}

// drainPeerCalls waits until the calls of other VMs in flight have finished or ctx ends.
func (d *Daemon) drainPeerCalls(ctx context.Context) {
	done := make(chan struct{})
	d.goroutines.Go(func() {
		defer close(done)
		d.peerServer.GracefulStop()
	})
	select {
	case <-done:
	case <-ctx.Done():
	}
}

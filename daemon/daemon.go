// Package daemon assembles one entry VM from its settings. Run serves until its context ends and then performs a
// planned stop; Kill stops the VM at once, without a handover.
package daemon

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"google.golang.org/grpc"

	"siskinstack.example/siskinstack/allowance"
	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/claim"
	"siskinstack.example/siskinstack/clock"
	"siskinstack.example/siskinstack/configstore"
	"siskinstack.example/siskinstack/configview"
	"siskinstack.example/siskinstack/entry"
	"siskinstack.example/siskinstack/fleet"
	"siskinstack.example/siskinstack/membership"
	"siskinstack.example/siskinstack/owner"
	"siskinstack.example/siskinstack/ownership"
	"siskinstack.example/siskinstack/peer"
	"siskinstack.example/siskinstack/router"
	"siskinstack.example/siskinstack/shardlog"
	"siskinstack.example/siskinstack/standin/httpclient"
	"siskinstack.example/siskinstack/storeclient"
	"siskinstack.example/siskinstack/telemetry"
)

// Daemon is one entry VM.
type Daemon struct {
	settings    *siskinv1.Settings
	logger      logr.Logger
	clock       clock.Clock
	incarnation int64

	registry       *prometheus.Registry
	traces         *telemetry.Traces
	platform       *httpclient.Client
	endpoints      *httpclient.Endpoints
	store          *storeclient.Client
	clients        *peer.Clients
	controlClient  *peer.ControlClient
	config         *configview.View
	purger         *configstore.Purger
	members        *membership.Manager
	fleet          *fleet.View
	shardOwnership *ownership.Manager
	allowance      *allowance.Manager
	owners         *owner.Set
	router         *router.Router
	claims         *claim.Client
	entry          *entry.Server
	peerServer     *grpc.Server
	admin          *http.Server
	ownerMetrics   *owner.Metrics
	logMetrics     *shardlog.Metrics
	partRouter     *peer.PartRouter
	transport      transportSecurity
	bundles        *bundleTracker

	// dialPeer and dialPlatform are nil unless an option replaces the default dialers.
	dialPeer     DialFunc
	dialPlatform DialFunc
	listen       ListenFunc

	leaving atomic.Bool
	// background is the context of the loops, shards and the planned stop; kill cancels it.
	background context.Context
	kill       context.CancelFunc
	goroutines sync.WaitGroup

	mu     sync.Mutex // guards shards
	shards map[string]*ownedShard
}

// New returns a daemon that starts nothing before Run.
func New(settings *siskinv1.Settings, logger logr.Logger, options ...Option) *Daemon {
	d := &Daemon{
		settings:    settings,
		logger:      logger,
		clock:       clock.Real{},
		incarnation: time.Now().UnixNano(),
		registry:    telemetry.NewRegistry(),
		owners:      owner.NewSet(),
		shards:      map[string]*ownedShard{},
		listen:      net.Listen,
	}
	for _, option := range options {
		option(d)
	}
	d.bundles = &bundleTracker{daemon: d, seen: map[string]seenBundle{}}
	d.background, d.kill = context.WithCancel(context.Background())
	return d
}

// Run serves until ctx ends, then performs a planned stop. It returns when everything has stopped.
func (d *Daemon) Run(ctx context.Context) error {
	defer d.close()
	if err := d.assemble(ctx); err != nil {
		return err
	}
	failed := make(chan error, 1)
	if err := d.serve(failed); err != nil {
		return err
	}
	d.startLoops()
	select {
	case err := <-failed:
		return err
	case <-d.background.Done():
		return nil
	case <-ctx.Done():
		d.stop()
		return nil
	}
}

// Kill stops the VM at once: nothing is handed over and requests in flight are cut off.
func (d *Daemon) Kill() {
	d.kill()
}

// startLoops starts the background loops of all components.
func (d *Daemon) startLoops() {
	loops := []func(context.Context){
		d.config.Run, d.members.Run, d.fleet.Run, d.shardOwnership.Run, d.allowance.Run, d.router.Run, d.transport.run,
		d.bundles.Run, d.followConfig, d.purger.Run,
	}
	for _, loop := range loops {
		d.goroutines.Go(func() { loop(d.background) })
	}
}

// close stops the loops and servers that still run, waits until they have ended and closes the clients.
func (d *Daemon) close() {
	d.kill()
	if d.peerServer != nil {
		d.peerServer.Stop()
	}
	if d.entry != nil {
		_ = d.entry.Close()
	}
	if d.admin != nil {
		_ = d.admin.Close()
	}
	d.goroutines.Wait()
	if d.store != nil {
		d.store.Close()
	}
	if d.clients != nil {
		d.clients.Close()
	}
	if d.platform != nil {
		d.platform.Close()
	}
	if d.endpoints != nil {
		d.endpoints.Close()
	}
	if d.traces != nil {
		ctx, cancel := context.WithTimeout(context.Background(), traceFlushTimeout)
		defer cancel()
		_ = d.traces.Close(ctx)
	}
}

// Ready returns nil when the VM can take requests.
func (d *Daemon) Ready() error {
	if d.leaving.Load() {
		return eris.New("VM is leaving")
	}
	if d.config.Snapshot().Bundle() == nil {
		return eris.New("no bundle is in force")
	}
	if !d.config.Fresh(d.clock.Now()) {
		return eris.New("configuration is not confirmed")
	}
	return nil
}

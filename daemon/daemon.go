// Package daemon assembles one entry VM from its settings.
package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/trace/noop"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/clock"
	"siskinstack.example/siskinstack/entry"
	"siskinstack.example/siskinstack/owner"
	"siskinstack.example/siskinstack/ownership"
	"siskinstack.example/siskinstack/peer"
	"siskinstack.example/siskinstack/platform/httpplatform"
	"siskinstack.example/siskinstack/resource"
	"siskinstack.example/siskinstack/sharding"
	"siskinstack.example/siskinstack/telemetry"
)

// readHeaderTimeout ends connections of callers that send their headers too slowly.
const readHeaderTimeout = 5 * time.Second

// Daemon is one running entry VM.
type Daemon struct {
	settings *siskinv1.Settings
	logger   logr.Logger
	clock    clock.Clock
	platform *httpplatform.Client
	manager  *ownership.Manager
	owners   *owner.Set
	clients  *peer.Clients
	metrics  *owner.Metrics
	parts    *peer.PartRouter
	tasks    sync.WaitGroup
}

// New returns a daemon that does nothing before Run.
func New(settings *siskinv1.Settings, logger logr.Logger) *Daemon {
	d := &Daemon{
		settings: settings,
		logger:   logger,
		clock:    clock.Real{},
		platform: httpplatform.New(settings.GetPlatform().GetUrl()),
		owners:   owner.NewSet(),
		metrics:  owner.NewMetrics(telemetry.NewRegistry()),
	}
	addresses := map[string]string{}
	for _, p := range settings.GetPeers() {
		addresses[p.GetVm()] = p.GetAddress()
	}
	d.clients = peer.NewClients(addresses, insecure.NewCredentials())
	return d
}

// Run serves until ctx ends.
func (d *Daemon) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d.manager = ownership.NewManager(ownership.Options{
		Store: d.platform, Clock: d.clock, VM: d.settings.GetVm(), Zone: d.settings.GetZone(),
		Incarnation: time.Now().UnixNano(), Shards: d.shards,
		Acquired: func(right *ownership.Right) { d.tasks.Go(func() { d.runOwner(ctx, right) }) },
		Lost:     func(string) {},
	})
	router := &peer.Router{VM: d.settings.GetVm(), Local: d.owners, Directory: d.manager, Clients: d.clients}
	d.parts = &peer.PartRouter{Router: router, Local: d.owners}
	server := grpc.NewServer()
	siskinv1.RegisterPeerServiceServer(server, &peer.Server{LocalWork: d.owners, LocalParts: d.owners})
	peerListener, err := net.Listen("tcp", d.settings.GetListen().GetPeers())
	if err != nil {
		return eris.Wrap(err, "listen for peers")
	}
	callers := &http.Server{
		Addr:              d.settings.GetListen().GetCallers(),
		Handler:           (&entry.Server{Work: router, Shards: d.shardNames}).Handler(),
		ReadHeaderTimeout: readHeaderTimeout,
	}
	d.tasks.Go(func() { _ = server.Serve(peerListener) })
	d.tasks.Go(func() { d.manager.Run(ctx) })
	d.tasks.Go(func() {
		<-ctx.Done()
		server.Stop()
		_ = callers.Close()
	})
	err = callers.ListenAndServe()
	cancel()
	d.tasks.Wait()
	d.clients.Close()
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return eris.Wrap(err, "serve callers")
}

func (d *Daemon) runOwner(ctx context.Context, right *ownership.Right) {
	o, err := owner.Open(ctx, owner.Options{
		Right: right, Store: d.platform, Workers: d.platform, VMs: d.platform.VMs(), Clock: d.clock,
		Logger: d.logger, Tracer: noop.NewTracerProvider().Tracer(""), Metrics: d.metrics,
		Config: fixedConfig{d}, Demand: fixedConfig{d}, Fleet: fixedConfig{d}, Parts: d.parts,
		VM: d.settings.GetVm(), Zone: sharding.Zone(right.Shard), Writer: d.settings.GetVm() + right.Shard,
	})
	if err != nil {
		d.logger.Error(err, "cannot open shard", "shard", right.Shard)
		return
	}
	o.SetLimit("lab", resource.Vector{MilliCPU: 1 << 40, MemoryBytes: 1 << 60, Accelerators: 1 << 30})
	d.owners.Add(o)
	defer d.owners.Remove(o)
	o.Run(ctx)
}

func (d *Daemon) shards() []ownership.Shard {
	seen := map[string]bool{}
	var shards []ownership.Shard
	for _, p := range d.settings.GetPeers() {
		if !seen[p.GetZone()] {
			seen[p.GetZone()] = true
			shards = append(shards, ownership.Shard{Name: p.GetZone() + "-0", Zone: p.GetZone()})
		}
	}
	return shards
}

func (d *Daemon) shardNames() []string {
	var names []string
	for _, shard := range d.shards() {
		names = append(names, shard.Name)
	}
	return names
}

// fixedConfig serves one team without limits until the configuration is followed.
type fixedConfig struct{ *Daemon }

func (fixedConfig) Fresh() bool                                  { return true }
func (fixedConfig) Draining(string) bool                         { return false }
func (c fixedConfig) Shards() []ownership.Shard                  { return c.shards() }
func (fixedConfig) Teams() []*siskinv1.Team                      { return []*siskinv1.Team{{Name: "lab", Share: 1}} }
func (fixedConfig) SetDemand(string, string, resource.Vector)    {}
func (fixedConfig) UsedElsewhere(string, string) resource.Vector { return resource.Vector{} }
func (fixedConfig) EntryAlive(string) bool                       { return true }
func (fixedConfig) Room() resource.Vector                        { return resource.Vector{} }
func (fixedConfig) Loads() []*siskinv1.ShardLoad                 { return nil }

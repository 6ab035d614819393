package daemon

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"go.opentelemetry.io/contrib/instrumentation/google.golang.org/grpc/otelgrpc"
	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"

	"siskinstack.example/siskinstack/admission"
	"siskinstack.example/siskinstack/allowance"
	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/bundle"
	"siskinstack.example/siskinstack/claim"
	"siskinstack.example/siskinstack/configstore"
	"siskinstack.example/siskinstack/configview"
	"siskinstack.example/siskinstack/entry"
	"siskinstack.example/siskinstack/fleet"
	"siskinstack.example/siskinstack/jsoncheck"
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

const (
	traceFlushTimeout = 2 * time.Second
	// peerKeepalive is the timeout of the pings that find broken connections to peers, and the shortest interval of pings
	// that the server accepts. Clients ping after twice this time without activity, and only while a call is in flight.
	peerKeepalive = 5 * time.Second
	// endpointConnections is the number of connections to an endpoint, divided among the entry VMs of its zone.
	endpointConnections = 60
	// storeReadShare is the share of reads in the VM's budget of store calls; the store serves more reads than writes.
	storeReadShare = 0.6
)

// assemble creates all components without starting them.
func (d *Daemon) assemble(ctx context.Context) error {
	if err := d.transport.load(d.settings, d.clock, d.logger); err != nil {
		return err
	}
	traces, err := telemetry.NewTraces(ctx, d.settings.GetTelemetry(), d.settings.GetVm(), d.settings.GetZone())
	if err != nil {
		return err
	}
	d.traces = traces
	d.platform = d.newPlatform()
	d.endpoints = httpclient.NewEndpoints(d.connectionsPerEndpoint())
	d.store = storeclient.New(d.platform, d.storeOptions())
	d.ownerMetrics = owner.NewMetrics(d.registry)
	d.logMetrics = shardlog.NewMetrics(d.registry)
	d.assemblePeers()
	d.assembleView()
	d.assembleOwnership()
	d.assembleEntry()
	return nil
}

func (d *Daemon) newPlatform() *httpclient.Client {
	url := d.settings.GetPlatform().GetUrl()
	if d.dialPlatform == nil {
		return httpclient.New(url)
	}
	return httpclient.NewWithDialer(url, httpclient.DialFunc(d.dialPlatform))
}

func (d *Daemon) storeOptions() storeclient.Options {
	options := storeclient.Options{Clock: d.clock, Registerer: d.registry, Random: rand.Float64}
	if total := float64(d.settings.GetLimits().GetStoreCallsPerSecond()); total > 0 {
		options.ReadsPerSecond = total * storeReadShare
		options.WritesPerSecond = total - options.ReadsPerSecond
	}
	return options
}

func (d *Daemon) assemblePeers() {
	addresses := map[string]string{}
	for _, p := range d.settings.GetPeers() {
		addresses[p.GetVm()] = p.GetAddress()
	}
	stats := otelgrpc.NewClientHandler(otelgrpc.WithTracerProvider(d.traces), otelgrpc.WithPropagators(telemetry.Propagator()))
	options := []grpc.DialOption{
		grpc.WithStatsHandler(stats),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: 2 * peerKeepalive, Timeout: peerKeepalive}),
	}
	if d.dialPeer != nil {
		options = append(options, grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
			return d.dialPeer(ctx, "tcp", address)
		}))
	}
	d.clients = peer.NewClients(addresses, d.transport.client, options...)
	d.controlClient = &peer.ControlClient{Clients: d.clients}
}

// otherVMs returns the names of the other configured entry VMs.
func (d *Daemon) otherVMs() []string {
	var others []string
	for _, p := range d.settings.GetPeers() {
		if p.GetVm() != d.settings.GetVm() {
			others = append(others, p.GetVm())
		}
	}
	return others
}

func (d *Daemon) assembleView() {
	var peers []membership.Peer
	for _, p := range d.settings.GetPeers() {
		if p.GetVm() != d.settings.GetVm() {
			peers = append(peers, membership.Peer{VM: p.GetVm(), Zone: p.GetZone()})
		}
	}
	d.members = membership.NewManager(membership.Options{
		VM: d.settings.GetVm(), Zone: d.settings.GetZone(), Incarnation: d.incarnation, Clock: d.clock,
		Peers: peers, Sender: d.controlClient, Local: d.localState, Metrics: membership.NewMetrics(d.registry),
		Changed: func(m membership.Member) {
			d.logger.Info("peer changed state", "peer", m.VM, "status", m.Status.String(), "incarnation", m.Incarnation)
		},
	})
	d.config = configview.New(configview.Options{
		Store: d.store.For(storeclient.KindConfig), Clock: d.clock, Logger: d.logger,
		Signers: bundle.NewSigners(d.settings.GetOperators()), Peers: configPeers{d}, Others: d.otherVMs(), Registerer: d.registry,
	})
	d.purger = configstore.NewPurger(configstore.PurgerOptions{
		Store: d.store.For(storeclient.KindPurge), Clock: d.clock, Logger: d.logger, Registerer: d.registry,
		Config: func() configstore.VerifiedConfig { return d.config.Snapshot() },
	})
	d.fleet = fleet.New(fleet.Options{
		VM: d.settings.GetVm(), Incarnation: d.incarnation, Clock: d.clock, VMs: d.platform.VMs(),
		Members: d.members, Local: d.localUsage,
	})
}

func (d *Daemon) assembleOwnership() {
	var peers []ownership.Peer
	for _, p := range d.settings.GetPeers() {
		peers = append(peers, ownership.Peer{VM: p.GetVm(), Zone: p.GetZone()})
	}
	d.shardOwnership = ownership.NewManager(ownership.Options{
		Store: d.store.For(storeclient.KindLease), Clock: d.clock, VM: d.settings.GetVm(), Zone: d.settings.GetZone(),
		Incarnation: d.incarnation, Shards: d.Shards, Peers: peers, Alive: d.members.CanAcquire,
		PromiseCollector: &ownership.PeerPromiseCollector{VMs: d.otherVMs(), Send: d.controlClient.Promise},
		Acquired:         d.acquired, Lost: d.lost, Metrics: ownership.NewMetrics(d.registry),
	})
	d.allowance = allowance.NewManager(allowance.Options{
		Store: d.store.For(storeclient.KindAllowance), Clock: d.clock,
		Writer: fleet.EntryName(d.settings.GetVm(), d.incarnation), Donors: donorClient{d}, Limiter: limiter{d},
		Ceilings: d.ceilings, Shards: d.shardNames, Check: d.checkRight, Metrics: allowance.NewMetrics(d.registry),
	})
	work := &peer.WorkRouter{VM: d.settings.GetVm(), Local: d.owners, Directory: d.shardOwnership, Clients: d.clients}
	d.partRouter = &peer.PartRouter{Router: work, Local: d.owners}
}

func (d *Daemon) assembleEntry() {
	var vms []router.EntryVM
	for _, p := range d.settings.GetPeers() {
		vms = append(vms, router.EntryVM{Name: p.GetVm(), Zone: p.GetZone()})
	}
	d.router = router.New(router.Options{
		VM: d.settings.GetVm(), Zone: d.settings.GetZone(), Incarnation: d.incarnation, EntryVMs: vms,
		Endpoints: d.endpoints, VMs: d.fleet, Clock: d.clock, Services: d.services,
		Peers: &peer.RequestClient{Clients: d.clients}, Alive: d.members.CanAcquire, Registry: d.registry,
		Tracer: d.traces, Seed: uint64(d.incarnation),
	})
	d.claims = claim.NewClient(claim.ClientOptions{
		Shards: &peer.ClaimRouter{VM: d.settings.GetVm(), Local: d.owners, Directory: d.shardOwnership, Clients: d.clients},
		Names:  d.shardNames, EntryVM: fleet.EntryName(d.settings.GetVm(), d.incarnation), Clock: d.clock,
	})
	limits := d.settings.GetLimits()
	d.entry = entry.New(entry.Options{
		Work: d.partRouter.Router, Shards: d.shardNames, ShardLoad: d.shardLoad, Auth: authenticator{d},
		Requests: d.router, Claims: d.claims, Decode: decode, MaxBodyBytes: limits.GetMaxBodyBytes(),
		Limiter: admission.New(admission.Limits{
			VM: int(limits.GetMaxRequestsInFlight()), Team: int(limits.GetMaxTeamRequestsInFlight()),
		}),
		Registry: d.registry, Tracer: d.traces, Routes: d.operatorRoutes(),
	})
	stats := otelgrpc.NewServerHandler(otelgrpc.WithTracerProvider(d.traces), otelgrpc.WithPropagators(telemetry.Propagator()))
	d.peerServer = grpc.NewServer(grpc.Creds(d.transport.server), grpc.StatsHandler(stats), grpc.MaxRecvMsgSize(peer.MaxMessageBytes),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: peerKeepalive, PermitWithoutStream: true}),
		grpc.UnaryInterceptor(peer.ContainPanics(d.logger)))
	siskinv1.RegisterPeerServiceServer(d.peerServer, &peer.Server{
		LocalWork: d.owners, LocalParts: d.owners, LocalClaims: d.owners, LocalRequests: d.router,
		LocalControl: control{d},
	})
}

// decode decodes a JSON body and returns all findings as one error.
func decode(body []byte, into protoMessage) error {
	findings, err := jsoncheck.Decode(body, into)
	if err != nil {
		return err
	}
	return findings.Err()
}

// connectionsPerEndpoint returns this VM's share of the connections to an endpoint in its zone.
func (d *Daemon) connectionsPerEndpoint() int {
	vms := 0
	for _, p := range d.settings.GetPeers() {
		if p.GetZone() == d.settings.GetZone() {
			vms++
		}
	}
	return endpointConnections / max(vms, 1)
}

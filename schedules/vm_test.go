package schedules

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/trace/noop"

	"siskinstack.example/siskinstack/allowance"
	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/configview"
	"siskinstack.example/siskinstack/fleet"
	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/membership"
	"siskinstack.example/siskinstack/owner"
	"siskinstack.example/siskinstack/ownership"
	"siskinstack.example/siskinstack/peer"
	"siskinstack.example/siskinstack/refusal"
	"siskinstack.example/siskinstack/resource"
	"siskinstack.example/siskinstack/sharding"
	"siskinstack.example/siskinstack/shardlog"
	"siskinstack.example/siskinstack/storeclient"
)

const openTimeout = 10 * time.Second

// vm is one process of an entry VM, wired as in package daemon.
type vm struct {
	site        *site
	name        string
	zone        string
	incarnation int64
	process     *process

	store     *storeclient.Client
	workers   infra.Workers
	config    *configview.View
	members   *membership.Manager
	fleet     *fleet.View
	manager   *ownership.Manager
	allowance *allowance.Manager
	owners    *owner.Set
	calls     *peer.ControlClient
	work      *peer.WorkRouter
	parts     *peer.PartRouter
	server    *peer.Server
	metrics   *owner.Metrics

	background context.Context
	cancel     context.CancelFunc
	tasks      sync.WaitGroup

	mu        sync.Mutex // guards all fields below
	shards    map[string]*ownedShard
	rights    []*ownership.Right
	maxLimits map[string]resource.Vector // highest limit by shard and team; used with keepLimits
}

type ownedShard struct {
	right  *ownership.Right
	cancel context.CancelFunc
	done   chan struct{}
}

func (v *vm) node() node { return node{name: v.name, zone: v.zone, kind: kindEntry} }

// start creates and runs a new process of a VM.
func (s *site) start(name, zone string, rate float64) *vm {
	s.mu.Lock()
	s.incarnations++
	incarnation := s.incarnations
	s.mu.Unlock()
	v := &vm{
		site: s, name: name, zone: zone, incarnation: incarnation, process: newProcess(rate),
		owners: owner.NewSet(), shards: map[string]*ownedShard{}, metrics: owner.NewMetrics(prometheus.NewRegistry()),
	}
	v.background, v.cancel = context.WithCancel(context.Background())
	conn := platformConn{process: v.process, network: s.network, self: v.node()}
	v.store = storeclient.New(&storeConn{conn, s.store}, storeclient.Options{Clock: v.process, Random: s.fraction})
	v.workers = &workersConn{platformConn: conn, workers: s.workers, site: s}
	v.calls = &peer.ControlClient{Clients: peerConnector{v}}
	v.assembleView()
	v.assembleOwnership()
	s.mu.Lock()
	s.vms[name] = v
	s.all = append(s.all, v)
	s.mu.Unlock()
	loops := []func(context.Context){v.config.Run, v.members.Run, v.fleet.Run, v.manager.Run, v.allowance.Run}
	for _, loop := range loops {
		v.tasks.Go(func() { loop(v.background) })
	}
	return v
}

func (v *vm) others() []string {
	var others []string
	for _, p := range v.site.peers {
		if p.VM != v.name {
			others = append(others, p.VM)
		}
	}
	return others
}

func (v *vm) assembleView() {
	var peers []membership.Peer
	for _, p := range v.site.peers {
		if p.VM != v.name {
			peers = append(peers, membership.Peer{VM: p.VM, Zone: p.Zone})
		}
	}
	v.members = membership.NewManager(membership.Options{
		VM: v.name, Zone: v.zone, Incarnation: v.incarnation, Clock: v.process, Peers: peers, Sender: v.calls,
		Local: v.local, Metrics: membership.NewMetrics(prometheus.NewRegistry()),
	})
	v.config = configview.New(configview.Options{
		Store: v.store.For(storeclient.KindConfig), Clock: v.process, Logger: logr.Discard(),
		Signers: v.site.signers, Peers: peerViews{v}, Others: v.others(), Registerer: prometheus.NewRegistry(),
	})
	v.fleet = fleet.New(fleet.Options{
		VM: v.name, Incarnation: v.incarnation, Clock: v.process, VMs: v.site.list, Members: v.members, Local: v.localUsage,
	})
}

func (v *vm) assembleOwnership() {
	v.manager = ownership.NewManager(ownership.Options{
		Store: v.store.For(storeclient.KindLease), Clock: v.process, VM: v.name, Zone: v.zone, Incarnation: v.incarnation,
		Shards: v.Shards, Peers: v.site.peers, Alive: v.members.CanAcquire,
		PromiseCollector: &ownership.PeerPromiseCollector{VMs: v.others(), Send: v.calls.Promise},
		Acquired:         v.acquired, Lost: v.lost, Random: v.site.fraction,
	})
	v.allowance = allowance.NewManager(allowance.Options{
		Store: v.store.For(storeclient.KindAllowance), Clock: v.process, Writer: fleet.EntryName(v.name, v.incarnation),
		Donors: donorClient{v}, Limiter: limiter{v}, Ceilings: v.ceilings, Shards: v.shardNames, Check: v.checkRight,
	})
	v.work = &peer.WorkRouter{VM: v.name, Local: v.owners, Directory: v.manager, Clients: peerConnector{v}}
	v.parts = &peer.PartRouter{Router: v.work, Local: v.owners}
	v.server = &peer.Server{LocalWork: v.owners, LocalParts: v.owners, LocalClaims: v.owners, LocalControl: control{v}}
}

// kill ends the process without a shutdown.
func (v *vm) kill() {
	v.process.kill()
	v.cancel()
	v.store.Close()
}

// acquired implements ownership.Options.Acquired.
func (v *vm) acquired(right *ownership.Right) {
	ctx, cancel := context.WithCancel(v.background)
	shard := &ownedShard{right: right, cancel: cancel, done: make(chan struct{})}
	v.mu.Lock()
	previous := v.shards[right.Shard]
	v.shards[right.Shard] = shard
	v.rights = append(v.rights, right)
	v.mu.Unlock()
	v.tasks.Go(func() {
		defer close(shard.done)
		defer cancel()
		if previous != nil {
			<-previous.done
		}
		v.runShard(ctx, shard)
	})
}

// lost implements ownership.Options.Lost.
func (v *vm) lost(name string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if shard, ok := v.shards[name]; ok {
		shard.cancel()
	}
}

func (v *vm) runShard(ctx context.Context, shard *ownedShard) {
	o, err := v.openShard(ctx, shard.right)
	if err != nil {
		v.site.note("%s cannot open %s: %v", v.name, shard.right.Shard, err)
		v.manager.Decline(shard.right.Shard)
		return
	}
	v.manager.MarkServing(shard.right.Shard)
	v.site.note("%s serves %s, epoch %d", v.name, shard.right.Shard, shard.right.Epoch)
	v.owners.Add(o)
	v.allowance.AddShard(shard.right.Shard)
	o.Run(ctx)
	v.owners.Remove(o)
	v.allowance.RemoveShard(shard.right.Shard)
	if shard.right.Check() == nil && ctx.Err() == nil {
		v.manager.Decline(shard.right.Shard)
	}
}

func (v *vm) openShard(ctx context.Context, right *ownership.Right) (*owner.Owner, error) {
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	store := v.store.For(storeclient.KindLog)
	if v.site.broken.writeBehind {
		store = newWriteBehindStore(v, store)
	}
	return owner.Open(ctx, owner.Options{
		Right: right, Store: store, SnapshotStore: v.store.For(storeclient.KindSnapshot), Workers: v.workers,
		VMs: v.fleet, Clock: v.process, Logger: logr.Discard(), Tracer: noop.NewTracerProvider().Tracer(""),
		Metrics: v.metrics, LogMetrics: shardlog.NewMetrics(nil), Config: v, Demand: v.allowance, Fleet: v.fleet,
		Parts: v.parts, VM: v.name, Zone: sharding.Zone(right.Shard), Writer: fleet.EntryName(v.name, v.incarnation),
	})
}

// Fresh implements owner.Config.
func (v *vm) Fresh() bool { return v.config.Fresh(v.process.Now()) }

// Draining implements owner.Config.
func (v *vm) Draining(zone string) bool { return v.config.Snapshot().IsDraining(zone) }

// Teams implements owner.Config.
func (v *vm) Teams() []*siskinv1.Team { return v.config.Snapshot().Bundle().GetTeams() }

// Shards implements owner.Config.
func (v *vm) Shards() []ownership.Shard { return v.site.shards }

func (v *vm) shardNames() []string {
	var names []string
	for _, shard := range v.site.shards {
		names = append(names, shard.Name)
	}
	return names
}

func (v *vm) ceilings() allowance.Ceilings {
	snapshot := v.config.Snapshot()
	ceilings := allowance.Ceilings{Version: snapshot.BundleVersion(), Teams: map[string]resource.Vector{}}
	for _, team := range snapshot.Bundle().GetTeams() {
		ceilings.Teams[team.GetName()] = resource.FromProto(team.GetCeiling())
	}
	return ceilings
}

func (v *vm) local() membership.Local {
	now := v.process.Now()
	state := v.config.State(now)
	local := membership.Local{
		ConfigRevision: int64(state.Revision), ConfigAge: state.Age, BundleVersion: state.BundleVersion,
		StoreReachable: now.Sub(v.store.State().LastResponse) < 2*time.Second,
	}
	for _, o := range v.owners.All() {
		load, usage := o.Load()
		local.Shards = append(local.Shards, load)
		local.Usage = append(local.Usage, usage...)
	}
	return local
}

func (v *vm) localUsage() []*siskinv1.TeamUsage {
	var all []*siskinv1.TeamUsage
	for _, o := range v.owners.All() {
		_, usage := o.Load()
		all = append(all, usage...)
	}
	return all
}

// validRights returns the shards to which this process holds a valid right.
func (v *vm) validRights() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	var valid []string
	var kept []*ownership.Right
	for _, right := range v.rights {
		if right.Check() == nil {
			valid = append(valid, right.Shard)
			kept = append(kept, right)
		}
	}
	v.rights = kept
	return valid
}

func (v *vm) checkRight(name string) error {
	v.mu.Lock()
	shard, ok := v.shards[name]
	v.mu.Unlock()
	if !ok {
		return eris.New("shard is not owned")
	}
	return shard.right.Check()
}

type limiter struct{ *vm }

// SetLimit implements allowance.Limiter.
func (l limiter) SetLimit(shard, team string, limit resource.Vector) resource.Vector {
	for _, o := range l.owners.All() {
		if o.Shard() == shard && l.site.broken.keepLimits {
			return l.keepLimit(o, team, limit)
		}
		if o.Shard() == shard {
			return o.SetLimit(team, limit)
		}
	}
	return resource.Vector{}
}

type donorClient struct{ *vm }

// GiveBack implements allowance.DonorClient.
func (d donorClient) GiveBack(ctx context.Context, request *siskinv1.GiveBackAllowanceRequest) (*siskinv1.GiveBackAllowanceResponse, error) {
	name, ok := d.manager.Owner(request.GetShard())
	if !ok {
		return nil, refusal.New(refusal.ShardUnavailable, "shard %q has no owner at the moment", request.GetShard())
	}
	if name == d.name {
		return d.allowance.GiveBack(ctx, request), nil
	}
	client, err := peerConnector{d.vm}.Client(name)
	if err != nil {
		return nil, err
	}
	return client.GiveBackAllowance(ctx, request)
}

type peerViews struct{ *vm }

// States implements configview.Peers.
func (p peerViews) States() []configview.PeerState {
	members := p.members.Members()
	states := make([]configview.PeerState, len(members))
	for i, member := range members {
		states[i] = configview.PeerState{
			VM: member.VM, Reachable: member.Status == membership.Alive, AsOf: member.Confirmed,
			State: configview.State{
				Revision: infra.Revision(member.ConfigRevision), Age: member.ConfigAge, BundleVersion: member.BundleVersion,
			},
		}
	}
	return states
}

// FetchConfig implements configview.Peers.
func (p peerViews) FetchConfig(ctx context.Context, name string, request *siskinv1.FetchConfigRequest) (*siskinv1.FetchConfigResponse, error) {
	return p.calls.FetchConfig(ctx, name, request)
}

type control struct{ *vm }

func (c control) Heartbeat(_ context.Context, request *siskinv1.HeartbeatRequest) (*siskinv1.HeartbeatResponse, error) {
	return c.members.Receive(request)
}

func (c control) Promise(_ context.Context, request *siskinv1.PromiseRequest) (*siskinv1.PromiseResponse, error) {
	return c.manager.Promise(request), nil
}

func (c control) FetchConfig(_ context.Context, request *siskinv1.FetchConfigRequest) (*siskinv1.FetchConfigResponse, error) {
	return c.config.Export(request), nil
}

func (c control) TakeOver(ctx context.Context, request *siskinv1.TakeOverRequest) (*siskinv1.TakeOverResponse, error) {
	return c.manager.TakeOver(ctx, request), nil
}

func (c control) GiveBackAllowance(ctx context.Context, request *siskinv1.GiveBackAllowanceRequest) (*siskinv1.GiveBackAllowanceResponse, error) {
	return c.allowance.GiveBack(ctx, request), nil
}

// String returns the name and incarnation of the process.
func (v *vm) String() string { return fmt.Sprintf("%s@%d", v.name, v.incarnation) }

package daemon

import (
	"context"
	"sync"
	"time"

	"siskinstack.example/siskinstack/entry"
	"siskinstack.example/siskinstack/operate"
	"siskinstack.example/siskinstack/sharding"
	"siskinstack.example/siskinstack/storeclient"
)

// operatorRoutes returns the routes for operators, which the server for callers serves too.
func (d *Daemon) operatorRoutes() []entry.Route {
	server := operate.New(operate.Options{
		Store: d.config.WrapStore(d.store.For(storeclient.KindConfig)), Clock: d.clock, Logger: d.logger, View: d.config,
		Operators: d.settings.GetOperators(), Usage: usage{d}, VMs: vmStates{d}, BundleStates: d.bundles,
		OnChange:     d.purger.Notify,
		MaxBodyBytes: d.settings.GetLimits().GetMaxBodyBytes(),
	})
	handler := server.Handler()
	var routes []entry.Route
	for _, pattern := range operate.Patterns() {
		routes = append(routes, entry.Route{Pattern: pattern, Handler: handler.ServeHTTP})
	}
	return routes
}

// usage reports to operators what is running and queued in the fleet.
type usage struct{ *Daemon }

// Teams implements operate.Usage.
func (u usage) Teams(context.Context) (map[string]operate.TeamUsage, error) {
	teams := map[string]operate.TeamUsage{}
	for team, used := range u.members.TeamUsage() {
		teams[team] = operate.TeamUsage{Running: used.Running, Queued: used.Queued}
	}
	return teams, nil
}

// Zone implements operate.Usage.
func (u usage) Zone(_ context.Context, zone string) (operate.ZoneUsage, error) {
	var sum operate.ZoneUsage
	for _, load := range u.fleet.Loads() {
		if sharding.Zone(load.GetShard()) == zone {
			sum.Running += load.GetRunningTasks()
			sum.Queued += load.GetQueuedTasks()
		}
	}
	return sum, nil
}

// vmStates reports the state of the VMs of the fleet to operators.
type vmStates struct{ *Daemon }

// VMs implements operate.VMs.
func (v vmStates) VMs(ctx context.Context) ([]operate.VMState, error) {
	list, err := v.fleet.List(ctx)
	if err != nil {
		return nil, err
	}
	states := make([]operate.VMState, 0, len(list.VMs)+len(v.settings.GetPeers()))
	listed := map[string]bool{}
	members := v.memberStates()
	for _, vm := range list.VMs {
		listed[vm.Name] = true
		state := operate.VMState{
			Name: vm.Name, Role: string(vm.Role), Zone: vm.Zone, Rack: vm.Rack, Leaving: vm.Leaving, State: "listed",
		}
		if member, ok := members[vm.Name]; ok {
			state.State = member
		}
		states = append(states, state)
	}
	for _, p := range v.settings.GetPeers() {
		if !listed[p.GetVm()] {
			states = append(states, operate.VMState{Name: p.GetVm(), Role: "entry", Zone: p.GetZone(), State: members[p.GetVm()]})
		}
	}
	return states, nil
}

func (d *Daemon) memberStates() map[string]string {
	states := map[string]string{d.settings.GetVm(): "alive"}
	for _, member := range d.members.Members() {
		states[member.VM] = member.Status.String()
	}
	return states
}

// bundlePollInterval is how often the VM checks the bundle versions of the others.
const bundlePollInterval = 100 * time.Millisecond

// bundleTracker records when each entry VM was first seen with its current bundle version.
type bundleTracker struct {
	daemon *Daemon

	mu   sync.Mutex // guards seen
	seen map[string]seenBundle
}

type seenBundle struct {
	version int64
	at      time.Time
}

// Run checks the versions periodically until ctx ends.
func (b *bundleTracker) Run(ctx context.Context) {
	for ctx.Err() == nil {
		for _, member := range b.daemon.members.Members() {
			b.record(member.VM, member.BundleVersion)
		}
		_ = b.daemon.clock.Sleep(ctx, bundlePollInterval)
	}
}

func (b *bundleTracker) record(vm string, version int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.seen[vm].version != version {
		b.seen[vm] = seenBundle{version: version, at: b.daemon.clock.Now()}
	}
}

// BundleStates implements operate.BundleStates. Times of other VMs are those at which this VM learned of the version,
// up to a heartbeat later than the other VM put it in force.
func (b *bundleTracker) BundleStates(context.Context) ([]operate.VMBundle, error) {
	d := b.daemon
	now := d.clock.Now()
	snapshot := d.config.Snapshot()
	signed := time.UnixMilli(snapshot.Proposal().GetSignedUnixMs())
	own := d.config.State(now)
	states := []operate.VMBundle{{
		VM: d.settings.GetVm(), Version: own.BundleVersion, AgeMs: own.Age.Milliseconds(), Reachable: true,
		InForceAfterMs: inForceAfter(signed, snapshot.InForceSince()),
	}}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, member := range d.members.Members() {
		states = append(states, operate.VMBundle{
			VM: member.VM, Version: member.BundleVersion, AgeMs: member.ConfigAge.Milliseconds(),
			Reachable:      member.Status.String() == "alive",
			InForceAfterMs: inForceAfter(signed, b.seen[member.VM].at),
		})
	}
	return states, nil
}

// inForceAfter returns the milliseconds from the sign-off until the bundle came into force; -1 if since is zero.
func inForceAfter(signed, since time.Time) int64 {
	if since.IsZero() {
		return -1
	}
	return max(0, since.Sub(signed).Milliseconds())
}

// Package fleet combines what the entry VMs report about their shards with the platform's list of VMs into the view on
// which shard owners base decisions. The view is delayed, so no invariant depends on it alone.
package fleet

import (
	"context"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/clock"
	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/membership"
	"siskinstack.example/siskinstack/resource"
)

const (
	// listInterval is the time between two reads of the platform's list.
	listInterval = time.Second
	// listTimeout bounds one read of the list.
	listTimeout = 2 * time.Second
)

// View is the fleet as this VM sees it.
type View struct {
	vm          string
	incarnation int64
	clock       clock.Clock
	source      infra.VMList
	members     *membership.Manager
	local       func() []*siskinv1.TeamUsage

	mu       sync.RWMutex // guards list and capacity
	list     infra.VMs
	capacity resource.Vector // total of the workers in list
}

// Options configures a view.
type Options struct {
	VM          string
	Incarnation int64
	Clock       clock.Clock
	VMs         infra.VMList
	Members     *membership.Manager
	// Local returns the team usage of the shards that this VM owns.
	Local func() []*siskinv1.TeamUsage
}

// New returns a view that has no list of VMs before Run.
func New(options Options) *View {
	return &View{
		vm: options.VM, incarnation: options.Incarnation, clock: options.Clock,
		source: options.VMs, members: options.Members, local: options.Local,
	}
}

// Run reads the platform's list every listInterval until ctx ends.
func (v *View) Run(ctx context.Context) {
	for ctx.Err() == nil {
		v.refresh(ctx)
		_ = v.clock.Sleep(ctx, listInterval)
	}
}

// refresh reads the list. If that fails, the last list stays.
func (v *View) refresh(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	list, err := v.source.List(ctx)
	if err != nil {
		return
	}
	var capacity resource.Vector
	for _, vm := range list.VMs {
		if vm.Role == infra.RoleWorker {
			capacity = capacity.Add(vm.Capacity)
		}
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.list, v.capacity = list, capacity
}

// List implements infra.VMList with the list that was read last, so that the owners of a process share one reader.
func (v *View) List(context.Context) (infra.VMs, error) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.list, nil
}

// Capacity returns the total capacity of all workers of the fleet.
func (v *View) Capacity() resource.Vector {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.capacity
}

// UsedElsewhere returns what each team has running in all shards except the given one, which this VM owns.
func (v *View) UsedElsewhere(shard string) map[string]resource.Vector {
	return v.sumElsewhere(shard, func(u membership.Usage) resource.Vector { return u.Running }, (*siskinv1.TeamUsage).GetRunning)
}

// WaitingElsewhere returns what each team waits for in all shards except the given one, which this VM owns.
func (v *View) WaitingElsewhere(shard string) map[string]resource.Vector {
	return v.sumElsewhere(shard, func(u membership.Usage) resource.Vector { return u.Queued }, (*siskinv1.TeamUsage).GetQueued)
}

// sumElsewhere returns the sum of each team over all shards except the given one, which this VM owns.
func (v *View) sumElsewhere(
	shard string, sum func(membership.Usage) resource.Vector, own func(*siskinv1.TeamUsage) *siskinv1.Resources,
) map[string]resource.Vector {
	rest := map[string]resource.Vector{}
	for team, usage := range v.members.TeamUsage() {
		rest[team] = sum(usage)
	}
	for _, report := range v.local() {
		if report.GetShard() == shard {
			team := report.GetTeam()
			// The usage may have grown since the sums were read, so the difference is kept from becoming negative.
			rest[team] = rest[team].Sub(resource.FromProto(own(report))).Max(resource.Vector{})
		}
	}
	return rest
}

// Loads returns the last reported load of each shard, ordered by shard name.
func (v *View) Loads() []*siskinv1.ShardLoad {
	reports := v.members.Loads()
	loads := make([]*siskinv1.ShardLoad, 0, len(reports))
	for _, report := range reports {
		loads = append(loads, report.ShardLoad)
	}
	sort.Slice(loads, func(i, j int) bool { return loads[i].GetShard() < loads[j].GetShard() })
	return loads
}

// EntryName returns the identity of an entry VM's process: the VM's name with its incarnation.
func EntryName(vm string, incarnation int64) string {
	return vm + "@" + strconv.FormatInt(incarnation, 10)
}

// EntryAlive reports whether an entry VM, identified by EntryName, may still have requests in flight. Only a dead
// or replaced process certainly has none; an unknown VM and a malformed name count as dead.
func (v *View) EntryAlive(name string) bool {
	vm, suffix, ok := strings.Cut(name, "@")
	incarnation, err := strconv.ParseInt(suffix, 10, 64)
	if !ok || err != nil {
		return false
	}
	if vm == v.vm {
		return incarnation == v.incarnation
	}
	for _, member := range v.members.Members() {
		if member.VM != vm {
			continue
		}
		if member.Status == membership.Dead || member.Incarnation > incarnation {
			return false
		}
		return true
	}
	return false
}

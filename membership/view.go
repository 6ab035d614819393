package membership

import (
	"cmp"
	"slices"
	"time"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/resource"
)

// Usage is what a team runs and queues over all shards.
type Usage struct {
	Running resource.Vector
	Queued  resource.Vector
}

// Members returns the state of the peers, ordered by name.
func (m *Manager) Members() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	members := make([]Member, 0, len(m.peers))
	for _, state := range m.peers {
		members = append(members, state.member)
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.VM, b.VM) })
	return members
}

// CanAcquire reports whether a VM can be expected to acquire a shard: it is neither dead nor leaving.
func (m *Manager) CanAcquire(vm string) bool {
	if vm == m.options.VM {
		return !m.options.Local().Leaving
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	state, ok := m.peers[vm]
	return ok && state.member.Status != Dead && !state.member.Leaving
}

// AllPeersConfirmed reports whether every other configured VM has responded to a heartbeat that was sent at or after
// since, and the newest configuration revision that any of them reported.
func (m *Manager) AllPeersConfirmed(since time.Time) Confirmation {
	m.mu.Lock()
	defer m.mu.Unlock()
	confirmation := Confirmation{All: true}
	for _, peer := range m.options.Peers {
		state := m.peers[peer.VM]
		if state.confirmedSent.IsZero() || state.confirmedSent.Before(since) {
			confirmation.All = false
		}
		if state.member.ConfigRevision > confirmation.Revision {
			confirmation.Revision = state.member.ConfigRevision
			confirmation.VM = peer.VM
		}
	}
	return confirmation
}

// Stats returns the heartbeat traffic so far.
func (m *Manager) Stats() Stats {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.stats
}

// Loads returns the report with the highest epoch of each shard. Reports of dead peers are left out.
func (m *Manager) Loads() map[string]Load {
	local := m.options.Local()
	m.mu.Lock()
	defer m.mu.Unlock()
	loads := map[string]Load{}
	addLoads(loads, m.options.VM, local.Shards)
	for vm, state := range m.peers {
		if state.member.Status != Dead {
			addLoads(loads, vm, state.shards)
		}
	}
	return loads
}

func addLoads(loads map[string]Load, vm string, reports []*siskinv1.ShardLoad) {
	for _, report := range reports {
		known, ok := loads[report.GetShard()]
		if !ok || report.GetEpoch() > known.GetEpoch() {
			loads[report.GetShard()] = Load{VM: vm, ShardLoad: report}
		}
	}
}

// TeamUsage returns the usage of each team over all shards. For each shard it counts only what the VM with the highest
// epoch reports, so that nothing is counted twice after a takeover.
func (m *Manager) TeamUsage() map[string]Usage {
	loads := m.Loads()
	local := m.options.Local()
	m.mu.Lock()
	defer m.mu.Unlock()
	usage := map[string]Usage{}
	for _, report := range local.Usage {
		addUsage(usage, loads, m.options.VM, report)
	}
	for vm, state := range m.peers {
		for _, report := range state.usage {
			addUsage(usage, loads, vm, report.TeamUsage)
		}
	}
	return usage
}

func addUsage(usage map[string]Usage, loads map[string]Load, vm string, report *siskinv1.TeamUsage) {
	if loads[report.GetShard()].VM != vm {
		return
	}
	sum := usage[report.GetTeam()]
	sum.Running = sum.Running.Add(resource.FromProto(report.GetRunning()))
	sum.Queued = sum.Queued.Add(resource.FromProto(report.GetQueued()))
	usage[report.GetTeam()] = sum
}

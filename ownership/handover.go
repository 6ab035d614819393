package ownership

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/rendezvous"
	"siskinstack.example/siskinstack/storeclient"
)

// ErrNotHeld means that this VM does not own the shard.
var ErrNotHeld = eris.New("shard is not owned by this VM")

const (
	releaseRetryMin = 50 * time.Millisecond
	releaseRetryMax = 500 * time.Millisecond
)

// Release gives a shard up for a planned handover and returns the VM to notify with TakeOver, or "" if there is none.
// The caller must have stopped acting for the shard and flushed its log. If the key cannot be deleted before ctx ends,
// Release returns an error, and the shard becomes free when the lease ends.
func (m *Manager) Release(ctx context.Context, shard string) (string, error) {
	m.mu.Lock()
	right, ok := m.held[shard]
	if !ok {
		m.mu.Unlock()
		return "", ErrNotHeld
	}
	revision := infra.Revision(right.Epoch)
	m.drop(shard)
	m.deletions[shard] = revision
	m.deferAcquire(shard, releasePause)
	m.mu.Unlock()
	backoff := storeclient.NewBackoff(releaseRetryMin, releaseRetryMax, m.options.Random)
	for {
		err := m.deleteKey(ctx, shard, revision)
		if err == nil {
			return m.successor(shard), nil
		}
		if m.options.Clock.Sleep(ctx, backoff.Next()) != nil {
			return "", eris.Wrap(err, "delete ownership key")
		}
	}
}

// releasePause keeps a VM from immediately acquiring a shard that it has released.
const releasePause = 5 * time.Second

// TakeOver handles the notification of a leaving VM: it acquires the shard without the acquisition delay. Only the
// store decides whether the shard is free.
func (m *Manager) TakeOver(ctx context.Context, request *siskinv1.TakeOverRequest) *siskinv1.TakeOverResponse {
	for _, shard := range m.options.Shards() {
		if shard.Name == request.GetShard() {
			return &siskinv1.TakeOverResponse{Acquired: m.acquire(ctx, shard.Name)}
		}
	}
	return &siskinv1.TakeOverResponse{}
}

// Decline gives up a shard that this VM cannot serve, for example because its log is corrupt. The VM does not acquire
// the shard for a time that doubles with each call, up to declineMax.
func (m *Manager) Decline(shard string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	right, ok := m.held[shard]
	if !ok {
		return
	}
	m.drop(shard)
	m.deletions[shard] = infra.Revision(right.Epoch)
	m.decline(shard)
	m.options.Metrics.declined.Inc()
}

// MarkServing records that a shard was opened, so that a later Decline starts with the shortest backoff again.
func (m *Manager) MarkServing(shard string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.declined, shard)
}

// decline defers acquisition of a shard for a time that doubles with each call, up to declineMax. The caller holds mu.
func (m *Manager) decline(shard string) {
	wait := declineMin
	if d := m.declined[shard]; d != nil {
		wait = min(max(2*d.wait, declineMin), declineMax)
	}
	m.deferAcquire(shard, wait)
	m.declined[shard].wait = wait
}

// deferAcquire keeps this VM from acquiring a shard for a time, except on TakeOver. The caller holds mu.
func (m *Manager) deferAcquire(shard string, wait time.Duration) {
	d := m.declined[shard]
	if d == nil {
		d = &declineBackoff{}
		m.declined[shard] = d
	}
	d.until = m.options.Clock.Now().Add(wait)
}

// Preferred returns the VM that ranks first as owner of a shard.
func (m *Manager) Preferred(shard Shard) string {
	ranked := ranking(shard, m.options.Peers, m.options.Alive)
	if len(ranked) == 0 {
		return m.options.VM
	}
	return ranked[0].VM
}

func (m *Manager) successor(name string) string {
	others := func(vm string) bool { return vm != m.options.VM && m.options.Alive(vm) }
	for _, shard := range m.options.Shards() {
		if shard.Name != name {
			continue
		}
		if ranked := ranking(shard, m.options.Peers, others); len(ranked) > 0 {
			return ranked[0].VM
		}
	}
	return ""
}

// ranking orders the peers that are alive: those of the shard's zone first, then by rendezvous hashing, so that the
// shards of a zone spread over its VMs and few move when a VM leaves.
func ranking(shard Shard, peers []Peer, alive func(string) bool) []Peer {
	var names []string
	byName := map[string]Peer{}
	for _, peer := range peers {
		if alive(peer.VM) {
			names = append(names, peer.VM)
			byName[peer.VM] = peer
		}
	}
	var sameZone, others []Peer
	for _, name := range rendezvous.Order(shard.Name, names) {
		peer := byName[name]
		if peer.Zone == shard.Zone {
			sameZone = append(sameZone, peer)
		} else {
			others = append(others, peer)
		}
	}
	return append(sameZone, others...)
}

// rank returns how many peers rank before a VM. For a VM in the shard's zone it counts only the peers of that zone, for
// any other VM only the peers outside it.
func rank(vm string, shard Shard, peers []Peer, alive func(string) bool) int {
	before := map[bool]int{}
	for _, peer := range ranking(shard, peers, func(other string) bool { return other == vm || alive(other) }) {
		sameZone := peer.Zone == shard.Zone
		if peer.VM == vm {
			return before[sameZone]
		}
		before[sameZone]++
	}
	return 0
}

package ownership

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/clock"
	"siskinstack.example/siskinstack/infra"
)

// attempt is an acquisition whose write may still take effect. While it exists, this VM gives no promise for the shard.
type attempt struct {
	shard string
	nonce string
	lease infra.LeaseID
	value []byte
	// sent is true once a write with an unknown outcome was sent.
	sent bool
}

// acquireStep drops expired rights, deletes this VM's keys that have no right, resolves attempts with an unknown
// outcome, and acquires shards without an owner.
func (m *Manager) acquireStep(ctx context.Context) {
	m.dropExpired()
	m.deleteKeys(ctx)
	for _, unresolved := range m.unresolved() {
		m.resolve(ctx, unresolved)
	}
	for _, shard := range m.options.Shards() {
		if m.acquireDue(shard) {
			m.acquire(ctx, shard.Name)
		}
	}
}

// acquireDue reports whether a shard has no owner and this VM's acquisition delay for it has passed.
func (m *Manager) acquireDue(shard Shard) bool {
	wait := m.acquireDelay(shard)
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, owned := m.directory.owners[shard.Name]; owned || !m.directory.synced {
		delete(m.directory.unownedSince, shard.Name)
		return false
	}
	now := m.options.Clock.Now()
	since, known := m.directory.unownedSince[shard.Name]
	if !known {
		since = now
		m.directory.unownedSince[shard.Name] = now
	}
	if d := m.declined[shard.Name]; d != nil && now.Before(d.until) {
		return false
	}
	// No VM acquires before its start wait ends, so the delays count from there when all VMs start together.
	if first := m.started.Add(m.rules.startWait); since.Before(first) {
		since = first
	}
	return now.Sub(since) >= wait
}

// acquire writes the ownership key and reports whether this VM owns the shard now.
func (m *Manager) acquire(ctx context.Context, shard string) bool {
	a := m.begin(shard)
	if a == nil {
		return false
	}
	return m.put(ctx, a)
}

// begin registers the attempt in the critical section that checks the promises, so that no promise is given between the
// check and the write. It returns nil if this VM may not acquire the shard now.
func (m *Manager) begin(shard string) *attempt {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.options.Clock.Now()
	_, held := m.held[shard]
	_, acquiring := m.attempts[shard]
	_, deleting := m.deletions[shard]
	if held || acquiring || deleting || m.leaving || m.lease == 0 || now.Sub(m.started) < m.rules.startWait {
		return nil
	}
	if m.rules.honourPromises && now.Before(m.promises[shard]) {
		return nil
	}
	if !now.Before(m.leaseEnd(m.leaseSent)) {
		return nil
	}
	nonce := m.nonce()
	value, err := proto.Marshal(&siskinv1.ShardOwner{
		Vm: m.options.VM, Incarnation: m.options.Incarnation, Nonce: nonce,
	})
	if err != nil {
		return nil
	}
	a := &attempt{shard: shard, nonce: nonce, lease: m.lease, value: value}
	m.attempts[shard] = a
	return a
}

func (m *Manager) put(ctx context.Context, a *attempt) bool {
	ctx, cancel := clock.WithTimeout(ctx, m.options.Clock, callTimeout)
	defer cancel()
	request := infra.PutRequest{Key: keyPrefix + a.shard, Value: a.value, Lease: a.lease}
	revision, err := m.options.Store.Put(ctx, request)
	switch {
	case err == nil:
		return m.finish(a, revision)
	case errors.Is(err, infra.ErrConflict):
		return m.readBack(ctx, a)
	case errors.Is(err, infra.ErrLeaseExpired):
		// An expired lease stays expired, so no earlier write of this attempt can take effect any more.
		m.abandon(a)
	case errors.Is(err, infra.ErrNotSent):
		if !a.sent {
			m.abandon(a)
		}
	default:
		a.sent = true
		m.options.Metrics.unknown.Inc()
	}
	return false
}

// readBack reads the existing key and finishes the attempt if the key is its own.
func (m *Manager) readBack(ctx context.Context, a *attempt) bool {
	kv, err := m.options.Store.Get(ctx, keyPrefix+a.shard)
	if err != nil {
		a.sent = true
		return false
	}
	entry := decodeOwner(kv)
	if entry.vm == m.options.VM && entry.incarnation == m.options.Incarnation && entry.nonce == a.nonce {
		return m.finish(a, kv.Revision)
	}
	m.mu.Lock()
	m.directory.set(a.shard, entry)
	m.mu.Unlock()
	if !a.sent {
		m.abandon(a)
		return false
	}
	// An earlier write may still be in flight and take effect once the other owner's key is deleted. The next step
	// sends the attempt again; it ends when the write succeeds or its lease has expired.
	return false
}

// unresolved returns the attempts that were sent and whose outcome is unknown.
func (m *Manager) unresolved() []*attempt {
	m.mu.Lock()
	defer m.mu.Unlock()
	var found []*attempt
	for _, shard := range sortedKeys(m.attempts) {
		if a := m.attempts[shard]; a.sent {
			found = append(found, a)
		}
	}
	return found
}

// resolve reads the key and writes it again if it does not exist. If the manager no longer has the attempt's lease, that
// lease has expired; resolve then writes in any case, because the write can only fail and ErrLeaseExpired ends the
// attempt.
func (m *Manager) resolve(ctx context.Context, a *attempt) {
	ctx, cancel := clock.WithTimeout(ctx, m.options.Clock, callTimeout)
	defer cancel()
	_, err := m.options.Store.Get(ctx, keyPrefix+a.shard)
	if errors.Is(err, infra.ErrNotFound) {
		m.put(ctx, a)
		return
	}
	if err == nil {
		m.readBack(ctx, a)
	}
	m.mu.Lock()
	current := m.lease == a.lease
	m.mu.Unlock()
	if !current {
		m.put(ctx, a)
	}
}

func (m *Manager) abandon(a *attempt) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.attempts[a.shard] == a {
		delete(m.attempts, a.shard)
	}
}

// finish turns an attempt into a right. The right is bounded by the last successful renewal of the lease that the key
// is attached to; the write itself does not extend the lease.
func (m *Manager) finish(a *attempt, revision infra.Revision) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.attempts[a.shard] != a {
		return false
	}
	delete(m.attempts, a.shard)
	entry := directoryEntry{
		vm: m.options.VM, incarnation: m.options.Incarnation, nonce: a.nonce, revision: revision,
	}
	m.directory.set(a.shard, entry)
	until := m.leaseEnd(m.leaseSent)
	if m.lease != a.lease || m.leaving || !m.options.Clock.Now().Before(until) {
		m.deletions[a.shard] = revision
		return false
	}
	right := NewRight(m.options.Clock, a.shard, int64(revision), until)
	m.held[a.shard] = right
	m.options.Metrics.acquired.Inc()
	m.options.Metrics.held.Set(float64(len(m.held)))
	m.options.Acquired(right)
	return true
}

// deleteKeys deletes this VM's keys that have no right.
func (m *Manager) deleteKeys(ctx context.Context) {
	m.mu.Lock()
	deletions := maps.Clone(m.deletions)
	m.mu.Unlock()
	for _, shard := range sortedKeys(deletions) {
		_ = m.deleteKey(ctx, shard, deletions[shard])
	}
}

// sortedKeys returns the keys of a map in order, so that the order of calls does not depend on map iteration.
func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// deleteKey deletes a key of this VM. Success, ErrNotFound and ErrConflict all prove that the key of that revision is
// gone.
func (m *Manager) deleteKey(ctx context.Context, shard string, revision infra.Revision) error {
	ctx, cancel := clock.WithTimeout(ctx, m.options.Clock, callTimeout)
	defer cancel()
	err := m.options.Store.Delete(ctx, keyPrefix+shard, revision)
	if err != nil && !errors.Is(err, infra.ErrNotFound) && !errors.Is(err, infra.ErrConflict) {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.deletions[shard] == revision {
		delete(m.deletions, shard)
	}
	m.directory.remove(shard, revision)
	return nil
}

// acquireDelay returns how long this VM waits before it acquires a shard that has lost its owner.
func (m *Manager) acquireDelay(shard Shard) time.Duration {
	rank := time.Duration(rank(m.options.VM, shard, m.options.Peers, m.options.Alive))
	wait := min(rank*rankDelay, otherZoneDelay)
	if shard.Zone != m.options.Zone {
		wait += otherZoneDelay
	}
	return wait
}

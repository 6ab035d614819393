package ownership

import (
	"context"
	"errors"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/clock"
	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/storeclient"
)

const (
	watchRetryMin = 100 * time.Millisecond
	watchRetryMax = time.Second
)

// directoryEntry is an ownership key as read from the store.
type directoryEntry struct {
	vm          string
	incarnation int64
	nonce       string
	revision    infra.Revision
}

// directory mirrors the ownership keys, complete up to revision.
type directory struct {
	owners       map[string]directoryEntry
	unownedSince map[string]time.Time // when this VM first saw that a shard has no owner
	revision     infra.Revision
	synced       bool // a listing has been read
	relist       bool // the next watchStep lists the keys
}

func newDirectory() directory {
	return directory{owners: map[string]directoryEntry{}, unownedSince: map[string]time.Time{}, relist: true}
}

// mayBeOwner reports whether no store response contradicts that vm owns the shard since epoch. A directory that is
// complete only up to a revision before epoch does not contradict it.
func (d *directory) mayBeOwner(shard, vm string, epoch infra.Revision) bool {
	entry, ok := d.owners[shard]
	if ok && entry.revision > epoch {
		return false
	}
	if !d.synced || d.revision < epoch {
		return true
	}
	return ok && entry.vm == vm && entry.revision == epoch
}

func (d *directory) set(shard string, entry directoryEntry) {
	if entry.revision > d.owners[shard].revision {
		d.owners[shard] = entry
	}
}

func (d *directory) remove(shard string, revision infra.Revision) {
	if entry, ok := d.owners[shard]; ok && entry.revision <= revision {
		delete(d.owners, shard)
	}
}

// Owner returns the VM that owns a shard according to this VM's directory.
func (m *Manager) Owner(shard string) (string, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	entry, ok := m.directory.owners[shard]
	return entry.vm, ok
}

// Epoch returns the epoch of the owner that Owner returns.
func (m *Manager) Epoch(shard string) (int64, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	entry, ok := m.directory.owners[shard]
	return int64(entry.revision), ok
}

func (m *Manager) watchLoop(ctx context.Context) {
	backoff := storeclient.NewBackoff(watchRetryMin, watchRetryMax, m.options.Random)
	for ctx.Err() == nil {
		if m.watchStep(ctx, watchWait) == nil {
			backoff.Reset()
			continue
		}
		_ = m.options.Clock.Sleep(ctx, backoff.Next())
	}
}

// watchStep lists the ownership keys at first and after the store has compacted the watch's revision; otherwise it
// waits for changes.
func (m *Manager) watchStep(ctx context.Context, wait time.Duration) error {
	ctx, cancel := clock.WithTimeout(ctx, m.options.Clock, wait+callTimeout)
	defer cancel()
	m.mu.Lock()
	relist, after := m.directory.relist, m.directory.revision
	m.mu.Unlock()
	if relist {
		return m.list(ctx)
	}
	result, err := m.options.Store.Watch(ctx, infra.WatchRequest{Prefix: keyPrefix, After: after, Wait: wait})
	if errors.Is(err, infra.ErrCompacted) {
		m.mu.Lock()
		m.directory.relist = true
		m.mu.Unlock()
	}
	if err != nil {
		return err
	}
	m.applyEvents(result)
	return nil
}

func (m *Manager) list(ctx context.Context) error {
	listing, err := m.options.Store.List(ctx, keyPrefix)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	present := map[string]bool{}
	for _, kv := range listing.Entries {
		shard := strings.TrimPrefix(kv.Key, keyPrefix)
		present[shard] = true
		m.directory.set(shard, decodeOwner(kv))
	}
	for shard := range m.directory.owners {
		if !present[shard] {
			m.directory.remove(shard, listing.Revision)
		}
	}
	m.directory.revision = max(m.directory.revision, listing.Revision)
	m.directory.synced, m.directory.relist = true, false
	m.reconcile()
	return nil
}

func (m *Manager) applyEvents(result infra.WatchResult) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, event := range result.Events {
		shard := strings.TrimPrefix(event.Key, keyPrefix)
		if event.Deleted {
			m.directory.remove(shard, event.Revision)
			continue
		}
		m.directory.set(shard, decodeOwner(event.KeyValue))
	}
	m.directory.revision = max(m.directory.revision, result.Revision)
	m.reconcile()
}

// decodeOwner decodes an ownership key. An unreadable key yields an entry without VM, which prevents acquisition of the
// shard.
func decodeOwner(kv infra.KeyValue) directoryEntry {
	var owner siskinv1.ShardOwner
	entry := directoryEntry{revision: kv.Revision}
	if proto.Unmarshal(kv.Value, &owner) == nil {
		entry.vm, entry.incarnation, entry.nonce = owner.GetVm(), owner.GetIncarnation(), owner.GetNonce()
	}
	return entry
}

// reconcile ends rights whose key is gone and marks this VM's keys without a right for deletion. The caller holds mu.
func (m *Manager) reconcile() {
	for shard, right := range m.held {
		entry, ok := m.directory.owners[shard]
		known := m.directory.revision >= infra.Revision(right.Epoch)
		if known && (!ok || entry.revision != infra.Revision(right.Epoch)) {
			m.drop(shard)
		}
	}
	for shard, entry := range m.directory.owners {
		own := entry.vm == m.options.VM && entry.incarnation == m.options.Incarnation
		_, held := m.held[shard]
		_, acquiring := m.attempts[shard]
		if own && !held && !acquiring {
			m.deletions[shard] = entry.revision
		}
	}
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

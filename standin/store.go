// Package standin simulates the platform in memory: store, VM list, workers and endpoints. The parts record the calls
// that they serve, so that tests and the demo can check the system's guarantees.
package standin

import (
	"context"
	"maps"
	"sort"
	"strings"
	"sync"
	"time"

	"siskinstack.example/siskinstack/clock"
	"siskinstack.example/siskinstack/infra"
)

// maxStoreEvents bounds the history that a watch can start from.
const maxStoreEvents = 4096

// maxHistoryBytes bounds the memory of the history: log commits are up to 512 KiB each.
const maxHistoryBytes = 64 << 20

// StoreCounts is the number of calls that the store has served.
type StoreCounts struct {
	// Reads, Writes and Watches are sums; an open watch counts once.
	Reads   int64
	Writes  int64
	Watches int64
	// Kinds counts the calls of each kind.
	Kinds map[StoreCall]int64
	// VMs counts the calls of each VM that WithCaller names.
	VMs map[string]int64
	// OpenWatches is the number of watches that are open now.
	OpenWatches int64
}

// StoreCall is a kind of call to the store.
type StoreCall string

// The kinds of calls.
const (
	CallGet    StoreCall = "get"
	CallList   StoreCall = "list"
	CallPut    StoreCall = "put"
	CallDelete StoreCall = "delete"
	CallGrant  StoreCall = "grant_lease"
	CallRenew  StoreCall = "renew_lease"
	CallRevoke StoreCall = "revoke_lease"
	CallWatch  StoreCall = "watch"
)

// count records a call. The caller of count holds the store's mu.
func (c *StoreCounts) count(ctx context.Context, kind StoreCall) {
	switch kind {
	case CallGet, CallList:
		c.Reads++
	case CallWatch:
		c.Watches++
	default:
		c.Writes++
	}
	c.Kinds[kind]++
	if vm := Caller(ctx); vm != "" {
		c.VMs[vm]++
	}
}

// Store is an in-memory key-value service with compare-and-swap, leases and watches.
type Store struct {
	clock    clock.Clock
	injector *faultInjector

	mu        sync.Mutex // guards all fields below
	revision  infra.Revision
	keys      map[string]infra.KeyValue
	leases    map[infra.LeaseID]*storeLease
	nextLease infra.LeaseID
	events    []infra.Event
	changed   chan struct{} // closed and replaced on every change
	counts    StoreCounts
	// compacted is the highest revision that is no longer in events; historyBytes is the size of events.
	compacted    infra.Revision
	maxEvents    int
	historyBytes int
}

type storeLease struct {
	ttl     time.Duration
	expires time.Time
}

// NewStore returns an empty store.
func NewStore(c clock.Clock) *Store {
	return &Store{
		clock:     c,
		injector:  newFaultInjector(c),
		maxEvents: maxStoreEvents,
		keys:      map[string]infra.KeyValue{},
		leases:    map[infra.LeaseID]*storeLease{},
		changed:   make(chan struct{}),
		counts:    StoreCounts{Kinds: map[StoreCall]int64{}, VMs: map[string]int64{}},
	}
}

// SetFaults replaces the faults that apply to VMs without faults of their own.
func (s *Store) SetFaults(faults StoreFaults) {
	s.injector.set(faults)
	s.recheckWatches()
}

// SetFaultsFor sets the faults that apply to the calls of one VM.
func (s *Store) SetFaultsFor(vm string, faults StoreFaults) {
	s.injector.setFor(vm, faults)
	s.recheckWatches()
}

// ClearFaults removes all faults.
func (s *Store) ClearFaults() { s.injector.clear() }

// SetHistory bounds the number of changes that a watch can start from.
func (s *Store) SetHistory(events int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxEvents = events
	s.trimHistory()
}

// Counts returns the calls served so far.
func (s *Store) Counts() StoreCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := s.counts
	counts.Kinds = maps.Clone(s.counts.Kinds)
	counts.VMs = maps.Clone(s.counts.VMs)
	return counts
}

// recheckWatches makes open watches check the faults again.
func (s *Store) recheckWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notifyWatches()
}

// Get returns one key.
func (s *Store) Get(ctx context.Context, key string) (infra.KeyValue, error) {
	if err := s.injector.before(ctx); err != nil {
		return infra.KeyValue{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.count(ctx, CallGet)
	s.expireLeases()
	kv, ok := s.keys[key]
	if !ok {
		return infra.KeyValue{}, infra.ErrNotFound
	}
	return kv, nil
}

// List returns all keys with a prefix in order.
func (s *Store) List(ctx context.Context, prefix string) (infra.Listing, error) {
	if err := s.injector.before(ctx); err != nil {
		return infra.Listing{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.count(ctx, CallList)
	s.expireLeases()
	listing := infra.Listing{Revision: s.revision}
	for key, kv := range s.keys {
		if strings.HasPrefix(key, prefix) {
			listing.Entries = append(listing.Entries, kv)
		}
	}
	sort.Slice(listing.Entries, func(i, j int) bool { return listing.Entries[i].Key < listing.Entries[j].Key })
	return listing, nil
}

// Put writes a key if it has the expected revision.
func (s *Store) Put(ctx context.Context, request infra.PutRequest) (infra.Revision, error) {
	if err := s.injector.before(ctx); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.count(ctx, CallPut)
	s.expireLeases()
	if len(request.Value) > infra.MaxValueBytes {
		return 0, infra.ErrTooLarge
	}
	if s.keys[request.Key].Revision != request.Expected {
		return 0, infra.ErrConflict
	}
	if request.Lease != 0 && s.leases[request.Lease] == nil {
		return 0, infra.ErrLeaseExpired
	}
	s.revision++
	kv := infra.KeyValue{
		Key:      request.Key,
		Value:    append([]byte(nil), request.Value...),
		Revision: s.revision,
		Lease:    request.Lease,
	}
	s.keys[request.Key] = kv
	s.record(infra.Event{KeyValue: kv})
	return kv.Revision, s.injector.loseResponse(ctx)
}

// Delete removes a key if it has the expected revision.
func (s *Store) Delete(ctx context.Context, key string, expected infra.Revision) error {
	if err := s.injector.before(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.count(ctx, CallDelete)
	s.expireLeases()
	kv, ok := s.keys[key]
	if !ok {
		return infra.ErrNotFound
	}
	if kv.Revision != expected {
		return infra.ErrConflict
	}
	s.remove(key)
	return s.injector.loseResponse(ctx)
}

// GrantLease starts a lease.
func (s *Store) GrantLease(ctx context.Context, ttl time.Duration) (infra.LeaseID, error) {
	if err := s.injector.before(ctx); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.count(ctx, CallGrant)
	s.nextLease++
	s.leases[s.nextLease] = &storeLease{ttl: ttl, expires: s.clock.Now().Add(ttl)}
	return s.nextLease, s.injector.loseResponse(ctx)
}

// RenewLease extends a lease by its TTL.
func (s *Store) RenewLease(ctx context.Context, id infra.LeaseID) error {
	if err := s.injector.before(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.count(ctx, CallRenew)
	s.expireLeases()
	lease, ok := s.leases[id]
	if !ok {
		return infra.ErrLeaseExpired
	}
	lease.expires = s.clock.Now().Add(lease.ttl)
	return s.injector.loseResponse(ctx)
}

// RevokeLease ends a lease and removes its keys.
func (s *Store) RevokeLease(ctx context.Context, id infra.LeaseID) error {
	if err := s.injector.before(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.count(ctx, CallRevoke)
	s.endLease(id)
	return s.injector.loseResponse(ctx)
}

// expireLeases ends the leases whose TTL has passed. The caller holds mu.
func (s *Store) expireLeases() {
	now := s.clock.Now()
	for id, lease := range s.leases {
		if now.After(lease.expires) {
			s.endLease(id)
		}
	}
}

func (s *Store) endLease(id infra.LeaseID) {
	if _, ok := s.leases[id]; !ok {
		return
	}
	delete(s.leases, id)
	for key, kv := range s.keys {
		if kv.Lease == id {
			s.remove(key)
		}
	}
}

func (s *Store) remove(key string) {
	s.revision++
	delete(s.keys, key)
	s.record(infra.Event{KeyValue: infra.KeyValue{Key: key, Revision: s.revision}, Deleted: true})
}

func (s *Store) record(event infra.Event) {
	s.events = append(s.events, event)
	s.historyBytes += len(event.Value)
	s.trimHistory()
	s.notifyWatches()
}

// trimHistory drops the oldest changes beyond the bounds. The caller holds mu.
func (s *Store) trimHistory() {
	for len(s.events) > s.maxEvents || s.historyBytes > maxHistoryBytes && len(s.events) > 1 {
		s.compacted = s.events[0].Revision
		s.historyBytes -= len(s.events[0].Value)
		s.events[0] = infra.Event{}
		s.events = s.events[1:]
	}
}

func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Package standin holds small stand-ins for the platform: store, VM list, workers and endpoints. They keep a record of
// what they saw, from which tests and the demo check the promises.
package standin

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"siskinstack.example/siskinstack/clock"
	"siskinstack.example/siskinstack/platform"
)

// maxStoreEvents bounds the history that a watch can start from.
const maxStoreEvents = 4096

// StoreCounts is the number of calls that the store has served.
type StoreCounts struct {
	Reads   int64
	Writes  int64
	Watches int64
}

// Store is an in-memory key-value service with compare-and-swap, leases and watches.
type Store struct {
	clock clock.Clock

	mu        sync.Mutex // guards all fields below
	revision  platform.Revision
	keys      map[string]platform.KeyValue
	leases    map[platform.LeaseID]*storeLease
	nextLease platform.LeaseID
	events    []platform.Event
	changed   chan struct{} // closed and replaced on every change
	counts    StoreCounts
	faults    StoreFaults
}

type storeLease struct {
	ttl     time.Duration
	expires time.Time
}

// StoreFaults are faults to order.
type StoreFaults struct {
	// Down makes every call fail without effect.
	Down bool
	// Delay is added to every call.
	Delay time.Duration
	// LoseAnswers makes the next n writes take effect and then fail.
	LoseAnswers int
}

// NewStore returns an empty store.
func NewStore(c clock.Clock) *Store {
	return &Store{
		clock:   c,
		keys:    map[string]platform.KeyValue{},
		leases:  map[platform.LeaseID]*storeLease{},
		changed: make(chan struct{}),
	}
}

// SetFaults replaces the ordered faults.
func (s *Store) SetFaults(faults StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	s.signal()
}

// Counts returns the calls served so far.
func (s *Store) Counts() StoreCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// enter applies the ordered faults before a call.
func (s *Store) enter(ctx context.Context) error {
	s.mu.Lock()
	faults := s.faults
	s.mu.Unlock()
	if faults.Delay > 0 {
		if err := s.clock.Sleep(ctx, faults.Delay); err != nil {
			return err
		}
	}
	if faults.Down {
		return errUnavailable
	}
	return ctx.Err()
}

// Get returns one key.
func (s *Store) Get(ctx context.Context, key string) (platform.KeyValue, error) {
	if err := s.enter(ctx); err != nil {
		return platform.KeyValue{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Reads++
	s.expireLeases()
	kv, ok := s.keys[key]
	if !ok {
		return platform.KeyValue{}, platform.ErrNotFound
	}
	return kv, nil
}

// List returns all keys with a prefix in order.
func (s *Store) List(ctx context.Context, prefix string) (platform.Listing, error) {
	if err := s.enter(ctx); err != nil {
		return platform.Listing{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Reads++
	s.expireLeases()
	listing := platform.Listing{Revision: s.revision}
	for key, kv := range s.keys {
		if strings.HasPrefix(key, prefix) {
			listing.Entries = append(listing.Entries, kv)
		}
	}
	sort.Slice(listing.Entries, func(i, j int) bool { return listing.Entries[i].Key < listing.Entries[j].Key })
	return listing, nil
}

// Put writes a key if it has the expected revision.
func (s *Store) Put(ctx context.Context, request platform.PutRequest) (platform.Revision, error) {
	if err := s.enter(ctx); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Writes++
	s.expireLeases()
	if len(request.Value) > platform.MaxValueBytes {
		return 0, platform.ErrTooLarge
	}
	if s.keys[request.Key].Revision != request.Expected {
		return 0, platform.ErrConflict
	}
	if request.Lease != 0 && s.leases[request.Lease] == nil {
		return 0, platform.ErrLeaseExpired
	}
	s.revision++
	kv := platform.KeyValue{
		Key:      request.Key,
		Value:    append([]byte(nil), request.Value...),
		Revision: s.revision,
		Lease:    request.Lease,
	}
	s.keys[request.Key] = kv
	s.record(platform.Event{KeyValue: kv})
	return kv.Revision, s.loseAnswer()
}

// Delete removes a key if it has the expected revision.
func (s *Store) Delete(ctx context.Context, key string, expected platform.Revision) error {
	if err := s.enter(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Writes++
	s.expireLeases()
	kv, ok := s.keys[key]
	if !ok {
		return platform.ErrNotFound
	}
	if kv.Revision != expected {
		return platform.ErrConflict
	}
	s.remove(key)
	return s.loseAnswer()
}

// GrantLease starts a lease.
func (s *Store) GrantLease(ctx context.Context, ttl time.Duration) (platform.LeaseID, error) {
	if err := s.enter(ctx); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Writes++
	s.nextLease++
	s.leases[s.nextLease] = &storeLease{ttl: ttl, expires: s.clock.Now().Add(ttl)}
	return s.nextLease, s.loseAnswer()
}

// RenewLease extends a lease by its TTL.
func (s *Store) RenewLease(ctx context.Context, id platform.LeaseID) error {
	if err := s.enter(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Writes++
	s.expireLeases()
	lease, ok := s.leases[id]
	if !ok {
		return platform.ErrLeaseExpired
	}
	lease.expires = s.clock.Now().Add(lease.ttl)
	return s.loseAnswer()
}

// RevokeLease ends a lease and removes its keys.
func (s *Store) RevokeLease(ctx context.Context, id platform.LeaseID) error {
	if err := s.enter(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Writes++
	s.endLease(id)
	return s.loseAnswer()
}

// Watch returns the changes after a revision, waiting for the first one up to the requested time.
func (s *Store) Watch(ctx context.Context, request platform.WatchRequest) (platform.WatchResult, error) {
	if err := s.enter(ctx); err != nil {
		return platform.WatchResult{}, err
	}
	s.mu.Lock()
	s.counts.Watches++
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, request.Wait)
	defer cancel()
	for {
		result, changed, err := s.changesAfter(request)
		if err != nil || len(result.Events) > 0 {
			return result, err
		}
		if !s.waitForChange(ctx, changed) {
			return result, nil
		}
	}
}

// leaseSweepInterval is how often a waiting watch looks for expired leases.
const leaseSweepInterval = 50 * time.Millisecond

func (s *Store) waitForChange(ctx context.Context, changed <-chan struct{}) bool {
	timer := time.NewTimer(leaseSweepInterval)
	defer timer.Stop()
	select {
	case <-changed:
		return true
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *Store) changesAfter(request platform.WatchRequest) (platform.WatchResult, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Down {
		return platform.WatchResult{}, nil, errUnavailable
	}
	s.expireLeases()
	if len(s.events) > 0 && s.events[0].Revision > request.After+1 && s.revision > request.After && len(s.events) == maxStoreEvents {
		return platform.WatchResult{}, nil, platform.ErrCompacted
	}
	result := platform.WatchResult{Revision: s.revision}
	first := sort.Search(len(s.events), func(i int) bool { return s.events[i].Revision > request.After })
	for _, event := range s.events[first:] {
		if strings.HasPrefix(event.Key, request.Prefix) {
			result.Events = append(result.Events, event)
		}
	}
	return result, s.changed, nil
}

// expireLeases ends the leases whose time has come. The caller holds mu.
func (s *Store) expireLeases() {
	now := s.clock.Now()
	for id, lease := range s.leases {
		if now.After(lease.expires) {
			s.endLease(id)
		}
	}
}

func (s *Store) endLease(id platform.LeaseID) {
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
	s.record(platform.Event{KeyValue: platform.KeyValue{Key: key, Revision: s.revision}, Deleted: true})
}

func (s *Store) record(event platform.Event) {
	s.events = append(s.events, event)
	if len(s.events) > maxStoreEvents {
		s.events = s.events[len(s.events)-maxStoreEvents:]
	}
	s.signal()
}

func (s *Store) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// loseAnswer reports an unknown outcome if such a fault was ordered. The caller holds mu.
func (s *Store) loseAnswer() error {
	if s.faults.LoseAnswers <= 0 {
		return nil
	}
	s.faults.LoseAnswers--
	return errAnswerLost
}

package standin

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"siskinstack.example/siskinstack/clock"
	"siskinstack.example/siskinstack/infra"
)

// TxnFault is a fault injected into one call to a TxnStore. The zero value executes the call normally.
type TxnFault int

// Faults of calls.
const (
	// TxnRefuse rejects the call with ErrRefused, without effect.
	TxnRefuse TxnFault = iota + 1
	// TxnLoseResponse executes the call and loses the response.
	TxnLoseResponse
	// TxnDrop loses the call; the caller gets no response.
	TxnDrop
	// TxnDelay executes the call on Deliver, if its conditions still hold; the caller gets no response.
	TxnDelay
	// TxnReject rejects the call with ErrRejected, without effect.
	TxnReject
)

// TxnStore is an in-memory store with transactions.
type TxnStore struct {
	clock clock.Clock

	mu          sync.Mutex // guards all fields below
	items       map[string]infra.KeyValue
	history     []infra.Event
	compacted   infra.Revision // the highest revision that is no longer in history
	revision    infra.Revision
	leases      map[infra.LeaseID]txnLease
	nextLease   infra.LeaseID
	delayed     []infra.Txn
	changed     chan struct{} // closed and replaced on every change
	fault       func(call string, txn infra.Txn) TxnFault
	commitDelay time.Duration
}

type txnLease struct {
	ttl time.Duration
	end time.Time
}

// NewTxnStore returns an empty store.
func NewTxnStore(c clock.Clock) *TxnStore {
	return &TxnStore{
		clock: c, items: map[string]infra.KeyValue{}, leases: map[infra.LeaseID]txnLease{}, changed: make(chan struct{}),
		revision: 1,
	}
}

// SetFault sets the function that chooses the fault of each call; nil injects no faults.
func (s *TxnStore) SetFault(fault func(call string, txn infra.Txn) TxnFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

// SetCommitDelay sets a delay ahead of each transaction.
func (s *TxnStore) SetCommitDelay(commitDelay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commitDelay = commitDelay
}

// errNoResponse is the error of a call that gets no response.
var errNoResponse = context.DeadlineExceeded

func (s *TxnStore) faultFor(call string, txn infra.Txn) TxnFault {
	if s.fault == nil {
		return 0
	}
	return s.fault(call, txn)
}

// Get implements infra.TxnStore.
func (s *TxnStore) Get(_ context.Context, key string) (infra.KeyValue, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.faultError("get"); err != nil {
		return infra.KeyValue{}, err
	}
	s.expire()
	item, ok := s.items[key]
	if !ok {
		return infra.KeyValue{}, infra.ErrNotFound
	}
	return item, nil
}

// faultError returns the error that the fault of a call other than Commit causes. Every fault except TxnRefuse loses the
// call. The caller holds mu.
func (s *TxnStore) faultError(call string) error {
	switch s.faultFor(call, infra.Txn{}) {
	case 0:
		return nil
	case TxnRefuse:
		return infra.ErrRefused
	case TxnReject:
		return infra.ErrRejected
	default:
		return errNoResponse
	}
}

// List implements infra.TxnStore.
func (s *TxnStore) List(_ context.Context, prefix string) (infra.Listing, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.faultError("list"); err != nil {
		return infra.Listing{}, err
	}
	s.expire()
	listing := infra.Listing{Revision: s.revision}
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) {
			listing.Entries = append(listing.Entries, item)
		}
	}
	slices.SortFunc(listing.Entries, func(a, b infra.KeyValue) int { return strings.Compare(a.Key, b.Key) })
	return listing, nil
}

// Watch implements infra.TxnStore.
func (s *TxnStore) Watch(ctx context.Context, request infra.WatchRequest) (infra.WatchResult, error) {
	end := time.Now().Add(request.Wait)
	for {
		s.mu.Lock()
		if err := s.faultError("watch"); err != nil {
			s.mu.Unlock()
			return infra.WatchResult{}, err
		}
		s.expire()
		if request.After < s.compacted {
			s.mu.Unlock()
			return infra.WatchResult{}, infra.ErrCompacted
		}
		result := infra.WatchResult{Revision: s.revision}
		for _, event := range s.history {
			if event.Revision > request.After && strings.HasPrefix(event.Key, request.Prefix) {
				result.Events = append(result.Events, event)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(result.Events) > 0 || !time.Now().Before(end) {
			return result, nil
		}
		select {
		case <-changed:
		case <-time.After(min(time.Until(end), watchPollInterval)):
		case <-ctx.Done():
			return infra.WatchResult{}, ctx.Err()
		}
	}
}

// watchPollInterval is how often a waiting watch checks for expired leases.
const watchPollInterval = 20 * time.Millisecond

// Commit implements infra.TxnStore.
func (s *TxnStore) Commit(ctx context.Context, txn infra.Txn) (infra.Revision, error) {
	s.mu.Lock()
	commitDelay := s.commitDelay
	s.mu.Unlock()
	if err := s.clock.Sleep(ctx, commitDelay); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch s.faultFor("commit", txn) {
	case TxnRefuse:
		return 0, infra.ErrRefused
	case TxnReject:
		return 0, infra.ErrRejected
	case TxnDrop:
		return 0, errNoResponse
	case TxnDelay:
		s.delayed = append(s.delayed, txn)
		return 0, errNoResponse
	case TxnLoseResponse:
		_, _ = s.apply(txn)
		return 0, errNoResponse
	}
	if exceedsLimits(txn) {
		return 0, infra.ErrRejected
	}
	return s.apply(txn)
}

// exceedsLimits reports whether a transaction has too many entries or too large a value.
func exceedsLimits(txn infra.Txn) bool {
	if len(txn.Conditions)+len(txn.Writes)+len(txn.Removes) > infra.MaxTxnEntries {
		return true
	}
	return slices.ContainsFunc(txn.Writes, func(w infra.Write) bool { return len(w.Value) > infra.MaxValueBytes })
}

// Revision returns the revision of the last change.
func (s *TxnStore) Revision() infra.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Deliver executes the delayed transactions.
func (s *TxnStore) Deliver() {
	s.mu.Lock()
	defer s.mu.Unlock()
	delayed := s.delayed
	s.delayed = nil
	for _, txn := range delayed {
		_, _ = s.apply(txn)
	}
}

// Compact discards the history.
func (s *TxnStore) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compacted, s.history = s.revision, nil
}

// apply executes a transaction. The caller holds mu.
func (s *TxnStore) apply(txn infra.Txn) (infra.Revision, error) {
	s.expire()
	failed := &infra.ConditionError{}
	holds := true
	for _, c := range txn.Conditions {
		item, exists := s.items[c.Key]
		holds = holds && item.Revision == c.Revision
		if exists {
			failed.Current = append(failed.Current, item)
		}
	}
	if !holds {
		return 0, failed
	}
	for _, w := range txn.Writes {
		if _, ok := s.leases[w.Lease]; w.Lease != 0 && !ok {
			return 0, infra.ErrLeaseExpired
		}
	}
	s.revision++
	for _, w := range txn.Writes {
		s.items[w.Key] = infra.KeyValue{Key: w.Key, Value: w.Value, Revision: s.revision, Lease: w.Lease}
		s.history = append(s.history, infra.Event{KeyValue: s.items[w.Key]})
	}
	for _, key := range txn.Removes {
		s.remove(key)
	}
	s.notify()
	return s.revision, nil
}

// remove deletes a key. The caller holds mu.
func (s *TxnStore) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.history = append(s.history, infra.Event{KeyValue: infra.KeyValue{Key: key, Revision: s.revision}, Deleted: true})
}

// notify unblocks waiting watches. The caller holds mu.
func (s *TxnStore) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire ends the leases whose TTL has passed. The caller holds mu.
func (s *TxnStore) expire() {
	now := s.clock.Now()
	for id, lease := range s.leases {
		if !now.Before(lease.end) {
			s.endLease(id)
		}
	}
}

// endLease ends a lease and deletes its keys. The caller holds mu.
func (s *TxnStore) endLease(id infra.LeaseID) {
	delete(s.leases, id)
	s.revision++
	for key, item := range s.items {
		if item.Lease == id {
			s.remove(key)
		}
	}
	s.notify()
}

// GrantLease implements infra.TxnStore.
func (s *TxnStore) GrantLease(_ context.Context, ttl time.Duration) (infra.LeaseID, time.Duration, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.faultError("grant"); err != nil {
		return 0, 0, err
	}
	s.nextLease++
	s.leases[s.nextLease] = txnLease{ttl: ttl, end: s.clock.Now().Add(ttl)}
	return s.nextLease, ttl, nil
}

// RenewLease implements infra.TxnStore.
func (s *TxnStore) RenewLease(_ context.Context, id infra.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.faultError("renew"); err != nil {
		return err
	}
	s.expire()
	lease, ok := s.leases[id]
	if !ok {
		return infra.ErrLeaseExpired
	}
	lease.end = s.clock.Now().Add(lease.ttl)
	s.leases[id] = lease
	return nil
}

// RevokeLease implements infra.TxnStore.
func (s *TxnStore) RevokeLease(_ context.Context, id infra.LeaseID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[id]; !ok {
		return infra.ErrLeaseExpired
	}
	s.endLease(id)
	return nil
}

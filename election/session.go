// Package election elects the machine that acts as the controller. One key in the store names it, under the machine's
// lease; the key's revision is the controller's epoch.
package election

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"siskinstack.example/siskinstack/clock"
	"siskinstack.example/siskinstack/infra"
)

const (
	// renewalsPerTTL is the number of renewals in the time to live of a lease.
	renewalsPerTTL = 5
	// callTimeout bounds a call to the store. In its slow periods the store responds within a quarter second.
	callTimeout = 500 * time.Millisecond
	// retryDelay is the delay before a failed call is retried.
	retryDelay = 100 * time.Millisecond
	// noLeaseRetryDelay is the retry delay of an elector whose machine has no lease. All calls to the store are priced,
	// even those that it refuses.
	noLeaseRetryDelay = time.Second
	// maxRenewalsUnderWay bounds the renewals without an answer. A renewal that is not answered ends after callTimeout, in
	// which time this many are sent.
	maxRenewalsUnderWay = 3
	// leaseMargin is subtracted from a lease for the drift between the clocks of the store and the machine.
	leaseMargin = 200 * time.Millisecond
)

// Session holds and renews one lease of the machine.
type Session struct {
	store infra.TxnStore
	clock clock.Clock
	log   logr.Logger

	mu    sync.Mutex // guards the fields below
	ttl   time.Duration
	lease infra.LeaseID
	// until is the earliest time at which the lease may end.
	until   time.Time
	changed chan struct{}
}

// NewSession returns a session that requests leases with a time to live of ttl.
func NewSession(store infra.TxnStore, c clock.Clock, log logr.Logger, ttl time.Duration) *Session {
	return &Session{store: store, clock: c, log: log, ttl: ttl, changed: make(chan struct{})}
}

// Lease returns the lease in force, and false if it may have ended.
func (s *Session) Lease() (infra.LeaseID, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lease, s.lease != 0 && s.clock.Now().Before(s.until)
}

// TTL returns the time to live of the lease.
func (s *Session) TTL() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ttl
}

// Holds reports whether lease is the one in force and has certainly not ended.
func (s *Session) Holds(lease infra.LeaseID) bool {
	current, valid := s.Lease()
	return valid && current == lease
}

// Changed returns a channel that is closed when another lease comes into force, or the lease has expired or is revoked.
func (s *Session) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Run holds a lease until ctx ends, then revokes it. Renewals are sent at fixed intervals, also while earlier ones wait for
// their answers: if each waited for the one before, a store that answers within 450 ms would let a lease of one second lapse
// between two renewals.
func (s *Session) Run(ctx context.Context) {
	underWay := make(chan struct{}, maxRenewalsUnderWay)
	var renewals sync.WaitGroup
	for ctx.Err() == nil {
		lease, _ := s.Lease()
		if lease == 0 {
			if s.grant(ctx) != nil {
				_ = s.clock.Sleep(ctx, retryDelay)
				continue
			}
			_ = s.clock.Sleep(ctx, s.interval())
			continue
		}
		pause, failed := context.WithCancel(ctx)
		select {
		case underWay <- struct{}{}:
			renewals.Go(func() {
				defer func() { <-underWay }()
				if s.renew(ctx, lease) != nil {
					failed()
				}
			})
		default:
		}
		_ = s.clock.Sleep(pause, s.interval())
		if pause.Err() != nil {
			_ = s.clock.Sleep(ctx, retryDelay)
		}
		failed()
	}
	renewals.Wait()
	s.release()
}

// interval returns the time between two renewals.
func (s *Session) interval() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ttl / renewalsPerTTL
}

func (s *Session) grant(ctx context.Context) error {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := s.clock.Now()
	granted, ttl, err := s.store.GrantLease(call, s.ttl)
	if err != nil {
		return err
	}
	s.set(granted, sent.Add(ttl-leaseMargin), ttl)
	s.log.Info("lease granted", "lease", granted, "ttl_ms", ttl.Milliseconds())
	return nil
}

// renew renews a lease. The answer may concern a lease that is no longer the one in force.
func (s *Session) renew(ctx context.Context, lease infra.LeaseID) error {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := s.clock.Now()
	err := s.store.RenewLease(call, lease)
	switch {
	case err == nil:
		s.extend(lease, sent.Add(s.ttl-leaseMargin))
	case errors.Is(err, infra.ErrLeaseExpired):
		s.expire(lease)
	default:
		s.log.V(1).Info("failed to renew the lease", "lease", lease, "reason", err.Error())
	}
	return err
}

// expire records that a lease has ended, unless another one is in force.
func (s *Session) expire(lease infra.LeaseID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lease == lease {
		s.log.Info("lease expired", "lease", lease)
		s.setLocked(0, time.Time{}, s.ttl)
	}
}

func (s *Session) set(lease infra.LeaseID, until time.Time, ttl time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setLocked(lease, until, ttl)
}

// setLocked is set for a caller that holds mu.
func (s *Session) setLocked(lease infra.LeaseID, until time.Time, ttl time.Duration) {
	s.lease, s.until, s.ttl = lease, until, ttl
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Session) extend(lease infra.LeaseID, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lease == lease && until.After(s.until) {
		s.until = until
	}
}

// release revokes the lease, so that the keys attached to it are deleted at once.
func (s *Session) release() {
	lease, _ := s.Lease()
	if lease == 0 {
		return
	}
	s.set(0, time.Time{}, s.ttl)
	call, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if err := s.store.RevokeLease(call, lease); err != nil {
		s.log.Info("failed to revoke the lease", "lease", lease, "reason", err.Error())
	}
}

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
	// leaseMargin is subtracted from a lease for the drift between the clocks of the store and the machine.
	leaseMargin = 200 * time.Millisecond
)

// Session holds and renews one lease of the machine.
type Session struct {
	store infra.TxnStore
	clock clock.Clock
	log   logr.Logger
	ttl   time.Duration

	mu    sync.Mutex // guards lease, until and changed
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

// Run holds a lease until ctx ends, then revokes it.
func (s *Session) Run(ctx context.Context) {
	for ctx.Err() == nil {
		lease, _ := s.Lease()
		if err := s.step(ctx, lease); err != nil {
			_ = s.clock.Sleep(ctx, retryDelay)
			continue
		}
		_ = s.clock.Sleep(ctx, s.ttl/renewalsPerTTL)
	}
	s.release()
}

func (s *Session) step(ctx context.Context, lease infra.LeaseID) error {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := s.clock.Now()
	if lease == 0 {
		granted, ttl, err := s.store.GrantLease(call, s.ttl)
		if err != nil {
			return err
		}
		s.set(granted, sent.Add(ttl-leaseMargin), ttl)
		s.log.Info("lease granted", "lease", granted, "ttl_ms", ttl.Milliseconds())
		return nil
	}
	err := s.store.RenewLease(call, lease)
	switch {
	case err == nil:
		s.extend(lease, sent.Add(s.ttl-leaseMargin))
	case errors.Is(err, infra.ErrLeaseExpired):
		s.log.Info("lease expired", "lease", lease)
		s.set(0, time.Time{}, s.ttl)
	default:
		s.log.V(1).Info("failed to renew the lease", "lease", lease, "reason", err.Error())
	}
	return err
}

func (s *Session) set(lease infra.LeaseID, until time.Time, ttl time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
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

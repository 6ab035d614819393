package gateway

import (
	"context"
	"errors"
	"time"

	"siskinstack.example/siskinstack/infra"
)

// observedStore records whether the store answers the calls of this machine.
type observedStore struct {
	infra.TxnStore
	contact *Contact
}

// ObserveStore returns a store that records whether it answers. All calls of the machine must go through it; the renewals
// of the machine's lease show a cut even if there are no callers.
func (c *Contact) ObserveStore(store infra.TxnStore) infra.TxnStore { return &observedStore{store, c} }

// answers are errors that the store has answered a call with.
var answers = []error{
	infra.ErrNotFound, infra.ErrConflict, infra.ErrCompacted, infra.ErrLeaseExpired, infra.ErrRefused, infra.ErrTooLarge,
	infra.ErrRejected,
}

func isAnswer(err error) bool {
	if err == nil {
		return true
	}
	for _, answer := range answers {
		if errors.Is(err, answer) {
			return true
		}
	}
	return false
}

// observe makes a call and records its result.
func (s *observedStore) observe(ctx context.Context, call func() error) {
	var sent time.Time
	s.contact.record(func(state *contactState, now time.Time) {
		sent = now
		state.storeCalled(now)
	})
	err := call()
	s.contact.record(func(state *contactState, now time.Time) {
		state.callEnded()
		recordResult(ctx, state, sent, now, err)
	})
}

func recordResult(ctx context.Context, state *contactState, sent, now time.Time, err error) {
	switch {
	case isAnswer(err):
		state.storeAnswered(now)
	case ctx.Err() == nil || now.Sub(sent) >= slowAnswer:
		state.storeSilent(sent)
	}
}

// Get implements infra.TxnStore.
func (s *observedStore) Get(ctx context.Context, key string) (entry infra.KeyValue, err error) {
	s.observe(ctx, func() error {
		entry, err = s.TxnStore.Get(ctx, key)
		return err
	})
	return entry, err
}

// List implements infra.TxnStore.
func (s *observedStore) List(ctx context.Context, prefix string) (listing infra.Listing, err error) {
	s.observe(ctx, func() error {
		listing, err = s.TxnStore.List(ctx, prefix)
		return err
	})
	return listing, err
}

// Watch implements infra.TxnStore. The store may hold a watch open, so only its result is recorded.
func (s *observedStore) Watch(ctx context.Context, request infra.WatchRequest) (infra.WatchResult, error) {
	sent := s.contact.clock.Now()
	result, err := s.TxnStore.Watch(ctx, request)
	s.contact.record(func(state *contactState, now time.Time) {
		if now.Sub(sent) >= request.Wait || isAnswer(err) || ctx.Err() == nil {
			recordResult(ctx, state, sent.Add(min(request.Wait, now.Sub(sent))), now, err)
		}
	})
	return result, err
}

// Commit implements infra.TxnStore.
func (s *observedStore) Commit(ctx context.Context, txn infra.Txn) (revision infra.Revision, err error) {
	s.observe(ctx, func() error {
		revision, err = s.TxnStore.Commit(ctx, txn)
		return err
	})
	return revision, err
}

// GrantLease implements infra.TxnStore.
func (s *observedStore) GrantLease(ctx context.Context, ttl time.Duration) (lease infra.LeaseID, granted time.Duration, err error) {
	s.observe(ctx, func() error {
		lease, granted, err = s.TxnStore.GrantLease(ctx, ttl)
		return err
	})
	return lease, granted, err
}

// RenewLease implements infra.TxnStore.
func (s *observedStore) RenewLease(ctx context.Context, lease infra.LeaseID) error {
	var err error
	s.observe(ctx, func() error {
		err = s.TxnStore.RenewLease(ctx, lease)
		return err
	})
	return err
}

// RevokeLease implements infra.TxnStore.
func (s *observedStore) RevokeLease(ctx context.Context, lease infra.LeaseID) error {
	var err error
	s.observe(ctx, func() error {
		err = s.TxnStore.RevokeLease(ctx, lease)
		return err
	})
	return err
}

package faultstore

import (
	"context"
	"time"

	"siskinstack.example/siskinstack/infra"
)

// Calls to the inner store ignore the cancellation of the caller's context, because a call in progress does not end with
// its caller.
var _ infra.Store = (*Store)(nil)

// Get implements infra.Store.
func (s *Store) Get(ctx context.Context, key string) (infra.KeyValue, error) {
	ctx = context.WithoutCancel(ctx)
	return callWithValue(s, func() (infra.KeyValue, error) { return s.inner.Get(ctx, key) })
}

// List implements infra.Store.
func (s *Store) List(ctx context.Context, prefix string) (infra.Listing, error) {
	ctx = context.WithoutCancel(ctx)
	return callWithValue(s, func() (infra.Listing, error) { return s.inner.List(ctx, prefix) })
}

// Put implements infra.Store.
func (s *Store) Put(ctx context.Context, request infra.PutRequest) (infra.Revision, error) {
	ctx = context.WithoutCancel(ctx)
	return callWithValue(s, func() (infra.Revision, error) { return s.inner.Put(ctx, request) })
}

// Delete implements infra.Store.
func (s *Store) Delete(ctx context.Context, key string, expected infra.Revision) error {
	ctx = context.WithoutCancel(ctx)
	return s.call(func() error { return s.inner.Delete(ctx, key, expected) })
}

// GrantLease implements infra.Store.
func (s *Store) GrantLease(ctx context.Context, ttl time.Duration) (infra.LeaseID, error) {
	ctx = context.WithoutCancel(ctx)
	return callWithValue(s, func() (infra.LeaseID, error) { return s.inner.GrantLease(ctx, ttl) })
}

// RenewLease implements infra.Store.
func (s *Store) RenewLease(ctx context.Context, lease infra.LeaseID) error {
	ctx = context.WithoutCancel(ctx)
	return s.call(func() error { return s.inner.RenewLease(ctx, lease) })
}

// RevokeLease implements infra.Store.
func (s *Store) RevokeLease(ctx context.Context, lease infra.LeaseID) error {
	ctx = context.WithoutCancel(ctx)
	return s.call(func() error { return s.inner.RevokeLease(ctx, lease) })
}

// Watch implements infra.Store.
func (s *Store) Watch(ctx context.Context, request infra.WatchRequest) (infra.WatchResult, error) {
	ctx = context.WithoutCancel(ctx)
	return callWithValue(s, func() (infra.WatchResult, error) { return s.inner.Watch(ctx, request) })
}

// callWithValue runs a call that returns a value; the value of a failed call is zero.
func callWithValue[T any](s *Store, send func() (T, error)) (T, error) {
	var first T
	sent := false
	err := s.call(func() error {
		got, err := send()
		if !sent {
			first, sent = got, true
		}
		return err
	})
	if err != nil {
		var none T
		return none, err
	}
	return first, nil
}

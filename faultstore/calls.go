package faultstore

import (
	"context"
	"time"

	"siskinstack.example/siskinstack/platform"
)

var _ platform.Store = (*Store)(nil)

// Get implements platform.Store.
func (s *Store) Get(ctx context.Context, key string) (platform.KeyValue, error) {
	ctx = context.WithoutCancel(ctx)
	return value(s, func() (platform.KeyValue, error) { return s.inner.Get(ctx, key) })
}

// List implements platform.Store.
func (s *Store) List(ctx context.Context, prefix string) (platform.Listing, error) {
	ctx = context.WithoutCancel(ctx)
	return value(s, func() (platform.Listing, error) { return s.inner.List(ctx, prefix) })
}

// Put implements platform.Store.
func (s *Store) Put(ctx context.Context, request platform.PutRequest) (platform.Revision, error) {
	ctx = context.WithoutCancel(ctx)
	return value(s, func() (platform.Revision, error) { return s.inner.Put(ctx, request) })
}

// Delete implements platform.Store.
func (s *Store) Delete(ctx context.Context, key string, expected platform.Revision) error {
	ctx = context.WithoutCancel(ctx) // a call that is under way does not end with its caller
	return s.do(func() error { return s.inner.Delete(ctx, key, expected) })
}

// GrantLease implements platform.Store.
func (s *Store) GrantLease(ctx context.Context, ttl time.Duration) (platform.LeaseID, error) {
	ctx = context.WithoutCancel(ctx)
	return value(s, func() (platform.LeaseID, error) { return s.inner.GrantLease(ctx, ttl) })
}

// RenewLease implements platform.Store.
func (s *Store) RenewLease(ctx context.Context, lease platform.LeaseID) error {
	ctx = context.WithoutCancel(ctx) // a call that is under way does not end with its caller
	return s.do(func() error { return s.inner.RenewLease(ctx, lease) })
}

// RevokeLease implements platform.Store.
func (s *Store) RevokeLease(ctx context.Context, lease platform.LeaseID) error {
	ctx = context.WithoutCancel(ctx) // a call that is under way does not end with its caller
	return s.do(func() error { return s.inner.RevokeLease(ctx, lease) })
}

// Watch implements platform.Store.
func (s *Store) Watch(ctx context.Context, request platform.WatchRequest) (platform.WatchResult, error) {
	ctx = context.WithoutCancel(ctx)
	return value(s, func() (platform.WatchResult, error) { return s.inner.Watch(ctx, request) })
}

// value runs a call that returns a value; the value of a failed call is zero.
func value[T any](s *Store, send func() (T, error)) (T, error) {
	var first T
	sent := false
	err := s.do(func() error {
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

package storeclient

import (
	"context"
	"time"

	"siskinstack.example/siskinstack/infra"
)

// kindStore implements infra.Store for calls of one kind.
type kindStore struct {
	client *Client
	kind   Kind
}

var _ infra.Store = (*kindStore)(nil)

// Get implements infra.Store.
func (s *kindStore) Get(ctx context.Context, key string) (kv infra.KeyValue, err error) {
	err = s.read(ctx, "get", func(ctx context.Context) (e error) {
		kv, e = s.client.store.Get(ctx, key)
		return e
	})
	return kv, err
}

// List implements infra.Store.
func (s *kindStore) List(ctx context.Context, prefix string) (listing infra.Listing, err error) {
	err = s.read(ctx, "list", func(ctx context.Context) (e error) {
		listing, e = s.client.store.List(ctx, prefix)
		return e
	})
	return listing, err
}

// Put implements infra.Store.
func (s *kindStore) Put(ctx context.Context, request infra.PutRequest) (revision infra.Revision, err error) {
	if len(request.Value) > infra.MaxValueBytes {
		return 0, infra.ErrTooLarge
	}
	err = s.write(ctx, "put", func(ctx context.Context) (e error) {
		revision, e = s.client.store.Put(ctx, request)
		return e
	})
	return revision, err
}

// Delete implements infra.Store.
func (s *kindStore) Delete(ctx context.Context, key string, expected infra.Revision) error {
	return s.write(ctx, "delete", func(ctx context.Context) error {
		return s.client.store.Delete(ctx, key, expected)
	})
}

// GrantLease implements infra.Store.
func (s *kindStore) GrantLease(ctx context.Context, ttl time.Duration) (lease infra.LeaseID, err error) {
	err = s.write(ctx, "grant_lease", func(ctx context.Context) (e error) {
		lease, e = s.client.store.GrantLease(ctx, ttl)
		return e
	})
	return lease, err
}

// RenewLease implements infra.Store.
func (s *kindStore) RenewLease(ctx context.Context, lease infra.LeaseID) error {
	return s.write(ctx, "renew_lease", func(ctx context.Context) error {
		return s.client.store.RenewLease(ctx, lease)
	})
}

// RevokeLease implements infra.Store.
func (s *kindStore) RevokeLease(ctx context.Context, lease infra.LeaseID) error {
	return s.write(ctx, "revoke_lease", func(ctx context.Context) error {
		return s.client.store.RevokeLease(ctx, lease)
	})
}

// Watch implements infra.Store. An open watch counts as one read.
func (s *kindStore) Watch(ctx context.Context, request infra.WatchRequest) (result infra.WatchResult, err error) {
	op := call{name: "watch", class: classRead, timeout: request.Wait, watch: true}
	err = s.client.do(ctx, s.kind, op, func(ctx context.Context) (e error) {
		result, e = s.client.store.Watch(ctx, request)
		return e
	})
	return result, err
}

func (s *kindStore) read(ctx context.Context, name string, send func(context.Context) error) error {
	return s.client.do(ctx, s.kind, call{name: name, class: classRead}, send)
}

func (s *kindStore) write(ctx context.Context, name string, send func(context.Context) error) error {
	return s.client.do(ctx, s.kind, call{name: name, class: classWrite}, send)
}

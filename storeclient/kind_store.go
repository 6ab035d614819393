package storeclient

import (
	"context"
	"time"

	"siskinstack.example/siskinstack/infra"
)

// view is the store for calls of one kind.
type view struct {
	client *Client
	kind   Kind
}

var _ infra.Store = (*view)(nil)

// Get implements infra.Store.
func (v *view) Get(ctx context.Context, key string) (kv infra.KeyValue, err error) {
	err = v.read(ctx, "get", func(ctx context.Context) (e error) {
		kv, e = v.client.store.Get(ctx, key)
		return e
	})
	return kv, err
}

// List implements infra.Store.
func (v *view) List(ctx context.Context, prefix string) (listing infra.Listing, err error) {
	err = v.read(ctx, "list", func(ctx context.Context) (e error) {
		listing, e = v.client.store.List(ctx, prefix)
		return e
	})
	return listing, err
}

// Put implements infra.Store.
func (v *view) Put(ctx context.Context, request infra.PutRequest) (revision infra.Revision, err error) {
	if len(request.Value) > infra.MaxValueBytes {
		return 0, infra.ErrTooLarge
	}
	err = v.write(ctx, "put", func(ctx context.Context) (e error) {
		revision, e = v.client.store.Put(ctx, request)
		return e
	})
	return revision, err
}

// Delete implements infra.Store.
func (v *view) Delete(ctx context.Context, key string, expected infra.Revision) error {
	return v.write(ctx, "delete", func(ctx context.Context) error {
		return v.client.store.Delete(ctx, key, expected)
	})
}

// GrantLease implements infra.Store.
func (v *view) GrantLease(ctx context.Context, ttl time.Duration) (lease infra.LeaseID, err error) {
	err = v.write(ctx, "grant_lease", func(ctx context.Context) (e error) {
		lease, e = v.client.store.GrantLease(ctx, ttl)
		return e
	})
	return lease, err
}

// RenewLease implements infra.Store.
func (v *view) RenewLease(ctx context.Context, lease infra.LeaseID) error {
	return v.write(ctx, "renew_lease", func(ctx context.Context) error {
		return v.client.store.RenewLease(ctx, lease)
	})
}

// RevokeLease implements infra.Store.
func (v *view) RevokeLease(ctx context.Context, lease infra.LeaseID) error {
	return v.write(ctx, "revoke_lease", func(ctx context.Context) error {
		return v.client.store.RevokeLease(ctx, lease)
	})
}

// Watch implements infra.Store. An open watch counts as one read.
func (v *view) Watch(ctx context.Context, request infra.WatchRequest) (result infra.WatchResult, err error) {
	what := call{name: "watch", class: classRead, timeout: request.Wait, watch: true}
	err = v.client.do(ctx, v.kind, what, func(ctx context.Context) (e error) {
		result, e = v.client.store.Watch(ctx, request)
		return e
	})
	return result, err
}

func (v *view) read(ctx context.Context, name string, send func(context.Context) error) error {
	return v.client.do(ctx, v.kind, call{name: name, class: classRead}, send)
}

func (v *view) write(ctx context.Context, name string, send func(context.Context) error) error {
	return v.client.do(ctx, v.kind, call{name: name, class: classWrite}, send)
}

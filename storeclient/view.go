package storeclient

import (
	"context"
	"time"

	"siskinstack.example/siskinstack/platform"
)

// view is the store for calls of one kind.
type view struct {
	client *Client
	kind   Kind
}

var _ platform.Store = (*view)(nil)

// Get implements platform.Store.
func (v *view) Get(ctx context.Context, key string) (kv platform.KeyValue, err error) {
	err = v.read(ctx, "get", func(ctx context.Context) (e error) {
		kv, e = v.client.store.Get(ctx, key)
		return e
	})
	return kv, err
}

// List implements platform.Store.
func (v *view) List(ctx context.Context, prefix string) (listing platform.Listing, err error) {
	err = v.read(ctx, "list", func(ctx context.Context) (e error) {
		listing, e = v.client.store.List(ctx, prefix)
		return e
	})
	return listing, err
}

// Put implements platform.Store.
func (v *view) Put(ctx context.Context, request platform.PutRequest) (revision platform.Revision, err error) {
	if len(request.Value) > platform.MaxValueBytes {
		return 0, platform.ErrTooLarge
	}
	err = v.write(ctx, "put", func(ctx context.Context) (e error) {
		revision, e = v.client.store.Put(ctx, request)
		return e
	})
	return revision, err
}

// Delete implements platform.Store.
func (v *view) Delete(ctx context.Context, key string, expected platform.Revision) error {
	return v.write(ctx, "delete", func(ctx context.Context) error {
		return v.client.store.Delete(ctx, key, expected)
	})
}

// GrantLease implements platform.Store.
func (v *view) GrantLease(ctx context.Context, ttl time.Duration) (lease platform.LeaseID, err error) {
	err = v.write(ctx, "grant_lease", func(ctx context.Context) (e error) {
		lease, e = v.client.store.GrantLease(ctx, ttl)
		return e
	})
	return lease, err
}

// RenewLease implements platform.Store.
func (v *view) RenewLease(ctx context.Context, lease platform.LeaseID) error {
	return v.write(ctx, "renew_lease", func(ctx context.Context) error {
		return v.client.store.RenewLease(ctx, lease)
	})
}

// RevokeLease implements platform.Store.
func (v *view) RevokeLease(ctx context.Context, lease platform.LeaseID) error {
	return v.write(ctx, "revoke_lease", func(ctx context.Context) error {
		return v.client.store.RevokeLease(ctx, lease)
	})
}

// Watch implements platform.Store. An open watch counts as one read.
func (v *view) Watch(ctx context.Context, request platform.WatchRequest) (result platform.WatchResult, err error) {
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

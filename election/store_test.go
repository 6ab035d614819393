package election

import (
	"context"
	"sync"
	"time"

	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/standin"
)

// revokeFailingStore loses the first calls that revoke a lease.
type revokeFailingStore struct {
	*standin.TxnStore
	mu       sync.Mutex // guards failures
	failures int
}

func (r *revokeFailingStore) RevokeLease(ctx context.Context, lease infra.LeaseID) error {
	r.mu.Lock()
	fails := r.failures > 0
	r.failures--
	r.mu.Unlock()
	if fails {
		<-ctx.Done()
		return ctx.Err()
	}
	return r.TxnStore.RevokeLease(ctx, lease)
}

// unresponsiveStore blocks calls until their context ends while it is set to be unresponsive.
type unresponsiveStore struct {
	*standin.TxnStore
	mu           sync.Mutex // guards unresponsive and callCount
	unresponsive bool
	callCount    int
}

// calls returns the number of calls so far.
func (c *unresponsiveStore) calls() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.callCount
}

func (c *unresponsiveStore) setUnresponsive(unresponsive bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unresponsive = unresponsive
}

func (c *unresponsiveStore) block(ctx context.Context) error {
	c.mu.Lock()
	c.callCount++
	unresponsive := c.unresponsive
	c.mu.Unlock()
	if unresponsive {
		<-ctx.Done()
	}
	return ctx.Err()
}

func (c *unresponsiveStore) GrantLease(ctx context.Context, ttl time.Duration) (infra.LeaseID, time.Duration, error) {
	if err := c.block(ctx); err != nil {
		return 0, 0, err
	}
	return c.TxnStore.GrantLease(ctx, ttl)
}

func (c *unresponsiveStore) List(ctx context.Context, prefix string) (infra.Listing, error) {
	if err := c.block(ctx); err != nil {
		return infra.Listing{}, err
	}
	return c.TxnStore.List(ctx, prefix)
}

func (c *unresponsiveStore) Watch(ctx context.Context, request infra.WatchRequest) (infra.WatchResult, error) {
	if err := c.block(ctx); err != nil {
		return infra.WatchResult{}, err
	}
	result, err := c.TxnStore.Watch(ctx, request)
	if blocked := c.block(ctx); blocked != nil {
		return infra.WatchResult{}, blocked
	}
	return result, err
}

func (c *unresponsiveStore) Commit(ctx context.Context, txn infra.Txn) (infra.Revision, error) {
	if err := c.block(ctx); err != nil {
		return 0, err
	}
	return c.TxnStore.Commit(ctx, txn)
}

func (c *unresponsiveStore) RevokeLease(ctx context.Context, lease infra.LeaseID) error {
	if err := c.block(ctx); err != nil {
		return err
	}
	return c.TxnStore.RevokeLease(ctx, lease)
}

func (c *unresponsiveStore) RenewLease(ctx context.Context, lease infra.LeaseID) error {
	if err := c.block(ctx); err != nil {
		return err
	}
	return c.TxnStore.RenewLease(ctx, lease)
}

package election

import (
	"context"
	"sync"

	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/standin"
)

// blindStore answers no watches and listings while it is blind, like a connection that has gone silent; other calls go
// through.
type blindStore struct {
	*standin.TxnStore
	mu    sync.Mutex // guards blind
	blind bool
}

func (b *blindStore) setBlind(blind bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.blind = blind
}

func (b *blindStore) isBlind() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.blind
}

func (b *blindStore) List(ctx context.Context, prefix string) (infra.Listing, error) {
	if b.isBlind() {
		<-ctx.Done()
		return infra.Listing{}, ctx.Err()
	}
	return b.TxnStore.List(ctx, prefix)
}

func (b *blindStore) Watch(ctx context.Context, request infra.WatchRequest) (infra.WatchResult, error) {
	result, err := b.TxnStore.Watch(ctx, request)
	if b.isBlind() {
		<-ctx.Done()
		return infra.WatchResult{}, ctx.Err()
	}
	return result, err
}

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

package standin

import (
	"context"
	"strings"
	"sync/atomic"

	"siskinstack.example/siskinstack/infra"
)

// BlindStore is a store as one machine reaches it. While it is blind, watches and listings of a prefix get no answer, as on a
// connection that has gone silent; other calls go through.
type BlindStore struct {
	*TxnStore
	// Prefix is the prefix of the watches and listings that get no answer.
	Prefix string
	blind  atomic.Bool
}

// SetBlind makes the store blind, or ends that.
func (b *BlindStore) SetBlind(blind bool) { b.blind.Store(blind) }

// await blocks a call for the prefix while the store is blind.
func (b *BlindStore) await(ctx context.Context, prefix string) error {
	if b.blind.Load() && strings.HasPrefix(prefix, b.Prefix) {
		<-ctx.Done()
	}
	return ctx.Err()
}

// List implements infra.TxnStore.
func (b *BlindStore) List(ctx context.Context, prefix string) (infra.Listing, error) {
	if err := b.await(ctx, prefix); err != nil {
		return infra.Listing{}, err
	}
	return b.TxnStore.List(ctx, prefix)
}

// Watch implements infra.TxnStore.
func (b *BlindStore) Watch(ctx context.Context, request infra.WatchRequest) (infra.WatchResult, error) {
	result, err := b.TxnStore.Watch(ctx, request)
	if blind := b.await(ctx, request.Prefix); blind != nil {
		return infra.WatchResult{}, blind
	}
	return result, err
}

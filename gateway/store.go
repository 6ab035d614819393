package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"siskinstack.example/siskinstack/clock"
	"siskinstack.example/siskinstack/infra"
)

// relayFirstPeriod is how long calls try the relay first after a direct call to the store has failed.
const relayFirstPeriod = time.Second

// relayedStore calls the store directly or relays calls through the controller's machine, which holds a lease of the
// store. The store may refuse the calls of individual machines for seconds.
type relayedStore struct {
	store infra.TxnStore
	peers Peers
	clock clock.Clock
	log   logr.Logger
	// controller returns the address of the controller on another machine, or "".
	controller func() string

	mu sync.Mutex // guards relayUntil
	// relayUntil is when calls stop trying the relay first; zero if the last direct call was conclusive.
	relayUntil time.Time
}

// commit makes an idempotent change: it may be sent twice.
func (r *relayedStore) commit(ctx context.Context, txn infra.Txn) error {
	_, err := r.commitAt(ctx, txn)
	return err
}

// commitAt makes an idempotent change and returns its revision.
func (r *relayedStore) commitAt(ctx context.Context, txn infra.Txn) (revision infra.Revision, err error) {
	err = r.try(ctx, func(call context.Context) (err error) {
		revision, err = r.store.Commit(call, txn)
		return err
	}, func(call context.Context, address string) (err error) {
		revision, err = r.peers.Commit(call, address, txn)
		return err
	})
	return revision, err
}

// get reads a key.
func (r *relayedStore) get(ctx context.Context, key string) (infra.KeyValue, error) {
	var entry infra.KeyValue
	err := r.try(ctx, func(call context.Context) (err error) {
		entry, err = r.store.Get(call, key)
		return err
	}, func(call context.Context, address string) (err error) {
		entry, err = r.peers.Get(call, address, key)
		return err
	})
	return entry, err
}

// try makes a call directly and, if that is inconclusive, through the controller. The order is reversed for
// relayFirstPeriod after a direct call has failed. If both fail, the returned error proves that nothing was executed
// only if both errors do.
func (r *relayedStore) try(
	ctx context.Context, direct func(context.Context) error, relayed func(context.Context, string) error,
) error {
	directly := func() error {
		call, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		err := direct(call)
		r.recordDirect(err)
		return err
	}
	address := r.controller()
	if address == "" {
		return directly()
	}
	throughController := func() error {
		call, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		return relayed(call, address)
	}
	first, second := directly, throughController
	if r.prefersRelay() {
		first, second = second, first
	}
	err := first()
	if isConclusive(err) {
		return err
	}
	secondErr := second()
	if isConclusive(secondErr) || !isNotExecuted(secondErr) {
		return secondErr
	}
	return err
}

func (r *relayedStore) prefersRelay() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.clock.Now().Before(r.relayUntil)
}

// recordDirect updates relayUntil after a direct call.
func (r *relayedStore) recordDirect(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.relayUntil
	switch {
	case !isConclusive(err):
		r.relayUntil = r.clock.Now().Add(relayFirstPeriod)
		if before.IsZero() {
			r.log.Info("store does not serve this machine; the controller's machine is asked", "reason", err.Error())
		}
	case !before.IsZero():
		r.relayUntil = time.Time{}
		r.log.Info("store serves this machine again")
	}
}

// isConclusive reports whether the store has executed a call, or found that its conditions do not hold or its key does
// not exist.
func isConclusive(err error) bool {
	return err == nil || errors.Is(err, infra.ErrConflict) || errors.Is(err, infra.ErrNotFound)
}

// isNotExecuted reports whether an error proves that the call was not executed.
func isNotExecuted(err error) bool {
	return errors.Is(err, infra.ErrRefused) || errors.Is(err, infra.ErrNotSent)
}

package node

import (
	"context"
	"errors"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/telemetry"
)

// meteredStore records the duration and result of each call to the store.
type meteredStore struct {
	infra.TxnStore
	calls *prometheus.HistogramVec
}

func newMeteredStore(store infra.TxnStore, r prometheus.Registerer) *meteredStore {
	m := &meteredStore{TxnStore: store, calls: prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: telemetry.Namespace, Subsystem: "store", Name: "call_seconds",
		Help:    "Duration of calls to the store by kind and result, in seconds. Watches wait for events up to a second.",
		Buckets: prometheus.ExponentialBuckets(0.002, 2, 11),
	}, []string{"call", "result"})}
	r.MustRegister(m.calls)
	return m
}

// storeResultNames maps errors to values of the result label; any other error is "unknown".
var storeResultNames = []struct {
	err  error
	name string
}{
	{infra.ErrNotFound, "not_found"}, {infra.ErrConflict, "conflict"}, {infra.ErrCompacted, "compacted"},
	{infra.ErrLeaseExpired, "lease_expired"}, {infra.ErrRefused, "refused"}, {infra.ErrRejected, "rejected"}, {infra.ErrNotSent, "not_sent"},
	{context.Canceled, "cancelled"}, {context.DeadlineExceeded, "no_answer"},
}

func (m *meteredStore) observe(call string, began time.Time, err error) {
	result := "ok"
	if err != nil {
		result = "unknown"
		for _, known := range storeResultNames {
			if errors.Is(err, known.err) {
				result = known.name
				break
			}
		}
	}
	m.calls.WithLabelValues(call, result).Observe(time.Since(began).Seconds())
}

// Get implements infra.TxnStore.
func (m *meteredStore) Get(ctx context.Context, key string) (infra.KeyValue, error) {
	began := time.Now()
	kv, err := m.TxnStore.Get(ctx, key)
	m.observe("get", began, err)
	return kv, err
}

// List implements infra.TxnStore.
func (m *meteredStore) List(ctx context.Context, prefix string) (infra.Listing, error) {
	began := time.Now()
	listing, err := m.TxnStore.List(ctx, prefix)
	m.observe("list", began, err)
	return listing, err
}

// Watch implements infra.TxnStore.
func (m *meteredStore) Watch(ctx context.Context, request infra.WatchRequest) (infra.WatchResult, error) {
	began := time.Now()
	result, err := m.TxnStore.Watch(ctx, request)
	m.observe("watch", began, err)
	return result, err
}

// Commit implements infra.TxnStore.
func (m *meteredStore) Commit(ctx context.Context, txn infra.Txn) (infra.Revision, error) {
	began := time.Now()
	revision, err := m.TxnStore.Commit(ctx, txn)
	m.observe("commit", began, err)
	return revision, err
}

// GrantLease implements infra.TxnStore.
func (m *meteredStore) GrantLease(ctx context.Context, ttl time.Duration) (infra.LeaseID, time.Duration, error) {
	began := time.Now()
	lease, granted, err := m.TxnStore.GrantLease(ctx, ttl)
	m.observe("grant", began, err)
	return lease, granted, err
}

// RenewLease implements infra.TxnStore.
func (m *meteredStore) RenewLease(ctx context.Context, lease infra.LeaseID) error {
	began := time.Now()
	err := m.TxnStore.RenewLease(ctx, lease)
	m.observe("renew", began, err)
	return err
}

// RevokeLease implements infra.TxnStore.
func (m *meteredStore) RevokeLease(ctx context.Context, lease infra.LeaseID) error {
	began := time.Now()
	err := m.TxnStore.RevokeLease(ctx, lease)
	m.observe("revoke", began, err)
	return err
}

package node

import (
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"gotest.tools/v3/assert"

	"siskinstack.example/siskinstack/clock"
	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/standin"
)

// Guards against calls to the store that are not counted, and against results that are counted under a wrong label.
func TestEachStoreCallIsCounted(t *testing.T) {
	inner := standin.NewTxnStore(clock.Real{})
	store := newMeteredStore(inner, prometheus.NewRegistry())
	ctx := t.Context()
	lease, _, err := store.GrantLease(ctx, time.Minute)
	assert.NilError(t, err)
	_, err = store.Commit(ctx, infra.Txn{Writes: []infra.Write{{Key: "k", Lease: lease}}})
	assert.NilError(t, err)
	_, err = store.Commit(ctx, infra.Txn{Conditions: []infra.Condition{{Key: "k"}}})
	assert.ErrorIs(t, err, infra.ErrConflict)
	_, err = store.Get(ctx, "none")
	assert.ErrorIs(t, err, infra.ErrNotFound)
	_, err = store.List(ctx, "k")
	assert.NilError(t, err)
	_, err = store.Watch(ctx, infra.WatchRequest{Prefix: "k"})
	assert.NilError(t, err)
	assert.NilError(t, store.RenewLease(ctx, lease))
	assert.NilError(t, store.RevokeLease(ctx, lease))
	assert.ErrorIs(t, store.RenewLease(ctx, lease), infra.ErrLeaseExpired)
	inner.SetFault(func(string, infra.Txn) standin.TxnFault { return standin.TxnRefuse })
	_, err = store.List(ctx, "k")
	assert.ErrorIs(t, err, infra.ErrRefused)
	for _, labels := range [][2]string{
		{"grant", "ok"}, {"commit", "ok"}, {"commit", "conflict"}, {"get", "not_found"}, {"list", "ok"}, {"watch", "ok"},
		{"renew", "ok"}, {"revoke", "ok"}, {"renew", "lease_expired"}, {"list", "refused"},
	} {
		_, err := store.calls.GetMetricWithLabelValues(labels[0], labels[1])
		assert.NilError(t, err)
	}
	assert.Equal(t, testutil.CollectAndCount(store.calls), 10, "calls and results")
}

package peer

import (
	"context"
	"errors"
	"net"
	"testing"

	"google.golang.org/grpc"
	"gotest.tools/v3/assert"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/clock"
	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/standin"
)

// Guards against errors of the store that come back as another error when a call is relayed through another machine, and
// against a lost call that is reported as having had no effect.
func TestRelayPreservesStoreErrors(t *testing.T) {
	store := standin.NewTxnStore(clock.Real{})
	storeReachable := true
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	server := grpc.NewServer()
	siskinv1.RegisterClusterServiceServer(server, &ClusterServer{Store: store, StoreReachable: func() bool { return storeReachable }})
	go func() { _ = server.Serve(listener) }()
	defer server.Stop()
	address, clients := listener.Addr().String(), NewClusterClients()
	create := infra.Txn{
		Conditions: []infra.Condition{{Key: "k"}}, Writes: []infra.Write{{Key: "k", Value: []byte("v")}},
	}
	commit := func() error {
		_, err := clients.Commit(t.Context(), address, create)
		return err
	}

	_, err = clients.Get(t.Context(), address, "k")
	assert.ErrorIs(t, err, infra.ErrNotFound)
	assert.NilError(t, commit())
	assert.ErrorIs(t, commit(), infra.ErrConflict)
	entry, err := clients.Get(t.Context(), address, "k")
	assert.NilError(t, err)
	assert.Equal(t, string(entry.Value), "v")

	store.SetFault(func(string, infra.Txn) standin.TxnFault { return standin.TxnRefuse })
	assert.ErrorIs(t, commit(), infra.ErrRefused)
	store.SetFault(nil)
	storeReachable = false
	assert.ErrorIs(t, commit(), infra.ErrRefused)

	storeReachable = true
	store.SetFault(func(string, infra.Txn) standin.TxnFault { return standin.TxnDrop })
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = clients.Commit(ctx, address, create)
	assert.Assert(t, err != nil)
	for _, noEffect := range []error{infra.ErrRefused, infra.ErrNotSent, infra.ErrConflict} {
		assert.Assert(t, !errors.Is(err, noEffect), "a lost call reports %v", noEffect)
	}
}

package standin

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"siskinstack.example/siskinstack/clock"
	"siskinstack.example/siskinstack/infra"
)

// TestStoreFaultsPerVM guards against an outage of the store for one VM that also affects other VMs.
func TestStoreFaultsPerVM(t *testing.T) {
	s := NewStore(clock.NewFake(origin))
	a, b := WithCaller(context.Background(), "a"), WithCaller(context.Background(), "b")
	s.SetFaultsFor("a", StoreFaults{Down: true})
	_, err := s.Put(a, infra.PutRequest{Key: "k"})
	assert.ErrorIs(t, err, errUnavailable)
	_, err = s.Put(b, infra.PutRequest{Key: "k"})
	assert.NilError(t, err)
	s.ClearFaults()
	s.SetFaultsFor("a", StoreFaults{LoseResponses: 1})
	_, err = s.Put(a, infra.PutRequest{Key: "l"})
	assert.ErrorIs(t, err, errResponseLost)
	_, err = s.Get(a, "l")
	assert.NilError(t, err, "the write took effect")
	counts := s.Counts()
	assert.Equal(t, counts.Kinds[CallPut], int64(2))
	assert.Equal(t, counts.VMs["a"], int64(2))
}

// TestStoreHistory guards against a watch that silently misses changes that were trimmed from the history.
func TestStoreHistory(t *testing.T) {
	ctx := context.Background()
	s := NewStore(clock.NewFake(origin))
	s.SetHistory(2)
	for _, key := range []string{"a", "b", "c"} {
		_, err := s.Put(ctx, infra.PutRequest{Key: key})
		assert.NilError(t, err)
	}
	_, err := s.Watch(ctx, infra.WatchRequest{After: 0, Wait: time.Second})
	assert.ErrorIs(t, err, infra.ErrCompacted)
	result, err := s.Watch(ctx, infra.WatchRequest{After: 1, Wait: time.Second})
	assert.NilError(t, err)
	assert.Equal(t, len(result.Events), 2)
}

// TestStoreOpenWatch guards against open watches that are not counted or stay open during an outage for their VM.
func TestStoreOpenWatch(t *testing.T) {
	s := NewStore(clock.NewFake(origin))
	failed := make(chan error, 1)
	go func() {
		_, err := s.Watch(WithCaller(context.Background(), "a"), infra.WatchRequest{Wait: time.Minute})
		failed <- err
	}()
	for s.Counts().OpenWatches == 0 {
		time.Sleep(time.Millisecond)
	}
	s.SetFaultsFor("a", StoreFaults{Down: true})
	assert.ErrorIs(t, <-failed, errUnavailable)
	assert.Equal(t, s.Counts().OpenWatches, int64(0))
	assert.Equal(t, s.Counts().Watches, int64(1))
}

// TestStoreLease guards against keys that outlive their lease.
func TestStoreLease(t *testing.T) {
	ctx := context.Background()
	fake := clock.NewFake(origin)
	s := NewStore(fake)
	lease, err := s.GrantLease(ctx, 3*time.Second)
	assert.NilError(t, err)
	_, err = s.Put(ctx, infra.PutRequest{Key: "k", Lease: lease})
	assert.NilError(t, err)
	fake.Advance(2 * time.Second)
	assert.NilError(t, s.RenewLease(ctx, lease))
	fake.Advance(3*time.Second + time.Millisecond)
	_, err = s.Get(ctx, "k")
	assert.ErrorIs(t, err, infra.ErrNotFound)
	assert.ErrorIs(t, s.RenewLease(ctx, lease), infra.ErrLeaseExpired)
}

// TestVMListLag guards against a list that shows changes without the lag.
func TestVMListLag(t *testing.T) {
	ctx := context.Background()
	fake := clock.NewFake(origin)
	l := NewVMList(fake, 2*time.Second, []infra.VM{{Name: "a"}})
	l.Update(func([]infra.VM) []infra.VM { return nil })
	seen, err := l.List(ctx)
	assert.NilError(t, err)
	assert.Equal(t, len(seen.VMs), 1)
	fake.Advance(2 * time.Second)
	seen, err = l.List(ctx)
	assert.NilError(t, err)
	assert.Equal(t, len(seen.VMs), 0)
}

func testEndpoints() (*Endpoints, *clock.Fake) {
	fake := clock.NewFake(origin)
	return NewEndpoints(fake, []infra.VM{{Name: "e", Role: infra.RoleEndpoint}}, EndpointOptions{
		Slots: 1, Connections: 1, RequestDuration: func(string, []byte) time.Duration { return time.Second },
	}), fake
}

// TestEndpointLimits guards against endpoints that exceed their slots or connections, or run requests while leaving.
func TestEndpointLimits(t *testing.T) {
	e, fake := testEndpoints()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		_, err := e.Call(ctx, infra.EndpointRequest{Endpoint: "e", RequestID: "1", From: "vm"})
		done <- err
	}()
	for fake.Waiters() == 0 {
		time.Sleep(time.Millisecond)
	}
	_, err := e.Call(ctx, infra.EndpointRequest{Endpoint: "e", RequestID: "2"})
	assert.ErrorIs(t, err, infra.ErrEndpointBusy)
	load, err := e.Load(ctx, "e", "")
	assert.NilError(t, err)
	assert.Equal(t, load.InFlight["vm"], 1)
	e.SetLeaving("e")
	fake.Advance(500 * time.Millisecond)
	_, err = e.Call(ctx, infra.EndpointRequest{Endpoint: "e", RequestID: "3"})
	assert.ErrorIs(t, err, infra.ErrEndpointLeaving)
	assert.Equal(t, e.Refusals()[1].AfterLeaving, 500*time.Millisecond)
	cancel()
	assert.ErrorIs(t, <-done, context.Canceled)
	assert.Assert(t, e.Runs()[0].Canceled)
	disconnect, ok := e.Connect("e")
	assert.Assert(t, ok)
	_, ok = e.Connect("e")
	assert.Assert(t, !ok)
	disconnect()
	_, ok = e.Connect("e")
	assert.Assert(t, ok)
}

// TestNetworkPartition guards against partitions that fail connections at once, lose data or block the wrong direction.
func TestNetworkPartition(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { assert.NilError(t, listener.Close()) }()
	go func() {
		if conn, err := listener.Accept(); err == nil {
			_, _ = io.Copy(conn, conn)
		}
	}()
	network := NewNetwork()
	network.Register("a", "z1")
	network.Register("b", "z2", listener.Addr().String())
	conn, err := network.Dialer("a")(context.Background(), "tcp", listener.Addr().String())
	assert.NilError(t, err)
	defer func() { assert.NilError(t, conn.Close()) }()
	network.PartitionOneWay("b", "a")
	assert.Assert(t, network.Open("a", "b") && !network.Open("b", "a"))
	_, err = conn.Write([]byte("echo"))
	assert.NilError(t, err, "the other direction is open")
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(20*time.Millisecond)))
	text := make([]byte, 4)
	_, err = conn.Read(text)
	assert.ErrorContains(t, err, "timeout")
	network.Heal("a", "b")
	assert.NilError(t, conn.SetReadDeadline(time.Time{}))
	_, err = io.ReadFull(conn, text)
	assert.NilError(t, err)
	assert.Equal(t, string(text), "echo")
	network.Isolate("b")
	assert.Assert(t, !network.Open("a", "b") && !network.Open("b", "a"))
	network.Heal("a", "b")
	network.PartitionZone("z1")
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	_, err = network.Dialer("a")(ctx, "tcp", listener.Addr().String())
	assert.ErrorIs(t, err, context.DeadlineExceeded)
}

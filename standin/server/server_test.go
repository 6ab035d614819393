package server

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"siskinstack.example/siskinstack/clock"
	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/standin"
	"siskinstack.example/siskinstack/standin/httpclient"
	"siskinstack.example/siskinstack/standin/site"
)

func startTest(t *testing.T) *Platform {
	t.Helper()
	p, err := Start(Options{
		Site: site.Jadeleaf(), Clock: clock.Real{},
		Plan:            func(infra.StartRequest) standin.TaskPlan { return standin.TaskPlan{} },
		RequestDuration: func(string, []byte) time.Duration { return time.Millisecond },
	})
	assert.NilError(t, err)
	t.Cleanup(p.Close)
	return p
}

// TestFaultsPerCaller guards against faults for one VM that also affect another one over HTTP.
func TestFaultsPerCaller(t *testing.T) {
	ctx := context.Background()
	p := startTest(t)
	a, b := httpclient.New(p.URLFor("entry-0")), httpclient.New(p.URLFor("entry-1"))
	defer a.Close()
	defer b.Close()
	p.Store.SetFaultsFor("entry-0", standin.StoreFaults{Down: true})
	_, err := a.Put(ctx, infra.PutRequest{Key: "k"})
	assert.ErrorContains(t, err, "unavailable")
	_, err = b.Put(ctx, infra.PutRequest{Key: "k"})
	assert.NilError(t, err)
	_, err = b.Put(ctx, infra.PutRequest{Key: "k"})
	assert.ErrorIs(t, err, infra.ErrConflict)
	list, err := b.VMs().List(ctx)
	assert.NilError(t, err)
	assert.Equal(t, len(list.VMs), 106)
}

// TestPartitions guards against partitions over HTTP that affect other VMs, fail calls at once, or undo a call whose
// response they lose.
func TestPartitions(t *testing.T) {
	p := startTest(t)
	inside, outside := httpclient.New(p.URLFor("entry-0")), httpclient.New(p.URLFor("entry-1"))
	defer inside.Close()
	defer outside.Close()
	short := func() context.Context {
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		t.Cleanup(cancel)
		return ctx
	}
	p.Network.PartitionZone("taichung-1")
	_, err := inside.Put(short(), infra.PutRequest{Key: "k"})
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	start := infra.StartRequest{Worker: "worker-0", Lease: time.Second}
	assert.NilError(t, inside.Start(context.Background(), start), "workers of the same zone stay reachable")
	assert.ErrorIs(t, outside.Start(short(), start), context.DeadlineExceeded)
	_, err = outside.Get(context.Background(), "k")
	assert.ErrorIs(t, err, infra.ErrNotFound)
	p.Network.HealZone("taichung-1")
	p.Network.PartitionOneWay(StoreName, "entry-0")
	_, err = inside.Put(short(), infra.PutRequest{Key: "k"})
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	_, err = outside.Get(context.Background(), "k")
	assert.NilError(t, err, "the write took effect, only its response was lost")
}

// TestEndpointOverHTTP guards against responses, refusals and lost responses that change in transit over HTTP.
func TestEndpointOverHTTP(t *testing.T) {
	ctx := context.Background()
	p := startTest(t)
	vm := p.Fleet[len(p.Fleet)-1]
	caller := httpclient.NewEndpoints(2)
	defer caller.Close()
	request := infra.EndpointRequest{
		Endpoint: vm.Name, Address: vm.Address, RequestID: "r", From: "entry-1", Body: []byte("x"),
	}
	response, err := caller.Call(ctx, request)
	assert.NilError(t, err)
	assert.Equal(t, string(response.Body), "done x")
	assert.Equal(t, response.RequestID, "r")
	p.Endpoints.SetFaults(vm.Name, standin.EndpointFaults{LoseResponses: 1})
	_, err = caller.Call(ctx, request)
	assert.ErrorContains(t, err, "EOF")
	p.Endpoints.SetLeaving(vm.Name)
	_, err = caller.Call(ctx, request)
	assert.ErrorIs(t, err, infra.ErrEndpointLeaving)
	assert.Equal(t, len(p.Endpoints.Runs()), 2)
	assert.Assert(t, p.Endpoints.PeakConnections(vm.Name) > 0)
}

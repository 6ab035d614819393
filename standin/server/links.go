package server

import (
	"context"
	"time"

	"siskinstack.example/siskinstack/clock"
	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/standin"
)

// StoreName is the name of the store and the VM list in Platform.Network. Every zone can be partitioned from it.
const StoreName = "store"

// links adds the delay between zones to calls, and holds them back while the network is partitioned. Calls that do not
// name their VM are neither delayed nor held back.
type links struct {
	clock     clock.Clock
	zoneDelay time.Duration
	zones     map[string]string
	network   *standin.Network
}

func newLinks(c clock.Clock, zoneDelay time.Duration, fleet []infra.VM, network *standin.Network) *links {
	l := &links{clock: c, zoneDelay: zoneDelay, zones: map[string]string{}, network: network}
	for _, vm := range fleet {
		l.zones[vm.Name] = vm.Zone
		network.Register(vm.Name, vm.Zone)
	}
	network.Register(StoreName, "")
	return l
}

// callVia makes a call from one VM to another. A partition of the return direction loses the response of a call that
// took effect.
func callVia[A any](ctx context.Context, l *links, from, to string, call func() (A, error)) (A, error) {
	var none A
	if from == "" {
		return call()
	}
	if l.zones[from] != l.zones[to] {
		if err := l.clock.Sleep(ctx, l.zoneDelay); err != nil {
			return none, err
		}
	}
	if err := l.network.AwaitLink(ctx, from, to); err != nil {
		return none, err
	}
	result, err := call()
	if lost := l.network.AwaitLink(ctx, to, from); lost != nil {
		return none, lost
	}
	return result, err
}

// callViaNoResult is like callVia for calls that return only an error.
func callViaNoResult(ctx context.Context, l *links, to string, call func() error) error {
	_, err := callVia(ctx, l, standin.Caller(ctx), to, func() (struct{}, error) { return struct{}{}, call() })
	return err
}

// linkedStore applies links to the calls to a store. The store is in no zone, so every call of a VM in the fleet is
// delayed by the delay between zones.
type linkedStore struct {
	store infra.Store
	links *links
}

// Get implements infra.Store.
func (s linkedStore) Get(ctx context.Context, key string) (infra.KeyValue, error) {
	return callVia(ctx, s.links, standin.Caller(ctx), StoreName, func() (infra.KeyValue, error) {
		return s.store.Get(ctx, key)
	})
}

// List implements infra.Store.
func (s linkedStore) List(ctx context.Context, prefix string) (infra.Listing, error) {
	return callVia(ctx, s.links, standin.Caller(ctx), StoreName, func() (infra.Listing, error) {
		return s.store.List(ctx, prefix)
	})
}

// Put implements infra.Store.
func (s linkedStore) Put(ctx context.Context, request infra.PutRequest) (infra.Revision, error) {
	return callVia(ctx, s.links, standin.Caller(ctx), StoreName, func() (infra.Revision, error) {
		return s.store.Put(ctx, request)
	})
}

// Delete implements infra.Store.
func (s linkedStore) Delete(ctx context.Context, key string, expected infra.Revision) error {
	return callViaNoResult(ctx, s.links, StoreName, func() error { return s.store.Delete(ctx, key, expected) })
}

// GrantLease implements infra.Store.
func (s linkedStore) GrantLease(ctx context.Context, ttl time.Duration) (infra.LeaseID, error) {
	return callVia(ctx, s.links, standin.Caller(ctx), StoreName, func() (infra.LeaseID, error) {
		return s.store.GrantLease(ctx, ttl)
	})
}

// RenewLease implements infra.Store.
func (s linkedStore) RenewLease(ctx context.Context, lease infra.LeaseID) error {
	return callViaNoResult(ctx, s.links, StoreName, func() error { return s.store.RenewLease(ctx, lease) })
}

// RevokeLease implements infra.Store.
func (s linkedStore) RevokeLease(ctx context.Context, lease infra.LeaseID) error {
	return callViaNoResult(ctx, s.links, StoreName, func() error { return s.store.RevokeLease(ctx, lease) })
}

// Watch implements infra.Store.
func (s linkedStore) Watch(ctx context.Context, request infra.WatchRequest) (infra.WatchResult, error) {
	return callVia(ctx, s.links, standin.Caller(ctx), StoreName, func() (infra.WatchResult, error) {
		return s.store.Watch(ctx, request)
	})
}

type linkedVMs struct {
	vms   infra.VMList
	links *links
}

// List implements infra.VMList.
func (v linkedVMs) List(ctx context.Context) (infra.VMs, error) {
	return callVia(ctx, v.links, standin.Caller(ctx), StoreName, func() (infra.VMs, error) { return v.vms.List(ctx) })
}

type linkedWorkers struct {
	workers infra.Workers
	links   *links
}

// Start implements infra.Workers.
func (w linkedWorkers) Start(ctx context.Context, request infra.StartRequest) error {
	return callViaNoResult(ctx, w.links, request.Worker, func() error { return w.workers.Start(ctx, request) })
}

// Renew implements infra.Workers.
func (w linkedWorkers) Renew(ctx context.Context, request infra.RenewRequest) (infra.WorkerReport, error) {
	return callVia(ctx, w.links, standin.Caller(ctx), request.Worker, func() (infra.WorkerReport, error) {
		return w.workers.Renew(ctx, request)
	})
}

// Stop implements infra.Workers.
func (w linkedWorkers) Stop(ctx context.Context, request infra.StopRequest) error {
	return callViaNoResult(ctx, w.links, request.Worker, func() error { return w.workers.Stop(ctx, request) })
}

// Checkpoint implements infra.Workers.
func (w linkedWorkers) Checkpoint(ctx context.Context, request infra.StopRequest) error {
	return callViaNoResult(ctx, w.links, request.Worker, func() error { return w.workers.Checkpoint(ctx, request) })
}

// Throttle implements infra.Workers.
func (w linkedWorkers) Throttle(ctx context.Context, request infra.ThrottleRequest) error {
	return callViaNoResult(ctx, w.links, request.Worker, func() error { return w.workers.Throttle(ctx, request) })
}

type linkedEndpoints struct {
	endpoints infra.Endpoints
	links     *links
}

// Call implements infra.Endpoints.
func (e linkedEndpoints) Call(ctx context.Context, request infra.EndpointRequest) (infra.EndpointResponse, error) {
	return callVia(ctx, e.links, request.From, request.Endpoint, func() (infra.EndpointResponse, error) {
		return e.endpoints.Call(ctx, request)
	})
}

// Load implements infra.Endpoints. It does not name its caller, so it is neither delayed nor held back.
func (e linkedEndpoints) Load(ctx context.Context, endpoint, address string) (infra.EndpointLoad, error) {
	return e.endpoints.Load(ctx, endpoint, address)
}

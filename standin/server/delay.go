package server

import (
	"context"
	"time"

	"siskinstack.example/siskinstack/clock"
	"siskinstack.example/siskinstack/platform"
	"siskinstack.example/siskinstack/standin"
)

// delays adds the delay between zones to calls. Calls of VMs that do not name themselves are not delayed.
type delays struct {
	clock clock.Clock
	zone  time.Duration
	zones map[string]string
}

func newDelays(c clock.Clock, zone time.Duration, fleet []platform.VM) *delays {
	d := &delays{clock: c, zone: zone, zones: map[string]string{}}
	for _, vm := range fleet {
		d.zones[vm.Name] = vm.Zone
	}
	return d
}

// between waits as long as a call from one VM to another takes.
func (d *delays) between(ctx context.Context, from, to string) error {
	if from == "" || d.zones[from] == d.zones[to] {
		return ctx.Err()
	}
	return d.clock.Sleep(ctx, d.zone)
}

// delayedStore is as far from every VM as another zone.
type delayedStore struct {
	platform.Store
	delays *delays
}

func (s delayedStore) wait(ctx context.Context) error {
	return s.delays.between(ctx, standin.Caller(ctx), "")
}

// Get implements platform.Store.
func (s delayedStore) Get(ctx context.Context, key string) (platform.KeyValue, error) {
	if err := s.wait(ctx); err != nil {
		return platform.KeyValue{}, err
	}
	return s.Store.Get(ctx, key)
}

// List implements platform.Store.
func (s delayedStore) List(ctx context.Context, prefix string) (platform.Listing, error) {
	if err := s.wait(ctx); err != nil {
		return platform.Listing{}, err
	}
	return s.Store.List(ctx, prefix)
}

// Put implements platform.Store.
func (s delayedStore) Put(ctx context.Context, request platform.PutRequest) (platform.Revision, error) {
	if err := s.wait(ctx); err != nil {
		return 0, err
	}
	return s.Store.Put(ctx, request)
}

// Delete implements platform.Store.
func (s delayedStore) Delete(ctx context.Context, key string, expected platform.Revision) error {
	if err := s.wait(ctx); err != nil {
		return err
	}
	return s.Store.Delete(ctx, key, expected)
}

// RenewLease implements platform.Store.
func (s delayedStore) RenewLease(ctx context.Context, lease platform.LeaseID) error {
	if err := s.wait(ctx); err != nil {
		return err
	}
	return s.Store.RenewLease(ctx, lease)
}

type delayedWorkers struct {
	platform.Workers
	delays *delays
}

// Start implements platform.Workers.
func (w delayedWorkers) Start(ctx context.Context, request platform.StartRequest) error {
	if err := w.delays.between(ctx, standin.Caller(ctx), request.Worker); err != nil {
		return err
	}
	return w.Workers.Start(ctx, request)
}

// Renew implements platform.Workers.
func (w delayedWorkers) Renew(ctx context.Context, request platform.RenewRequest) (platform.WorkerReport, error) {
	if err := w.delays.between(ctx, standin.Caller(ctx), request.Worker); err != nil {
		return platform.WorkerReport{}, err
	}
	return w.Workers.Renew(ctx, request)
}

// Stop implements platform.Workers.
func (w delayedWorkers) Stop(ctx context.Context, request platform.StopRequest) error {
	if err := w.delays.between(ctx, standin.Caller(ctx), request.Worker); err != nil {
		return err
	}
	return w.Workers.Stop(ctx, request)
}

type delayedEndpoints struct {
	platform.Endpoints
	delays *delays
}

// Call implements platform.Endpoints.
func (e delayedEndpoints) Call(ctx context.Context, request platform.EndpointRequest) (platform.EndpointAnswer, error) {
	if err := e.delays.between(ctx, request.From, request.Endpoint); err != nil {
		return platform.EndpointAnswer{}, err
	}
	return e.Endpoints.Call(ctx, request)
}

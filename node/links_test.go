package node_test

import (
	"context"
	"sync"
	"time"

	"siskinstack.example/siskinstack/clock"
	"siskinstack.example/siskinstack/infra"
)

// refusedLinks decides which connections are refused.
type refusedLinks struct {
	mu      sync.Mutex // guards refuses
	refuses func(machine, target string) bool
}

// set refuses the connections from machines to other machines and to workers for which refuses is true; nil refuses none.
func (l *refusedLinks) set(refuses func(machine, target string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refuses = refuses
}

func (l *refusedLinks) isRefused(machine, target string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.refuses != nil && l.refuses(machine, target)
}

func (l *refusedLinks) awaitRefusal(ctx context.Context, machine, target string) error {
	for !l.isRefused(machine, target) {
		if err := (clock.Real{}).Sleep(ctx, 10*time.Millisecond); err != nil {
			return err
		}
	}
	return nil
}

// linkedFleet is the fleet as one machine reaches it. Calls that are under way when a link is refused are cut off.
type linkedFleet struct {
	infra.Fleet
	links   *refusedLinks
	machine string
}

// call returns the context of a call to a worker, or an error if the worker refuses the connection.
func (f linkedFleet) call(ctx context.Context, worker string) (context.Context, context.CancelFunc, error) {
	if f.links.isRefused(f.machine, worker) {
		return nil, nil, infra.ErrNotSent
	}
	call, cancel := context.WithCancel(ctx)
	go func() {
		if f.links.awaitRefusal(call, f.machine, worker) == nil {
			cancel()
		}
	}()
	return call, cancel, nil
}

func (f linkedFleet) Start(ctx context.Context, worker infra.FleetWorker, order infra.StartOrder) (int64, error) {
	call, cancel, err := f.call(ctx, worker.ID)
	if err != nil {
		return 0, err
	}
	defer cancel()
	return f.Fleet.Start(call, worker, order)
}

func (f linkedFleet) Stop(ctx context.Context, worker infra.FleetWorker, order infra.StopOrder) (int64, error) {
	call, cancel, err := f.call(ctx, worker.ID)
	if err != nil {
		return 0, err
	}
	defer cancel()
	return f.Fleet.Stop(call, worker, order)
}

func (f linkedFleet) Renew(ctx context.Context, worker infra.FleetWorker, order infra.RenewOrder) (infra.RunReport, error) {
	call, cancel, err := f.call(ctx, worker.ID)
	if err != nil {
		return infra.RunReport{}, err
	}
	defer cancel()
	return f.Fleet.Renew(call, worker, order)
}

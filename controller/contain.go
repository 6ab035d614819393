package controller

import (
	"context"
	"runtime/debug"

	"github.com/rotisserie/eris"

	"siskinstack.example/siskinstack/infra"
)

// contain calls f and converts its panic to an error with the stack. It wraps the code that decodes bytes of others, so
// that one response or entry does not end the process, and with it the sessions of all workers.
func contain(what string, f func() error) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = eris.Errorf("panic in %s: %v: %s", what, cause, debug.Stack())
		}
	}()
	return f()
}

// containedFleet is a fleet whose panics are errors. The outcome of such a call is not known.
type containedFleet struct{ fleet infra.Fleet }

// Start implements infra.Fleet.
func (c containedFleet) Start(ctx context.Context, worker infra.FleetWorker, order infra.StartOrder) (clockMs int64, err error) {
	err = contain("start", func() error {
		clockMs, err = c.fleet.Start(ctx, worker, order)
		return err
	})
	return clockMs, err
}

// Stop implements infra.Fleet.
func (c containedFleet) Stop(ctx context.Context, worker infra.FleetWorker, order infra.StopOrder) (clockMs int64, err error) {
	err = contain("stop", func() error {
		clockMs, err = c.fleet.Stop(ctx, worker, order)
		return err
	})
	return clockMs, err
}

// Renew implements infra.Fleet.
func (c containedFleet) Renew(ctx context.Context, worker infra.FleetWorker, order infra.RenewOrder) (report infra.RunReport, err error) {
	err = contain("renew", func() error {
		report, err = c.fleet.Renew(ctx, worker, order)
		return err
	})
	return report, err
}

// containedAdvisor is an advisor whose panics are errors.
type containedAdvisor struct{ advisor infra.Advisor }

// Advise implements infra.Advisor.
func (c containedAdvisor) Advise(ctx context.Context, step string, workers []string) (advice infra.Advice, err error) {
	err = contain("advise", func() error {
		advice, err = c.advisor.Advise(ctx, step, workers)
		return err
	})
	return advice, err
}

// decodeWorker decodes the entry of a worker.
func (t *term) decodeWorker(kv infra.KeyValue) (worker infra.FleetWorker, err error) {
	err = contain("decode worker entry", func() error {
		worker, err = t.DecodeWorker(kv)
		return err
	})
	return worker, err
}

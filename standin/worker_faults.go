package standin

import (
	"context"
	"time"

	"siskinstack.example/siskinstack/infra"
)

// WorkerFaults are the faults injected into calls to one worker.
type WorkerFaults struct {
	// Unreachable makes every call fail without effect; tasks continue until their leases end.
	Unreachable bool
	// LoseResponses makes the next n calls take effect but return an error; a negative number loses every response.
	LoseResponses int
	// Duplicate delivers the next n calls twice.
	Duplicate int
	// Delayed fails the next n calls and delivers them after DelayedBy.
	Delayed   int
	DelayedBy time.Duration
	// FailTasks makes every task that starts from now on fail.
	FailTasks bool
}

// delayedCall is a call that has not been delivered yet.
type delayedCall struct {
	due  time.Time
	call func(*worker) error
}

// SetFaults replaces the faults of a worker.
func (w *Workers) SetFaults(name string, faults WorkerFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.workers[name].faults = faults
}

// SetDown makes a worker unreachable or reachable; its tasks continue until their leases end.
func (w *Workers) SetDown(name string, down bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.workers[name].faults.Unreachable = down
}

// Crash restarts a worker; all its tasks and its whole state are lost.
func (w *Workers) Crash(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	target := w.workers[name]
	w.updateTasks(target)
	for _, t := range target.tasks {
		if t.running() {
			t.end(w.clock.Now(), infra.PhaseStopped)
		}
		// An ended task is kept until its result is acknowledged, so everything still present is lost.
		t.run.Lost = true
	}
	target.tasks = map[taskName]*task{}
	target.epoch = map[string]int64{}
	target.closed = map[taskName]attemptID{}
	target.delayed = nil
}

// Deliver delivers the delayed calls that are due. Every later call to the same worker does so too.
func (w *Workers) Deliver() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, target := range w.workers {
		w.deliverDelayed(target)
	}
}

// deliverDelayed delivers the calls that are due. The caller holds mu.
func (w *Workers) deliverDelayed(target *worker) {
	now := w.clock.Now()
	var kept []delayedCall
	for _, delayed := range target.delayed {
		if delayed.due.After(now) {
			kept = append(kept, delayed)
			continue
		}
		_ = delayed.call(target)
	}
	target.delayed = kept
}

// deliver passes a call to a worker and applies the faults of the worker.
func (w *Workers) deliver(ctx context.Context, name string, call func(*worker) error) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	target, ok := w.workers[name]
	if !ok {
		return infra.ErrWorkerNotFound
	}
	if target.faults.Unreachable {
		return errUnavailable
	}
	w.deliverDelayed(target)
	if target.faults.Delayed > 0 {
		target.faults.Delayed--
		target.delayed = append(target.delayed, delayedCall{w.clock.Now().Add(target.faults.DelayedBy), call})
		return errResponseLost
	}
	err := call(target)
	if target.faults.Duplicate > 0 {
		target.faults.Duplicate--
		err = call(target)
	}
	return target.respond(err)
}

// respond returns the result of a call, or errResponseLost if the faults lose it.
func (target *worker) respond(err error) error {
	if target.faults.LoseResponses == 0 {
		return err
	}
	if target.faults.LoseResponses > 0 {
		target.faults.LoseResponses--
	}
	return errResponseLost
}

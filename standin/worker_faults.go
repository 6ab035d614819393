package standin

import (
	"context"
	"time"

	"siskinstack.example/siskinstack/infra"
)

// WorkerFaults are faults to order for the calls to one worker.
type WorkerFaults struct {
	// Unreachable makes every call fail without effect; tasks go on until their leases end.
	Unreachable bool
	// LoseResponses makes the next n calls take effect and then fail; a negative number loses every answer.
	LoseResponses int
	// Duplicate delivers the next n calls twice.
	Duplicate int
	// Delayed fails the next n calls and delivers them LateBy afterwards.
	Delayed   int
	DelayedBy time.Duration
	// FailTasks makes every task that starts from now on fail.
	FailTasks bool
}

// lateCall is a call that is still on its way.
type lateCall struct {
	due  time.Time
	call func(*worker) error
}

// SetFaults replaces the faults of a worker.
func (w *Workers) SetFaults(name string, faults WorkerFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.workers[name].faults = faults
}

// SetDown makes a worker unreachable; its tasks go on until their leases end.
func (w *Workers) SetDown(name string, down bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.workers[name].faults.Unreachable = down
}

// Crash ends a worker with all its tasks and everything it knew; it comes back empty.
func (w *Workers) Crash(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	machine := w.workers[name]
	w.settle(machine)
	for _, t := range machine.tasks {
		if t.running() {
			t.end(w.clock.Now(), infra.PhaseStopped)
		}
		// An ended task is kept until its result is acknowledged, so what is still here is lost.
		t.run.Lost = true
	}
	machine.tasks = map[taskName]*task{}
	machine.epoch = map[string]int64{}
	machine.closed = map[taskName]attemptID{}
	machine.late = nil
}

// Deliver delivers the late calls that are due. Every later call to the same worker does so too.
func (w *Workers) Deliver() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, machine := range w.workers {
		w.deliverLate(machine)
	}
}

// deliverLate delivers the calls that are due. The caller holds mu.
func (w *Workers) deliverLate(machine *worker) {
	now := w.clock.Now()
	var kept []lateCall
	for _, late := range machine.late {
		if late.due.After(now) {
			kept = append(kept, late)
			continue
		}
		_ = late.call(machine)
	}
	machine.late = kept
}

// deliver takes a call to a worker, with the faults that were ordered for it.
func (w *Workers) deliver(ctx context.Context, name string, call func(*worker) error) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	machine, ok := w.workers[name]
	if !ok {
		return infra.ErrWorkerGone
	}
	if machine.faults.Unreachable {
		return errUnavailable
	}
	w.deliverLate(machine)
	if machine.faults.Delayed > 0 {
		machine.faults.Delayed--
		machine.late = append(machine.late, lateCall{w.clock.Now().Add(machine.faults.DelayedBy), call})
		return errAnswerLost
	}
	err := call(machine)
	if machine.faults.Duplicate > 0 {
		machine.faults.Duplicate--
		err = call(machine)
	}
	return machine.answer(err)
}

// answer drops the answer of a call if that was ordered.
func (m *worker) answer(err error) error {
	if m.faults.LoseResponses == 0 {
		return err
	}
	if m.faults.LoseResponses > 0 {
		m.faults.LoseResponses--
	}
	return errAnswerLost
}

package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"siskinstack.example/siskinstack/infra"
)

// setPercent sets the progress of all active runs.
func (w *fixture) setPercent(percent int32) {
	for _, runs := range w.running {
		for task, run := range runs {
			run.Percent = percent
			runs[task] = run
		}
	}
}

// runFor runs cycles for a number of seconds in which no run ends by itself.
func (w *fixture) runFor(seconds int) {
	for range seconds * 25 {
		w.step()
	}
}

// Guards against stopping a gang because a member that has finished its part waits for the others.
func TestFinishedMemberOfAGangIsNotStalled(t *testing.T) {
	w := newFixture(t, 2)
	gang := step(3, 1000)
	gang.Gang = true
	w.state.AddJob(job("a", gang), nil)
	w.step()
	w.setPercent(fullPercent)
	w.runFor(10)
	assert.Equal(t, len(w.started), 3)
	assert.Equal(t, w.runs(), 3)
}

// Guards against a run that makes no progress indefinitely on a reachable worker.
func TestStalledRunResumesOnAnotherWorker(t *testing.T) {
	w := newFixture(t, 2)
	w.state.AddJob(job("a", step(1, 1000)), nil)
	w.step()
	first := w.runningOn()
	w.setPercent(30)
	w.runFor(4)
	assert.Equal(t, len(w.started), 2)
	assert.Assert(t, w.runningOn() != first)
	w.endAll(infra.OutcomeSucceeded)
	w.step()
	w.step()
	assert.Assert(t, w.state.Job("a").Ended())
}

// runningOn returns the identifier of a worker with an active run, or "".
func (w *fixture) runningOn() string {
	for worker, runs := range w.running {
		if len(runs) > 0 {
			return worker.Info.ID
		}
	}
	return ""
}

// Guards against stopping a ready long-running task, and against leaving one in place that never becomes ready.
func TestReadyLongRunningTaskIsNotStalled(t *testing.T) {
	w := newFixture(t, 2)
	longRunning := step(1, 1000)
	longRunning.LongRunning = true
	w.state.AddJob(job("a", longRunning), nil)
	w.step()
	w.setPercent(fullPercent)
	w.runFor(10)
	assert.Equal(t, len(w.started), 1)
	w.setPercent(0)
	w.now = w.now.Add(time.Second)
	w.endAll(infra.OutcomeFailed)
	w.step()
	w.step()
	assert.Equal(t, len(w.started), 2, "a failed task must start again")
	w.runFor(5)
	assert.Assert(t, len(w.started) > 2, "a task that is not ready must start elsewhere")
}

package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"siskinstack.example/siskinstack/infra"
)

// setPercent sets the progress of all active runs.
func (f *fixture) setPercent(percent int32) {
	for _, runs := range f.running {
		for task, run := range runs {
			run.Percent = percent
			runs[task] = run
		}
	}
}

// runFor runs cycles for a number of seconds in which no run ends by itself.
func (f *fixture) runFor(seconds int) {
	for range seconds * 25 {
		f.step()
	}
}

// Guards against stopping a gang because a member that has finished its part waits for the others.
func TestFinishedMemberOfAGangIsNotStalled(t *testing.T) {
	f := newFixture(t, 2)
	gang := step(3, 1000)
	gang.Gang = true
	f.state.AddJob(job("a", gang), nil)
	f.step()
	f.setPercent(fullPercent)
	f.runFor(10)
	assert.Equal(t, len(f.started), 3)
	assert.Equal(t, f.runs(), 3)
}

// Guards against a run that makes no progress indefinitely on a reachable worker.
func TestStalledRunResumesOnAnotherWorker(t *testing.T) {
	f := newFixture(t, 2)
	f.state.AddJob(job("a", step(1, 1000)), nil)
	f.step()
	first := f.runningOn()
	f.setPercent(30)
	f.runFor(4)
	assert.Equal(t, len(f.started), 2)
	assert.Assert(t, f.runningOn() != first)
	f.endAll(infra.OutcomeSucceeded)
	f.step()
	f.step()
	assert.Assert(t, f.state.Job("a").Ended())
}

// runningOn returns the identifier of a worker with an active run, or "".
func (f *fixture) runningOn() string {
	for worker, runs := range f.running {
		if len(runs) > 0 {
			return worker.Info.ID
		}
	}
	return ""
}

// Guards against stopping a ready long-running task, and against leaving one in place that never becomes ready.
func TestReadyLongRunningTaskIsNotStalled(t *testing.T) {
	f := newFixture(t, 2)
	longRunning := step(1, 1000)
	longRunning.LongRunning = true
	f.state.AddJob(job("a", longRunning), nil)
	f.step()
	f.setPercent(fullPercent)
	f.runFor(10)
	assert.Equal(t, len(f.started), 1)
	f.setPercent(0)
	f.now = f.now.Add(time.Second)
	f.endAll(infra.OutcomeFailed)
	f.step()
	f.step()
	assert.Equal(t, len(f.started), 2, "a failed task must start again")
	f.runFor(5)
	assert.Assert(t, len(f.started) > 2, "a task that is not ready must start elsewhere")
}

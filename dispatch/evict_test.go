package dispatch

import (
	"testing"

	"gotest.tools/v3/assert"

	"siskinstack.example/siskinstack/infra"
)

// Guards against draining more tasks of a service at once than its max_unavailable allows.
func TestDrainKeepsWithinMaxUnavailable(t *testing.T) {
	w := newFixture(t, 2)
	longRunning := step(4, 1000)
	longRunning.LongRunning, longRunning.MaxUnavailable = true, 1
	w.state.AddJob(job("service", longRunning), nil)
	w.step()
	w.setPercent(fullPercent)
	w.step()
	old := w.workers[0]
	assert.Equal(t, len(w.running[old]), 4, "best fit puts all on one worker")
	w.state.Cordon("w0", true)
	for range 4 {
		w.step()
		w.step()
		w.step()
		assert.Equal(t, w.runs(), 4, "one task moved at a time")
		ready := 0
		for _, runs := range w.running {
			for _, run := range runs {
				if run.Percent == fullPercent {
					ready++
				}
			}
		}
		assert.Assert(t, ready >= 3, "%d of 4 ready", ready)
		w.setPercent(fullPercent)
	}
	w.step()
	assert.Equal(t, len(w.running[old]), 0)
	assert.Assert(t, w.state.IsEmpty("w0", false))
}

// Guards against a drain that loses work or never completes: tasks with checkpoints move, others finish, and no new
// task starts on the worker.
func TestDrainMovesTasksWithCheckpoints(t *testing.T) {
	w := newFixture(t, 2)
	checkpointing, plain := step(1, 1000), step(1, 1000)
	checkpointing.Checkpointing = true
	w.state.AddJob(job("saving", checkpointing), nil)
	w.state.AddJob(job("plain", plain), nil)
	w.step()
	w.step()
	assert.Equal(t, len(w.running[w.workers[0]]), 2)
	w.state.Cordon("w0", true)
	w.state.AddJob(job("new", step(1, 1000)), nil)
	for range 5 {
		w.step()
	}
	_, stays := w.running[w.workers[0]]["plain.0.0.0"]
	assert.Assert(t, stays)
	assert.Equal(t, len(w.running[w.workers[0]]), 1)
	assert.Equal(t, len(w.running[w.workers[1]]), 2)
	assert.Assert(t, !w.state.IsEmpty("w0", false))
	assert.Assert(t, w.state.IsEmpty("w0", true))
	w.end(w.workers[0], "plain.0.0.0", infra.OutcomeSucceeded)
	w.step()
	assert.Assert(t, w.state.IsEmpty("w0", false))
	w.state.Cordon("w0", false)
	w.state.AddJob(job("more", step(8, 1000)), nil)
	w.step()
	assert.Assert(t, len(w.running[w.workers[0]]) > 0)
}

// Guards against long-running tasks that stay on a draining worker until it leaves: the loss is known only after its
// lease has ended.
func TestLongRunningTasksLeaveADrainingWorker(t *testing.T) {
	w := newFixture(t, 2)
	longRunning := step(2, 1000)
	longRunning.LongRunning = true
	w.state.AddJob(job("service", longRunning), nil)
	w.step()
	w.setPercent(fullPercent)
	w.step()
	leaving := w.workers[0].Info
	leaving.Draining = true
	w.state.SetWorker(leaving)
	for range 5 {
		w.step()
	}
	assert.Equal(t, len(w.running[w.workers[0]]), 0)
	assert.Equal(t, len(w.running[w.workers[1]]), 2)
}

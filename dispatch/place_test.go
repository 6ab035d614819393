package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/resource"
)

// Guards against backfill tasks that share a worker with tasks that have a latency objective, and slow them down.
func TestBackfillAvoidsTasksWithLatencyObjectives(t *testing.T) {
	f := newFixture(t, 3)
	latencyTasks := step(2, 1000)
	latencyTasks.LongRunning, latencyTasks.LatencyObjectiveMs = true, 50
	backfill := step(2, 1000)
	backfill.Backfill = true
	f.state.AddJob(job("serve", latencyTasks), nil)
	f.state.AddJob(job("fill", backfill), nil)
	for range 3 {
		f.step()
	}
	assert.Equal(t, f.runs(), 4)
	for _, worker := range f.workers {
		assert.Assert(t, worker.latencyTasks == 0 || worker.backfillTasks == 0)
	}
}

// Guards against starts on a draining worker, on one without the required label, or above the limit per worker.
func TestExcludedWorkersGetNoTasks(t *testing.T) {
	f := newFixture(t, 3)
	leaving := f.workers[0].Info
	leaving.Draining = true
	f.state.SetWorker(leaving)
	labelled := f.workers[1].Info
	labelled.Labels = []string{"special", "r"}
	f.state.SetWorker(labelled)
	special := step(3, 1000)
	special.RequiredLabel, special.MaxPerWorker = "special", 2
	f.state.AddJob(job("a", special), nil)
	for range 3 {
		f.step()
	}
	assert.Equal(t, len(f.running[f.workers[1]]), 2)
	assert.Equal(t, f.runs(), 2)
}

// Guards against a team above its ceiling, and against a ceiling that stays unused while tasks wait.
func TestCeilingBoundsATeam(t *testing.T) {
	f := newFixture(t, 3)
	f.setCeiling(resource.Vector{MilliCPU: 5000})
	f.state.AddJob(job("a", step(4, 2000)), nil)
	f.step()
	assert.Equal(t, f.runs(), 2)
	f.endAll(infra.OutcomeSucceeded)
	f.step()
	f.step()
	assert.Equal(t, f.runs(), 2)
}

// Guards against a gang that starts only in part, and against members with different run numbers.
func TestGangStartsWholeOrNotAtAll(t *testing.T) {
	f := newFixture(t, 1)
	gang := step(5, 2000)
	gang.Gang = true
	f.state.AddJob(job("a", gang), nil)
	f.step()
	assert.Equal(t, f.runs(), 0)
	f.addWorker("more", "zone-1")
	f.step()
	assert.Equal(t, f.runs(), 5)
	f.endAll(infra.OutcomeGangBroken)
	for range 3 {
		f.step()
	}
	assert.Equal(t, f.runs(), 5)
	for _, order := range f.started[5:] {
		assert.Equal(t, order.Run, int32(2))
	}
}

// Guards against a task that fails permanently before its attempts are used up, or that gets more attempts.
func TestAttemptsAreCounted(t *testing.T) {
	f := newFixture(t, 3)
	f.state.AddJob(job("a", step(1, 1000)), nil)
	f.step()
	first := f.runningOn()
	f.endAll(infra.OutcomeFailed)
	for range 3 {
		f.step()
	}
	assert.Equal(t, f.runs(), 1)
	assert.Assert(t, f.runningOn() != first, "the second attempt must run on another worker")
	f.endAll(infra.OutcomeFailed)
	for range 3 {
		f.step()
	}
	assert.Equal(t, f.state.Job("a").ShownPhase(), siskinv1.WorkflowPhase_WORKFLOW_PHASE_FAILED)
	assert.Equal(t, len(f.started), 2)
}

// Guards against a task that never runs again because it failed on its only suitable worker.
func TestTaskReturnsToTheOnlyWorker(t *testing.T) {
	f := newFixture(t, 1)
	f.state.AddJob(job("0000000000000001", step(1, 1000)), nil)
	f.step()
	f.endAll(infra.OutcomeFailed)
	failed := f.now
	for f.now.Sub(failed) < avoidDuration+time.Second && len(f.started) < 2 {
		f.step()
	}
	assert.Equal(t, len(f.started), 2)
	assert.Assert(t, f.now.Sub(failed) >= avoidDuration, "restarted too early on the worker where it failed")
}

// Guards against a controller that starts tasks before it knows the ceilings. After a restart while the store dropped
// calls, a soak run had a team at 4/3 of its ceiling (seed 1020).
func TestNothingStartsWithoutAConfiguration(t *testing.T) {
	f := newFixture(t, 3)
	f.state.SetPolicy(nil)
	f.state.AddJob(job("0000000000000001", step(4, 2000)), nil)
	f.step()
	assert.Equal(t, f.runs(), 0)
	f.setCeiling(resource.Vector{MilliCPU: 5000})
	f.step()
	assert.Equal(t, f.runs(), 2)
}

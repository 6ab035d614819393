package dispatch

import (
	"testing"

	"gotest.tools/v3/assert"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
)

// Guards against running a cancelled job whose cancellation precedes the job in a listing of the store.
func TestCancellationSeenBeforeTheJob(t *testing.T) {
	f := newFixture(t, 1)
	f.state.Cancel("a", 1)
	f.state.AddJob(job("a", step(1, 1000)), nil)
	f.step()
	assert.Equal(t, f.state.Job("a").ShownPhase(), siskinv1.WorkflowPhase_WORKFLOW_PHASE_CANCELLED)
	assert.Equal(t, len(f.started), 0)
}

// Guards against a cancellation that is shown before it is durable: a machine that reads the store instead, while the
// controller is paused, then shows the job as running once more.
func TestCancellationIsShownOnceDurable(t *testing.T) {
	f := newFixture(t, 1)
	record := job("0000000000000001", step(1, 1000))
	f.state.AddJob(record, nil)
	f.step()
	f.state.Cancel(record.GetId(), f.unixMs())
	assert.Equal(t, f.state.Job(record.GetId()).ShownPhase(), siskinv1.WorkflowPhase_WORKFLOW_PHASE_RUNNING)
	changes := f.state.TakeChanges(allJobs)
	assert.Equal(t, f.state.Job(record.GetId()).ShownPhase(), siskinv1.WorkflowPhase_WORKFLOW_PHASE_RUNNING)
	f.state.Committed(changes, f.now)
	assert.Equal(t, f.state.Job(record.GetId()).ShownPhase(), siskinv1.WorkflowPhase_WORKFLOW_PHASE_CANCELLED)
}

// Guards against runs of a cancelled job that continue because the controller was replaced after the cancellation was
// durable and before the runs were stopped. Long-running tasks then never end (kvarali-salt, trouble-2, seed
// 405133181213).
func TestNextControllerStopsTheRunsOfAnEndedJob(t *testing.T) {
	f := newFixture(t, 2)
	longRunning := step(3, 1000)
	longRunning.LongRunning = true
	record := job("0000000000000001", longRunning)
	f.state.AddJob(record, nil)
	f.step()
	assert.Equal(t, f.runs(), 3)
	f.state.Cancel(record.GetId(), f.unixMs())
	changes := f.state.TakeChanges(allJobs)
	assert.Equal(t, len(changes), 1)

	next := newFixture(t, 0)
	next.now = f.now
	next.state.AddJob(record, changes[0].Progress)
	for _, worker := range f.workers {
		sameWorker, _ := next.state.SetWorker(worker.Info)
		next.workers = append(next.workers, sameWorker)
		next.running[sameWorker] = f.running[worker]
		next.report(sameWorker)
	}
	for range 3 {
		next.step()
	}
	assert.Equal(t, next.runs(), 0)
	assert.Equal(t, next.state.Job(record.GetId()).Placed(), 0)
}

// Guards against a start order that waited behind others and is sent after its job was cancelled, its worker began to
// drain, or its ticket expired.
func TestOrderIsConfirmedAgainstTheCurrentState(t *testing.T) {
	for name, change := range map[string]func(*fixture, *Task){
		"cancelled": func(f *fixture, task *Task) { f.state.Cancel(task.JobID(), f.unixMs()) },
		"draining": func(f *fixture, task *Task) {
			info := task.worker.Info
			info.Draining = true
			f.state.SetWorker(info)
		},
		"unreachable": func(f *fixture, task *Task) { f.state.RenewFailed(task.worker, f.now) },
		"evacuated":   func(f *fixture, task *Task) { f.state.SetEvacuated(map[string]bool{task.worker.Info.Zone: true}) },
		"nothing":     func(*fixture, *Task) {},
	} {
		f := newFixture(t, 1)
		f.state.AddJob(job("0000000000000001", step(1, 1000)), nil)
		f.state.Plan(f.now, f.unixMs(), AdviceSlots{})
		orders, _ := f.state.Committed(f.state.TakeChanges(1), f.now)
		assert.Equal(t, len(orders), 1)
		change(f, orders[0])
		assert.Equal(t, f.state.ConfirmOrder(orders[0], orders[0].Run(), f.now), name == "nothing", name)
		assert.Equal(t, orders[0].worker != nil, name == "nothing", name)
	}
}

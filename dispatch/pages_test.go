package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"siskinstack.example/siskinstack/infra"
)

// startedTwice returns the tasks that were started more than once.
func (f *fixture) startedTwice() []string {
	seen, twice := map[string]bool{}, []string{}
	for _, order := range f.started {
		if seen[order.Task] {
			twice = append(twice, order.Task)
		}
		seen[order.Task] = true
	}
	return twice
}

// Guards against a list of ends that is one of several pages being taken for the whole: the runs on the later pages were
// then started once more.
func TestRunsAreNotMissingFromAPageOfEnds(t *testing.T) {
	f := newFixture(t, 1)
	f.listedEnds = 3
	f.state.AddJob(job("0000000000000001", step(8, 1000)), nil)
	f.step()
	assert.Equal(t, f.runs(), 8)
	f.endAll(infra.OutcomeSucceeded)
	// The store is down: nothing becomes durable, so the worker lists the same page again and again.
	for range 20 {
		f.now = f.now.Add(100 * time.Millisecond)
		f.report(f.workers[0])
		for _, task := range f.state.Plan(f.now, f.unixMs(), AdviceSlots{}).Stops {
			f.state.Stopped(task, task.Run(), nil, f.now)
		}
	}
	for range 10 {
		f.step()
	}
	assert.DeepEqual(t, f.startedTwice(), []string{})
	assert.Assert(t, f.state.Job("0000000000000001").Ended())
}

// Guards against a controller that takes over between two pages of ends and takes the page for the whole list.
func TestNextControllerReadsAllPagesOfEnds(t *testing.T) {
	f := newFixture(t, 1)
	f.listedEnds = 3
	record := job("0000000000000001", step(8, 1000))
	f.state.AddJob(record, nil)
	f.step()
	f.endAll(infra.OutcomeSucceeded)
	f.step() // the first page is durable and acknowledged
	ended := f.ended[f.workers[0]]
	next := newFixture(t, 0)
	next.listedEnds = f.listedEnds
	next.state.AddJob(record, f.state.Job("0000000000000001").Progress())
	worker, _ := next.state.SetWorker(f.workers[0].Info)
	next.workers = append(next.workers, worker)
	next.running[worker], next.ended[worker], next.numbers[worker] = map[string]infra.ActiveRun{}, ended, f.numbers[f.workers[0]]
	for range 10 {
		next.step()
	}
	assert.Equal(t, len(next.started), 0)
	assert.Assert(t, next.state.Job("0000000000000001").Ended())
}

// Guards against a task that is started although the success of an earlier run has arrived after the new run was planned.
func TestLateSuccessWithdrawsAPlannedRun(t *testing.T) {
	f := newFixture(t, 2)
	f.state.AddJob(job("0000000000000001", step(1, 1000)), nil)
	f.step()
	assert.Equal(t, f.runs(), 1)
	var old *Worker
	for worker, runs := range f.running {
		if len(runs) > 0 {
			old = worker
		}
	}
	f.endAll(infra.OutcomeSucceeded)
	f.state.RenewFailed(old, f.now)
	f.now = f.now.Add(time.Minute)
	f.state.ExpireLeases(f.now, f.unixMs())
	f.state.Plan(f.now, f.unixMs(), AdviceSlots{})
	changes := f.state.TakeChanges(allJobs)
	f.report(old)
	orders, _ := f.state.Committed(changes, f.now)
	assert.Equal(t, len(orders), 0)
	f.step()
	assert.Equal(t, len(f.started), 1)
	assert.Assert(t, f.state.Job("0000000000000001").Ended())
}

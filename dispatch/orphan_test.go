package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"siskinstack.example/siskinstack/infra"
)

// runningTwice returns the tasks that run on more than one worker.
func (f *fixture) runningTwice() []string {
	var twice []string
	seen := map[string]bool{}
	for _, runs := range f.running {
		for task := range runs {
			if seen[task] {
				twice = append(twice, task)
			}
			seen[task] = true
		}
	}
	return twice
}

// loseWorker takes the runs of a worker for ended although they go on.
func (f *fixture) loseWorker(worker *Worker) {
	f.state.RenewSent(worker, f.now.Add(time.Second))
	f.state.RenewFailed(worker, f.now)
	f.now = f.now.Add(time.Second)
	f.state.ExpireLeases(f.now, f.unixMs())
}

// stopOrphans carries out the orders of a plan to stop orphans, and returns their number.
func (f *fixture) stopOrphans(plan Plan) int {
	for _, stop := range plan.OrphanStops {
		worker := f.state.Worker(stop.Worker.ID)
		if run, runs := f.running[worker][stop.Order.Task]; runs && run.Run == stop.Order.Run {
			f.end(worker, stop.Order.Task, infra.OutcomeStopped)
		}
	}
	return len(plan.OrphanStops)
}

// Guards against a task that runs twice for good: a worker whose lease was taken for ended still runs it, answers again,
// and its lease is renewed. The case review/6 ended so.
func TestRunOnAWorkerThatAnswersAgainIsStopped(t *testing.T) {
	f := newFixture(t, 1)
	f.state.AddJob(job("0000000000000001", step(1, 1000)), nil)
	f.step()
	assert.Equal(t, f.runs(), 1)
	worker := f.workers[0]
	f.loseWorker(worker)
	f.report(worker)
	f.addWorker("w1", "zone-1")
	stops := 0
	for range 50 {
		plan := f.step()
		assert.Equal(t, len(f.runningTwice()), 0, "the task was started elsewhere")
		stops += f.stopOrphans(plan)
	}
	assert.Equal(t, stops, 1)
	assert.Equal(t, f.runs(), 1, "the task waits although its run has ended")
	assert.Equal(t, len(f.started), 2)
}

// Guards against a task that runs twice for good after it was started elsewhere: the earlier run is stopped once its worker
// answers again, and no other task gets the room that it still takes.
func TestEarlierRunOfATaskThatRunsElsewhereIsStopped(t *testing.T) {
	f := newFixture(t, 1)
	f.state.AddJob(job("0000000000000001", step(1, testMilliCPU)), nil)
	f.step()
	worker := f.workers[0]
	f.loseWorker(worker)
	f.workers = nil
	other := f.addWorker("w1", "zone-1")
	f.step()
	assert.Equal(t, len(f.running[other]), 1)
	f.workers = append(f.workers, worker)
	f.report(worker)
	f.now = f.now.Add(time.Millisecond)
	f.report(worker)
	f.state.AddJob(job("0000000000000002", step(1, testMilliCPU)), nil)
	plan := f.step()
	assert.Equal(t, len(f.running[worker]), 1, "a task was started beside a run that takes all room")
	assert.Equal(t, f.stopOrphans(plan), 1)
	f.step()
	f.step()
	assert.Equal(t, len(f.runningTwice()), 0)
	assert.Equal(t, len(f.running[other])+len(f.running[worker]), 2)
}

// Guards against stopping and delaying runs because of a report that was overtaken by a newer one.
func TestOvertakenReportStopsNothing(t *testing.T) {
	f := newFixture(t, 1)
	f.state.AddJob(job("0000000000000001", step(1, 1000)), nil)
	f.step()
	worker := f.workers[0]
	requested := f.now
	old := infra.RunReport{Incarnation: 1, Active: []infra.ActiveRun{{Task: "0000000000000001.0.0.0", Run: 1}}}
	f.now = f.now.Add(50 * time.Millisecond)
	f.endAll(infra.OutcomeFailed)
	f.report(worker)
	f.state.ApplyReport(worker, old, requested, f.now, f.unixMs())
	f.report(worker)
	f.now = f.now.Add(avoidDuration)
	plan := f.step()
	assert.Equal(t, len(plan.OrphanStops), 0)
	assert.Equal(t, f.runs(), 1, "the task is held although its run has ended")
}

package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/infra"
)

// newGangFixture returns a fixture with a running gang of the given number of members, one or more on each worker.
func newGangFixture(t *testing.T, members, perWorker int) (*fixture, *siskinv1.Workflow) {
	t.Helper()
	f := newFixture(t, 4*members)
	gang := step(int32(members), int64(testMilliCPU/perWorker))
	gang.Gang = true
	record := job("a", gang)
	f.state.AddJob(record, nil)
	f.step()
	assert.Equal(t, f.runs(), members)
	return f, record
}

// endGang ends the run of the gang: the given members fail, and the others end because of that.
func (f *fixture) endGang(failing ...int) {
	for worker, runs := range f.running {
		for task := range runs {
			outcome := infra.OutcomeGangBroken
			for _, index := range failing {
				if task == fmt.Sprintf("a.0.0.%d", index) {
					outcome = infra.OutcomeFailed
				}
			}
			f.end(worker, task, outcome)
		}
	}
}

// save makes all changes durable.
func (f *fixture) save() { f.state.Committed(f.state.TakeChanges(allJobs), f.now) }

// member returns a member of the gang.
func (f *fixture) member(index int) *Task {
	return &f.state.Job("a").occurrences[0].steps[0].tasks[index]
}

func (f *fixture) phase() siskinv1.WorkflowPhase { return f.state.Job("a").Phase }

// Guards against a gang of which several members fail in one run, and which is shown as failed although it has attempts
// left: each member's end counted as a failed run (review/13).
func TestGangRunCountsOneFailure(t *testing.T) {
	reportAll := func(f *fixture, _ *siskinv1.Workflow) *fixture {
		for _, w := range f.workers {
			f.report(w)
		}
		return f
	}
	takeOverAfter := func(f *fixture, record *siskinv1.Workflow) *fixture {
		for _, w := range f.workers {
			if len(f.ended[w]) > 0 {
				f.report(w)
				f.save()
				f = f.next(record)
			}
		}
		return f
	}
	for _, c := range []struct {
		name               string
		members, perWorker int
		failing            []int
		// tell reports the ends, and returns the fixture of the controller that has the job then.
		tell func(*fixture, *siskinv1.Workflow) *fixture
	}{
		{"two on two workers", 2, 1, []int{0, 1}, reportAll},
		{"two on one worker, in one report", 2, 2, []int{0, 1}, reportAll},
		{"four on two workers, of which two fail", 4, 2, []int{1, 3}, reportAll},
		{"three on three workers", 3, 1, []int{0, 1, 2}, reportAll},
		{"the controller changes after each report", 3, 1, []int{0, 1, 2}, takeOverAfter},
		{"the ends are listed again to the next controller", 2, 2, []int{0, 1}, func(f *fixture, record *siskinv1.Workflow) *fixture {
			reportAll(f, record)
			f.save()
			return reportAll(f.next(record), record)
		}},
		{"the ends were read but not stored", 2, 1, []int{0, 1}, func(f *fixture, record *siskinv1.Workflow) *fixture {
			next := f.next(record)
			reportAll(f, record)
			return reportAll(next, record)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f, record := newGangFixture(t, c.members, c.perWorker)
			f.endGang(c.failing...)
			f = c.tell(f, record)
			for range 3 {
				f.step()
			}
			assert.Equal(t, f.phase(), siskinv1.WorkflowPhase_WORKFLOW_PHASE_QUEUED, "one of two attempts has failed")
			assert.Equal(t, f.member(0).run, int32(2))
			assert.Equal(t, f.runs(), c.members)
			f.endGang(c.failing...)
			f = c.tell(f, record)
			assert.Equal(t, f.phase(), siskinv1.WorkflowPhase_WORKFLOW_PHASE_FAILED, "both attempts have failed")
			f.step()
			assert.Equal(t, f.runs(), 0)
		})
	}
}

// Guards against a gang that is never given up, or too late: it fails in every run, each time another member or several,
// and between the failed runs one ends for another reason, or the controller changes.
func TestFailingGangEndsAfterItsAttempts(t *testing.T) {
	const attempts, members = 4, 3
	for _, c := range []struct {
		name    string
		between func(f *fixture, record *siskinv1.Workflow) *fixture
	}{
		{"nothing between", func(f *fixture, _ *siskinv1.Workflow) *fixture { return f }},
		{"a run that is only broken", func(f *fixture, _ *siskinv1.Workflow) *fixture {
			f.endGang()
			f.step()
			f.step()
			return f
		}},
		{"a run that waited for a member", func(f *fixture, _ *siskinv1.Workflow) *fixture {
			f.endAll(infra.OutcomeGangIncomplete)
			f.step()
			f.step()
			return f
		}},
		{"a run whose leases ended", func(f *fixture, _ *siskinv1.Workflow) *fixture {
			f.endAll(infra.OutcomeExpired)
			f.step()
			f.step()
			return f
		}},
		{"a change of controllers", func(f *fixture, record *siskinv1.Workflow) *fixture {
			f.save()
			next := f.next(record)
			next.step()
			next.step()
			return next
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f, record := newGangFixture(t, members, 1)
			f.queue.MaxAttempts = attempts
			for failed := 1; ; failed++ {
				assert.Equal(t, f.runs(), members)
				failing := []int{failed % members}
				if failed%2 == 0 {
					failing = append(failing, (failed+1)%members)
				}
				f.endGang(failing...)
				f.step()
				f.step()
				if f.phase() == siskinv1.WorkflowPhase_WORKFLOW_PHASE_FAILED {
					assert.Equal(t, failed, attempts)
					return
				}
				assert.Assert(t, failed < attempts, "not given up after %d failed runs", failed)
				f = c.between(f, record)
				f.queue.MaxAttempts = attempts
			}
		})
	}
}

// Guards against a gang that fails its next run on the same worker: only the member that had failed there avoided it, and
// another one was placed on it.
func TestGangAvoidsWorkersOfItsFailedRun(t *testing.T) {
	for _, failing := range [][]int{{0}, {1}, {0, 1}} {
		t.Run(fmt.Sprint(failing), func(t *testing.T) {
			f, _ := newGangFixture(t, 2, 1)
			first := map[string]bool{}
			for _, index := range failing {
				first[f.member(index).WorkerID()] = true
			}
			f.endGang(failing...)
			f.step()
			f.step()
			assert.Equal(t, f.member(0).run, int32(2))
			for i := range 2 {
				assert.Assert(t, !first[f.member(i).WorkerID()], "%s was placed on %s again", f.member(i).ID(), f.member(i).WorkerID())
			}
		})
	}
}

// Guards against a gang that waits for its avoided workers although it is more likely at fault than they are: it failed on many of
// them, and the others cannot take it.
func TestGangReturnsToAvoidedWorkers(t *testing.T) {
	for _, c := range []struct {
		name    string
		failing []int
		waits   bool
	}{{"few failed", []int{0, 1}, true}, {"many failed", []int{0, 1, 2}, false}} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, 4)
			f.queue.MaxAttempts = 0
			gang := step(3, testMilliCPU)
			gang.Gang = true
			f.state.AddJob(job("a", gang), nil)
			f.step()
			assert.Equal(t, f.runs(), 3)
			f.endGang(c.failing...)
			f.step()
			f.step()
			assert.Equal(t, f.runs() == 0, c.waits)
			f.now = f.now.Add(avoidDuration)
			f.step()
			assert.Equal(t, f.runs(), 3, "avoided for a limited time")
		})
	}
}

// Guards against a sound worker that is suspended, or suspended for longer, because several members of one gang failed or stalled
// on it in one run.
func TestGangRunCountsOnceAgainstItsWorker(t *testing.T) {
	const members = 2 * failuresToSuspend
	t.Run("failed", func(t *testing.T) {
		f, _ := newGangFixture(t, members, members)
		f.queue.MaxAttempts = 0
		worker := f.member(0).worker
		for run := 1; run <= failuresToSuspend; run++ {
			assert.Equal(t, f.runs(), members)
			assert.Assert(t, worker.isSchedulable(f.now), "suspended after %d failed runs", run-1)
			f.endAll(infra.OutcomeFailed)
			f.report(worker)
			assert.Equal(t, worker.health.failures, run)
			f.now = f.now.Add(avoidDuration)
			f.step()
		}
		assert.Equal(t, worker.health.suspensions, 1, "a worker that fails all its runs is suspended")
	})
	t.Run("stalled", func(t *testing.T) {
		f, _ := newGangFixture(t, members, members)
		for range 100 {
			f.now = f.now.Add(50 * time.Millisecond)
			for _, w := range f.workers {
				f.report(w)
			}
		}
		worker := f.member(0).worker
		assert.Assert(t, f.member(0).stop, "the run has stalled")
		assert.Equal(t, worker.health.suspensions, 1)
	})
}

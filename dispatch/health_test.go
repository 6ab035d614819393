package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/infra"
)

// healthSim runs a fixture whose tasks end as a function decides.
type healthSim struct {
	*fixture
	// outcome returns how a run ends at an age, or infra.OutcomeUnknown if it goes on.
	outcome func(worker *Worker, task string, age time.Duration) infra.Outcome
	began   map[string]time.Time
}

func newHealthSim(t *testing.T, workers int) *healthSim {
	return &healthSim{fixture: newFixture(t, workers), began: map[string]time.Time{}}
}

func (s *healthSim) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.step()
		for worker, runs := range s.running {
			for task, run := range runs {
				key := fmt.Sprintf("%s/%d", task, run.Run)
				if s.began[key].IsZero() {
					s.began[key] = s.now
				}
				run.Percent = 100
				runs[task] = run
				if how := s.outcome(worker, task, s.now.Sub(s.began[key])); how != infra.OutcomeUnknown {
					s.end(worker, task, how)
				}
			}
		}
	}
}

// runsOfJob returns the number of active runs of a job.
func (s *healthSim) runsOfJob(id string) int {
	n := 0
	for _, runs := range s.running {
		for task := range runs {
			if task[:len(id)] == id {
				n++
			}
		}
	}
	return n
}

func lasting(count int32) *siskinv1.WorkflowStep {
	spec := step(count, 1000)
	spec.LongRunning = true
	return spec
}

// failAfter ends runs as failed at an age.
func failAfter(limit time.Duration) func(*Worker, string, time.Duration) infra.Outcome {
	return func(_ *Worker, _ string, age time.Duration) infra.Outcome {
		if age >= limit {
			return infra.OutcomeFailed
		}
		return infra.OutcomeUnknown
	}
}

func goOn(*Worker, string, time.Duration) infra.Outcome { return infra.OutcomeUnknown }

// Guards against long-running tasks that fail for a while and thereby keep all workers on trial for good, as no run of
// theirs ever succeeds.
func TestFailingLongRunningTasksLeaveTheFleetOpen(t *testing.T) {
	for _, images := range []string{"", "image"} {
		s := newHealthSim(t, 12)
		var steps []*siskinv1.WorkflowStep
		for range 3 {
			spec := lasting(12)
			spec.Image = images
			steps = append(steps, spec)
		}
		s.state.AddJob(job("0000000000000001", steps...), nil)
		s.outcome = failAfter(time.Second)
		s.run(15 * time.Second)
		s.outcome = goOn
		s.run(3 * time.Second)
		assert.Equal(t, s.runsOfJob("0000000000000001"), 36)
		s.state.AddJob(job("0000000000000002", step(12, 1000)), nil)
		s.run(time.Second)
		assert.Equal(t, s.runsOfJob("0000000000000002"), 12)
	}
}

// Guards against a trial that only a success ends, on a worker whose tasks all last.
func TestTrialEndsWhileRunsGoOn(t *testing.T) {
	f := newFixture(t, 4)
	w := f.workers[0]
	f.state.suspendSuspected(w, f.now, "test")
	assert.Assert(t, !w.isSchedulable(f.now))
	f.state.AddJob(job("0000000000000001", lasting(32)), nil)
	s := &healthSim{fixture: f, began: map[string]time.Time{}, outcome: goOn}
	s.run(2 * time.Second)
	assert.Equal(t, len(f.running[w]), trialTasks)
	s.run(soundAfter)
	assert.Equal(t, s.runsOfJob("0000000000000001"), 32)
}

// Guards against a worker that stays closed because its trial runs were never sent, or were stopped.
func TestWithdrawnRunsFreeTheirTrial(t *testing.T) {
	f := newFixture(t, 1)
	w := f.workers[0]
	f.state.suspend(w, f.now, suspendMax, "test")
	f.now = f.now.Add(time.Second)
	f.state.AddJob(job("0000000000000001", step(8, 1000)), nil)
	f.state.Plan(f.now, f.unixMs(), AdviceSlots{})
	assert.Equal(t, len(w.tasks), trialTasks)
	orders, _ := f.state.Committed(f.state.TakeChanges(allJobs), f.now)
	for _, order := range orders {
		f.state.Withdraw(order, order.Run())
	}
	assert.Assert(t, w.isSchedulable(f.now))
}

// Guards against a trial that never ends because nothing becomes known of its runs.
func TestTrialEndsByTime(t *testing.T) {
	f := newFixture(t, 1)
	w := f.workers[0]
	f.state.suspend(w, f.now, suspendMax, "test")
	f.now = f.now.Add(suspendMin)
	f.state.AddJob(job("0000000000000001", step(8, 1000)), nil)
	f.state.Plan(f.now, f.unixMs(), AdviceSlots{})
	assert.Assert(t, !w.isSchedulable(f.now))
	assert.Assert(t, w.isSchedulable(f.now.Add(trialLimit)))
}

// Guards against failures that count for the whole life of a worker.
func TestFailuresAreForgotten(t *testing.T) {
	f := newFixture(t, 4)
	w := f.workers[0]
	for i := range 2 * failuresToSuspend {
		j := f.state.AddJob(job(fmt.Sprintf("%016x", i+1), step(1, 1000)), nil)
		f.state.runFailed(&j.occurrences[0].steps[0].tasks[0], w, f.now)
		f.now = f.now.Add(failureMemory + time.Second)
		assert.Assert(t, w.isSchedulable(f.now))
	}
}

// Guards against workers that fail all their tasks and go on to get them, because the tasks are blamed or too many others
// are suspended.
func TestWorkersThatFailAllTasksAreSuspended(t *testing.T) {
	s := newHealthSim(t, 12)
	s.queue.MaxAttempts = 100
	bad := map[*Worker]bool{s.workers[1]: true, s.workers[4]: true, s.workers[8]: true}
	failed := 0
	s.outcome = func(worker *Worker, _ string, age time.Duration) infra.Outcome {
		switch {
		case age < 100*time.Millisecond:
			return infra.OutcomeUnknown
		case bad[worker]:
			failed++
			return infra.OutcomeFailed
		default:
			return infra.OutcomeSucceeded
		}
	}
	for i := range 200 {
		s.state.AddJob(job(fmt.Sprintf("%016x", i+1), step(6, 1000)), nil)
		s.run(50 * time.Millisecond)
	}
	s.run(2 * time.Second)
	assert.Equal(t, len(s.state.activeJobs), 0)
	assert.Assert(t, failed <= 200, "%d of %d runs failed", failed, len(s.started))
}

// Guards against a fleet that is suspended whole, or on trial whole, so that no task starts.
func TestHalfOfTheWorkersStayOpen(t *testing.T) {
	s := newHealthSim(t, 12)
	s.queue.MaxAttempts = 1000
	s.outcome = failAfter(100 * time.Millisecond)
	for i := range 40 {
		s.state.AddJob(job(fmt.Sprintf("%016x", i+1), step(2, 1000)), nil)
	}
	s.run(10 * time.Second)
	open := 0
	for _, w := range s.workers {
		if !w.health.isHeldBack(s.now) {
			open++
		}
	}
	assert.Assert(t, open >= 6, "%d of 12 workers are open", open)
}

// Guards against workers that all decline orders for a while and stay out of use for long after it.
func TestDecliningWorkersAreTriedAgainSoon(t *testing.T) {
	f := newFixture(t, 3)
	f.state.AddJob(job("0000000000000001", step(3, 1000)), nil)
	for end := f.now.Add(20 * time.Second); f.now.Before(end); f.now = f.now.Add(50 * time.Millisecond) {
		f.state.Plan(f.now, f.unixMs(), AdviceSlots{})
		orders, _ := f.state.Committed(f.state.TakeChanges(allJobs), f.now)
		for _, order := range orders {
			f.state.Started(order, order.Run(), infra.ErrWorkerUnhealthy, f.now)
		}
	}
	s := &healthSim{fixture: f, began: map[string]time.Time{}, outcome: goOn}
	s.run(3 * time.Second)
	assert.Equal(t, f.runs(), 3)
}

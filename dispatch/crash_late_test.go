package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/infra"
)

// crashUnder ends the workers that run a task, whatever else runs there.
func (s *crashSim) crashUnder(task string) {
	for _, w := range append([]*Worker(nil), s.workers...) {
		if _, runs := s.running[w][task]; runs {
			s.endWorker(w)
		}
	}
}

// playLateCrashes crashes the worker of the only task of job "late" two seconds after each start, a number of times, each
// time beside tasks that had just begun. Those must succeed.
func playLateCrashes(t *testing.T, late *siskinv1.WorkflowStep, crashes int) *crashSim {
	s := newCrashSim(t, 12)
	s.listed = true
	s.state.AddJob(job("late", late), nil)
	for n := range crashes {
		s.run(4 * time.Second)
		s.state.AddJob(job(fmt.Sprintf("beside%d", n), step(12, 1000)), nil)
		s.run(100 * time.Millisecond)
		s.crashUnder("late.0.0.0")
	}
	s.run(10 * time.Second)
	for n := range crashes {
		assert.Equal(t, s.state.Job(fmt.Sprintf("beside%d", n)).Phase, siskinv1.WorkflowPhase_WORKFLOW_PHASE_SUCCEEDED)
	}
	return s
}

// Guards against a long-running task that is given up, with its whole job, because its workers crashed: its users expect it
// back however its runs end.
func TestLongRunningTaskIsNotGivenUpAfterCrashes(t *testing.T) {
	long := step(1, 1000)
	long.LongRunning = true
	s := playLateCrashes(t, long, 12)
	assert.Assert(t, !s.state.Job("late").Ended())
	assert.Equal(t, s.starts["late.0.0.0"], 13)
	assert.Equal(t, s.runs(), 1)
}

// Guards against a long-running task that crashes each worker at once and is restarted without delay.
func TestDeadlyLongRunningTaskIsDelayed(t *testing.T) {
	s := newCrashSim(t, 12)
	s.listed = true
	long := step(1, 1000)
	long.LongRunning = true
	s.state.AddJob(job("deadly", long), nil)
	s.crashes["deadly.0.0.0"] = true
	s.run(20 * time.Second)
	assert.Assert(t, !s.state.Job("deadly").Ended())
	starts := s.starts["deadly.0.0.0"]
	assert.Assert(t, starts >= 20/4 && starts <= 20/2+4, "%d starts in 20 s", starts)
	s.crashes["deadly.0.0.0"] = false
	s.run(3 * time.Second)
	assert.Equal(t, s.runs(), 1)
}

// Guards against a task that is given up because its workers crashed a few times late in its run, for whatever cause, and
// against one that crashes each of its workers late and is started again without bound.
func TestTaskThatCrashesItsWorkersLateIsGivenUp(t *testing.T) {
	for crashes, want := range map[int]siskinv1.WorkflowPhase{
		crashesToGiveUp - 1: siskinv1.WorkflowPhase_WORKFLOW_PHASE_QUEUED, crashesToGiveUp + 2: siskinv1.WorkflowPhase_WORKFLOW_PHASE_FAILED,
	} {
		s := playLateCrashes(t, step(1, 1000), crashes)
		assert.Equal(t, s.state.Job("late").Phase, want)
		assert.Equal(t, s.starts["late.0.0.0"], crashesToGiveUp)
	}
}

// Guards against a gang that is given up because several workers of its members crashed in one event.
func TestCrashesOfOneGangRunCountOnce(t *testing.T) {
	s := newCrashSim(t, 24)
	s.listed = true
	s.taskTime = time.Hour
	gang := step(12, 6000)
	gang.Gang = true
	s.state.AddJob(job("gang", gang), nil)
	s.gang = "gang.0.0."
	for range 3 {
		s.run(3 * time.Second)
		assert.Equal(t, s.runs(), 12)
		for n := range 3 {
			s.crashUnder(fmt.Sprintf("gang.0.0.%d", n))
		}
	}
	s.taskTime = time.Second
	s.run(20 * time.Second)
	assert.Equal(t, s.state.Job("gang").Phase, siskinv1.WorkflowPhase_WORKFLOW_PHASE_SUCCEEDED)
}

// Guards against a gang whose crash counts again after a change of controllers: workers of several members crash in one event, of which
// each controller sees a part.
func TestCrashOfAGangRunCountsOnceAcrossControllers(t *testing.T) {
	for _, reported := range []bool{false, true} {
		t.Run(fmt.Sprintf("reported to the next controller %v", reported), func(t *testing.T) {
			f, record := newGangFixture(t, 3, 1)
			f.now = f.now.Add(time.Second)
			for n := range 3 {
				if reported && n > 0 {
					f.report(f.member(n).worker)
				}
				f.state.WorkersEnded([]*Worker{f.member(n).worker}, f.now, f.now, f.unixMs())
				f.now = f.now.Add(20 * time.Millisecond)
				assert.Equal(t, f.member(0).crashes.losses(), int32(1))
				f.save()
				f = f.next(record)
			}
		})
	}
}

// Guards against a task that is given up because start orders to workers that were cut off, and came back as new
// incarnations, were not answered.
func TestUnansweredStartsGiveNoTaskUp(t *testing.T) {
	f := newFixture(t, 6)
	f.state.AddJob(job("0000000000000001", step(1, 1000)), nil)
	for range 10 {
		f.now = f.now.Add(3 * time.Second)
		f.state.Plan(f.now, f.unixMs(), AdviceSlots{})
		orders, _ := f.state.Committed(f.state.TakeChanges(allJobs), f.now)
		if !assert.Check(t, len(orders) == 1) {
			return
		}
		task, w := orders[0], orders[0].worker
		assert.Assert(t, f.state.ConfirmOrder(task, task.Run(), f.now))
		f.now = f.now.Add(600 * time.Millisecond)
		f.state.Started(task, task.Run(), errNoAnswer, f.now)
		f.state.RenewFailed(w, f.now.Add(-time.Second))
		restarted := infra.RunReport{Incarnation: w.Info.Incarnation + 1}
		f.state.ApplyReport(w, restarted, f.now, f.now, f.unixMs())
		f.publish(w)
		stops := f.state.Plan(f.now, f.unixMs(), AdviceSlots{}).Stops
		assert.Assert(t, len(stops) == 1 && stops[0] == task)
		f.state.Stopped(task, task.Run(), nil, f.now)
		f.now = f.now.Add(time.Second)
		f.state.ApplyReport(w, restarted, f.now, f.now, f.unixMs())
	}
	for _, w := range f.workers {
		f.report(w)
	}
	f.step()
	f.endAll(infra.OutcomeSucceeded)
	f.step()
	f.step()
	assert.Equal(t, f.state.Job("0000000000000001").Phase, siskinv1.WorkflowPhase_WORKFLOW_PHASE_SUCCEEDED)
}

// Guards against a task that crashes its workers before they answer the start order, and is started again without bound.
func TestCrashBeforeTheAnswerCounts(t *testing.T) {
	f := newFixture(t, 6)
	f.state.AddJob(job("0000000000000001", step(1, 1000)), nil)
	starts := 0
	for range 10 {
		f.now = f.now.Add(3 * time.Second)
		f.state.Plan(f.now, f.unixMs(), AdviceSlots{})
		orders, _ := f.state.Committed(f.state.TakeChanges(allJobs), f.now)
		for _, task := range orders {
			starts++
			w := task.worker
			assert.Assert(t, f.state.ConfirmOrder(task, task.Run(), f.now))
			f.now = f.now.Add(20 * time.Millisecond)
			f.state.Started(task, task.Run(), infra.ErrConnectionClosed, f.now)
			f.state.RenewFailed(w, f.now)
			f.now = f.now.Add(time.Millisecond) // the listing is requested after the loss
			f.state.WorkersEnded([]*Worker{w}, f.now, f.now, f.unixMs())
		}
	}
	assert.Equal(t, f.state.Job("0000000000000001").Phase, siskinv1.WorkflowPhase_WORKFLOW_PHASE_FAILED)
	assert.Equal(t, starts, 2)
}

// Guards against a job that is shown as failed although no run of it failed, because the only worker that may run it crashes
// again and again (review/8).
func TestCrashesOfOneWorkerGiveNoTaskUp(t *testing.T) {
	f := newFixture(t, 1)
	long := step(1, 1000)
	long.EstimateMs = time.Hour.Milliseconds() // so that the run does not count as stalled
	f.state.AddJob(job("0000000000000001", long), nil)
	worker := f.workers[0]
	for n := range 2 * crashesToGiveUp {
		for range 80 {
			f.step()
		}
		assert.Equal(t, f.runs(), 1, "crash %d", n)
		f.now = f.now.Add(3 * time.Second)
		clear(f.running[worker])
		f.ended[worker], f.numbers[worker] = nil, 0
		restarted := infra.RunReport{Incarnation: worker.Info.Incarnation + 1}
		f.state.ApplyReport(worker, restarted, f.now, f.now, f.unixMs())
		f.publish(worker)
	}
	assert.Assert(t, !f.state.Job("0000000000000001").Ended())
	restored := New(Limits{}, discardLog{}).AddJob(f.state.Job("0000000000000001").Record, f.state.Job("0000000000000001").Progress())
	assert.DeepEqual(t, restored.task([3]int{}).crashes.crashedWorkers(), []string{worker.Info.ID})
}

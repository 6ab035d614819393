package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"siskinstack.example/siskinstack/infra"
)

// answerAs applies the answer of an incarnation of a worker to a renewal that was requested at sent.
func (f *fixture) answerAs(worker *Worker, incarnation int64, sent time.Time, runs ...infra.ActiveRun) {
	f.state.ApplyReport(worker, infra.RunReport{Incarnation: incarnation, ClockMs: 1, Active: runs}, sent, f.now, f.unixMs())
	f.state.SetWorker(worker.Info)
}

// order plans the waiting tasks and returns those whose start order has been sent.
func (f *fixture) order() []*Task {
	f.now = f.now.Add(time.Millisecond)
	f.state.Plan(f.now, f.unixMs(), AdviceSlots{Free: 4})
	orders, _ := f.state.Committed(f.state.TakeChanges(allJobs), f.now)
	var sent []*Task
	for _, task := range orders {
		if f.state.ConfirmOrder(task, task.Run(), f.now) {
			sent = append(sent, task)
		}
	}
	return sent
}

// orderOne is order for a single task.
func (f *fixture) orderOne() *Task {
	f.t.Helper()
	tasks := f.order()
	assert.Equal(f.t, len(tasks), 1)
	return tasks[0]
}

func (f *fixture) wait(d time.Duration) time.Time {
	f.now = f.now.Add(d)
	return f.now
}

func runOf(task *Task) infra.ActiveRun { return infra.ActiveRun{Task: task.ID(), Run: task.Run()} }

// newRestartFixture returns a fixture with one worker, and a job of one task.
func newRestartFixture(t *testing.T) (*fixture, *Worker) {
	f := newFixture(t, 1)
	f.state.AddJob(job("0000000000000001", step(1, 1000)), nil)
	return f, f.workers[0]
}

// Guards against a task that runs twice because a late report of the former incarnation counts as a restart.
func TestLateReportOfTheFormerIncarnationEndsNoRun(t *testing.T) {
	for _, c := range []struct {
		name string
		next int64
	}{{"clock goes on", 2}, {"clock set back", -5}} {
		t.Run(c.name, func(t *testing.T) {
			f, worker := newRestartFixture(t)
			requested := f.wait(time.Millisecond)
			f.wait(time.Millisecond)
			f.answerAs(worker, c.next, f.now)
			task := f.orderOne()
			f.wait(time.Millisecond)
			f.state.Started(task, 1, nil, f.now)
			f.wait(time.Millisecond)
			f.answerAs(worker, 1, requested)
			assert.Equal(t, len(f.order()), 0, "the task starts again while its run goes on")
			assert.Equal(t, worker.Info.Incarnation, c.next)
			f.wait(time.Millisecond)
			f.answerAs(worker, c.next, f.now, runOf(task))
			assert.Equal(t, task.WorkerID(), worker.Info.ID)
		})
	}
}

// unanswered orders one task whose start order gets no answer, and returns it with the stop order that follows.
func (f *fixture) unanswered() *Task {
	f.t.Helper()
	task := f.orderOne()
	f.wait(time.Millisecond)
	f.state.Started(task, 1, infra.ErrConnectionClosed, f.now)
	f.assertStopPlanned()
	return task
}

func (f *fixture) assertStopPlanned() {
	f.t.Helper()
	f.wait(time.Millisecond)
	plan := f.state.Plan(f.now, f.unixMs(), AdviceSlots{Free: 4})
	assert.Equal(f.t, len(plan.Stops), 1, "the run is not stopped")
}

// Guards against a task that runs twice because a report older than its start ends the run on the new incarnation.
func TestReportRequestedBeforeTheStartDoesNotEndARunOnTheNewIncarnation(t *testing.T) {
	f, worker := newRestartFixture(t)
	requested := f.wait(time.Millisecond)
	task := f.orderOne()
	f.wait(time.Millisecond)
	f.state.Started(task, 1, nil, f.now)
	f.wait(time.Millisecond)
	f.answerAs(worker, 2, requested)
	assert.Equal(t, len(f.order()), 0, "the task starts again while its run goes on")
	f.wait(time.Millisecond)
	f.answerAs(worker, 2, f.now, runOf(task))
	assert.Equal(t, len(f.order()), 0)
	assert.Equal(t, task.WorkerID(), worker.Info.ID)
	assert.Assert(t, !worker.HasOrphans())
}

// Guards against the same if the report is applied before the answer to the start.
func TestReportAppliedBeforeTheAnswerToTheStartDoesNotEndTheRun(t *testing.T) {
	f, worker := newRestartFixture(t)
	requested := f.wait(time.Millisecond)
	task := f.orderOne()
	f.wait(time.Millisecond)
	f.answerAs(worker, 2, requested)
	f.wait(time.Millisecond)
	f.state.Started(task, 1, nil, f.now)
	assert.Equal(t, len(f.order()), 0)
	f.wait(time.Millisecond)
	f.answerAs(worker, 2, f.now, runOf(task))
	assert.Equal(t, task.WorkerID(), worker.Info.ID)
}

// Guards against a run of the former incarnation that is never given up.
func TestRunOfTheFormerIncarnationIsLostByTheNextReport(t *testing.T) {
	f, worker := newRestartFixture(t)
	requested := f.wait(time.Millisecond)
	task := f.orderOne()
	f.wait(time.Millisecond)
	f.state.Started(task, 1, nil, f.now)
	f.wait(time.Millisecond)
	f.answerAs(worker, 2, requested)
	assert.Assert(t, worker.IsUnsettled())
	f.wait(time.Millisecond)
	f.answerAs(worker, 2, f.now)
	assert.Assert(t, !worker.IsUnsettled())
	assert.Equal(t, len(f.order()), 1, "the task waits although its run ended with the worker")
}

// Guards against a late start on the new incarnation after the task was placed again: only the former one was told to stop it.
func TestStopAnsweredByTheFormerIncarnationIsRepeated(t *testing.T) {
	for _, c := range []struct {
		name    string
		overlap bool
	}{{"answered before the restart", false}, {"answered after the restart", true}} {
		t.Run(c.name, func(t *testing.T) {
			f, worker := newRestartFixture(t)
			task := f.unanswered()
			f.wait(time.Millisecond)
			if !c.overlap {
				f.state.Stopped(task, 1, nil, f.now)
			}
			f.wait(time.Millisecond)
			f.answerAs(worker, 2, f.now)
			f.wait(time.Millisecond)
			if c.overlap {
				f.state.Stopped(task, 1, nil, f.now)
			}
			f.wait(time.Millisecond)
			f.answerAs(worker, 2, f.now)
			assert.Equal(t, task.WorkerID(), worker.Info.ID, "the new incarnation may still carry out the start")
			f.assertStopPlanned()
			f.wait(time.Millisecond)
			f.state.Stopped(task, 1, nil, f.now)
			f.wait(time.Millisecond)
			f.answerAs(worker, 2, f.now)
			assert.Equal(t, len(f.order()), 1, "the task waits although its run was stopped")
		})
	}
}

// Guards against a task that starts while an orphan of it runs: a report that was requested before the orphan was seen does not
// list it.
func TestReportOlderThanAnOrphanDoesNotFreeItsTask(t *testing.T) {
	f, worker := newRestartFixture(t)
	requested := f.wait(time.Millisecond)
	f.wait(time.Millisecond)
	orphan := infra.ActiveRun{Task: "0000000000000001.0.0.0", Run: 1}
	f.answerAs(worker, 1, f.now, orphan)
	f.wait(time.Millisecond)
	f.answerAs(worker, 1, requested)
	assert.Equal(t, len(f.order()), 0)
	assert.Assert(t, worker.HasOrphans())
	f.wait(time.Millisecond)
	f.answerAs(worker, 1, f.now)
	assert.Assert(t, !worker.HasOrphans())
	f.wait(orphanHold / 4)
	assert.Equal(t, len(f.order()), 1)
}

// Guards against a suspect that is cleared by a report that is older than its run: its worker may have crashed meanwhile.
func TestReportOlderThanAProbeDoesNotClearTheSuspect(t *testing.T) {
	f, worker := newRestartFixture(t)
	requested := f.wait(time.Millisecond)
	f.state.Job("0000000000000001").task([3]int{}).crashes = crashCount{certain: 1, suspect: true}
	task := f.orderOne()
	f.state.Started(task, 1, nil, f.now)
	f.wait(2 * startupWindow)
	f.answerAs(worker, 1, requested)
	f.order()
	assert.Assert(t, worker.IsProbing(), "the suspect is cleared by a report that does not list its run")
	f.wait(time.Millisecond)
	f.answerAs(worker, 1, f.now, runOf(task))
	f.order()
	assert.Assert(t, !worker.IsProbing())
}

// Guards against tasks that a worker gets by an entry of its former incarnation, whose number is higher because the clock was
// set back.
func TestEntryOfAFormerIncarnationWithAHigherNumberDescribesNothing(t *testing.T) {
	f, worker := newRestartFixture(t)
	f.wait(time.Millisecond)
	f.state.ApplyReport(worker, infra.RunReport{Incarnation: -5, ClockMs: 1}, f.now, f.now, f.unixMs())
	assert.Equal(t, len(f.order()), 0)
	f.publish(worker)
	f.wait(time.Second)
	assert.Equal(t, len(f.order()), 1)
}

// Guards against a task that runs twice because its worker is listed as ended while an order is under way, which the worker
// takes when it is back.
func TestOrderUnderWayToAnEndedWorkerHoldsItsTask(t *testing.T) {
	for _, c := range []struct {
		name   string
		taken  bool
		orders int
	}{{"taken by the next incarnation", true, 0}, {"not taken", false, 1}} {
		t.Run(c.name, func(t *testing.T) {
			f, _ := newRestartFixture(t)
			f.state.limits.OrderTimeout = 600 * time.Millisecond
			f.addWorker("other", "zone-1")
			f.wait(time.Millisecond)
			task := f.orderOne()
			worker := task.worker
			f.wait(time.Millisecond)
			f.state.WorkersEnded([]*Worker{worker}, f.now, f.now, f.unixMs())
			f.wait(500 * time.Millisecond)
			f.state.ExpireLeases(f.now, f.unixMs())
			assert.Equal(t, len(f.order()), 0, "the task starts while an order for it is under way")
			if c.taken {
				f.state.RenewSent(worker, f.now.Add(6*time.Second))
				f.state.Started(task, 1, nil, f.now)
				f.wait(time.Millisecond)
				f.answerAs(worker, 2, f.now, runOf(task))
			}
			f.wait(time.Second)
			f.state.ExpireLeases(f.now, f.unixMs())
			assert.Equal(t, len(f.order()), c.orders)
		})
	}
}

// Guards against a task that runs twice because a listing of machines, requested while its worker was down, ends a run that the
// next incarnation has answered since.
func TestListingRequestedBeforeTheAnswerDoesNotEndARun(t *testing.T) {
	f, worker := newRestartFixture(t)
	requested := f.wait(time.Millisecond)
	task := f.orderOne()
	f.state.RenewSent(worker, f.wait(time.Millisecond).Add(6*time.Second))
	f.state.Started(task, 1, nil, f.now)
	f.wait(time.Millisecond)
	f.state.WorkersEnded([]*Worker{worker}, requested, f.now, f.unixMs())
	f.wait(time.Millisecond)
	f.answerAs(worker, 2, requested)
	assert.Equal(t, len(f.order()), 0, "the task starts again while its run goes on")
	assert.Equal(t, task.WorkerID(), worker.Info.ID)
}

// Guards against a task that waits for the lease of an answered run although a later listing shows that it has ended.
func TestLaterListingEndsARunThatAnEarlierOneLeft(t *testing.T) {
	f, _ := newRestartFixture(t)
	f.addWorker("other", "zone-1")
	requested := f.wait(time.Millisecond)
	task := f.orderOne()
	worker := task.worker
	f.state.RenewSent(worker, f.wait(time.Millisecond).Add(6*time.Second))
	f.state.Started(task, 1, nil, f.now)
	f.state.WorkersEnded([]*Worker{worker}, requested, f.now, f.unixMs())
	assert.Assert(t, f.state.HasUnreachableTasks())
	again := f.wait(50 * time.Millisecond)
	f.wait(time.Millisecond)
	f.state.WorkersEnded([]*Worker{worker}, again, f.now, f.unixMs())
	assert.Equal(t, len(f.order()), 1)
}

// Guards against a task that starts while a report of an incarnation that may be the newer one lists its run.
func TestRunOfAnOverlappingReportHoldsItsTask(t *testing.T) {
	f, worker := newRestartFixture(t)
	f.addWorker("other", "zone-1")
	requested := f.wait(time.Millisecond)
	f.wait(time.Millisecond)
	f.answerAs(worker, 1, f.now)
	f.wait(time.Millisecond)
	f.answerAs(worker, 2, requested, infra.ActiveRun{Task: "0000000000000001.0.0.0", Run: 1})
	assert.Equal(t, len(f.order()), 0)
	f.wait(time.Millisecond)
	f.answerAs(worker, 1, f.now)
	f.wait(orphanHold / 4)
	assert.Equal(t, len(f.order()), 1, "the task waits although the report of the newer incarnation does not list its run")
}

// Guards against a worker that is not asked again although a report of the former incarnation, or one with rows missing, settles
// nothing.
func TestOnlyAWholeLaterReportSettlesAWorker(t *testing.T) {
	f, worker := newRestartFixture(t)
	requested := f.wait(time.Millisecond)
	f.wait(time.Millisecond)
	f.answerAs(worker, 1, f.now)
	f.wait(time.Millisecond)
	f.answerAs(worker, 2, requested)
	assert.Assert(t, worker.IsUnsettled())
	f.wait(time.Millisecond)
	f.answerAs(worker, 1, requested)
	assert.Assert(t, worker.IsUnsettled(), "settled by a report that was requested before")
	f.wait(time.Millisecond)
	f.state.ApplyReport(worker, infra.RunReport{Incarnation: 2, ClockMs: 1, Incomplete: true}, f.now, f.now, f.unixMs())
	assert.Assert(t, worker.IsUnsettled(), "settled by an incomplete report")
	f.wait(time.Millisecond)
	f.answerAs(worker, 2, f.now)
	assert.Assert(t, !worker.IsUnsettled())
}

// Guards against a member of a gang that waits alone on the next incarnation of its worker.
func TestMemberOfALostGangIsStopped(t *testing.T) {
	gang := func(t *testing.T) (*fixture, *Worker, []*Task) {
		f := newFixture(t, 1)
		f.state.limits.OrderTimeout = 750 * time.Millisecond
		spec := step(2, 1000)
		spec.Gang = true
		f.state.AddJob(job("0000000000000001", spec), nil)
		tasks := f.order()
		f.wait(time.Millisecond)
		f.state.Started(tasks[0], 1, nil, f.now)
		return f, f.workers[0], tasks
	}
	t.Run("order under way", func(t *testing.T) {
		f, worker, tasks := gang(t)
		f.wait(time.Millisecond)
		f.state.WorkersEnded([]*Worker{worker}, f.now, f.now, f.unixMs())
		f.state.RenewSent(worker, f.now.Add(6*time.Second))
		f.wait(300 * time.Millisecond)
		f.state.Started(tasks[1], 1, nil, f.now)
		f.answerAs(worker, 2, f.now, runOf(tasks[1]))
		f.assertStopPlanned()
	})
	t.Run("answered after the report was requested", func(t *testing.T) {
		f, worker, tasks := gang(t)
		requested := f.wait(time.Millisecond)
		f.wait(time.Millisecond)
		f.state.Started(tasks[1], 1, nil, f.now)
		f.wait(time.Millisecond)
		f.answerAs(worker, 2, requested)
		f.wait(time.Millisecond)
		f.answerAs(worker, 2, f.now, runOf(tasks[1]))
		f.assertStopPlanned()
	})
}

// Guards against a crash that is counted although the worker had announced its end: its new entry is read before its report.
func TestAnnouncedEndBeforeARestartIsNoCrash(t *testing.T) {
	for _, entryFirst := range []bool{false, true} {
		f, worker := newRestartFixture(t)
		f.wait(time.Millisecond)
		task := f.orderOne()
		f.state.Started(task, 1, nil, f.now)
		f.wait(time.Millisecond)
		f.answerAs(worker, 1, f.now, runOf(task))
		leaving, ready := worker.Info, worker.Info
		leaving.Draining, ready.Incarnation = true, 2
		f.state.SetWorker(leaving)
		f.wait(time.Second)
		if entryFirst {
			f.state.SetWorker(ready)
		}
		f.state.ApplyReport(worker, infra.RunReport{Incarnation: 2, ClockMs: 1}, f.now, f.now, f.unixMs())
		assert.Assert(t, task.worker == nil)
		assert.Equal(t, task.crashes, crashCount{}, "entry first: %v", entryFirst)
		f.state.SetWorker(ready)
		f.wait(time.Millisecond)
		f.answerAs(worker, 2, f.now)
		task = f.orderOne()
		f.state.Started(task, 2, nil, f.now)
		f.wait(time.Millisecond)
		f.answerAs(worker, 3, f.now)
		assert.Equal(t, task.crashes.certain, int32(1), "the next incarnation did not announce its end")
	}
}

// Guards against the same if an earlier controller sent the order.
func TestOrderOfAnEarlierControllerToAnEndedWorkerHoldsItsTask(t *testing.T) {
	former, worker := newRestartFixture(t)
	task := former.orderOne()
	record := task.Record()
	f := newFixture(t, 0)
	f.now = former.now
	f.state.limits.OrderTimeout = 600 * time.Millisecond
	f.state.AddJob(record, former.state.Job(record.GetId()).Progress())
	f.state.AssumeLeases(f.now, f.now.Add(6*time.Second))
	worker, _ = f.state.SetWorker(worker.Info)
	f.addWorker("other", "zone-1")
	f.wait(time.Millisecond)
	f.state.WorkersEnded([]*Worker{worker}, f.now, f.now, f.unixMs())
	f.wait(500 * time.Millisecond)
	f.state.ExpireLeases(f.now, f.unixMs())
	assert.Equal(t, len(f.order()), 0, "the task starts while an order for it is under way")
	f.wait(time.Second)
	f.state.ExpireLeases(f.now, f.unixMs())
	assert.Equal(t, len(f.order()), 1)
}

// Guards against a task that waits for the lease of an unanswered order although a later listing shows that no incarnation can
// have taken it.
func TestLaterListingFreesTheTaskOfAnUnansweredOrder(t *testing.T) {
	f, _ := newRestartFixture(t)
	f.addWorker("other", "zone-1")
	requested := f.wait(time.Millisecond)
	task := f.orderOne()
	worker := task.worker
	f.wait(time.Millisecond)
	f.state.RenewSent(worker, f.now.Add(6*time.Second))
	f.state.Started(task, 1, infra.ErrConnectionClosed, f.now)
	f.state.WorkersEnded([]*Worker{worker}, requested, f.now, f.unixMs())
	f.wait(100 * time.Millisecond)
	f.state.ExpireLeases(f.now, f.unixMs())
	assert.Equal(t, len(f.order()), 0, "the next incarnation may have taken the order")
	again := f.wait(time.Millisecond)
	f.state.WorkersEnded([]*Worker{worker}, again, f.now, f.unixMs())
	assert.Equal(t, len(f.order()), 1)
}

package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/infra"
)

// Guards against draining more tasks of a service at once than its max_unavailable allows.
func TestDrainKeepsWithinMaxUnavailable(t *testing.T) {
	f := newFixture(t, 2)
	longRunning := step(4, 1000)
	longRunning.LongRunning, longRunning.MaxUnavailable = true, 1
	f.state.AddJob(job("service", longRunning), nil)
	f.step()
	f.setPercent(fullPercent)
	f.step()
	old := f.workers[0]
	assert.Equal(t, len(f.running[old]), 4, "best fit puts all on one worker")
	f.state.Cordon("w0", true)
	for range 4 {
		f.step()
		f.step()
		f.step()
		assert.Equal(t, f.runs(), 4, "one task moved at a time")
		ready := 0
		for _, runs := range f.running {
			for _, run := range runs {
				if run.Percent == fullPercent {
					ready++
				}
			}
		}
		assert.Assert(t, ready >= 3, "%d of 4 ready", ready)
		f.setPercent(fullPercent)
	}
	f.step()
	assert.Equal(t, len(f.running[old]), 0)
	assert.Assert(t, f.state.IsEmpty("w0", false))
}

// Guards against a drain that loses work or never completes: tasks with checkpoints move, others finish, and no new
// task starts on the worker.
func TestDrainMovesTasksWithCheckpoints(t *testing.T) {
	f := newFixture(t, 2)
	checkpointing, plain := step(1, 1000), step(1, 1000)
	checkpointing.Checkpointing = true
	f.state.AddJob(job("saving", checkpointing), nil)
	f.state.AddJob(job("plain", plain), nil)
	f.step()
	f.step()
	assert.Equal(t, len(f.running[f.workers[0]]), 2)
	f.state.Cordon("w0", true)
	f.state.AddJob(job("new", step(1, 1000)), nil)
	for range 5 {
		f.step()
	}
	_, stays := f.running[f.workers[0]]["plain.0.0.0"]
	assert.Assert(t, stays)
	assert.Equal(t, len(f.running[f.workers[0]]), 1)
	assert.Equal(t, len(f.running[f.workers[1]]), 2)
	assert.Assert(t, !f.state.IsEmpty("w0", false))
	assert.Assert(t, f.state.IsEmpty("w0", true))
	f.end(f.workers[0], "plain.0.0.0", infra.OutcomeSucceeded)
	f.step()
	assert.Assert(t, f.state.IsEmpty("w0", false))
	f.state.Cordon("w0", false)
	f.state.AddJob(job("more", step(8, 1000)), nil)
	f.step()
	assert.Assert(t, len(f.running[f.workers[0]]) > 0)
}

// Guards against long-running tasks that stay on a draining worker until it leaves: the loss is known only after its
// lease has ended.
func TestLongRunningTasksLeaveADrainingWorker(t *testing.T) {
	f := newFixture(t, 2)
	longRunning := step(2, 1000)
	longRunning.LongRunning = true
	f.state.AddJob(job("service", longRunning), nil)
	f.step()
	f.setPercent(fullPercent)
	f.step()
	leaving := f.workers[0].Info
	leaving.Draining = true
	f.state.SetWorker(leaving)
	for range 5 {
		f.step()
	}
	assert.Equal(t, len(f.running[f.workers[0]]), 0)
	assert.Equal(t, len(f.running[f.workers[1]]), 2)
}

// Guards against long-running tasks that were lost with their worker and wait for advice behind new work: in the day of
// review/3 one was down for 14 s.
func TestInterruptedLongRunningTasksComeFirst(t *testing.T) {
	f := newFixture(t, 3)
	f.queue.Advice = &siskinv1.AdvicePolicy{DecideMs: 450, PerWorkerMs: 6, ValidMs: 60_000}
	longRunning := step(1, 1000)
	longRunning.LongRunning = true
	lasting := job("00000000000000ff", longRunning)
	lasting.AcceptedUnixMs += 3_600_000 // its deadline comes after those of the others
	f.state.AddJob(lasting, nil)
	advise := func(plan Plan) {
		for _, request := range plan.Advice {
			var tickets []infra.Ticket
			for _, id := range request.Workers {
				tickets = append(tickets, infra.Ticket{Worker: id})
			}
			f.state.Advised(request, infra.Advice{Valid: time.Minute, Tickets: tickets}, nil, f.now)
		}
	}
	advise(f.step())
	f.step()
	assert.Equal(t, f.runs(), 1)
	f.endAll(infra.OutcomeFailed)
	f.step()
	clear(f.state.Job("00000000000000ff").occurrences[0].steps[0].advice.tickets)
	for i := range 5 {
		record := job(fmt.Sprintf("%016x", i+1), step(2, 1000))
		record.Queue = f.queue
		f.state.AddJob(record, nil)
	}
	plan := f.state.Plan(f.now.Add(time.Second), f.unixMs(), AdviceSlots{Free: 1})
	assert.Equal(t, len(plan.Advice), 1)
	assert.Equal(t, plan.Advice[0].Job, "00000000000000ff")
}

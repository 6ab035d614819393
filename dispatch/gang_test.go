package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/infra"
)

// Guards against a gang of which only some members are ordered, because the ticket of one worker expired while the
// commit was under way. The others waited three seconds for it and ended.
func TestGangWithAnExpiredTicketIsNotOrderedInPart(t *testing.T) {
	const valid = 2500 * time.Millisecond
	f := newFixture(t, 2)
	f.queue.Advice = &siskinv1.AdvicePolicy{DecideMs: 14, PerWorkerMs: 0.2, ValidMs: valid.Milliseconds()}
	gang := step(4, testMilliCPU/2)
	gang.Gang = true
	record := job("a", gang)
	record.Queue = f.queue
	f.state.AddJob(record, nil)
	for _, worker := range []string{"w0", "w1"} {
		plan := f.state.Plan(f.now, f.unixMs(), AdviceSlots{Free: 1})
		assert.Equal(t, len(plan.Advice), 1)
		answer := infra.Advice{Valid: valid, Tickets: []infra.Ticket{{Worker: worker, Ticket: "t"}}}
		f.state.Advised(plan.Advice[0], answer, nil, f.now)
		f.now = f.now.Add(time.Second)
		clear(f.state.Job("a").occurrences[0].steps[0].advice.asked)
	}
	f.state.Plan(f.now, f.unixMs(), AdviceSlots{})
	changes := f.state.TakeChanges(allJobs)
	assert.Equal(t, len(changes[0].orders), 4)
	f.now = f.now.Add(valid - 2*time.Second)
	orders, _ := f.state.Committed(changes, f.now)
	assert.Equal(t, len(orders), 0)
	assert.Equal(t, f.state.Job("a").Placed(), 0)
}

// Guards against members of a gang that wait for one whose worker declined the start, or whose order was not sent.
func TestGangIsStoppedWhenAMemberDoesNotStart(t *testing.T) {
	for name, refuse := range map[string]func(f *fixture, member *Task){
		"declined": func(f *fixture, member *Task) { f.state.Started(member, member.Run(), infra.ErrWorkerFull, f.now) },
		"not sent": func(f *fixture, member *Task) { f.state.Withdraw(member, member.Run()) },
		"worker drains": func(f *fixture, member *Task) {
			member.worker.Info.Draining = true
			assert.Assert(f.t, !f.state.ConfirmOrder(member, member.Run(), f.now))
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 4)
			gang := step(4, testMilliCPU)
			gang.Gang = true
			f.state.AddJob(job("a", gang), nil)
			f.state.Plan(f.now, f.unixMs(), AdviceSlots{})
			orders, _ := f.state.Committed(f.state.TakeChanges(allJobs), f.now)
			assert.Equal(t, len(orders), 4)
			for _, member := range orders[1:] {
				f.state.Started(member, member.Run(), nil, f.now)
			}
			refuse(f, orders[0])
			f.now = f.now.Add(20 * time.Millisecond)
			plan := f.state.Plan(f.now, f.unixMs(), AdviceSlots{})
			assert.Equal(t, len(plan.Stops), 3)
		})
	}
}

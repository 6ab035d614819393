package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/infra"
)

// Guards against starts with tickets that expired while the store was down. In incident inc-6806, workers declined 66
// such starts; each had a cost, and the tasks waited for the answers.
func TestExpiredTicketIsNotUsed(t *testing.T) {
	const valid = 2500 * time.Millisecond
	f := newFixture(t, 1)
	f.queue.Advice = &siskinv1.AdvicePolicy{DecideMs: 14, PerWorkerMs: 0.2, ValidMs: valid.Milliseconds()}
	record := job("a", step(1, 1000))
	record.Queue = f.queue
	f.state.AddJob(record, nil)
	advise := func() {
		plan := f.state.Plan(f.now, f.unixMs(), AdviceSlots{Free: 1})
		assert.Equal(t, len(plan.Advice), 1)
		answer := infra.Advice{Valid: valid, Tickets: []infra.Ticket{{Worker: "w0", Ticket: "t"}}}
		f.state.Advised(plan.Advice[0], answer, nil, f.now)
		f.state.Plan(f.now, f.unixMs(), AdviceSlots{})
	}

	advise()
	changes := f.state.TakeChanges(allJobs)
	f.now = f.now.Add(valid)
	orders, _ := f.state.Committed(changes, f.now)
	assert.Equal(t, len(orders), 0)

	advise()
	orders, _ = f.state.Committed(f.state.TakeChanges(allJobs), f.now)
	assert.Equal(t, len(orders), 1)
}

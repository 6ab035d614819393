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
	w := newFixture(t, 1)
	w.queue.Advice = &siskinv1.AdvicePolicy{DecideMs: 14, PerWorkerMs: 0.2, ValidMs: valid.Milliseconds()}
	record := job("a", step(1, 1000))
	record.Queue = w.queue
	w.state.AddJob(record, nil)
	advise := func() {
		plan := w.state.Plan(w.now, w.unixMs(), AdviceSlots{Free: 1})
		assert.Equal(t, len(plan.Advice), 1)
		answer := infra.Advice{Valid: valid, Tickets: []infra.Ticket{{Worker: "w0", Ticket: "t"}}}
		w.state.Advised(plan.Advice[0], answer, nil, w.now)
		w.state.Plan(w.now, w.unixMs(), AdviceSlots{})
	}

	advise()
	changes := w.state.TakeChanges(allJobs)
	w.now = w.now.Add(valid)
	orders, _ := w.state.Committed(changes, w.now)
	assert.Equal(t, len(orders), 0)

	advise()
	orders, _ = w.state.Committed(w.state.TakeChanges(allJobs), w.now)
	assert.Equal(t, len(orders), 1)
}

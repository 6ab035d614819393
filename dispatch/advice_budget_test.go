package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/infra"
)

// newAdvisedFixture returns a fixture with the part on and a queue of the given price of advice.
func newAdvisedFixture(t *testing.T, workers int, decideMs, perWorkerMs float64) *fixture {
	f := newFixture(t, workers)
	f.queue.Advice = &siskinv1.AdvicePolicy{DecideMs: decideMs, PerWorkerMs: perWorkerMs, ValidMs: 2500}
	f.state.limits.Features.AdviceBudget = true
	return f
}

// plan plans after 20 ms with a number of machines whose lines are empty.
func (f *fixture) plan(machines int) Plan {
	f.now = f.now.Add(20 * time.Millisecond)
	return f.state.Plan(f.now, f.unixMs(), linesOf(machines))
}

// linesOf returns the slots of a number of machines whose lines are empty.
func linesOf(machines int) AdviceSlots {
	slots := AdviceSlots{Machines: machines, ReservedForQuick: (machines + 2) / 3}
	for i := range machines {
		slots.Lines = append(slots.Lines, AdviceLine{Machine: fmt.Sprintf("m%d", i)})
	}
	return slots
}

// allowAll answers a request with a ticket for each named worker.
func (f *fixture) allowAll(r *AdviceRequest) {
	answer := infra.Advice{Valid: 2500 * time.Millisecond}
	for _, id := range r.Workers {
		answer.Tickets = append(answer.Tickets, infra.Ticket{Worker: id, Ticket: "t"})
	}
	f.state.Advised(r, answer, nil, f.now)
}

// Guards against calls that name so few workers that the step soon needs another one of almost the same price.
func TestCallNamesAsManyWorkersAsItsPriceSuggests(t *testing.T) {
	for _, c := range []struct {
		decideMs, perWorkerMs float64
		want                  int
	}{
		{23.4, 0.338, 35}, {507, 7.28, 7}, {10, 5, minWorkersPerCall}, {500, 1, 50}, {99, 0.4, maxWorkersPerCall}, {20, 0, maxWorkersPerCall},
	} {
		f := newAdvisedFixture(t, 120, c.decideMs, c.perWorkerMs)
		f.state.AddJob(job("0000000000000001", step(2, 1000)), nil)
		plan := f.plan(4)
		assert.Equal(t, len(plan.Advice), 1)
		assert.Equal(t, len(plan.Advice[0].Workers), c.want, "%v", c)
		ms := c.decideMs + c.perWorkerMs*float64(c.want)
		assert.Equal(t, plan.Advice[0].Cost, time.Duration(ms*float64(time.Millisecond)))
	}
}

// Guards against steps of one plan that all ask about the same emptiest workers, of which the first then takes the capacity.
func TestWaitingStepsNameDifferentWorkers(t *testing.T) {
	f := newAdvisedFixture(t, 0, 10, 2)
	for i := range 120 {
		f.addWorker(fmt.Sprintf("w%d", i), "zone")
	}
	for i := range 4 {
		f.state.AddJob(job(fmt.Sprintf("%016x", i+1), step(1, testMilliCPU)), nil)
	}
	named := map[string]int{}
	for _, r := range f.plan(8).Advice {
		for _, id := range r.Workers {
			named[id]++
		}
	}
	most := 0
	for _, n := range named {
		most = max(most, n)
	}
	assert.Assert(t, len(named) >= 3*minWorkersPerCall, "%d workers named by 4 calls", len(named))
	assert.Assert(t, most < 4, "a worker is named by all calls")
}

// Guards against a call of each waiting step about the one worker that has free capacity, and against claims that remain
// when the call was answered or has failed.
func TestOneFreeWorkerIsAskedAboutOnce(t *testing.T) {
	f := newAdvisedFixture(t, 1, 20, 0.3)
	for i := range 5 {
		f.state.AddJob(job(fmt.Sprintf("%016x", i+1), step(1, testMilliCPU)), nil)
	}
	plan := f.plan(8)
	assert.Equal(t, len(plan.Advice), 2, "the first call and, as it may be refused, one more")
	for _, r := range plan.Advice {
		f.state.Advised(r, infra.Advice{}, infra.ErrAdvisorBusy, f.now)
	}
	assert.Equal(t, len(f.state.budget.claims)+len(f.state.budget.quickClaims), 0)
	f.now = f.now.Add(time.Second)
	assert.Assert(t, len(f.plan(8).Advice) > 0, "steps ask again")
}

// Guards against a step of a slow queue that gets no call although some of its tasks fit.
func TestSlowCallIsMadeForFewTasks(t *testing.T) {
	f := newAdvisedFixture(t, 1, 500, 7)
	f.state.AddJob(job("0000000000000001", step(20, testMilliCPU)), nil)
	assert.Equal(t, len(f.plan(4).Advice), 1)
}

// Guards against a change of the calls while the part is off.
func TestCallsAreUnchangedWithTheBudgetOff(t *testing.T) {
	f := newAdvisedFixture(t, 120, 23.4, 0.338)
	f.state.limits.Features.AdviceBudget = false
	f.state.AddJob(job("0000000000000001", step(2, 1000)), nil)
	f.state.AddJob(job("0000000000000002", step(2, 1000)), nil)
	plan := f.state.Plan(f.now, f.unixMs(), AdviceSlots{Free: 4})
	assert.Equal(t, len(plan.Advice), 2)
	for _, r := range plan.Advice {
		assert.Equal(t, len(r.Workers), minWorkersPerCall)
		assert.Equal(t, len(r.claims), 0)
	}
}

// Guards against a ticket for a worker that was replaced under its address while the call was under way.
func TestTicketOfAReplacedWorkerIsNotUsed(t *testing.T) {
	f := newAdvisedFixture(t, 1, 20, 0.3)
	f.state.AddJob(job("0000000000000001", step(1, 1000)), nil)
	plan := f.plan(1)
	assert.Equal(t, len(plan.Advice), 1)
	f.state.ApplyReport(f.workers[0], infra.RunReport{Incarnation: 2, ClockMs: f.unixMs()}, f.now, f.now, f.unixMs())
	f.publish(f.workers[0])
	f.allowAll(plan.Advice[0])
	plan = f.plan(1)
	assert.Equal(t, f.workers[0].Tasks(), 0)
	assert.Equal(t, len(plan.Advice), 1, "the step asks again")
	f.allowAll(plan.Advice[0])
	f.plan(1)
	assert.Equal(t, f.workers[0].Tasks(), 1)
}

// Guards against claims that remain when a job is cancelled while its call for advice is under way.
func TestCancelledJobLeavesNoClaims(t *testing.T) {
	f := newAdvisedFixture(t, 1, 20, 0.3)
	f.state.AddJob(job("0000000000000001", step(1, 1000)), nil)
	plan := f.plan(1)
	assert.Equal(t, len(plan.Advice), 1)
	f.state.Cancel("0000000000000001", f.unixMs())
	f.allowAll(plan.Advice[0])
	assert.Equal(t, len(f.state.budget.claims)+len(f.state.budget.quickClaims), 0)
	assert.Equal(t, len(f.plan(1).Advice), 0)
	assert.Equal(t, len(f.state.activeJobs), 0)
}

// Guards against a search that looks at all workers of a large fleet for each waiting step.
func TestSearchForACallIsBounded(t *testing.T) {
	f := newAdvisedFixture(t, 1100, 23.4, 0.338)
	f.state.AddJob(job("0000000000000001", step(1, 1000)), nil)
	f.plan(0)
	p := f.state.newPlacement(f.state.jobs["0000000000000001"].occurrences[0].steps[0], f.now)
	for _, withRoom := range []bool{true, false} {
		search := &adviceSearch{placement: p, state: f.state, policy: f.queue.GetAdvice(), allowedRatio: 1}
		search.find(0, lastBucket, withRoom, 70)
		assert.Assert(t, len(search.candidates) <= 70, "%d candidates", len(search.candidates))
	}
}

package dispatch

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/policy"
)

// congestedFixture has two teams of the same rate, one of which submits several times as much.
func congestedFixture(t *testing.T) *fixture {
	f := newFixture(t, 200)
	teams := []policy.Team{{Name: "hot", Share: 5}, {Name: "usual", Share: 5}}
	queues := []policy.Queue{{Host: "h", Prefix: "/q/", Policy: f.queue}}
	f.state.SetPolicy(policy.New(1, queues, teams, []policy.Service{{Name: testService}}, policy.Limits{}))
	return f
}

func (f *fixture) submitFor(team, id string, step *siskinv1.WorkflowStep) {
	record := job(id, step)
	record.Team, record.Queue, record.AcceptedUnixMs = team, f.queue, f.unixMs()
	f.state.AddJob(record, nil)
}

// planned plans and commits, and returns the tasks to start of each team. Nothing answers the orders.
func (f *fixture) planned() map[string]int {
	f.state.Plan(f.now, f.unixMs(), AdviceSlots{})
	orders, _ := f.state.Committed(f.state.TakeChanges(allJobs), f.now)
	n := map[string]int{}
	for _, task := range orders {
		n[task.Record().GetTeam()]++
	}
	return n
}

// Guards against a team that submits several times its rate and thereby delays the starts of all others: the controller
// cannot send and confirm them all.
func TestWorkBeyondTheRateYieldsWhileStartsPileUp(t *testing.T) {
	f := congestedFixture(t)
	for i := range 100 {
		f.submitFor("hot", fmt.Sprintf("%016x", i+1), step(8, 1000))
	}
	f.submitFor("usual", "00000000000000f1", step(8, 1000))
	started := f.planned()
	assert.Equal(t, started["usual"], 8)
	const withinRate = 5 * 8
	assert.Assert(t, started["hot"] <= withinRate+maxPendingYielding, "%v", started)
	f.submitFor("usual", "00000000000000f2", step(8, 1000))
	lasting := step(4, 1000)
	lasting.LongRunning = true
	f.submitFor("hot", "00000000000000f3", lasting)
	assert.DeepEqual(t, f.planned(), map[string]int{"usual": 8, "hot": 4})
}

// Guards against work that still waits after the start orders were answered, failed or were given up.
func TestYieldingWorkStartsOnceOrdersAreAnswered(t *testing.T) {
	for name, answer := range map[string]func(*fixture, *Task){
		"answered": func(f *fixture, task *Task) { f.state.Started(task, task.Run(), nil, f.now) },
		"lost":     func(f *fixture, task *Task) { f.state.Started(task, task.Run(), infra.ErrOrderLeaseExpired, f.now) },
		"unknown":  func(f *fixture, task *Task) { f.state.Started(task, task.Run(), errNoAnswer, f.now) },
		"withheld": func(f *fixture, task *Task) { f.state.Withdraw(task, task.Run()) },
	} {
		t.Run(name, func(t *testing.T) {
			f := congestedFixture(t)
			for i := range 100 {
				f.submitFor("hot", fmt.Sprintf("%016x", i+1), step(8, 1000))
			}
			f.planned()
			f.now = f.now.Add(retryDelayMaxOther / 2)
			assert.Equal(t, len(f.planned()), 0)
			for task := range f.state.unanswered {
				answer(f, task)
			}
			f.now = f.now.Add(retryDelayMaxOther / 2)
			assert.Assert(t, f.planned()["hot"] > 0)
		})
	}
}

// Guards against orders to workers that do not answer, which hold up the starts on all others.
func TestOverdueOrdersHoldUpNoStarts(t *testing.T) {
	f := congestedFixture(t)
	f.queue.AllowanceMs = 2000
	for i := range 5 {
		f.submitFor("usual", fmt.Sprintf("%016x", i+1), step(100, 1000))
	}
	assert.Equal(t, f.planned()["usual"], maxPendingOrders)
	f.now = f.now.Add(overdueAfter / 2)
	assert.Equal(t, len(f.planned()), 0)
	f.now = f.now.Add(overdueAfter / 2)
	assert.Equal(t, f.planned()["usual"], maxPendingOrders)
}

// Guards against jobs that cannot be in time and are planned before those that can: under a lasting overload all would then
// be late.
func TestMissedWorkComesAfterWorkInTime(t *testing.T) {
	f := newFixture(t, 1)
	submit := func(id string, ageMs int64) {
		record := job(id, step(8, 1000))
		record.Queue, record.AcceptedUnixMs = f.queue, f.unixMs()-ageMs
		f.state.AddJob(record, nil)
	}
	// The objective is 1.75 s for a second of work.
	submit("0000000000000001", 1700)
	submit("0000000000000002", 600)
	submit("0000000000000003", 100)
	f.step()
	assert.Equal(t, f.runs(), 8)
	for _, order := range f.started {
		assert.Equal(t, order.Task[:16], "0000000000000003")
	}
	f.endAll(infra.OutcomeSucceeded)
	f.step()
	f.step()
	assert.Equal(t, f.started[8].Task[:16], "0000000000000001", "the job that has missed its objective for longest comes next")
}

// Guards against a job that is put behind others although its work has begun.
func TestBegunWorkIsNotMissedBeforeItsDeadline(t *testing.T) {
	f := newFixture(t, 1)
	record := job("0000000000000001", step(9, 1000))
	record.Queue = f.queue
	j := f.state.AddJob(record, nil)
	s := j.occurrences[0].steps[0]
	now := record.GetAcceptedUnixMs()
	assert.Assert(t, !s.isMissed(now+200) && s.isMissed(now+300))
	f.step()
	assert.Equal(t, f.runs(), 8)
	assert.Assert(t, !s.isMissed(now+1700) && s.isMissed(now+1800))
}

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
	record.Team, record.AcceptedUnixMs = team, f.unixMs()
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
	assert.Assert(t, started["hot"] <= withinRate+maxOrdersForYielding, "%v", started)
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
			f.now = f.now.Add(retryDelayMaxOther)
			assert.Equal(t, len(f.planned()), 0)
			for task := range f.state.unanswered {
				answer(f, task)
			}
			f.now = f.now.Add(retryDelayMaxOther)
			assert.Assert(t, f.planned()["hot"] > 0)
		})
	}
}

package dispatch

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/policy"
	"siskinstack.example/siskinstack/resource"
)

// withQueues adds an urgent queue to the fixture and lowers the priority of the existing one.
func (f *fixture) withQueues() { f.withQueuesAndCeiling(resource.Vector{}) }

func (f *fixture) withQueuesAndCeiling(ceiling resource.Vector) {
	urgent := &siskinv1.QueuePolicy{Name: "urgent", Service: testService, MaxAttempts: 2, SlackFactor: 1.5, AllowanceMs: 250}
	f.queue.Priority = 2
	f.state.SetPolicy(policy.New(1, []policy.Queue{{Host: "h", Prefix: "/q/", Policy: f.queue}, {Host: "h", Prefix: "/u/", Policy: urgent}},
		[]policy.Team{{Name: testTeam, Share: 100, Ceiling: ceiling}}, []policy.Service{{Name: testService}}, policy.Limits{}))
}

func (f *fixture) urgentJob(id string, steps ...*siskinv1.WorkflowStep) *siskinv1.Workflow {
	j := job(id, steps...)
	j.Queue = &siskinv1.QueuePolicy{Name: "urgent", Service: testService, MaxAttempts: 2, AllowanceMs: 250, SlackFactor: 1.5}
	j.AcceptedUnixMs = f.unixMs()
	return j
}

// Guards against urgent tasks that wait for long, less urgent ones to end, and against more preemptions than needed.
func TestUrgentTaskPreemptsLessUrgentOnes(t *testing.T) {
	f := newFixture(t, 1)
	f.withQueues()
	long := step(4, 2000)
	long.Checkpointing, long.EstimateMs = true, 60_000
	f.state.AddJob(job("long", long), nil)
	f.step()
	assert.Equal(t, f.runs(), 4)
	f.state.AddJob(f.urgentJob("quick", step(1, 1000)), nil)
	f.step()
	f.step()
	f.step()
	assert.Equal(t, len(f.running[f.workers[0]]), 4, "three long tasks and the quick one")
	_, runs := f.running[f.workers[0]]["quick.0.0.0"]
	assert.Assert(t, runs)
	f.endAll(infra.OutcomeSucceeded)
	for range 4 {
		f.step()
	}
	assert.Assert(t, f.state.Job("quick").Ended())
	f.endAll(infra.OutcomeSucceeded)
	f.step()
	f.step()
	assert.Assert(t, f.state.Job("long").Ended(), "a preempted task must resume")
}

// Guards against preemption that loses work: of tasks without checkpoints, of gangs and of long-running tasks.
func TestTasksWithoutCheckpointsAreNotPreempted(t *testing.T) {
	for name, change := range map[string]func(*siskinv1.WorkflowStep){
		"no checkpoints": func(s *siskinv1.WorkflowStep) { s.Checkpointing = false },
		"gang":           func(s *siskinv1.WorkflowStep) { s.Gang = true },
		"long-running":   func(s *siskinv1.WorkflowStep) { s.LongRunning = true },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 1)
			f.withQueues()
			long := step(4, 2000)
			long.Checkpointing = true
			change(long)
			f.state.AddJob(job("long", long), nil)
			f.step()
			f.setPercent(fullPercent)
			f.state.AddJob(f.urgentJob("quick", step(1, 1000)), nil)
			for range 5 {
				f.step()
			}
			assert.Equal(t, len(f.started), 4)
		})
	}
}

// Guards against urgent tasks that wait for long tasks of their own team which use up its ceiling. In a quiet
// simulated day of deployment kvarali-salt-grown, this was the cause whenever a booking waited more than 0.4 s.
func TestUrgentTaskGetsItsTeamsCeiling(t *testing.T) {
	f := newFixture(t, 3)
	f.withQueuesAndCeiling(resource.Vector{MilliCPU: 8000})
	long := step(6, 2000)
	long.Checkpointing, long.EstimateMs = true, 60_000
	f.state.AddJob(job("long", long), nil)
	f.step()
	assert.Equal(t, f.runs(), 4)
	f.state.AddJob(f.urgentJob("quick", step(3, 1000)), nil)
	for range 5 {
		f.step()
	}
	quick, others := 0, 0
	for _, runs := range f.running {
		for _, run := range runs {
			if strings.HasPrefix(run.Task, "quick.") {
				quick++
			} else {
				others++
			}
		}
	}
	assert.Equal(t, quick, 3)
	assert.Equal(t, others, 2, "as many as fit under the ceiling with the urgent ones")
}

// Guards against less urgent tasks that use up the ceiling while urgent ones wait for a worker.
func TestCeilingIsKeptForUrgentTasks(t *testing.T) {
	f := newFixture(t, 1)
	f.withQueuesAndCeiling(resource.Vector{MilliCPU: 8000})
	blocked := step(1, 8000)
	blocked.RequiredLabel = "absent"
	f.state.AddJob(f.urgentJob("quick", blocked), nil)
	f.state.AddJob(job("long", step(2, 2000)), nil)
	f.step()
	assert.Equal(t, f.runs(), 0)
	f.now = f.now.Add(maxReservationAge)
	f.step()
	assert.Equal(t, f.runs(), 2, "a step without a worker must lose its reservation after maxReservationAge")
}

// Guards against preempting more tasks than the ceiling lets urgent ones start.
func TestNothingIsPreemptedBeyondTheCeiling(t *testing.T) {
	f := newFixture(t, 1)
	f.withQueuesAndCeiling(resource.Vector{MilliCPU: 1000})
	long := step(4, 2000)
	long.Checkpointing, long.EstimateMs = true, 60_000
	other := job("long", long)
	other.Team = "other"
	f.state.AddJob(other, nil)
	f.step()
	assert.Equal(t, f.runs(), 4)
	f.state.AddJob(f.urgentJob("quick", step(3, 1000)), nil)
	for range 4 {
		f.step()
	}
	assert.Equal(t, f.runs(), 4, "one urgent task must preempt exactly one task")
}

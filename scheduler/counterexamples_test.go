package scheduler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"siskinstack.example/siskinstack/resource"
	"siskinstack.example/siskinstack/scheduler"
)

// newCell returns a cell with one team that may run anything, and with workers of equal capacity, two to a rack.
func newCell(t *testing.T, workers int, capacity resource.Vector) *scheduler.Cell {
	t.Helper()
	c := scheduler.NewCell()
	c.SetTeam(scheduler.Team{Name: "atlas", Share: 1, Limit: vector(1<<20, 1<<20, 1<<20)})
	for i := range workers {
		c.SetWorker(scheduler.Worker{Name: workerName(i), Rack: workerName(i / 2), Capacity: capacity})
	}
	return c
}

func workerName(i int) string { return string(rune('a' + i)) }

func tasks(id string, kind scheduler.Kind, each resource.Vector, count int) scheduler.Job {
	job := scheduler.Job{ID: id, Team: "atlas", Kind: kind, Urgency: scheduler.Normal, Each: each}
	for i := range count {
		job.Indexes = append(job.Indexes, int32(i))
	}
	return job
}

// TestHeldTaskThatLeavesAndReturnsStaysHeld guards against a second run of a task whose earlier run may not have ended:
// SetIndexes cleared the hold when it removed the index. Found by TestCoreObeysConstraints.
func TestHeldTaskThatLeavesAndReturnsStaysHeld(t *testing.T) {
	c := newCell(t, 1, vector(8, 8, 0))
	assert.NilError(t, c.Submit(tasks("s", scheduler.Service, vector(1, 1, 0), 1)))
	assert.NilError(t, c.Hold(scheduler.TaskID{Job: "s"}))
	_, err := c.SetIndexes("s", nil)
	assert.NilError(t, err)
	_, err = c.SetIndexes("s", []int32{0})
	assert.NilError(t, err)
	assert.Equal(t, len(c.Plan(time.Second, 10).Starts), 0)
	assert.NilError(t, c.Unhold(scheduler.TaskID{Job: "s"}))
	assert.Equal(t, len(c.Plan(time.Second, 10).Starts), 1)
}

// TestTaskIsNotStoppedInThePlanThatStartsIt guards against a plan that starts a task and also stops it, before the worker
// has received it. Found by TestCoreObeysConstraints.
func TestTaskIsNotStoppedInThePlanThatStartsIt(t *testing.T) {
	c := newCell(t, 1, vector(16, 16, 0))
	assert.NilError(t, c.Submit(tasks("old", scheduler.Batch, vector(8, 8, 0), 1)))
	assert.Equal(t, len(c.Plan(time.Second, 100).Starts), 1)
	urgent := tasks("urgent", scheduler.Batch, vector(12, 12, 0), 1)
	urgent.Urgency, urgent.Accepted = scheduler.Urgent, time.Minute
	assert.NilError(t, c.Submit(urgent))
	assert.NilError(t, c.Submit(tasks("new", scheduler.Batch, vector(8, 8, 0), 1)))
	plan := c.Plan(time.Minute, 100)
	assert.Equal(t, len(plan.Starts), 1)
	for _, stop := range plan.Stops {
		assert.Assert(t, stop.Task != plan.Starts[0].Task)
	}
	assert.Assert(t, len(c.Plan(2*time.Minute, 100).Stops) > 0)
}

// TestGangIsNotStoppedInThePlanThatStartsIt guards against a plan that starts members of a gang job and also stops the job
// (found by TestCoreObeysConstraints), and against a gang job that restarts before all of its members have ended.
func TestGangIsNotStoppedInThePlanThatStartsIt(t *testing.T) {
	c := newCell(t, 1, vector(16, 16, 0))
	submit(t, c, tasks("gang", scheduler.Gang, vector(4, 4, 0), 3), tasks("rest", scheduler.Service, vector(4, 4, 0), 1))
	starts := c.Plan(time.Second, 100).Starts
	assert.Equal(t, len(starts), 4)
	end(t, c, starts[0], scheduler.Lost, time.Minute)
	urgent := tasks("urgent", scheduler.Batch, vector(8, 8, 0), 1)
	urgent.Urgency, urgent.Accepted = scheduler.Urgent, time.Minute
	submit(t, c, urgent)
	plan := c.Plan(time.Minute, 100)
	assert.Equal(t, len(plan.Starts), 0)
	assert.Equal(t, len(plan.Stops), 2)
	for i, stop := range plan.Stops {
		assert.Equal(t, stop.Reason, scheduler.StopGang)
		assert.Equal(t, len(c.Plan(time.Minute, 100).Stops), 0)
		assert.NilError(t, c.Ended(stop.Task, stop.Attempt, scheduler.Stopped, 2*time.Minute))
		if i > 0 {
			break
		}
		plan = c.Plan(2*time.Minute, 100)
		assert.Equal(t, len(plan.Starts), 1)
		assert.Equal(t, plan.Starts[0].Task.Job, "urgent")
		end(t, c, plan.Starts[0], scheduler.Succeeded, 2*time.Minute)
	}
	plan = c.Plan(3*time.Minute, 100)
	assert.Equal(t, len(plan.Starts), 3)
	assert.Equal(t, len(plan.Stops), 0)
}

// TestGangFailsAsAWhole guards against members that continue to run after another member has failed permanently, and against
// a gang job that restarts without that member.
func TestGangFailsAsAWhole(t *testing.T) {
	c := newCell(t, 3, vector(4, 4, 0))
	gang := tasks("gang", scheduler.Gang, vector(4, 4, 0), 3)
	gang.MaxAttempts = 2
	submit(t, c, gang)
	for attempt := range 2 {
		now := time.Duration(attempt) * time.Minute
		starts := c.Plan(now, 100).Starts
		assert.Equal(t, len(starts), 3)
		for _, start := range starts {
			if start.Task.Index == 1 {
				end(t, c, start, scheduler.Failed, now)
			}
		}
		stops := c.Plan(now, 100).Stops
		assert.Equal(t, len(stops), 2)
		for _, stop := range stops {
			assert.NilError(t, c.Ended(stop.Task, stop.Attempt, scheduler.Stopped, now))
		}
	}
	counts, err := c.Counts("gang")
	assert.NilError(t, err)
	assert.Equal(t, counts, scheduler.Counts{Failed: 3})
	assert.Equal(t, len(c.Plan(time.Hour, 100).Starts), 0)
}

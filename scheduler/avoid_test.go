package scheduler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"siskinstack.example/siskinstack/scheduler"
)

// TestFailedTaskWaitsForAnotherWorker guards against a failing worker that uses up a task's attempts while the other
// workers are full, against a waiting task that blocks the other tasks of its job, and against an unbounded wait.
func TestFailedTaskWaitsForAnotherWorker(t *testing.T) {
	c := newCell(t, 2, vector(4, 4, 0))
	submit(t, c, tasks("full", scheduler.Service, vector(4, 4, 0), 1))
	full := c.Plan(0, 10).Starts[0]
	submit(t, c, tasks("job", scheduler.Batch, vector(4, 4, 0), 2))
	first := c.Plan(0, 10).Starts[0]
	end(t, c, first, scheduler.Failed, time.Second)
	second := c.Plan(time.Second, 10).Starts
	assert.Equal(t, len(second), 1)
	assert.Assert(t, second[0].Task != first.Task, "the task started where it failed")
	end(t, c, second[0], scheduler.Succeeded, 2*time.Second)
	assert.Equal(t, len(c.Plan(2*time.Second, 10).Starts), 0)
	assert.Equal(t, reasonOf(t, c, "job"), scheduler.WaitOtherWorker)
	starts := c.Plan(time.Second+scheduler.DefaultOptions().AvoidFor, 10).Starts
	assert.Equal(t, len(starts), 1)
	assert.Assert(t, starts[0].Task == first.Task && starts[0].Worker != full.Worker)
}

// TestFailedTaskStartsAgainOnTheOnlyWorker guards against a task that waits for another worker although all others are
// removed or too small.
func TestFailedTaskStartsAgainOnTheOnlyWorker(t *testing.T) {
	c := newCell(t, 2, vector(4, 4, 0))
	submit(t, c, tasks("full", scheduler.Service, vector(4, 4, 0), 1))
	full := c.Plan(0, 10).Starts[0]
	submit(t, c, tasks("job", scheduler.Batch, vector(4, 4, 0), 1))
	failed := c.Plan(0, 10).Starts[0]
	end(t, c, failed, scheduler.Failed, time.Second)
	assert.Equal(t, len(c.Plan(time.Second, 10).Starts), 0)
	c.RemoveWorker(full.Worker)
	c.SetWorker(scheduler.Worker{Name: "small", Rack: "r", Capacity: vector(3, 4, 0)})
	starts := c.Plan(2*time.Second, 10).Starts
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Worker, failed.Worker)
}

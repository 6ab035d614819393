package scheduler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"siskinstack.example/siskinstack/scheduler"
)

// TestEarlierAttemptIsNotAdopted guards against the adoption of an earlier attempt while a later one may still run.
func TestEarlierAttemptIsNotAdopted(t *testing.T) {
	c := newCell(t, 1, vector(8, 8, 0))
	submit(t, c, tasks("a", scheduler.Batch, vector(1, 1, 0), 1))
	first := c.Plan(time.Second, 10).Starts[0]
	end(t, c, first, scheduler.Failed, time.Second)
	second := c.Plan(2*time.Minute, 10).Starts[0]
	assert.Assert(t, second.Attempt > first.Attempt)
	assert.NilError(t, c.StartFailed(second.Task, second.Attempt, 2*time.Minute))
	err := c.Adopt(first.Task, first.Attempt, "a", vector(1, 1, 0))
	assert.ErrorIs(t, err, scheduler.ErrCannotAdopt)
	assert.NilError(t, c.Adopt(second.Task, second.Attempt, "a", vector(1, 1, 0)))
}

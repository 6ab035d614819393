package owner

import (
	"testing"

	"gotest.tools/v3/assert"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/scheduler"
)

func threeTaskJob(home bool) *job {
	return newJob(&siskinv1.JobAccepted{Id: "x-0.j", Spec: batch(3, false)}, home)
}

// TestUnassignedTasksHaveNotEnded guards against work that is dropped, or counts as ended, when its owner stops between
// the release of all its tasks by one shard and their assignment to another.
func TestUnassignedTasksHaveNotEnded(t *testing.T) {
	j := threeTaskJob(true)
	j.held = nil
	assert.Assert(t, !j.allEnded())
	status := &siskinv1.WorkStatus{}
	addUnassigned(status, j)
	assert.Equal(t, status.GetQueued(), int32(3))
	j.cancelled = true
	assert.Assert(t, j.allEnded())
	assert.Assert(t, threeTaskJob(false).unassigned().empty(), "a holder does not know the tasks of other holders")
}

// TestCancelledTasksAreCountedOnce guards against cancelled tasks that are counted both by the scheduler and as tasks
// not assigned to a shard.
func TestCancelledTasksAreCountedOnce(t *testing.T) {
	j := threeTaskJob(true)
	j.cancelled = true
	j.held = indexSet{}.add(0, 1)
	status := &siskinv1.WorkStatus{}
	addUnassigned(status, j)
	addEnded(status, j, scheduler.Counts{Cancelled: 3})
	assert.Equal(t, status.GetCancelled(), int32(3))
}

package scheduler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"siskinstack.example/siskinstack/resource"
	"siskinstack.example/siskinstack/scheduler"
)

// taskUsage is the processor usage and limit of a running task in the model.
type taskUsage struct {
	used  int64 // last reported
	limit int64 // last limit that was carried out; 0 if none
	// failed is true if the last order was not carried out.
	failed bool
}

func (m *model) usageOf(task scheduler.TaskID, attempt int32) *taskUsage {
	key := endEvent{task: task, attempt: attempt}
	if m.usage == nil {
		m.usage = map[endEvent]*taskUsage{}
	}
	if m.usage[key] == nil {
		m.usage[key] = &taskUsage{}
	}
	return m.usage[key]
}

func (m *model) capacityOf(worker string) (resource.Vector, bool) {
	for _, w := range m.workers {
		if w.Name == worker {
			return w.Capacity, true
		}
	}
	return resource.Vector{}, false
}

// noteThrottles carries out the throttle orders of a plan, or lets them fail.
func (m *model) noteThrottles(t *rapid.T, orders []scheduler.Throttle) {
	for _, order := range orders {
		found := false
		capacity, ok := m.capacityOf(order.Worker)
		for _, start := range m.running {
			found = found || start.Task == order.Task && start.Attempt == order.Attempt && start.Worker == order.Worker &&
				order.MilliCPU >= min(start.Allocation.MilliCPU, capacity.MilliCPU)
		}
		assert.Assert(t, found && ok && order.MilliCPU <= capacity.MilliCPU, "%+v", order)
		state := m.usageOf(order.Task, order.Attempt)
		state.failed = rapid.IntRange(0, 3).Draw(t, "fails") == 0
		if !state.failed {
			state.limit = order.MilliCPU
		}
		m.core.Throttled(order, !state.failed, m.now)
	}
}

// checkUsage verifies that the tasks of each worker together may not use more processors than it has, as far as their usage
// is known.
func (m *model) checkUsage() {
	allocated, used, unsure := map[string]int64{}, map[string]int64{}, map[string]bool{}
	for _, start := range m.running {
		state := m.usageOf(start.Task, start.Attempt)
		allowed := state.used
		if state.limit > 0 {
			allowed = min(allowed, state.limit)
		}
		allocated[start.Worker] += start.Allocation.MilliCPU
		used[start.Worker] += max(allowed, start.Allocation.MilliCPU)
		unsure[start.Worker] = unsure[start.Worker] || state.failed
	}
	for worker, sum := range used {
		capacity, ok := m.capacityOf(worker)
		if !ok || unsure[worker] || allocated[worker] > capacity.MilliCPU {
			continue
		}
		assert.Assert(m.t, sum <= capacity.MilliCPU, "worker %s: %d used of %d", worker, sum, capacity.MilliCPU)
	}
}

// TestThrottleFollowsCapacityOfWorker guards against usage above a worker's capacity, against tasks that are throttled while
// there is spare capacity, and against a limit that stays in place after capacity has become free.
func TestThrottleFollowsCapacityOfWorker(t *testing.T) {
	c := newCell(t, 1, vector(8, 8, 0))
	submit(t, c, tasks("a", scheduler.Batch, vector(1, 1, 0), 2))
	starts := c.Plan(0, 10).Starts
	c.Usage(starts[0].Task, starts[0].Attempt, vector(5, 1, 0))
	assert.Equal(t, len(c.Plan(time.Second, 10).Throttles), 0)
	c.Usage(starts[1].Task, starts[1].Attempt, vector(9, 1, 0))
	orders := c.Plan(2*time.Second, 10).Throttles
	assert.Equal(t, len(orders), 2)
	assert.Equal(t, orders[0].MilliCPU, int64(1000+2000))
	assert.Equal(t, orders[1].MilliCPU, int64(1000+4000))
	c.Throttled(orders[0], true, 2*time.Second)
	c.Throttled(orders[1], false, 2*time.Second)
	assert.Equal(t, len(c.Plan(2*time.Second, 10).Throttles), 0)
	again := c.Plan(4*time.Second, 10).Throttles
	assert.DeepEqual(t, again, orders[1:])
	c.Throttled(again[0], true, 4*time.Second)
	c.Usage(starts[0].Task, starts[0].Attempt, vector(3, 1, 0))
	assert.Equal(t, len(c.Plan(5*time.Second, 10).Throttles), 0, "usage at the limit does not show the demand")
	end(t, c, starts[1], scheduler.Succeeded, 6*time.Second)
	lifted := c.Plan(6*time.Second, 10).Throttles
	assert.Equal(t, len(lifted), 1)
	assert.Equal(t, lifted[0].Task, starts[0].Task)
	assert.Equal(t, lifted[0].MilliCPU, int64(8000))
}

// TestNewOwnerLiftsLimitOfAdoptedTask guards against a limit that was set by an earlier owner and is never lifted.
func TestNewOwnerLiftsLimitOfAdoptedTask(t *testing.T) {
	c := newCell(t, 1, vector(8, 8, 0))
	submit(t, c, tasks("a", scheduler.Batch, vector(1, 1, 0), 2))
	for index := range int32(2) {
		assert.NilError(t, c.Adopt(scheduler.TaskID{Job: "a", Index: index}, 1, "a", vector(1, 1, 0)))
	}
	c.Usage(scheduler.TaskID{Job: "a", Index: 0}, 1, vector(2, 1, 0))
	c.Usage(scheduler.TaskID{Job: "a", Index: 1}, 1, resource.Vector{MilliCPU: 500})
	orders := c.Plan(time.Second, 10).Throttles
	assert.Equal(t, len(orders), 1)
	assert.Equal(t, orders[0].MilliCPU, int64(8000))
}

// TestMemoryAboveAllocationMovesTask guards against a task that continues to use more memory than its allocation although
// a larger one fits on a worker, and against stops that lose work or do not lead to a larger allocation.
func TestMemoryAboveAllocationMovesTask(t *testing.T) {
	for _, checkpoint := range []bool{true, false} {
		c := newCell(t, 2, vector(8, 8, 0))
		job := tasks("a", scheduler.Batch, vector(1, 1, 0), 1)
		job.Checkpoint = checkpoint
		submit(t, c, job)
		start := c.Plan(0, 10).Starts[0]
		c.Usage(start.Task, start.Attempt, vector(1, 4, 0))
		stops := c.Plan(time.Second, 10).Stops
		assert.Equal(t, len(stops) == 1, checkpoint)
		outcome := scheduler.Failed
		if checkpoint {
			assert.Assert(t, stops[0].Checkpoint && stops[0].Reason == scheduler.StopOverAllocation)
			outcome = scheduler.Stopped
		}
		end(t, c, start, outcome, 2*time.Second)
		larger := c.Plan(2*time.Second, 10).Starts[0]
		assert.Assert(t, larger.Allocation.MemoryBytes >= 4<<30 && larger.Allocation.MemoryBytes <= 8<<30, "%v", larger.Allocation)
		c.Usage(larger.Task, larger.Attempt, vector(1, 100, 0))
		c.Plan(3*time.Second, 10)
	}
}

package scheduler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"siskinstack.example/siskinstack/resource"
	"siskinstack.example/siskinstack/scheduler"
)

// TestGangStartsAtDeclaredSizeIfLearnedExceedsCeiling guards against a gang job that waits forever because its learned size
// exceeds the whole ceiling of its team.
func TestGangStartsAtDeclaredSizeIfLearnedExceedsCeiling(t *testing.T) {
	cell := scheduler.NewCell()
	capacity := resource.Vector{MilliCPU: 64_000, MemoryBytes: 64 << 30}
	each := resource.Vector{MilliCPU: 1000, MemoryBytes: 1 << 30}
	cell.SetTeam(scheduler.Team{Name: "t", Share: 1, Limit: each.Scale(12), Ceiling: each.Scale(20)})
	cell.SetWorker(scheduler.Worker{Name: "a", Rack: "r", Capacity: capacity})
	assert.NilError(t, cell.Submit(scheduler.Job{
		ID: "first", Team: "t", Queue: "q", Kind: scheduler.Batch, Indexes: []int32{0}, Each: each, MaxAttempts: 3,
	}))
	started := cell.Plan(0, 10).Starts
	assert.Equal(t, len(started), 1)
	cell.Usage(started[0].Task, started[0].Attempt, each.Scale(9))
	assert.NilError(t, cell.Ended(started[0].Task, started[0].Attempt, scheduler.Succeeded, time.Second))
	assert.NilError(t, cell.Submit(scheduler.Job{
		ID: "gang", Team: "t", Queue: "q", Kind: scheduler.Gang, Indexes: []int32{0, 1, 2, 3}, Each: each, MaxAttempts: 3,
	}))
	assert.Equal(t, len(cell.Plan(time.Second, 10).Starts), 4)
}

// TestGangStartsAtDeclaredSizeIfLearnedNeverFits guards against a gang job that waits forever because earlier work of its
// queue used more than declared: four tasks of the declared one processor fit on three empty workers of 16 processors, four
// tasks of the learned nine processors do not.
func TestGangStartsAtDeclaredSizeIfLearnedNeverFits(t *testing.T) {
	cell := scheduler.NewCell()
	capacity := resource.Vector{MilliCPU: 16_000, MemoryBytes: 64 << 30}
	each := resource.Vector{MilliCPU: 1000, MemoryBytes: 1 << 30}
	cell.SetTeam(scheduler.Team{Name: "t", Share: 1, Limit: capacity.Scale(3)})
	for _, name := range []string{"a", "b", "c"} {
		cell.SetWorker(scheduler.Worker{Name: name, Rack: "r", Capacity: capacity})
	}
	assert.NilError(t, cell.Submit(scheduler.Job{
		ID: "first", Team: "t", Queue: "q", Kind: scheduler.Batch, Indexes: []int32{0}, Each: each, MaxAttempts: 3,
	}))
	started := cell.Plan(0, 10).Starts
	assert.Equal(t, len(started), 1)
	cell.Usage(started[0].Task, started[0].Attempt, each.Scale(9))
	assert.NilError(t, cell.Ended(started[0].Task, started[0].Attempt, scheduler.Succeeded, time.Second))
	assert.NilError(t, cell.Submit(scheduler.Job{
		ID: "gang", Team: "t", Queue: "q", Kind: scheduler.Gang, Indexes: []int32{0, 1, 2, 3}, Each: each, MaxAttempts: 3,
	}))
	assert.Equal(t, len(cell.Plan(time.Second, 10).Starts), 4)
}

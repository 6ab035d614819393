package scheduler_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"siskinstack.example/siskinstack/scheduler"
)

// TestWorkUnderTheCeilingCountsAsDemand guards against a gang job that is parked as too large because the shard's part of
// the ceiling is smaller than the job: its demand is not reported, so no more of the ceiling is moved to the shard. Found by
// package schedules, seed 2.
func TestWorkUnderTheCeilingCountsAsDemand(t *testing.T) {
	c := newCell(t, 4, vector(8, 8, 0))
	team := scheduler.Team{Name: "birch", Share: 1, Limit: vector(2, 2, 0), Ceiling: vector(8, 8, 0)}
	c.SetTeam(team)
	gang := tasks("gang", scheduler.Gang, vector(1, 1, 0), 3)
	gang.Team = "birch"
	large := tasks("large", scheduler.Gang, vector(3, 3, 0), 3)
	large.Team = "birch"
	submit(t, c, gang, large)
	assert.Equal(t, len(c.Plan(time.Second, 10).Starts), 0)
	assert.Equal(t, reasonOf(t, c, "gang"), scheduler.WaitCeiling)
	assert.Equal(t, reasonOf(t, c, "large"), scheduler.WaitOverCeiling)
	assert.Equal(t, c.TeamDemand("birch"), vector(3, 3, 0))
	team.Limit = vector(3, 3, 0)
	c.SetTeam(team)
	assert.Equal(t, len(c.Plan(2*time.Second, 10).Starts), 3)
	assert.Equal(t, c.TeamDemand("birch"), vector(3, 3, 0))
}

// TestDemandCountsLearnedSizes guards against a task that waits for the ceiling forever, because it is accounted at more
// than its declared size but the reported demand counts only the declared size. Found by package schedules, seed 41.
func TestDemandCountsLearnedSizes(t *testing.T) {
	c := newCell(t, 1, vector(8, 8, 0))
	submit(t, c, tasks("a", scheduler.Batch, vector(2, 2, 0), 1))
	start := c.Plan(time.Second, 10).Starts[0]
	for range 3 {
		c.Usage(start.Task, start.Attempt, vector(1, 4, 0))
	}
	submit(t, c, tasks("b", scheduler.Batch, vector(2, 2, 0), 4))
	assert.Equal(t, c.TeamDemand("atlas"), vector(2+4*2, 2+4*4, 0))
}

// TestParkedJobThatLeftAndReturnedIsExamined guards against a job that stays parked forever: its tasks were moved to another
// shard, and returned before the team was known here. Found by package schedules, seed 30.
func TestParkedJobThatLeftAndReturnedIsExamined(t *testing.T) {
	c := newCell(t, 1, vector(8, 8, 0))
	job := tasks("a", scheduler.Batch, vector(1, 1, 0), 1)
	job.Team = "birch"
	submit(t, c, job)
	_, err := c.SetIndexes("a", nil)
	assert.NilError(t, err)
	c.SetWorker(scheduler.Worker{Name: "new", Capacity: vector(8, 8, 0)})
	assert.Equal(t, len(c.Plan(time.Second, 10).Starts), 0)
	_, err = c.SetIndexes("a", []int32{0})
	assert.NilError(t, err)
	c.SetTeam(scheduler.Team{Name: "birch", Share: 1, Limit: unlimited})
	assert.Equal(t, len(c.Plan(2*time.Second, 10).Starts), 1)
}

// TestWaitingTasksWithoutAUsableWorkerAreNoDemand guards against a shard that holds most of a team's ceiling for tasks
// that it cannot start, because its owner reaches none of the workers, while another shard has work for it.
func TestWaitingTasksWithoutAUsableWorkerAreNoDemand(t *testing.T) {
	c := newCell(t, 1, vector(8, 8, 0))
	submit(t, c, tasks("a", scheduler.Batch, vector(2, 2, 0), 1))
	assert.Equal(t, len(c.Plan(time.Second, 10).Starts), 1)
	submit(t, c, tasks("b", scheduler.Batch, vector(2, 2, 0), 4))
	assert.Equal(t, c.TeamDemand("atlas"), vector(10, 10, 0))
	worker := scheduler.Worker{Name: workerName(0), Rack: workerName(0), Capacity: vector(8, 8, 0), Leaving: true}
	c.SetWorker(worker)
	assert.Equal(t, c.TeamDemand("atlas"), vector(2, 2, 0))
	worker.Leaving = false
	c.SetWorker(worker)
	assert.Equal(t, c.TeamDemand("atlas"), vector(10, 10, 0))
}

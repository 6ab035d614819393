package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"siskinstack.example/siskinstack/resource"
	"siskinstack.example/siskinstack/scheduler"
)

// TestFairShareDoesNotDependOnSharding guards against fair shares that depend on how demand is split over shards: a team
// that waits in one shard only would have no fair share in the others, and teams there would borrow what it can use. Two
// cells that know each other's usage and demand must agree with one cell that holds all of it.
func TestFairShareDoesNotDependOnSharding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		whole := scheduler.NewCell()
		halves := []*scheduler.Cell{scheduler.NewCell(), scheduler.NewCell()}
		fleet := resource.Vector{}
		for i := range rapid.IntRange(2, 6).Draw(t, "workers") {
			w := scheduler.Worker{Name: workerName(i), Rack: "r", Capacity: rapid.SampledFrom(workerCapacities).Draw(t, "capacity")}
			fleet = fleet.Add(w.Capacity)
			whole.SetWorker(w)
			halves[i%2].SetWorker(w)
		}
		for _, name := range teamNames {
			team := scheduler.Team{Name: name, Share: rapid.Int64Range(1, 4).Draw(t, "share"), Limit: vector(1<<20, 1<<20, 1<<20)}
			for _, c := range []*scheduler.Cell{whole, halves[0], halves[1]} {
				c.SetTeam(team)
				c.SetFleetCapacity(fleet)
			}
		}
		for i := range rapid.IntRange(0, 20).Draw(t, "jobs") {
			job := tasks(fmt.Sprintf("j%d", i), scheduler.Batch, rapid.SampledFrom(taskSizes[:3]).Draw(t, "each"),
				rapid.IntRange(1, 12).Draw(t, "count"))
			job.Team = rapid.SampledFrom(teamNames).Draw(t, "team")
			assert.NilError(t, whole.Submit(job))
			assert.NilError(t, halves[rapid.IntRange(0, 1).Draw(t, "half")].Submit(job))
		}
		for round := range 3 {
			now := time.Duration(round) * time.Millisecond
			for i, c := range halves {
				for _, name := range teamNames {
					c.SetRunningElsewhere(name, halves[1-i].TeamRunning(name))
					c.SetWaitingElsewhere(name, halves[1-i].TeamWaiting(name))
				}
				c.Plan(now, 100)
			}
			whole.Plan(now, 100)
			for _, name := range teamNames {
				want, _ := whole.FairShare(name)
				first, _ := halves[0].FairShare(name)
				second, _ := halves[1].FairShare(name)
				assert.Equal(t, first, want, "first cell, team %s, round %d", name, round)
				assert.Equal(t, second, want, "second cell, team %s, round %d", name, round)
			}
		}
	})
}

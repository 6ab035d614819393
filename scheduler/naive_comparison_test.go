package scheduler_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"siskinstack.example/siskinstack/scheduler"
)

// tolerance is the largest permitted difference from the naive core in packing and fairness (design.md, section 2.9).
const tolerance = 0.02

// TestPackingIsCloseToNaive guards against an index that places work worse than a full scan and so wastes more capacity.
func TestPackingIsCloseToNaive(t *testing.T) {
	for _, workers := range []int{10, 50, 120} {
		core, fullScan := pack(deciders["core"](), workers), pack(deciders["naive"](), workers)
		assert.Assert(t, core >= fullScan*(1-tolerance), "%d workers: %.4f of the capacity, naive %.4f", workers, core, fullScan)
	}
}

// TestFairnessIsCloseToNaive guards against a fair order that deviates from that of a full scan while a cell fills and
// while its tasks end.
func TestFairnessIsCloseToNaive(t *testing.T) {
	shares := []int64{1, 2, 3, 4, 5, 5}
	run := func(name string) map[string]float64 {
		d := newDriver(deciders[name]())
		d.fleet(12)
		d.teams(shares...)
		sum := map[string]float64{}
		for range 60 {
			for team := range shares {
				for d.unstarted[teamName(team)] < 300 {
					d.add(d.batch(team), d.exponential(20*time.Second))
				}
			}
			d.run(10)
			byTeam, total := d.busy()
			for team, cpus := range byTeam {
				sum[team] += cpus / total / 60
			}
		}
		return sum
	}
	core, fullScan := run("core"), run("naive")
	for i := range shares {
		difference := math.Abs(core[teamName(i)] - fullScan[teamName(i)])
		assert.Assert(t, difference < tolerance, "team %d: %.3f, naive %.3f", i, core[teamName(i)], fullScan[teamName(i)])
	}
}

// TestCancelledWorkIsDroppedFromLists guards against a memory leak: cancelled jobs whose entries stay in the queues, the
// shapes or the list of parked jobs.
func TestCancelledWorkIsDroppedFromLists(t *testing.T) {
	c := newCell(t, 2, vector(8, 8, 0))
	for round := range 300 {
		for i, each := range []int64{1, 4, 100} {
			job := tasks(workerName(i), scheduler.Batch, vector(each, each, 0), 20)
			submit(t, c, job)
		}
		for _, start := range c.Plan(time.Duration(round)*time.Second, 100).Starts {
			end(t, c, start, scheduler.Stopped, time.Duration(round)*time.Second)
		}
		for i := range 3 {
			_, err := c.Cancel(workerName(i))
			assert.NilError(t, err)
			assert.NilError(t, c.Forget(workerName(i)))
		}
	}
	assert.Equal(t, c.Queued(), 0)
	assert.Assert(t, c.Entries() < 200, "%d entries are kept", c.Entries())
}

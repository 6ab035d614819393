package dispatch

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// zonesOf returns the number of running tasks of a job by zone.
func (f *fixture) zonesOf(id string) map[string]int {
	zones := map[string]int{}
	for _, o := range f.state.Job(id).occurrences {
		for _, step := range o.steps {
			for i := range step.tasks {
				if worker := step.tasks[i].worker; worker != nil {
					zones[worker.Info.Zone]++
				}
			}
		}
	}
	return zones
}

// Guards against spreading each job over all zones: a partitioned zone then delays all jobs until the leases of its
// workers end. In the simulated day scale-1 of deployment kvarali-salt-grown, jobs submitted in the two seconds before
// a partition took 4.7 s instead of 2 s.
func TestTasksOfAStepStayInOneZone(t *testing.T) {
	f := newFixture(t, 12)
	for i := range 3 {
		f.state.AddJob(job(fmt.Sprintf("j%d", i), step(8, 2000)), nil)
	}
	f.step()
	assert.Equal(t, f.runs(), 24)
	used := map[string]bool{}
	for i := range 3 {
		zones := f.zonesOf(fmt.Sprintf("j%d", i))
		assert.Equal(t, len(zones), 1, "job %d: %v", i, zones)
		for zone := range zones {
			used[zone] = true
		}
	}
	assert.Assert(t, len(used) > 1, "all jobs are in one zone")
}

// Guards against tasks that wait for free capacity in their home zone while other zones have some.
func TestTasksLeaveAFullZone(t *testing.T) {
	f := newFixture(t, 3)
	f.state.AddJob(job("wide", step(12, 2000)), nil)
	f.step()
	assert.Equal(t, f.runs(), 12)
}

// Guards against a service that loses all its tasks with one zone.
func TestLongRunningTasksAreNotKeptInOneZone(t *testing.T) {
	f := newFixture(t, 3)
	longRunning := step(6, 2000)
	longRunning.LongRunning = true
	longRunning.MaxPerWorker = 2
	f.state.AddJob(job("service", longRunning), nil)
	f.step()
	assert.Equal(t, len(f.zonesOf("service")), 3)
}

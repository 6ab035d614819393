package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"siskinstack.example/siskinstack/scheduler"
)

// TestGangIsNotStarvedBySmallWork guards against a gang job that waits forever because small tasks take all free capacity.
func TestGangIsNotStarvedBySmallWork(t *testing.T) {
	c := newCell(t, 4, vector(8, 8, 0))
	var running []scheduler.Start
	gang := tasks("gang", scheduler.Gang, vector(8, 8, 0), 2)
	gang.Accepted = time.Second
	for second := 1; second < 200; second++ {
		now := time.Duration(second) * time.Second
		submit(t, c, tasks(fmt.Sprintf("small-%d", second), scheduler.Batch, vector(1, 1, 0), 8))
		if second == 5 {
			submit(t, c, gang)
		}
		for _, start := range c.Plan(now, 100).Starts {
			if start.Task.Job == "gang" {
				return
			}
			running = append(running, start)
		}
		// Eight new tasks a second overload the cell. Each second four running tasks end and, after eight seconds, also as
		// many as run beyond 28.
		for len(running) > 0 && second > 8 && len(running) > 28 {
			end(t, c, running[0], scheduler.Succeeded, now)
			running = running[1:]
		}
		for range min(4, len(running)) {
			end(t, c, running[0], scheduler.Succeeded, now)
			running = running[1:]
		}
	}
	t.Fatal("the gang job has not started")
}

// TestTwoGangsDoNotBlockEachOther guards against two gang jobs that each reserve workers that the other one needs.
func TestTwoGangsDoNotBlockEachOther(t *testing.T) {
	c := newCell(t, 4, vector(8, 8, 0))
	submit(t, c, tasks("old", scheduler.Batch, vector(8, 8, 0), 4))
	old := c.Plan(time.Second, 100).Starts
	submit(t, c, tasks("one", scheduler.Gang, vector(8, 8, 0), 3), tasks("two", scheduler.Gang, vector(8, 8, 0), 3))
	c.Plan(time.Hour, 100)
	id, workers := c.Reservation()
	assert.Equal(t, id, "one")
	assert.Equal(t, len(workers), 3)
	for _, start := range old {
		end(t, c, start, scheduler.Succeeded, time.Hour)
	}
	first := c.Plan(time.Hour+time.Second, 100).Starts
	assert.Equal(t, len(first), 3)
	for _, start := range first {
		end(t, c, start, scheduler.Succeeded, time.Hour)
	}
	assert.Equal(t, len(c.Plan(time.Hour+2*time.Second, 100).Starts), 3)
}

// TestGangPrefersOneRack guards against a gang job that is spread over racks although one rack can take it.
func TestGangPrefersOneRack(t *testing.T) {
	c := newCell(t, 6, vector(8, 8, 0))
	submit(t, c, tasks("gang", scheduler.Gang, vector(4, 4, 0), 4))
	starts := c.Plan(time.Second, 100).Starts
	assert.Equal(t, len(starts), 4)
	racks := map[byte]bool{}
	for _, start := range starts {
		racks[(start.Worker[0]-'a')/2] = true
	}
	assert.Equal(t, len(racks), 1)
}

// TestServiceIsSpread guards against a service that the failure of one rack or VM takes down.
func TestServiceIsSpread(t *testing.T) {
	c := newCell(t, 8, vector(8, 8, 0))
	submit(t, c, tasks("s", scheduler.Service, vector(1, 1, 0), 8))
	workers, racks := map[string]int{}, map[byte]int{}
	for _, start := range c.Plan(time.Second, 100).Starts {
		workers[start.Worker]++
		racks[(start.Worker[0]-'a')/2]++
	}
	assert.Equal(t, len(workers), 8)
	assert.Equal(t, len(racks), 4)
}

// TestUpdateReplacesOneTaskAtATime guards against an update that stops more than one task of a service at a time.
func TestUpdateReplacesOneTaskAtATime(t *testing.T) {
	c := newCell(t, 2, vector(8, 8, 0))
	submit(t, c, tasks("s", scheduler.Service, vector(1, 1, 0), 3))
	c.Plan(time.Second, 100)
	assert.NilError(t, c.Update("s", scheduler.ServiceUpdate{Version: 2, Each: vector(2, 2, 0), OldAttempts: 10}))
	for i := range 3 {
		now := time.Duration(i+1) * time.Minute
		stops := c.Plan(now, 100).Stops
		assert.Equal(t, len(stops), 1)
		assert.Equal(t, stops[0].Task.Index, int32(i))
		assert.Equal(t, len(c.Plan(now, 100).Stops), 0)
		assert.NilError(t, c.Ended(stops[0].Task, stops[0].Attempt, scheduler.Stopped, now))
		starts := c.Plan(now, 100)
		assert.Equal(t, starts.Starts[0].Allocation, vector(2, 2, 0))
	}
	assert.Equal(t, len(c.Plan(time.Hour, 100).Stops), 0)
}

// TestDrainEvacuatesSlowlyAndKeepsServices guards against starts in a draining zone, against services that stop before
// their replacements run, and against a burst of stops or starts.
func TestDrainEvacuatesSlowlyAndKeepsServices(t *testing.T) {
	c := newCell(t, 20, vector(10, 10, 0))
	batch := tasks("batch", scheduler.Batch, vector(1, 1, 0), 190)
	batch.Checkpoint = true
	submit(t, c, tasks("s", scheduler.Service, vector(1, 1, 0), 2), batch)
	assert.Equal(t, len(c.Plan(time.Second, 1000).Starts), 192)
	c.SetDraining(true)
	for tenth := range 25 {
		plan := c.Plan(time.Second+time.Duration(tenth)*100*time.Millisecond, 1000)
		assert.Equal(t, len(plan.Starts), 0)
		assert.Assert(t, len(plan.Stops) <= 11)
		for _, stop := range plan.Stops {
			assert.Equal(t, stop.Task.Job, "batch")
			assert.NilError(t, c.Ended(stop.Task, stop.Attempt, scheduler.Stopped, time.Second))
		}
	}
	counts, err := c.Counts("batch")
	assert.NilError(t, err)
	assert.Equal(t, counts.Running, 0)
	stops, err := c.SetIndexes("s", []int32{1})
	assert.NilError(t, err)
	assert.Equal(t, len(stops), 1)
	assert.Equal(t, stops[0].Reason, scheduler.StopDraining)
	c.SetDraining(false)
	first := len(c.Plan(4*time.Second, 1000).Starts)
	assert.Assert(t, first < 30, "%d starts at once", first)
	assert.Equal(t, first+len(c.Plan(time.Minute, 1000).Starts), 190)
}

// TestLargeTaskIsNotStarvedBySmallWork guards against a task as large as a worker that waits forever because small tasks
// take all free capacity.
func TestLargeTaskIsNotStarvedBySmallWork(t *testing.T) {
	c := newCell(t, 4, vector(8, 8, 0))
	large := tasks("large", scheduler.Batch, vector(8, 8, 0), 1)
	large.Accepted = time.Second
	var running []scheduler.Start
	for second := range 200 {
		now := time.Duration(second) * time.Second
		submit(t, c, tasks(fmt.Sprintf("small-%d", second), scheduler.Batch, vector(1, 1, 0), 8))
		if second == 5 {
			submit(t, c, large)
		}
		for _, start := range c.Plan(now, 100).Starts {
			if start.Task.Job == "large" {
				return
			}
			running = append(running, start)
		}
		for range min(4, len(running)) {
			end(t, c, running[0], scheduler.Succeeded, now)
			running = running[1:]
		}
	}
	t.Fatal("the large task has not started")
}

// TestLeavingWorkerIsEvacuated guards against work that is lost with a leaving worker, and against a service that loses
// more than one task at a time, or a task that fits on no other worker.
func TestLeavingWorkerIsEvacuated(t *testing.T) {
	c := newCell(t, 1, vector(8, 8, 0))
	saved := tasks("saved", scheduler.Batch, vector(1, 1, 0), 2)
	saved.Checkpoint = true
	submit(t, c, saved, tasks("s", scheduler.Service, vector(1, 1, 0), 2), tasks("unsaved", scheduler.Batch, vector(1, 1, 0), 1))
	assert.Equal(t, len(c.Plan(time.Second, 100).Starts), 5)
	c.SetWorker(scheduler.Worker{Name: "a", Rack: "a", Capacity: vector(8, 8, 0), Leaving: true})
	stopped := map[string]int{}
	for second := range 10 {
		now := time.Duration(second+2) * time.Second
		plan := c.Plan(now, 100)
		services := 0
		for _, stop := range plan.Stops {
			assert.Equal(t, stop.Worker, "a")
			stopped[stop.Task.Job]++
			if stop.Task.Job == "s" {
				services++
			}
			assert.NilError(t, c.Ended(stop.Task, stop.Attempt, scheduler.Stopped, now))
		}
		assert.Assert(t, services <= 1 && (services == 0 || second >= 5))
		if second == 5 {
			c.SetWorker(scheduler.Worker{Name: "b", Rack: "b", Capacity: vector(8, 8, 0)})
		}
	}
	assert.DeepEqual(t, stopped, map[string]int{"saved": 2, "s": 2})
}

// TestShortWorkFillsReservedWorkers guards against capacity that stays idle for a reservation although short work would end
// before the reservation needs it, and against long work that delays the reserved job.
func TestShortWorkFillsReservedWorkers(t *testing.T) {
	c := newCell(t, 2, vector(8, 8, 0))
	timed := func(id string, cpus int64, count int, run time.Duration) scheduler.Job {
		job := tasks(id, scheduler.Batch, vector(cpus, cpus, 0), count)
		job.DeclaredRun, job.Queue, job.Accepted = run, id, time.Hour
		return job
	}
	submit(t, c, timed("old", 6, 2, 2*time.Hour))
	assert.Equal(t, len(c.Plan(time.Second, 10).Starts), 2)
	submit(t, c, tasks("gang", scheduler.Gang, vector(8, 8, 0), 2), timed("long", 1, 2, 3*time.Hour), timed("short", 1, 2, time.Minute))
	assert.Equal(t, len(c.Plan(time.Minute, 0).Starts), 0)
	plan := c.Plan(time.Minute, 10)
	id, _ := c.Reservation()
	assert.Equal(t, id, "gang")
	for _, start := range plan.Starts {
		assert.Equal(t, start.Task.Job, "short")
	}
	assert.Equal(t, len(plan.Starts), 2)
}

// TestAddedServiceIndexesAreStarted guards against new indexes of a service that are not started, or that are started with
// an attempt that was used before.
func TestAddedServiceIndexesAreStarted(t *testing.T) {
	c := newCell(t, 2, vector(8, 8, 0))
	job := tasks("s", scheduler.Service, vector(1, 1, 0), 2)
	job.FirstAttempt = 7
	submit(t, c, job)
	assert.Equal(t, len(c.Plan(time.Second, 10).Starts), 2)
	_, err := c.SetIndexes("s", []int32{0, 1, 9, 5})
	assert.NilError(t, err)
	starts := c.Plan(time.Second, 10).Starts
	assert.Equal(t, len(starts), 2)
	assert.Equal(t, starts[0].Task.Index, int32(5))
	assert.Equal(t, starts[1], scheduler.Start{
		Task: scheduler.TaskID{Job: "s", Index: 9}, Attempt: 8, Worker: starts[1].Worker,
		Allocation: vector(1, 1, 0), Team: "atlas",
	})
	_, err = c.SetIndexes("s", []int32{1, 1})
	assert.ErrorIs(t, err, scheduler.ErrBadJob)
}

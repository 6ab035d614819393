package scheduler_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"siskinstack.example/siskinstack/scheduler"
)

// workload submits short jobs of one task to a cell; tasks on bad workers and tasks of bad jobs fail.
type workload struct {
	c          *scheduler.Cell
	badWorkers map[string]bool
	badJobs    map[string]bool
	jobs       int
	failed     int
	onBad      int
	mostOnBad  int
}

// second submits jobs, ends the running tasks, and returns the starts of a new plan.
func (w *workload) second(t *testing.T, now time.Duration, jobs int, running []scheduler.Start) []scheduler.Start {
	t.Helper()
	for range jobs {
		w.jobs++
		submit(t, w.c, tasks(fmt.Sprintf("job-%d", w.jobs), scheduler.Batch, vector(1, 1, 0), 1))
	}
	for _, start := range running {
		outcome := scheduler.Succeeded
		if w.badWorkers[start.Worker] || w.badJobs[start.Task.Job] {
			outcome = scheduler.Failed
			w.failed++
		}
		end(t, w.c, start, outcome, now)
	}
	starts := w.c.Plan(now, 1000).Starts
	onBad := 0
	for _, start := range starts {
		if w.badWorkers[start.Worker] {
			onBad++
		}
	}
	w.onBad += onBad
	w.mostOnBad = max(w.mostOnBad, onBad)
	return starts
}

// TestWorkerThatFailsEverythingIsSuspended guards against a worker that attracts work because its tasks fail at once and it
// always has free capacity, and against jobs that fail permanently because of it.
func TestWorkerThatFailsEverythingIsSuspended(t *testing.T) {
	w := &workload{c: newCell(t, 6, vector(4, 4, 0)), badWorkers: map[string]bool{}}
	var running []scheduler.Start
	for second := 1; second <= 60; second++ {
		w.badWorkers["b"] = second > 10
		running = w.second(t, time.Duration(second)*time.Second, 20, running)
	}
	assert.Assert(t, w.failed <= 8, "%d tasks failed", w.failed)
	assert.Assert(t, w.c.Health("b").Suspended || w.c.Health("b").Probing)
	for job := range w.jobs - 40 {
		counts, err := w.c.Counts(fmt.Sprintf("job-%d", job+1))
		assert.NilError(t, err)
		assert.Equal(t, counts.Failed, 0)
	}
}

// TestSuspendedWorkerReturnsGradually guards against a repaired worker that stays suspended, or that takes full load at once.
func TestSuspendedWorkerReturnsGradually(t *testing.T) {
	w := &workload{c: newCell(t, 6, vector(4, 4, 0)), badWorkers: map[string]bool{"b": true}}
	var running []scheduler.Start
	second := 0
	for ; !w.c.Health("b").Suspended; second++ {
		assert.Assert(t, second < 60)
		running = w.second(t, time.Duration(second)*time.Second, 20, running)
	}
	w.badWorkers = map[string]bool{}
	var limits []int
	for ; second < 120; second++ {
		running = w.second(t, time.Duration(second)*time.Second, 30, running)
		if limit := w.c.Health("b").Limit; limit > 0 && (len(limits) == 0 || limits[len(limits)-1] != limit) {
			limits = append(limits, limit)
		}
	}
	assert.Assert(t, len(limits) > 0 && limits[0] == 2)
	assert.Equal(t, w.c.Health("b"), scheduler.WorkerHealth{Until: w.c.Health("b").Until})
}

// TestJobThatFailsEverywhereIsAtFault guards against healthy workers that are suspended because of one failing job.
func TestJobThatFailsEverywhereIsAtFault(t *testing.T) {
	w := &workload{c: newCell(t, 6, vector(4, 4, 0)), badJobs: map[string]bool{"bad": true}}
	var running []scheduler.Start
	for second := 1; second <= 60; second++ {
		if second == 10 {
			bad := tasks("bad", scheduler.Batch, vector(1, 1, 0), 40)
			bad.Urgency = scheduler.Urgent
			submit(t, w.c, bad)
		}
		running = w.second(t, time.Duration(second)*time.Second, 20, running)
	}
	assert.Assert(t, w.c.AtFault("bad"))
	for i := range 6 {
		assert.Equal(t, w.c.Health(workerName(i)), scheduler.WorkerHealth{})
	}
	counts, err := w.c.Counts("bad")
	assert.NilError(t, err)
	assert.Equal(t, counts.Failed, 40)
}

// TestPlansAreDeterministic guards against decisions that depend on map iteration order.
func TestPlansAreDeterministic(t *testing.T) {
	trace := func() string {
		d := newDriver(fastDecider{scheduler.NewCell()})
		d.fleet(12)
		d.teams(1, 2, 3, 4)
		var text strings.Builder
		for range 600 {
			for range 3 {
				job, _ := d.mixed()
				job.Team = teamName(d.rand.Intn(4))
				d.add(job, d.exponential(20*time.Second))
			}
			d.advance()
			fmt.Fprintln(&text, len(d.ends), d.stops, d.work)
			for _, r := range d.ends[:min(20, len(d.ends))] {
				fmt.Fprintln(&text, r.start)
			}
		}
		return text.String()
	}
	first := trace()
	for range 3 {
		assert.Assert(t, first == trace())
	}
}

// Package naive is a simple reference implementation of the scheduling core: one lock, full scans, best fit. Tests compare
// the fast core with it, and apply the starts of the fast core to it to check them with separate accounting.
package naive

import (
	"sort"
	"sync"

	"github.com/rotisserie/eris"

	"siskinstack.example/siskinstack/resource"
	"siskinstack.example/siskinstack/scheduler"
)

// ErrInvalidStart is returned when a start violates a constraint.
var ErrInvalidStart = eris.New("start violates a constraint")

// Cell is the state of one shard.
type Cell struct {
	mu       sync.Mutex // guards all fields below
	workers  []*worker
	teams    []*team
	jobs     []*job
	draining bool
	now      scheduler.Time
}

type worker struct {
	scheduler.Worker
	used      resource.Vector
	suspended bool
	removed   bool
}

type team struct {
	scheduler.Team
	running resource.Vector
}

type job struct {
	scheduler.Job
	tasks     []*task
	cancelled bool
	peak      resource.Vector
	pending   int // tasks that are neither running nor done
}

type task struct {
	index      int32
	attempt    int32
	worker     *worker
	allocation resource.Vector
	held       bool
	done       bool
	// failedOn is the worker on which the task has failed; it waits for another one until avoidUntil.
	failedOn   *worker
	avoidUntil scheduler.Time
}

// New returns an empty cell.
func New() *Cell { return &Cell{} }

// SetWorker adds or changes a worker.
func (c *Cell) SetWorker(w scheduler.Worker) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, known := range c.workers {
		if known.Name == w.Name {
			known.Worker, known.removed = w, false
			return
		}
	}
	c.workers = append(c.workers, &worker{Worker: w})
}

// RemoveWorker removes a worker. Tasks on it run until they are reported as ended.
func (c *Cell) RemoveWorker(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range c.workers {
		if w.Name == name {
			w.Leaving, w.removed = true, true
		}
	}
	c.dropRemoved()
}

// dropRemoved drops removed workers on which nothing runs.
func (c *Cell) dropRemoved() {
	kept := c.workers[:0]
	for _, w := range c.workers {
		if !w.removed || !w.used.IsZero() {
			kept = append(kept, w)
		}
	}
	c.workers = kept
}

// SetTeam adds or changes a team.
func (c *Cell) SetTeam(t scheduler.Team) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known := c.team(t.Name); known != nil {
		known.Team = t
		return
	}
	c.teams = append(c.teams, &team{Team: t})
}

func (c *Cell) team(name string) *team {
	for _, t := range c.teams {
		if t.Name == name {
			return t
		}
	}
	return nil
}

// SetDraining starts or ends the drain of the zone.
func (c *Cell) SetDraining(draining bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = draining
}

// Submit adds a job.
func (c *Cell) Submit(spec scheduler.Job) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := &job{Job: spec, pending: len(spec.Indexes)}
	for _, index := range spec.Indexes {
		j.tasks = append(j.tasks, &task{index: index})
	}
	for _, known := range c.jobs {
		if known.Queue == j.Queue && known.Team == j.Team {
			j.peak = known.peak
		}
	}
	c.jobs = append(c.jobs, j)
	sort.SliceStable(c.jobs, func(a, b int) bool { return precedes(c.jobs[a], c.jobs[b]) })
}

func precedes(a, b *job) bool {
	if a.Urgency != b.Urgency {
		return a.Urgency < b.Urgency
	}
	return a.Accepted < b.Accepted
}

func (c *Cell) job(id string) *job {
	for _, j := range c.jobs {
		if j.ID == id {
			return j
		}
	}
	return nil
}

// Cancel ends a job. Its running tasks run until they are reported as ended.
func (c *Cell) Cancel(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if j := c.job(id); j != nil {
		j.cancelled = true
	}
}

// Hold keeps a task from being started, or lets it be started again.
func (c *Cell) Hold(id scheduler.TaskID, held bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t := c.find(id); t != nil {
		t.held = held
	}
}

func (c *Cell) find(id scheduler.TaskID) *task {
	j := c.job(id.Job)
	if j == nil {
		return nil
	}
	for _, t := range j.tasks {
		if t.index == id.Index {
			return t
		}
	}
	return nil
}

// Usage records the measured usage of a task.
func (c *Cell) Usage(id scheduler.TaskID, used resource.Vector) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.job(id.Job)
	if known == nil {
		return
	}
	for _, j := range c.jobs {
		if j.Queue == known.Queue && j.Team == known.Team {
			j.peak = j.peak.Max(used)
		}
	}
}

// Ended removes a task from its worker; it is queued again unless done is set.
func (c *Cell) Ended(id scheduler.TaskID, attempt int32, done bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.find(id)
	if t == nil || t.worker == nil || t.attempt != attempt {
		return
	}
	t.worker.used = t.worker.used.Sub(t.allocation)
	if owner := c.team(c.job(id.Job).Team); owner != nil {
		owner.running = owner.running.Sub(t.allocation)
	}
	t.worker = nil
	c.dropRemoved()
	t.done = done
	if !done {
		c.job(id.Job).pending++
	}
}

// Apply applies a start of another core, or returns which constraint it violates.
func (c *Cell) Apply(start scheduler.Start) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	j, t, owner := c.job(start.Task.Job), c.find(start.Task), c.team(start.Team)
	var w *worker
	for _, known := range c.workers {
		if known.Name == start.Worker {
			w = known
		}
	}
	if t == nil || w == nil || owner == nil || owner.Name != j.Team {
		return eris.Wrapf(ErrInvalidStart, "%v: unknown task, worker or team", start)
	}
	if err := c.check(start, j, t, w, owner); err != nil {
		return err
	}
	t.attempt = start.Attempt
	place(t, w, owner, start.Allocation)
	j.pending--
	return nil
}

// check returns which constraint a start violates.
func (c *Cell) check(start scheduler.Start, j *job, t *task, w *worker, owner *team) error {
	switch {
	case t.worker != nil:
		return eris.Wrapf(ErrInvalidStart, "%v: task is already running", start)
	case t.done || t.held || j.cancelled:
		return eris.Wrapf(ErrInvalidStart, "%v: task is done, held or cancelled", start)
	case start.Attempt <= t.attempt:
		return eris.Wrapf(ErrInvalidStart, "%v: attempt is already used", start)
	case c.draining || w.Leaving:
		return eris.Wrapf(ErrInvalidStart, "%v: zone is draining or worker is leaving", start)
	case !j.Each.Fits(start.Allocation):
		return eris.Wrapf(ErrInvalidStart, "%v: allocation is smaller than declared", start)
	case !w.used.Add(start.Allocation).Fits(w.Capacity):
		return eris.Wrapf(ErrInvalidStart, "%v: worker would exceed its capacity", start)
	case !owner.running.Add(start.Allocation).Fits(owner.Limit):
		return eris.Wrapf(ErrInvalidStart, "%v: team would exceed its limit", start)
	case c.mustAvoid(j, t, w):
		return eris.Wrapf(ErrInvalidStart, "%v: task failed on this worker, and another one can run it", start)
	}
	return nil
}

func place(t *task, w *worker, owner *team, allocation resource.Vector) {
	t.worker, t.allocation, t.failedOn = w, allocation, nil
	w.used = w.used.Add(allocation)
	owner.running = owner.running.Add(allocation)
}

// Retract reverts a start that was not carried out, including its attempt.
func (c *Cell) Retract(start scheduler.Start) {
	c.Ended(start.Task, start.Attempt, false)
	c.mu.Lock()
	defer c.mu.Unlock()
	if t := c.find(start.Task); t != nil && t.worker == nil {
		t.attempt = start.Attempt - 1
	}
}

// Running returns the resources that a team has running.
func (c *Cell) Running(name string) resource.Vector {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t := c.team(name); t != nil {
		return t.running
	}
	return resource.Vector{}
}

// Forget removes a job whose tasks are all done.
func (c *Cell) Forget(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, j := range c.jobs {
		if j.ID != id {
			continue
		}
		for _, t := range j.tasks {
			if !t.done {
				return
			}
		}
		c.jobs = append(c.jobs[:i], c.jobs[i+1:]...)
		return
	}
}

package scheduler

import (
	"github.com/rotisserie/eris"

	"siskinstack.example/siskinstack/resource"
)

// taskState is the state of a task.
type taskState uint8

const (
	taskQueued taskState = iota
	taskRunning
	taskDone
	// taskRemoved tasks belong to another shard.
	taskRemoved
)

const (
	// flagHeld tasks may still run under an earlier owner.
	flagHeld uint8 = 1 << iota
	// flagStopping tasks have an ordered stop.
	flagStopping
	// flagOutdated tasks run an older version of their service.
	flagOutdated
	// flagLeaving tasks are removed from the shard when they end.
	flagLeaving
	// flagAvoidsWorker tasks have failed on the worker in avoid, and wait for another one.
	flagAvoidsWorker
	// flagAdopted tasks were found running after a takeover, and no use of processors has been reported for them since.
	flagAdopted
)

// task is the state of one task. It is kept small, because a shard holds one for each queued and each running task.
type task struct {
	started         Time  // start of the attempt, or of the wait for another worker
	worker          int32 // identifier + 1; 0 if the task does not run
	avoid           int32 // identifier + 1 of the worker on which the last start or attempt failed
	attempt         int32
	pos             int32  // in the worker's list of tasks
	allocationIndex uint16 // index into the allocations of the job
	failures        uint16
	state           taskState
	flags           uint8
	outcome         uint8 // Outcome of a task that is done
}

// heldCount returns 1 for a held task.
func (t *task) heldCount() int {
	if t.flags&flagHeld != 0 {
		return 1
	}
	return 0
}

// place records that a task runs on a worker, with the given allocation.
func (c *Cell) place(ref taskRef, w *worker, allocation resource.Vector) {
	j, t := ref.job, ref.task()
	c.setHeld(ref, false)
	c.addQueued(j, -1)
	j.counts.Running++
	t.state = taskRunning
	t.flags &^= flagAvoidsWorker
	t.worker = w.id + 1
	t.pos = int32(len(w.tasks))
	t.allocationIndex = j.internAllocation(allocation)
	t.started = c.now
	j.lastStart = c.now
	w.tasks = append(w.tasks, ref)
	c.addUsed(w, allocation)
	j.team.running = j.team.running.Add(allocation)
	c.refreshShare(j.team)
	if j.Kind == Service {
		j.addSpread(w, 1)
	}
	c.reindex(w)
}

// unplace records that a task no longer runs; it waits again.
func (c *Cell) unplace(ref taskRef) {
	j, t := ref.job, ref.task()
	w := c.workers[t.worker-1]
	allocation := j.allocations[t.allocationIndex]
	last := len(w.tasks) - 1
	moved := w.tasks[last]
	w.tasks[t.pos] = moved
	moved.task().pos = t.pos
	w.tasks[last] = taskRef{}
	w.tasks = w.tasks[:last]
	c.addUsed(w, resource.Vector{}.Sub(allocation))
	j.team.running = j.team.running.Sub(allocation)
	if t.flags&flagStopping != 0 {
		j.stopping--
		j.team.stopping = j.team.stopping.Sub(allocation)
	}
	c.refreshShare(j.team)
	if j.Kind == Service {
		j.addSpread(w, -1)
	}
	c.endProbe(w, ref)
	t.worker = 0
	t.state = taskQueued
	t.flags &^= flagStopping | flagOutdated | flagAdopted
	delete(w.overuse, ref)
	j.counts.Running--
	c.addQueued(j, 1)
	j.firstCandidate = min(j.firstCandidate, ref.slot)
	c.reindex(w)
	c.releaseID(w)
}

func (c *Cell) addUsed(w *worker, amount resource.Vector) {
	w.used = w.used.Add(amount)
	c.markOveruse(w)
	if w.present {
		c.used = c.used.Add(amount)
	}
}

func (j *job) addSpread(w *worker, n int32) {
	if j.spread == nil {
		j.spread = map[int32]int32{}
	}
	for _, key := range [2]int32{w.rack, ^w.id} {
		j.spread[key] += n
		if j.spread[key] == 0 {
			delete(j.spread, key)
		}
	}
}

// internAllocation returns the index of an allocation in the list of the few distinct allocations of a job's tasks. It adds
// the allocation to the list if it is new.
func (j *job) internAllocation(allocation resource.Vector) uint16 {
	for i := len(j.allocations) - 1; i >= 0; i-- {
		if j.allocations[i] == allocation {
			return uint16(i)
		}
	}
	if len(j.allocations) > 1<<16-1 {
		j.compactAllocations()
	}
	j.allocations = append(j.allocations, allocation)
	return uint16(len(j.allocations) - 1)
}

// compactAllocations drops the allocations that no running task uses.
func (j *job) compactAllocations() {
	old := j.allocations
	j.allocations = nil
	for slot := range j.tasks {
		if t := &j.tasks[slot]; t.state == taskRunning {
			t.allocationIndex = j.internAllocation(old[t.allocationIndex])
		}
	}
}

func (c *Cell) lookup(id TaskID) (taskRef, error) {
	j, ok := c.jobs[id.Job]
	if !ok {
		return taskRef{}, ErrUnknownJob
	}
	slot, ok := j.slotOf(id.Index)
	if !ok || j.tasks[slot].state == taskRemoved {
		return taskRef{}, eris.Wrapf(ErrUnknownJob, "task %d", id.Index)
	}
	return taskRef{j, slot}, nil
}

// Adopt records that a task was found running on a worker after a takeover.
func (c *Cell) Adopt(id TaskID, attempt int32, name string, allocation resource.Vector) error {
	ref, err := c.lookup(id)
	if err != nil {
		return err
	}
	worker, ok := c.workerIDs[name]
	t := ref.task()
	if !ok || t.state != taskQueued || attempt < t.attempt || allocation.IsNegative() {
		return eris.Wrapf(ErrCannotAdopt, "task %v on worker %q", id, name)
	}
	c.undoCancellation(ref)
	t.attempt = attempt
	c.place(ref, c.workers[worker], allocation)
	t.flags |= flagAdopted
	if ref.job.Kind == Service && attempt <= ref.job.OldAttempts {
		c.markOutdated(ref)
	}
	if ref.job.cancelled {
		c.stopInNextPlan(ref, StopCancelled)
	}
	return nil
}

// undoCancellation reverts the cancellation of a waiting task that was found to run or to have ended.
func (c *Cell) undoCancellation(ref taskRef) {
	if j := ref.job; j.cancelled && ref.task().state == taskQueued {
		j.counts.Cancelled--
		c.addQueued(j, 1)
	}
}

// Hold keeps a queued task from being started until Unhold.
func (c *Cell) Hold(id TaskID) error { return c.changeHold(id, true) }

// Unhold allows a held task to be started again.
func (c *Cell) Unhold(id TaskID) error { return c.changeHold(id, false) }

func (c *Cell) changeHold(id TaskID, held bool) error {
	ref, err := c.lookup(id)
	if err != nil {
		return err
	}
	if ref.task().state == taskQueued {
		c.setHeld(ref, held)
		c.resolveGangMember(ref)
	}
	return nil
}

func (c *Cell) setHeld(ref taskRef, held bool) {
	j, t := ref.job, ref.task()
	if (t.flags&flagHeld != 0) == held {
		return
	}
	t.flags ^= flagHeld
	if held {
		j.held++
		return
	}
	j.held--
	j.avoidBlockedAt = 0
	j.firstCandidate = min(j.firstCandidate, ref.slot)
}

// Ended records the end of an attempt. Ends of attempts other than the current one are ignored.
func (c *Cell) Ended(id TaskID, attempt int32, outcome Outcome, now Time) error {
	ref, err := c.lookup(id)
	if err != nil {
		return err
	}
	c.advance(now)
	t := ref.task()
	if t.state != taskRunning || attempt != t.attempt {
		return nil
	}
	c.recordEnd(ref, outcome)
	c.unplace(ref)
	c.applyOutcome(ref, outcome)
	return nil
}

// Resolve records an outcome that is not reported by Ended, for example of a task that, after a takeover, turns
// out to have ended or is not found.
func (c *Cell) Resolve(id TaskID, outcome Outcome) error {
	ref, err := c.lookup(id)
	if err != nil {
		return err
	}
	if ref.task().state == taskDone {
		return nil
	}
	c.undoCancellation(ref)
	if ref.task().state == taskRunning {
		c.unplace(ref)
	}
	c.applyOutcome(ref, outcome)
	return nil
}

// Final returns the outcome of a task that will not start again.
func (c *Cell) Final(id TaskID) (Outcome, bool) {
	ref, err := c.lookup(id)
	if err != nil {
		return 0, false
	}
	switch t := ref.task(); {
	case t.state == taskDone:
		return Outcome(t.outcome), true
	case t.state == taskQueued && ref.job.cancelled:
		return Cancelled, true
	default:
		return 0, false
	}
}

// StartFailed returns a task that was not started to the queue. The next start prefers another worker.
func (c *Cell) StartFailed(id TaskID, attempt int32, now Time) error {
	ref, err := c.lookup(id)
	if err != nil {
		return err
	}
	c.advance(now)
	t := ref.task()
	if t.state != taskRunning || attempt != t.attempt {
		return nil
	}
	t.avoid = t.worker
	c.unplace(ref)
	c.requeue(ref)
	return nil
}

// applyOutcome finishes or requeues a task after an attempt.
func (c *Cell) applyOutcome(ref taskRef, outcome Outcome) {
	j, t := ref.job, ref.task()
	if outcome == Failed {
		t.failures++
	}
	switch {
	case outcome == Succeeded:
		c.finish(ref, Succeeded)
	case outcome == Unknown:
		c.finish(ref, Unknown)
	case j.cancelled || outcome == Cancelled:
		c.finish(ref, Cancelled)
	case outcome == Failed && (j.AtMostOnce || int32(t.failures) >= j.MaxAttempts):
		c.finish(ref, Failed)
		if j.restartsTogether() {
			c.failGang(j)
		}
	case j.gangFailed:
		c.finish(ref, Failed)
	case j.AtMostOnce:
		// A task that was stopped or lost may have run in part, and must not run again.
		c.finish(ref, Unknown)
	default:
		c.requeue(ref)
	}
}

func (c *Cell) finish(ref taskRef, outcome Outcome) {
	c.setHeld(ref, false)
	ref.task().state = taskDone
	ref.task().outcome = uint8(outcome)
	c.addQueued(ref.job, -1)
	counts := &ref.job.counts
	switch outcome {
	case Succeeded:
		counts.Succeeded++
	case Failed:
		counts.Failed++
	case Cancelled:
		counts.Cancelled++
	default:
		counts.Unknown++
	}
}

// requeue queues a task that no longer runs, or ends it if its job is cancelled or its gang job has failed, or removes it
// if it belongs to another shard.
func (c *Cell) requeue(ref taskRef) {
	j, t := ref.job, ref.task()
	switch {
	case j.cancelled:
		c.finish(ref, Cancelled)
	case j.gangFailed:
		c.finish(ref, Failed)
	case t.flags&flagLeaving != 0:
		t.flags &^= flagLeaving
		t.state = taskRemoved
		c.addQueued(j, -1)
	default:
		c.notePartialGang(j)
		c.enqueue(j)
	}
}

// nextQueued returns the slot of the first task of a job that may be started.
func (j *job) nextQueued() (int32, bool) {
	for ; int(j.firstCandidate) < len(j.tasks); j.firstCandidate++ {
		t := &j.tasks[j.firstCandidate]
		if t.state == taskQueued && t.flags&flagHeld == 0 {
			return j.firstCandidate, true
		}
	}
	return 0, false
}

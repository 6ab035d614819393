package scheduler

import (
	"time"

	"github.com/rotisserie/eris"

	"siskinstack.example/siskinstack/resource"
)

// minReadyTime is how long a started task must run before the update of its service continues, so that the next task is
// not stopped while a new one fails right after its start.
const minReadyTime = time.Second

// ServiceUpdate is a new version of a service.
type ServiceUpdate struct {
	Version int64
	Each    resource.Vector
	// OldAttempts is the highest attempt that may run an earlier version; starts of this version use higher ones.
	OldAttempts int32
}

// Update sets a new version of a service. Its tasks replace the running ones one at a time, in the order of their slots.
func (c *Cell) Update(id string, update ServiceUpdate) error {
	j, ok := c.jobs[id]
	if !ok {
		return ErrUnknownJob
	}
	if j.Kind != Service || update.Each.IsNegative() {
		return eris.Wrapf(ErrBadJob, "job %q cannot be updated", id)
	}
	if update.Version <= j.UpdateVersion {
		return nil
	}
	j.UpdateVersion, j.OldAttempts = update.Version, max(j.OldAttempts, update.OldAttempts)
	c.resize(j, update.Each)
	for slot := range j.tasks {
		if t := &j.tasks[slot]; t.state == taskRunning {
			c.markOutdated(taskRef{j, int32(slot)})
		}
	}
	return nil
}

// markOutdated marks a running task as one of an earlier version of its service.
func (c *Cell) markOutdated(ref taskRef) {
	ref.task().flags |= flagOutdated
	if !ref.job.updating {
		ref.job.updating = true
		c.updating = append(c.updating, ref.job)
	}
}

// HoldUpdate pauses or resumes the replacement of a service's tasks of earlier versions.
func (c *Cell) HoldUpdate(id string, held bool) error {
	j, ok := c.jobs[id]
	if !ok {
		return ErrUnknownJob
	}
	j.updateHeld = held
	return nil
}

// UpdateState is the progress of the update of a service.
type UpdateState struct {
	Version int64
	// Outdated is the number of running tasks of earlier versions.
	Outdated int
	// Held is true while their replacement is paused.
	Held bool
}

// UpdateState returns the progress of the update of a service.
func (c *Cell) UpdateState(id string) (UpdateState, error) {
	j, ok := c.jobs[id]
	if !ok {
		return UpdateState{}, ErrUnknownJob
	}
	state := UpdateState{Version: j.UpdateVersion, Held: j.updateHeld}
	if !j.updating {
		return state, nil
	}
	for slot := range j.tasks {
		if t := &j.tasks[slot]; t.state == taskRunning && t.flags&flagOutdated != 0 {
			state.Outdated++
		}
	}
	return state, nil
}

// resize changes the declared size of a job's waiting tasks.
func (c *Cell) resize(j *job, each resource.Vector) {
	if each == j.Each {
		return
	}
	queued := j.counts.Queued
	c.addQueued(j, -queued)
	c.releaseShape(j.shape)
	j.dequeue()
	j.Each = each
	j.shape = c.shapeOf(j)
	c.addQueued(j, queued)
	j.examinedAt = 0
	c.unparkIfPossible(j)
	c.enqueue(j)
}

// continueUpdates stops the next task of an older version of each service whose tasks all run.
func (c *Cell) continueUpdates(plan *Plan) {
	kept := c.updating[:0]
	for _, j := range c.updating {
		if c.continueUpdate(j, plan) {
			kept = append(kept, j)
			continue
		}
		j.updating = false
	}
	clear(c.updating[len(kept):])
	c.updating = kept
}

// continueUpdate stops the next task of an older version if all tasks of the service run, and reports whether such tasks
// remain.
func (c *Cell) continueUpdate(j *job, plan *Plan) bool {
	if j.cancelled {
		return false
	}
	next := int32(-1)
	for slot := range j.tasks {
		if t := &j.tasks[slot]; next < 0 && t.state == taskRunning && t.flags&flagOutdated != 0 {
			next = int32(slot)
		}
	}
	if next < 0 {
		return false
	}
	if !j.updateHeld && j.stopping == 0 && j.counts.Queued == 0 && c.now-j.lastStart >= minReadyTime {
		plan.Stops = append(plan.Stops, c.stop(taskRef{j, next}, StopReplaced, nil))
	}
	return true
}

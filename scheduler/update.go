package scheduler

import (
	"github.com/rotisserie/eris"

	"siskinstack.example/siskinstack/resource"
)

// Update gives a service a new version, whose tasks replace the running ones one at a time in the order of their slots.
func (c *Cell) Update(id string, version int64, each resource.Vector) error {
	j, ok := c.jobs[id]
	if !ok {
		return ErrUnknownJob
	}
	if j.Kind != Service || each.IsNegative() {
		return eris.Wrapf(ErrBadJob, "job %q cannot be updated", id)
	}
	if version <= j.UpdateVersion {
		return nil
	}
	j.UpdateVersion = version
	c.resize(j, each)
	for slot := range j.tasks {
		if t := &j.tasks[slot]; t.state == taskRunning {
			t.flags |= flagOld
		}
	}
	if !j.updating {
		j.updating = true
		c.updating = append(c.updating, j)
	}
	return nil
}

// resize changes the declared room of a job's waiting tasks.
func (c *Cell) resize(j *job, each resource.Vector) {
	if each == j.Each {
		return
	}
	queued := j.counts.Queued
	c.waitMore(j, -queued)
	c.releaseShape(j.shape)
	j.dequeue()
	j.Each = each
	j.shape = c.shapeOf(j)
	c.waitMore(j, queued)
	j.examined = 0
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

// continueUpdate reports whether tasks of an older version remain.
func (c *Cell) continueUpdate(j *job, plan *Plan) bool {
	if j.cancelled {
		return false
	}
	next := int32(-1)
	for slot := range j.tasks {
		if t := &j.tasks[slot]; next < 0 && t.state == taskRunning && t.flags&flagOld != 0 {
			next = int32(slot)
		}
	}
	if next < 0 {
		return false
	}
	if j.stopping == 0 && j.counts.Queued == 0 {
		plan.Stops = append(plan.Stops, c.stop(taskRef{j, next}, StopReplaced, nil))
	}
	return true
}

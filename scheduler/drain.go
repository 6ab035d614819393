package scheduler

import "time"

// SetDraining starts or ends the drain of the shard's availability zone. After a drain the zone fills gradually.
func (c *Cell) SetDraining(draining bool) {
	if c.draining == draining {
		return
	}
	c.draining = draining
	c.capacityVersion++
	if draining {
		c.drainSince, c.evacuateAt = c.now, c.now
		c.ramping = false
		if c.reservation != nil {
			c.dropReservation(c.reservation.job)
		}
		return
	}
	c.ramping = true
	c.rampSince = c.now
	c.rampFrom = c.used.DominantShare(c.total)
}

// rampAllows reports whether the ramp after a drain allows more starts now.
func (c *Cell) rampAllows() bool {
	if !c.ramping {
		return true
	}
	elapsed := c.now - c.rampSince
	if elapsed >= c.options.RampTime {
		c.ramping = false
		return true
	}
	return c.used.DominantShare(c.total) < c.rampFrom+float64(elapsed)/float64(c.options.RampTime)
}

// evacuate stops work in a draining zone under the rate limit. Services continue until SetIndexes reports that their
// replacements run in other shards, tasks that cannot run again run to completion, and tasks without checkpoints get a
// grace period to end by themselves.
func (c *Cell) evacuate(plan *Plan) {
	interval := c.evacuationInterval()
	for range c.workers {
		w := c.workers[c.evacuateStart%len(c.workers)]
		if w != nil && !c.evacuateWorker(w, interval, plan) {
			return
		}
		c.evacuateStart = (c.evacuateStart + 1) % len(c.workers)
	}
	// Unused time under the rate limit must not allow a later burst.
	c.evacuateAt = max(c.evacuateAt, c.now)
}

// evacuationInterval returns the time between two stops under the rate limit.
func (c *Cell) evacuationInterval() Time {
	return Time(float64(time.Second) / max(c.options.EvacuationsPerSecond, 1e-3))
}

// evacuateLeaving moves work off leaving workers under the same rate limit.
func (c *Cell) evacuateLeaving(plan *Plan) {
	interval := c.evacuationInterval()
	kept := c.leaving[:0]
	limited := false
	for _, w := range c.leaving {
		if !w.present || !w.Leaving {
			continue
		}
		kept = append(kept, w)
		limited = limited || !c.evacuateWorker(w, interval, plan)
	}
	clear(c.leaving[len(kept):])
	c.leaving = kept
	if !limited {
		c.evacuateAt = max(c.evacuateAt, c.now)
	}
}

// evacuateWorker stops the tasks of a worker that may be moved, and returns false if the rate limit interrupted it.
func (c *Cell) evacuateWorker(w *worker, interval Time, plan *Plan) bool {
	for i := 0; i < len(w.tasks); i++ {
		ref := w.tasks[i]
		if !c.mayEvacuate(ref) {
			continue
		}
		if c.evacuateAt > c.now {
			return false
		}
		before := len(plan.Stops)
		c.stopTaskOrGang(ref, StopDraining, nil, plan)
		c.evacuateAt += interval * Time(len(plan.Stops)-before)
	}
	return true
}

func (c *Cell) mayEvacuate(ref taskRef) bool {
	j := ref.job
	if j.AtMostOnce || ref.task().flags&flagStopping != 0 {
		return false
	}
	if j.Kind == Service {
		return !c.draining && c.canMove(j)
	}
	return j.Checkpoint || c.draining && c.now-c.drainSince >= c.options.EvacuationGrace
}

// canMove reports whether a task of a service may be stopped to run on another worker: all tasks of the service run, none
// is stopping, and the task fits on another worker.
func (c *Cell) canMove(j *job) bool {
	if j.counts.Queued > 0 || j.stopping > 0 {
		return false
	}
	c.refreshShape(j.shape, j.team)
	id, _ := c.findBest(j.shape, j.team, -1)
	return id >= 0
}

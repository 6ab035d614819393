package naive

import "siskinstack.example/siskinstack/scheduler"

// Advance sets the time of the following plans.
func (c *Cell) Advance(now scheduler.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = now
}

// SetSuspended sets whether a worker is suspended because of its failures.
func (c *Cell) SetSuspended(name string, suspended bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range c.workers {
		if w.Name == name {
			w.suspended = suspended
		}
	}
}

// Failed makes a task that failed on a worker wait for another one until the given time, as long as another one can run it.
func (c *Cell) Failed(id scheduler.TaskID, name string, until scheduler.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.find(id)
	if t == nil || c.job(id.Job).Kind == scheduler.Gang {
		return
	}
	for _, w := range c.workers {
		if w.Name == name {
			t.failedOn, t.avoidUntil = w, until
		}
	}
}

// mustAvoid reports whether a task has failed on w and must wait for another worker.
func (c *Cell) mustAvoid(j *job, t *task, w *worker) bool {
	if t.failedOn != w || c.now >= t.avoidUntil {
		return false
	}
	for _, other := range c.workers {
		if other != w && !other.Leaving && !other.suspended && j.Each.Fits(other.Capacity) {
			return true
		}
	}
	return false
}

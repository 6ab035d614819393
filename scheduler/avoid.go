package scheduler

import "siskinstack.example/siskinstack/resource"

// choice is a placement: a task of a job, the worker that it starts on and the allocation that it gets there.
type choice struct {
	slot   int32
	worker *worker
	need   resource.Vector
	// avoided is true if a task of the job fits, but only on workers that all waiting tasks of the job avoid.
	avoided bool
}

// avoidFailed makes a task that has failed wait for another worker. Otherwise a worker on which every task fails, and which
// therefore always has free capacity, would use up the attempts of correct jobs while all other workers are full.
func (c *Cell) avoidFailed(ref taskRef, w *worker) {
	t := ref.task()
	t.avoid = w.id + 1
	if ref.job.Kind == Gang || c.options.AvoidFor <= 0 {
		return
	}
	t.flags |= flagAvoidsWorker
	t.started = c.now // of a task that does not run: since when it waits for another worker
	end := c.now + c.options.AvoidFor
	if n := len(c.avoidEnds); n == 0 || c.avoidEnds[n-1] != end {
		c.avoidEnds = append(c.avoidEnds, end)
	}
}

// endAvoidance makes tasks candidates again when their wait for another worker has expired.
func (c *Cell) endAvoidance() {
	ended := 0
	for ended < len(c.avoidEnds) && c.avoidEnds[ended] <= c.now {
		ended++
	}
	if ended > 0 {
		c.avoidEnds = c.avoidEnds[ended:]
		c.capacityVersion++
	}
}

// mustAvoid reports whether a task must not start on w because it failed there and another worker can take it.
func (c *Cell) mustAvoid(j *job, slot int32, w *worker) bool {
	t := &j.tasks[slot]
	if t.flags&flagAvoidsWorker == 0 || t.avoid != w.id+1 || c.now >= t.started+c.options.AvoidFor {
		return false
	}
	return c.fitsOtherWorker(j, w)
}

// fitsOtherWorker reports whether a worker other than w that is not leaving, suspended or being probed is large enough for
// a task of j.
func (c *Cell) fitsOtherWorker(j *job, w *worker) bool {
	fit := 0
	for capacity, n := range c.capacityCounts {
		if j.Each.Fits(capacity) {
			fit += n
		}
	}
	for _, unusable := range [...][]*worker{c.suspended, c.probing} {
		for _, other := range unusable {
			if other != w && other.present && !other.Leaving && j.Each.Fits(other.Capacity) {
				fit--
			}
		}
	}
	if w.present && !w.Leaving && j.Each.Fits(w.Capacity) {
		fit--
	}
	return fit > 0
}

// slotFor returns the first waiting task of j that may start on w.
func (c *Cell) slotFor(j *job, w *worker) (int32, bool) {
	first, ok := j.nextQueued()
	if !ok || !c.mustAvoid(j, first, w) {
		return first, ok
	}
	for slot := first + 1; int(slot) < len(j.tasks); slot++ {
		t := &j.tasks[slot]
		if t.state == taskQueued && t.flags&flagHeld == 0 && !c.mustAvoid(j, slot, w) {
			return slot, true
		}
	}
	return 0, false
}

package scheduler

import (
	"siskinstack.example/siskinstack/resource"
	"siskinstack.example/siskinstack/scheduler/policy/reserve"
)

// largeDivisor defines large tasks, for which a single worker may be reserved: they need at least the capacity of the
// largest worker divided by this number, in some dimension.
const largeDivisor = 3

// reservation reserves workers for one gang job or large task at a time, so that two gang jobs never hold parts of the
// capacity that the other one needs.
type reservation struct {
	job     *job
	workers []int32
	since   Time
	// until is when the work on the workers is expected to have ended; tasks of unknown run time and services do not count.
	until Time
}

// startReservedGang tries to start the gang job with the reservation before any other work.
func (c *Cell) startReservedGang(plan *Plan, maxStarts int) {
	r := c.reservation
	if r == nil || r.job.Kind != Gang || maxStarts <= 0 || !c.rampAllows() {
		return
	}
	if r.job.parked != WaitNone || c.now-r.since > 2*c.options.ReserveAfter {
		// The choice may be out of date: another set of workers may be free sooner.
		c.dropReservation(r.job)
	}
	c.refreshShape(r.job.shape, r.job.team)
	c.tryGang(r.job, plan)
}

// startReservedTask starts the large task with the reservation once it fits. It runs after the other work, so that
// urgent work is started first.
func (c *Cell) startReservedTask(plan *Plan, maxStarts int) {
	r := c.reservation
	if r == nil || r.job.Kind == Gang || len(plan.Starts) >= maxStarts || !c.rampAllows() {
		return
	}
	j := r.job
	c.refreshShape(j.shape, j.team)
	if _, ok := j.nextQueued(); !ok || !c.permits(j.team, j.shape.need) {
		c.dropReservation(j)
		return
	}
	for _, id := range r.workers {
		w := c.workers[id]
		if w == nil || w.reserved != j || !w.acceptsTasks() {
			continue
		}
		slot, ok := c.slotFor(j, w)
		if need := c.needOn(j, w); ok && need.Fits(c.index.free[id]) {
			c.dropReservation(j)
			plan.Starts = append(plan.Starts, c.start(taskRef{j, slot}, w, need))
			return
		}
	}
}

// releaseForUrgent releases the worker reserved for a large task to urgent work that did not fit on other workers, unless
// the large task is urgent too.
func (c *Cell) releaseForUrgent(t *team) bool {
	r := c.reservation
	if r == nil || r.job.Kind == Gang || r.job.queueIndex == queueUrgent || !t.hasPriority() {
		return false
	}
	c.dropReservation(r.job)
	return true
}

// isLarge reports whether a task needs so large a part of a worker that smaller tasks could starve it.
func (c *Cell) isLarge(need resource.Vector) bool {
	scale := c.index.scale
	return largeDivisor*need.MilliCPU >= scale.MilliCPU && need.MilliCPU > 0 ||
		largeDivisor*need.MemoryBytes >= scale.MemoryBytes && need.MemoryBytes > 0 ||
		largeDivisor*need.Accelerators >= scale.Accelerators && need.Accelerators > 0
}

// reserveFor reserves workers for n tasks of a job that has waited too long, unless there is a reservation already.
func (c *Cell) reserveFor(j *job, n int) {
	if c.reservation != nil || j.parked != WaitNone || c.now-j.Accepted < c.options.ReserveAfter {
		return
	}
	var candidates []reserve.Candidate
	onlyRack := c.gangRack(j)
	for _, w := range c.workers {
		if w == nil || !w.acceptsTasks() || (onlyRack >= 0 && w.rack != onlyRack) {
			continue
		}
		need := c.needOn(j, w)
		candidates = append(candidates, reserve.Candidate{
			Worker: w.id, Rack: w.rack,
			Now: copies(need, c.index.free[w.id], n), Later: copies(need, w.Capacity.Sub(w.serviceAllocation()), n),
		})
	}
	chosen := c.options.Policies.Reserve.Reserve(candidates, n, j.SameRack)
	if chosen == nil {
		return
	}
	r := &reservation{job: j, workers: chosen, since: c.now}
	c.reservation = r
	for _, id := range chosen {
		w := c.workers[id]
		w.reserved = j
		r.until = max(r.until, c.expectedEnd(w))
		c.reindex(w)
	}
}

// Reservation returns the job that workers are reserved for, and the workers; empty if there is none.
func (c *Cell) Reservation() (id string, workers []string) {
	if c.reservation == nil {
		return "", nil
	}
	for _, worker := range c.reservation.workers {
		if w := c.workers[worker]; w != nil && w.reserved == c.reservation.job {
			workers = append(workers, w.Name)
		}
	}
	return c.reservation.job.ID, workers
}

// serviceAllocation returns the total allocation of the services on a worker, which do not end by themselves.
func (w *worker) serviceAllocation() resource.Vector {
	var sum resource.Vector
	for _, ref := range w.tasks {
		if ref.job.Kind == Service {
			sum = sum.Add(ref.allocation())
		}
	}
	return sum
}

// expectedEnd returns when all tasks on a worker, apart from services, are expected to have ended.
func (c *Cell) expectedEnd(w *worker) Time {
	end := c.now
	for _, ref := range w.tasks {
		if ref.job.Kind != Service {
			end = max(end, ref.task().started+ref.job.estimate(feasibleQuantile))
		}
	}
	return end
}

// dropReservation releases the workers that are reserved for j.
func (c *Cell) dropReservation(j *job) {
	r := c.reservation
	if j == nil || r == nil || r.job != j {
		return
	}
	c.reservation = nil
	c.released++
	for _, id := range r.workers {
		if w := c.workers[id]; w != nil && w.reserved == j {
			w.reserved = nil
			c.reindex(w)
		}
	}
}

// pickBackfill returns a reserved worker for a task that is expected to end before the reservation needs the capacity.
func (c *Cell) pickBackfill(j *job) choice {
	r := c.reservation
	estimate := j.estimate(raiseQuantile)
	if r == nil || j.Kind != Batch || estimate == 0 || c.now+estimate > r.until {
		return choice{}
	}
	for _, id := range r.workers {
		w := c.workers[id]
		if w == nil || w.reserved != r.job || !w.acceptsTasks() {
			continue
		}
		slot, ok := c.slotFor(j, w)
		if need := c.needOn(j, w); ok && need.Fits(c.index.free[id]) {
			return choice{slot: slot, worker: w, need: need}
		}
	}
	return choice{}
}

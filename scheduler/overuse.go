package scheduler

import (
	"time"

	"siskinstack.example/siskinstack/resource"
)

const (
	// throttleRetry is the delay before a failed throttle order is repeated.
	throttleRetry = time.Second
	// raiseStep is the smallest increase of a limit that is sent, as a divisor of the limit: limits follow the spare
	// capacity, which changes with every start and end on the worker.
	raiseStep = 10
	// limitSlack is the margin below its limit, as a divisor of the limit, within which a throttled task counts as using all
	// of it. Its demand is then unknown, and is taken to be at least the last known one.
	limitSlack = 20
)

// Throttle is an order to limit the processors of one running task. MilliCPU is the worker's whole capacity if an earlier
// limit is lifted.
type Throttle struct {
	Task     TaskID
	Attempt  int32
	Worker   string
	MilliCPU int64
}

// overuse is the state of a task that uses more than its allocation or that is throttled.
type overuse struct {
	demand resource.Vector // last reported usage; for processors of a throttled task, the last known demand
	limit  int64           // MilliCPU allowed; 0 if not throttled
	// inFlight is true while the result of an order is pending; unsure is true after a failed order, which is repeated at
	// retry.
	inFlight, unsure bool
	retry            Time
}

// noteUsage compares the usage of a running task with its allocation. Reports lag behind the actual usage, so they never
// reduce the allocation.
func (c *Cell) noteUsage(ref taskRef, used resource.Vector) {
	w, t, allocation := c.workers[ref.task().worker-1], ref.task(), ref.allocation()
	o := w.overuse[ref]
	if o == nil {
		// An earlier owner may have throttled an adopted task that uses its whole allocation.
		adopted := t.flags&flagAdopted != 0 && used.MilliCPU > 0
		if adopted {
			t.flags &^= flagAdopted
		}
		mayBeLimited := adopted && used.MilliCPU >= allocation.MilliCPU-allocation.MilliCPU/limitSlack
		if !mayBeLimited && used.MilliCPU <= allocation.MilliCPU && used.MemoryBytes <= allocation.MemoryBytes {
			return
		}
		o = &overuse{}
		if mayBeLimited {
			o.limit = used.MilliCPU
		}
		if w.overuse == nil {
			w.overuse = map[taskRef]*overuse{}
		}
		w.overuse[ref] = o
	}
	if o.limit > 0 && used.MilliCPU >= o.limit-o.limit/limitSlack {
		used.MilliCPU = max(used.MilliCPU, o.demand.MilliCPU)
	}
	o.demand = used
	c.markOveruse(w)
}

// markOveruse makes the next pass check the usage on a worker.
func (c *Cell) markOveruse(w *worker) {
	if len(w.overuse) > 0 && !w.overuseMarked {
		w.overuseMarked = true
		c.overuseMarked = append(c.overuseMarked, w)
	}
}

// limitUsage throttles and moves tasks on the workers whose usage, allocations or capacity have changed.
func (c *Cell) limitUsage(plan *Plan) {
	marked := c.overuseMarked
	c.overuseMarked = nil
	for _, w := range marked {
		w.overuseMarked = false
		if w.present && len(w.overuse) > 0 {
			c.limitWorker(w, plan)
		}
	}
}

func (c *Cell) limitWorker(w *worker, plan *Plan) {
	spare := w.Capacity.Sub(w.used)
	var excess resource.Vector
	for ref, o := range w.overuse {
		excess = excess.Add(o.excess(ref))
	}
	for _, ref := range w.tasks {
		o := w.overuse[ref]
		if o == nil {
			continue
		}
		c.limitTask(w, ref, o, max(spare.MilliCPU, 0), excess.MilliCPU, plan)
		if o.excess(ref).MemoryBytes > 0 {
			c.moveForMemory(ref, excess.MemoryBytes > spare.MemoryBytes, plan)
		}
		if o.limit == 0 && !o.inFlight && !o.unsure && o.excess(ref).IsZero() {
			delete(w.overuse, ref)
		}
	}
}

// excess returns what a task uses above its allocation.
func (o *overuse) excess(ref taskRef) resource.Vector {
	over := o.demand.Sub(ref.allocation())
	return resource.Vector{MilliCPU: max(over.MilliCPU, 0), MemoryBytes: max(over.MemoryBytes, 0)}
}

// limitTask throttles a task to its allocation and a part of the worker's spare processors, in proportion to its excess, so
// that the limits of the throttled tasks and the allocations of the others add up to at most the worker's capacity. Nothing
// is limited while the excess of all tasks fits into the spare processors.
func (c *Cell) limitTask(w *worker, ref taskRef, o *overuse, spare, excess int64, plan *Plan) {
	if o.inFlight || o.unsure && c.now < o.retry {
		c.markOveruse(w)
		return
	}
	wanted := int64(0)
	if own := o.excess(ref).MilliCPU; excess > spare && (own > 0 || o.limit > 0) {
		share := float64(spare) * float64(own) / float64(excess)
		wanted = max(min(ref.allocation().MilliCPU+int64(share), w.Capacity.MilliCPU), 1)
	}
	smallRaise := wanted > o.limit && wanted < o.limit+o.limit/raiseStep
	if !o.unsure && (wanted == o.limit || o.limit > 0 && smallRaise) {
		return
	}
	order := Throttle{Task: ref.job.id(ref.slot), Attempt: ref.task().attempt, Worker: w.Name, MilliCPU: wanted}
	if wanted == 0 {
		order.MilliCPU = w.Capacity.MilliCPU
	}
	o.limit, o.inFlight, o.unsure = wanted, true, false
	plan.Throttles = append(plan.Throttles, order)
}

// Throttled reports whether a throttle order was carried out. Orders that failed are repeated.
func (c *Cell) Throttled(order Throttle, done bool, now Time) {
	c.advance(now)
	ref, err := c.lookup(order.Task)
	if err != nil || ref.task().state != taskRunning || ref.task().attempt != order.Attempt {
		return
	}
	w := c.workers[ref.task().worker-1]
	o := w.overuse[ref]
	if o == nil {
		return
	}
	o.inFlight, o.unsure, o.retry = false, !done, c.now+throttleRetry
	c.markOveruse(w)
}

// moveForMemory checkpoints and stops a batch task that uses more memory than its allocation, if its worker is short of
// memory or a larger allocation fits on some worker. The task starts again with the larger allocation that was learned.
// Other tasks get it at their next attempt.
func (c *Cell) moveForMemory(ref taskRef, short bool, plan *Plan) {
	j, t := ref.job, ref.task()
	if j.Kind != Batch || !j.Checkpoint || j.AtMostOnce || j.cancelled || c.draining || t.flags&flagStopping != 0 {
		return
	}
	c.refreshShape(j.shape, j.team)
	if j.shape.need.MemoryBytes <= ref.allocation().MemoryBytes {
		return // no worker or limit allows a larger allocation
	}
	if !short {
		if id, need := c.findBest(j.shape, j.team, -1); id < 0 || need.MemoryBytes <= ref.allocation().MemoryBytes {
			return
		}
	}
	plan.Stops = append(plan.Stops, c.stop(ref, StopOverAllocation, nil))
}

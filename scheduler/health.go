package scheduler

import (
	"math"
	"time"
)

const (
	// initialFailureRate is the share of failing attempts that is assumed before any attempt has ended.
	initialFailureRate = 0.02
	// failureWeight is the weight of one attempt in the moving average of the fleet's failure rate.
	failureWeight = 1.0 / 256
	// suspendProbability is the probability, at the fleet's failure rate, below which a run of failures suspends a worker.
	suspendProbability = 1e-4
	// minFailures and maxFailures bound the run of failures of distinct jobs that suspends a worker.
	minFailures = 3
	maxFailures = 20
	// atFaultWorkers is the number of healthy workers on which a job must fail before its failures are attributed to it.
	atFaultWorkers = 3
	// healthyFor is how long after its last success a worker counts as healthy.
	healthyFor = 10 * time.Minute
	// firstSuspension is the first suspension of a worker; each failed probe doubles it, up to longestSuspension.
	firstSuspension   = 30 * time.Second
	longestSuspension = 10 * time.Minute
	// unlimitedFrom is the limit of a worker after its suspension from which the limit is lifted.
	unlimitedFrom = 64
	// suspendedDivisor limits the suspended workers to one in this many, but at least one: more failing workers point to
	// another cause.
	suspendedDivisor = 3
)

// failure is a failed attempt.
type failure struct {
	ref taskRef
}

// health is the record of a worker's failures and successes.
type health struct {
	failures     []failure // of distinct jobs since the last success
	succeeded    Time
	hasSucceeded bool // some task has succeeded
	suspended    bool
	probing      bool
	probe        taskRef // task that runs as a probe, if any
	limit        int32   // tasks allowed after a suspension; 0 if unlimited
	until        Time    // end of the suspension
	backoff      Time    // duration of the last suspension; 0 after a recovery
}

func (h *health) atLimit(tasks int) bool { return h.limit > 0 && tasks >= int(h.limit) }

// recordEnd records the outcome of an attempt, before its task is removed from the worker.
func (c *Cell) recordEnd(ref taskRef, outcome Outcome) {
	t := ref.task()
	w := c.workers[t.worker-1]
	switch outcome {
	case Succeeded:
		c.failureRate -= c.failureRate * failureWeight
		c.learnRun(ref.job, c.now-t.started)
		c.workerSucceeded(w)
	case Failed:
		c.failureRate += (1 - c.failureRate) * failureWeight
		c.avoidFailed(ref, w)
		c.workerFailed(w, ref)
	}
}

func (c *Cell) workerSucceeded(w *worker) {
	h := &w.health
	h.failures = nil
	h.succeeded, h.hasSucceeded = c.now, true
	switch {
	case h.suspended:
		return
	case h.probing:
		c.stopProbing(w)
		h.limit = 2
	case h.limit > 0:
		h.limit *= 2
	}
	if h.limit >= unlimitedFrom {
		h.limit, h.backoff = 0, 0
	}
}

func (c *Cell) workerFailed(w *worker, ref taskRef) {
	h := &w.health
	j := ref.job
	if j.atFault {
		return
	}
	if h.probing && h.probe == ref {
		c.suspend(w)
		return
	}
	known := false
	for _, f := range h.failures {
		known = known || f.ref.job == j
	}
	if !known && len(h.failures) < maxFailures {
		h.failures = append(h.failures, failure{ref})
	}
	c.checkJobAtFault(w, j)
	if !j.atFault && len(h.failures) >= c.failuresToSuspend() {
		c.suspend(w)
	}
}

// failuresToSuspend returns the length of a run of failures that the fleet's failure rate does not explain.
func (c *Cell) failuresToSuspend() int {
	needed := math.Ceil(math.Log(suspendProbability) / math.Log(min(max(c.failureRate, 1e-6), 0.999)))
	return int(min(max(needed, minFailures), maxFailures))
}

// checkJobAtFault attributes the failures of a job to the job if it has failed on several workers on which other jobs
// succeed.
func (c *Cell) checkJobAtFault(w *worker, j *job) {
	h := &w.health
	healthy := h.hasSucceeded && c.now-h.succeeded <= healthyFor && len(h.failures) <= 1
	if !healthy {
		return
	}
	for _, id := range j.failedOn {
		if id == w.id {
			return
		}
	}
	j.failedOn = append(j.failedOn, w.id)
	if len(j.failedOn) < atFaultWorkers {
		return
	}
	j.atFault = true
	for _, id := range j.failedOn {
		if c.workers[id] != nil {
			c.workers[id].health.dropFailures(j)
		}
	}
}

// dropFailures removes the failures of a job that is at fault from a worker's record.
func (h *health) dropFailures(j *job) {
	kept := h.failures[:0]
	for _, f := range h.failures {
		if f.ref.job != j {
			kept = append(kept, f)
		}
	}
	h.failures = kept
}

// suspend stops placing tasks on a worker. The failures that it caused no longer count against the tasks.
func (c *Cell) suspend(w *worker) {
	h := &w.health
	if h.suspended || (len(c.suspended)+1)*suspendedDivisor > max(len(c.workerIDs), suspendedDivisor) {
		return
	}
	c.stopProbing(w)
	for _, f := range h.failures {
		if t := f.ref.task(); t.state != taskDone && t.failures > 0 {
			t.failures--
		}
	}
	h.failures = nil
	h.backoff = min(max(2*h.backoff, firstSuspension), longestSuspension)
	h.suspended, h.limit, h.until = true, 0, c.now+h.backoff
	c.suspended = append(c.suspended, w)
	c.capacityVersion++ // tasks that wait for this worker may start on the ones that they avoid
	c.dropReservation(w.reserved)
	c.reindex(w)
}

// probeSuspended lets workers whose suspension has ended run one task.
func (c *Cell) probeSuspended() {
	kept := c.suspended[:0]
	for _, w := range c.suspended {
		if c.now < w.health.until {
			kept = append(kept, w)
			continue
		}
		w.health.suspended, w.health.probing = false, true
		w.health.probe = taskRef{}
		c.probing = append(c.probing, w)
		c.capacityVersion++
	}
	clear(c.suspended[len(kept):])
	c.suspended = kept
}

// pickProbe returns a worker to be probed with a task of j. Only batch tasks that may run again serve as probes.
func (c *Cell) pickProbe(j *job) choice {
	if len(c.probing) == 0 || j.Kind != Batch || j.AtMostOnce || j.atFault {
		return choice{}
	}
	for _, w := range c.probing {
		if w.health.probe.job != nil || !w.present || w.Leaving {
			continue
		}
		slot, ok := c.slotFor(j, w)
		if need := c.needOn(j, w); ok && need.Fits(c.index.free[w.id]) {
			w.health.probe = taskRef{j, slot}
			return choice{slot: slot, worker: w, need: need}
		}
	}
	return choice{}
}

// endProbe lets a worker be probed again after a probe without a result.
func (c *Cell) endProbe(w *worker, ref taskRef) {
	if w.health.probing && w.health.probe == ref {
		w.health.probe = taskRef{}
		c.capacityVersion++
	}
}

func (c *Cell) stopProbing(w *worker) {
	w.health.probing = false
	w.health.probe = taskRef{}
	c.probing = removeWorker(c.probing, w)
}

func (c *Cell) dropFromHealthLists(w *worker) {
	c.probing = removeWorker(c.probing, w)
	c.suspended = removeWorker(c.suspended, w)
}

func removeWorker(workers []*worker, w *worker) []*worker {
	for i, other := range workers {
		if other == w {
			return append(workers[:i], workers[i+1:]...)
		}
	}
	return workers
}

// WorkerHealth says whether a worker is limited because of its failures.
type WorkerHealth struct {
	Suspended bool
	Probing   bool
	// Limit is the number of tasks that a worker may run after its suspension; 0 if unlimited.
	Limit int
	// Until is when a suspension ends.
	Until Time
}

// Health returns the state of a worker.
func (c *Cell) Health(name string) WorkerHealth {
	id, ok := c.workerIDs[name]
	if !ok {
		return WorkerHealth{}
	}
	h := &c.workers[id].health
	return WorkerHealth{Suspended: h.suspended, Probing: h.probing, Limit: int(h.limit), Until: h.until}
}

// AtFault reports whether failures of a job are attributed to the job and not to the workers.
func (c *Cell) AtFault(id string) bool {
	j, ok := c.jobs[id]
	return ok && j.atFault
}

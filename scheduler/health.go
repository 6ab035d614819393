package scheduler

import (
	"math"
	"time"
)

const (
	// initialFailureRate is the assumed share of failing attempts before any is known.
	initialFailureRate = 0.02
	// failureWeight is the weight of one attempt in the fleet's failure rate.
	failureWeight = 1.0 / 256
	// suspicion is the probability of a run of failures by chance below which a worker is suspended.
	suspicion = 1e-4
	// minFailures and maxFailures bound the run of failures of distinct jobs that suspends a worker.
	minFailures = 3
	maxFailures = 20
	// blameWorkers is the number of good workers on which a job must fail to be blamed itself.
	blameWorkers = 3
	// goodFor is how long after its last success a worker counts as good.
	goodFor = 10 * time.Minute
	// firstSuspension doubles with each failed probe up to longestSuspension.
	firstSuspension   = 30 * time.Second
	longestSuspension = 10 * time.Minute
	// fullLimit is the number of tasks from which a returning worker is no longer limited.
	fullLimit = 64
	// suspendedPart is the largest part of the workers that may be suspended: more than that points to another cause.
	suspendedPart = 3
)

// failure is a failed attempt.
type failure struct {
	ref taskRef
}

// health is what is known of a worker's ability to run tasks.
type health struct {
	failures  []failure // of distinct jobs since the last success
	succeeded Time
	proven    bool // some task has succeeded
	suspended bool
	probing   bool
	probe     taskRef
	limit     int32 // tasks allowed while the worker returns; 0 if unlimited
	until     Time
	backoff   Time
}

func (h *health) full(tasks int) bool { return h.limit > 0 && tasks >= int(h.limit) }

// learnEnd records how an attempt ended, before its task is taken off the worker.
func (c *Cell) learnEnd(ref taskRef, outcome Outcome) {
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
	h.succeeded, h.proven = c.now, true
	switch {
	case h.suspended:
		return
	case h.probing:
		c.stopProbing(w)
		h.limit = 2
	case h.limit > 0:
		h.limit *= 2
	}
	if h.limit >= fullLimit {
		h.limit, h.backoff = 0, 0
	}
}

func (c *Cell) workerFailed(w *worker, ref taskRef) {
	h := &w.health
	j := ref.job
	if j.blamed {
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
	c.considerBlame(w, j)
	if !j.blamed && len(h.failures) >= c.failuresNeeded() {
		c.suspend(w)
	}
}

// failuresNeeded returns the run of failures that the fleet's failure rate does not explain.
func (c *Cell) failuresNeeded() int {
	needed := math.Ceil(math.Log(suspicion) / math.Log(min(max(c.failureRate, 1e-6), 0.999)))
	return int(min(max(needed, minFailures), maxFailures))
}

// considerBlame blames a job that has failed on several workers on which other jobs succeed.
func (c *Cell) considerBlame(w *worker, j *job) {
	h := &w.health
	good := h.proven && c.now-h.succeeded <= goodFor && len(h.failures) <= 1
	if !good {
		return
	}
	for _, id := range j.failedOn {
		if id == w.id {
			return
		}
	}
	j.failedOn = append(j.failedOn, w.id)
	if len(j.failedOn) < blameWorkers {
		return
	}
	j.blamed = true
	for _, id := range j.failedOn {
		if c.workers[id] != nil {
			c.workers[id].health.forgive(j)
		}
	}
}

// forgive takes the failures of a blamed job off a worker.
func (h *health) forgive(j *job) {
	kept := h.failures[:0]
	for _, f := range h.failures {
		if f.ref.job != j {
			kept = append(kept, f)
		}
	}
	h.failures = kept
}

// suspend takes a worker out of use, and takes back the failures that it caused.
func (c *Cell) suspend(w *worker) {
	h := &w.health
	if h.suspended || (len(c.suspended)+1)*suspendedPart > max(len(c.workerIDs), suspendedPart) {
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
	c.capacity++ // tasks that wait for this worker may start where they failed before
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
		c.capacity++
	}
	clear(c.suspended[len(kept):])
	c.suspended = kept
}

// pickProbe returns a worker to be probed with a task of j. A probe is a batch task that may run again.
func (c *Cell) pickProbe(j *job) choice {
	if len(c.probing) == 0 || j.Kind != Batch || j.AtMostOnce || j.blamed {
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

// endProbe lets a worker be probed again after a probe that showed nothing.
func (c *Cell) endProbe(w *worker, ref taskRef) {
	if w.health.probing && w.health.probe == ref {
		w.health.probe = taskRef{}
		c.capacity++
	}
}

func (c *Cell) stopProbing(w *worker) {
	w.health.probing = false
	w.health.probe = taskRef{}
	c.probing = without(c.probing, w)
}

func (c *Cell) dropHealth(w *worker) {
	c.probing = without(c.probing, w)
	c.suspended = without(c.suspended, w)
}

func without(workers []*worker, w *worker) []*worker {
	for i, other := range workers {
		if other == w {
			return append(workers[:i], workers[i+1:]...)
		}
	}
	return workers
}

// WorkerHealth is the state of a worker as far as failures go.
type WorkerHealth struct {
	Suspended bool
	Probing   bool
	// Limit is the number of tasks that a returning worker may run; 0 if unlimited.
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
	return ok && j.blamed
}

package dispatch

import (
	"time"
)

// A worker that fails its tasks is suspended: it gets no new tasks for a while, and then a few on trial. A task that fails
// wherever it runs shows nothing about its workers. No state lasts until an event that may never come: a suspension and
// a trial end by time, and runs that go on count as well as runs that succeed, because long-running tasks never do.

const (
	// failuresToSuspend is the number of consecutive failed runs after which a worker is suspended. If one task in ten
	// fails through its own fault, three in a row have a probability of one in a thousand.
	failuresToSuspend = 3
	// suspendMin and suspendMax bound the suspension of a worker that fails or declines runs; it doubles each time.
	suspendMin = 500 * time.Millisecond
	suspendMax = 8 * time.Second
	// declineMax is the longest suspension of a worker that declines orders. Such an order costs little, and all workers may
	// decline at once, so that after it no task would start for long.
	declineMax = 2 * time.Second
	// trialTasks is the number of tasks without a result that a worker may have on trial after a suspension.
	trialTasks = 2
	// trialLimit is how long a trial lasts at most. It exceeds the time after which a run counts as sound, and that in
	// which an unanswered start is resolved.
	trialLimit = 5 * time.Second
	// soundAfter is the age of a run with progress from which it counts as sound. Workers that fail their tasks do so
	// within the time of a short task.
	soundAfter = 3 * time.Second
	// failureMemory is the time without a failure after which the earlier ones no longer count.
	failureMemory = 30 * time.Second
	// workersToBlameTask is the number of workers on which tasks with the same image must have failed, without a sound run
	// between, so that the image is at fault and not the workers.
	workersToBlameTask = 3
	// maxHeldBackDivisor bounds the workers of a service that are suspended or on trial because runs failed there: one in
	// maxHeldBackDivisor. If more fail their tasks, the fault is hardly theirs, and the others must not be the only ones left.
	maxHeldBackDivisor = 2
	// maxFailingImages bounds the images whose failures are kept in memory.
	maxFailingImages = 1000
)

// workerHealth is what a worker's runs show about it.
type workerHealth struct {
	// failures is the number of failed runs since the last sound one.
	failures       int
	failedAt       time.Time
	suspensions    int
	suspendedUntil time.Time
	onTrial        bool
	// trial contains the runs that began on trial and have no result yet.
	trial map[*Task]struct{}
}

// admits reports whether the worker's health lets it get another task.
func (h *workerHealth) admits(now time.Time) bool {
	if now.Before(h.suspendedUntil) {
		return false
	}
	return !h.onTrial || len(h.trial) < trialTasks || h.trialIsOver(now)
}

func (h *workerHealth) trialIsOver(now time.Time) bool {
	return now.Sub(h.suspendedUntil) >= trialLimit
}

// isHeldBack reports whether the worker is suspended or on trial.
func (h *workerHealth) isHeldBack(now time.Time) bool {
	return now.Before(h.suspendedUntil) || h.onTrial && !h.trialIsOver(now)
}

// begin records that a run is planned.
func (h *workerHealth) begin(t *Task, now time.Time) {
	if !h.onTrial {
		return
	}
	if h.trialIsOver(now) {
		h.endTrial()
		return
	}
	h.trial[t] = struct{}{}
}

// release records that a task has left the worker.
func (h *workerHealth) release(t *Task) { delete(h.trial, t) }

func (h *workerHealth) endTrial() { h.onTrial, h.trial = false, nil }

// sound records a run that has succeeded or goes on soundly. It ends a trial.
func (h *workerHealth) sound() {
	h.failures, h.suspensions = 0, 0
	h.endTrial()
}

// suspend suspends the worker, each time for longer up to a limit, and puts it on trial afterwards. It returns for how long.
func (h *workerHealth) suspend(now time.Time, limit time.Duration) time.Duration {
	duration := min(suspendMin<<min(h.suspensions, 8), limit)
	h.suspensions++
	h.suspendedUntil = now.Add(duration)
	h.onTrial, h.trial = true, map[*Task]struct{}{}
	return duration
}

// image identifies what a step's tasks run: those of the same image behave alike.
func (step *Step) image() string {
	if image := step.spec.GetImage(); image != "" {
		return "image " + image
	}
	return step.name
}

// failingImage is an image whose tasks have failed since the last sound run.
type failingImage struct {
	workers  map[string]struct{}
	failedAt time.Time
}

// blamesTask records that a run failed on a worker, and reports whether the fault is that of its image.
func (s *State) blamesTask(t *Task, w *Worker, now time.Time) bool {
	key := t.step.image()
	f := s.failing[key]
	if f == nil || now.Sub(f.failedAt) > failureMemory {
		s.forgetFailingImages(now)
		f = &failingImage{workers: map[string]struct{}{}}
		s.failing[key] = f
	}
	f.failedAt = now
	if len(f.workers) < workersToBlameTask {
		f.workers[w.Info.ID] = struct{}{}
	}
	return len(f.workers) >= workersToBlameTask
}

// forgetFailingImages makes room for another image.
func (s *State) forgetFailingImages(now time.Time) {
	if len(s.failing) < maxFailingImages {
		return
	}
	for key, f := range s.failing {
		if now.Sub(f.failedAt) > failureMemory {
			delete(s.failing, key)
		}
	}
	if len(s.failing) >= maxFailingImages {
		clear(s.failing)
	}
}

// runFaults are the workers against which the failure of a run of a gang was counted.
type runFaults struct {
	run     int32
	workers map[string]struct{}
}

// isFirstFault reports whether no failure of the task's run, or of another member of the gang in that run, has been counted
// against the worker yet. Members that fail together are one sign of a bad worker, not several in a row.
func (t *Task) isFirstFault(w *Worker) bool {
	if !t.step.spec.GetGang() {
		return true
	}
	faults := &t.step.faults
	if faults.run != t.run {
		*faults = runFaults{t.run, map[string]struct{}{}}
	}
	if _, counted := faults.workers[w.Info.ID]; counted {
		return false
	}
	faults.workers[w.Info.ID] = struct{}{}
	return true
}

// runSound records a run that has succeeded or has made progress for soundAfter.
func (s *State) runSound(t *Task, w *Worker) {
	delete(s.failing, t.step.image())
	w.health.sound()
}

// runFailed records a failed run. It suspends the worker after failuresToSuspend failures in a row, or during a trial,
// unless the task is at fault.
func (s *State) runFailed(t *Task, w *Worker, now time.Time) {
	if t.sound && t.step.spec.GetLongRunning() {
		// It was at work; such tasks may fail at any time.
		return
	}
	if !t.isFirstFault(w) || s.blamesTask(t, w, now) {
		return
	}
	h := &w.health
	if now.Sub(h.failedAt) > failureMemory {
		h.failures, h.suspensions = 0, 0
	}
	h.failures++
	h.failedAt = now
	if h.failures >= failuresToSuspend || h.onTrial {
		s.suspendSuspected(w, now, "runs failed")
	}
}

// runStalled records a run that has stalled, and suspends its worker unless the task is at fault.
func (s *State) runStalled(t *Task, w *Worker, now time.Time) {
	if t.isFirstFault(w) && !s.blamesTask(t, w, now) {
		s.suspendSuspected(w, now, "run stalled")
	}
}

// suspendSuspected suspends a worker because of what its runs show, unless too many of its service are held back.
func (s *State) suspendSuspected(w *Worker, now time.Time, reason string) {
	heldBack := 1
	for other := range s.heldBack {
		if !other.health.isHeldBack(now) {
			delete(s.heldBack, other)
		} else if other != w && other.Info.Service == w.Info.Service && other.isOpen() {
			heldBack++
		}
	}
	if heldBack*maxHeldBackDivisor > s.index.open[w.Info.Service] {
		s.log.Decision("worker not suspended", "", "worker", w.Info.ID, "reason", reason, "held_back", heldBack-1)
		return
	}
	s.suspend(w, now, suspendMax, reason)
}

// suspendDeclining suspends a worker that has declined an order.
func (s *State) suspendDeclining(w *Worker, now time.Time, reason string) {
	s.suspend(w, now, declineMax, reason)
}

func (s *State) suspend(w *Worker, now time.Time, limit time.Duration, reason string) {
	duration := w.health.suspend(now, limit)
	s.heldBack[w] = struct{}{}
	s.log.Decision("worker suspended", "", "worker", w.Info.ID, "reason", reason, "ms", duration.Milliseconds())
}

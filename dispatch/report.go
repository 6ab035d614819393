package dispatch

import (
	"errors"
	"time"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/infra"
)

const (
	// A run without progress counts as stalled after stallMin or its estimate divided by stallDivisor, whichever is
	// longer. One percent of the longest tasks takes less, even on a worker that is several times slower than usual.
	stallMin     = 2 * time.Second
	stallDivisor = 15
	// avoidDuration is how long a task avoids a worker on which it failed or stalled. The time is limited because there
	// may be no other suitable worker.
	avoidDuration = 2 * time.Second
	// fullPercent is the progress of a long-running task that is ready, and of any task that has finished its part.
	fullPercent = 100
)

// SetWorker adds or updates a worker from its entry in the store. It returns the worker, and whether it is new or has a
// new address.
func (s *State) SetWorker(info infra.FleetWorker) (*Worker, bool) {
	w, known := s.workers[info.ID]
	if !known {
		w = newWorker(info, s.index)
		s.workers[info.ID] = w
		return w, true
	}
	newAddress := w.Info.Address != info.Address
	incarnation := w.Info.Incarnation
	if info.Incarnation != incarnation {
		w.left = w.left || w.Info.Draining
	}
	w.Info, w.described = info, info.Incarnation
	if incarnation != 0 {
		// Only reports set the incarnation of a known worker; an entry may be newer or older than the last report.
		w.Info.Incarnation = incarnation
	}
	w.Listed = true
	s.index.update(w)
	return w, newAddress
}

// RemoveWorker marks a worker as unlisted because its entry was removed. Its tasks are lost once its lease has ended.
func (s *State) RemoveWorker(id string) {
	if w := s.workers[id]; w != nil {
		w.Listed = false
		s.index.update(w)
	}
}

// RenewSent records a lease extension; until is the latest end of the lease on the controller's clock.
func (s *State) RenewSent(w *Worker, until time.Time) {
	if until.After(w.leaseEnd) {
		w.leaseEnd = until
	}
}

// LeaseEnd returns when all runs on the worker have ended unless the lease is renewed.
func (w *Worker) LeaseEnd() time.Time { return w.leaseEnd }

// RenewFailed marks a worker as unreachable because it did not answer a renewal. lostAt is the earliest time at which it
// may have ended: that of its last answer, or the time at which it closed the connection.
func (s *State) RenewFailed(w *Worker, lostAt time.Time) {
	if w.reachable {
		w.lostAt, w.cutOff = lostAt, false
	}
	w.setReachable(false)
}

// ExpireLeases releases the tasks of unreachable workers whose lease has ended, and removes unlisted ones without
// tasks. Whether the worker has crashed is not known.
func (s *State) ExpireLeases(now time.Time, unixMs int64) {
	s.usage.advance(now)
	for w := range s.index.unreachable {
		if now.Before(w.leaseEnd) {
			continue
		}
		s.loseRuns(w, runsOf(w), loss{reason: "lease ended", now: now, unixMs: unixMs})
		s.forgetOrphans(w)
		if !w.Listed && len(w.tasks) == 0 {
			delete(s.workers, w.Info.ID)
			s.index.remove(w)
		}
	}
}

// ApplyReport applies a worker's answer to a renewal; sent is when the renewal was sent. If a stop of a run was answered
// before that and the worker does not list the run, the run has ended or will never begin. It reports whether the answer
// was used.
func (s *State) ApplyReport(w *Worker, report infra.RunReport, sent, now time.Time, unixMs int64) bool {
	s.usage.advance(now)
	if w.ended && w.Info.Incarnation == report.Incarnation {
		// Its tasks may run elsewhere by now, so the lease is not extended and its runs expire.
		s.log.Decision("worker answers although it was listed as ended", "", "worker", w.Info.ID, "active", len(report.Active))
		return false
	}
	if w.Info.Incarnation != report.Incarnation && report.Incarnation != 0 && !s.applyRestart(w, report.Incarnation, sent, now) {
		for _, active := range report.Active {
			if s.findTask(w, active.Task, active.Run) == nil {
				s.noteOrphan(w, active, sent, now)
			}
		}
		return false
	}
	w.ended, w.reportedAt = false, now
	first := !w.reported
	whole := !report.Incomplete && !report.MoreEnds
	if first && whole {
		w.reported = true
		s.index.update(w)
	}
	w.setReachable(true)
	for _, end := range report.Ended {
		if end.Number > w.lastEnd {
			w.lastEnd = end.Number
			s.applyEnd(w, end, now, unixMs)
		}
	}
	listed := make(map[*Task]bool, len(report.Active))
	for _, active := range report.Active {
		if t := s.applyActive(w, active, now, unixMs); t != nil {
			listed[t] = true
		} else {
			s.noteOrphan(w, active, sent, now)
		}
	}
	if !whole {
		// A run that is not listed may be in a row that could not be read, or among the ends that follow.
		s.log.Decision("report incomplete", "", "worker", w.Info.ID, "active", len(report.Active), "ended", len(report.Ended),
			"more_ends", report.MoreEnds)
		return true
	}
	s.dropOrphans(w, report.Active, sent)
	s.applyUnlisted(w, listed, sent, now, unixMs, first)
	return true
}

// findTask returns the task of a run on a worker, or nil if the run is not the newest of its task or is on another
// worker.
func (s *State) findTask(w *Worker, name string, run int32) *Task {
	job, position, ok := parseTask(name)
	if !ok || s.jobs[job] == nil {
		return nil
	}
	t := s.jobs[job].task(position)
	if t == nil || t.worker != w || t.run != run {
		return nil
	}
	return t
}

// applyActive applies a run that a worker lists as active. It returns the task, or nil if the run is unknown or
// outdated.
func (s *State) applyActive(w *Worker, active infra.ActiveRun, now time.Time, unixMs int64) *Task {
	t := s.findTask(w, active.Task, active.Run)
	if t == nil {
		return nil
	}
	if t.phase != phaseActive {
		delete(s.unanswered, t)
		t.phase, t.progressAt = phaseActive, now
		t.orderedAt, t.sent = now, true
		if t.restored {
			t.orderedAt = now.Add(-time.Duration(max(0, unixMs-t.plannedUnixMs)) * time.Millisecond)
			t.resolveRestored()
		}
		t.step.job.started = true
	}
	t.forgetCrashes(now)
	t.unconfirmed = false
	t.incarnation, t.listedAt = w.Info.Incarnation, now
	if active.Checkpoint != "" {
		if active.Checkpoint != t.checkpoint {
			t.checkpointAt = now
		}
		t.checkpoint = active.Checkpoint
		if t.step.spec.GetGang() {
			t.step.checkpoint = active.Checkpoint
		}
	}
	if active.Percent < t.percent {
		t.startedAt = time.Time{}
	}
	if active.Percent > t.percent || t.progressAt.IsZero() {
		t.percent, t.progressAt = active.Percent, now
	}
	if !t.sound && t.percent > 0 && !t.stop && now.Sub(t.orderedAt) >= soundAfter {
		t.sound = true
		s.runSound(t, w)
	}
	s.checkStall(t, now)
	return t
}

// checkStall stops a run without progress, so that the task resumes on another worker from its checkpoint.
func (s *State) checkStall(t *Task, now time.Time) {
	spec := t.step.spec
	limit := max(stallMin, time.Duration(spec.GetEstimateMs())*time.Millisecond/stallDivisor)
	// A gang member that has finished its part waits for the others, and a ready long-running task stays at 100
	// percent.
	if t.percent >= fullPercent || t.done || spec.GetBackfill() || now.Sub(t.progressAt) < limit {
		return
	}
	if !t.stop {
		s.log.Decision("run stalled", t.JobID(), "task", t.ID(), "run", t.run, "worker", t.WorkerID(), "percent", t.percent)
		t.avoidWorker(t.WorkerID(), now.Add(avoidDuration))
		s.runStalled(t, t.worker, now)
		s.requestStop(t, "stalled")
	}
}

// applyMissing handles a task that is assigned to a worker whose report does not list its run; first is true for the
// worker's first report to this controller.
func (s *State) applyMissing(t *Task, first bool, sent time.Time) {
	switch {
	case t.phase == phasePlanned:
	case first:
		// The renewal has fenced the worker, so orders of earlier controllers can no longer take effect.
		s.release(t)
	case isBefore(t.stopAnsweredAt, sent):
		s.release(t)
	case isBefore(t.orderedAt, sent):
		// An unanswered start may still be carried out later; the stop order prevents the run from ever beginning.
		s.requestStop(t, "not listed")
	}
}

// applyEnd applies the reported end of a run.
func (s *State) applyEnd(w *Worker, end infra.EndedRun, now time.Time, unixMs int64) {
	t := s.findTask(w, end.Task, end.Run)
	if t == nil {
		s.applyLateEnd(w, end, unixMs)
		return
	}
	if end.Checkpoint != "" {
		t.checkpoint = end.Checkpoint
		if t.step.spec.GetGang() {
			t.step.checkpoint = end.Checkpoint
		}
	}
	s.log.Decision("run ended", t.JobID(), "task", end.Task, "run", end.Run, "worker", w.Info.ID, "outcome", int(end.Outcome))
	t.step.job.addEnd(w, end.Number)
	t.step.job.started = true
	switch end.Outcome {
	case infra.OutcomeFailed:
		s.runFailed(t, w, now)
	case infra.OutcomeSucceeded:
		s.measureEnd(t, w, now)
	}
	s.release(t)
	switch end.Outcome {
	case infra.OutcomeSucceeded:
		s.runSound(t, w)
		s.succeed(t, unixMs)
	case infra.OutcomeFailed:
		t.avoidWorker(w.Info.ID, now.Add(avoidDuration))
		s.fail(t, unixMs)
	case infra.OutcomeGangBroken, infra.OutcomeGangIncomplete, infra.OutcomeStopped, infra.OutcomeExpired:
	case infra.OutcomeUnknown:
		s.log.Decision("outcome not understood", t.JobID(), "task", end.Task, "run", end.Run)
	}
}

// applyLateEnd applies the end of a run that is not the newest of its task or is no longer assigned to the worker. A
// success counts if the task still waits, or if the order for its newer run has not been sent; that run is withdrawn.
func (s *State) applyLateEnd(w *Worker, end infra.EndedRun, unixMs int64) {
	job, position, ok := parseTask(end.Task)
	if !ok || s.jobs[job] == nil || end.Outcome != infra.OutcomeSucceeded {
		return
	}
	t := s.jobs[job].task(position)
	if t == nil || t.done || t.step.spec.GetLongRunning() || !s.withdrawUnsent(t) {
		return
	}
	s.log.Decision("late success", job, "task", end.Task, "run", end.Run, "worker", w.Info.ID)
	s.jobs[job].addEnd(w, end.Number)
	s.succeed(t, unixMs)
}

// withdrawUnsent releases a task, and the other members of its gang, if no start order of theirs has been sent. It
// reports whether the task waits.
func (s *State) withdrawUnsent(t *Task) bool {
	members := []*Task{t}
	if t.step.spec.GetGang() {
		members = members[:0]
		for i := range t.step.tasks {
			members = append(members, &t.step.tasks[i])
		}
	}
	for _, member := range members {
		if member.worker != nil && member.sent {
			return t.isWaiting()
		}
	}
	for _, member := range members {
		s.release(member)
	}
	return t.isWaiting()
}

func (s *State) succeed(t *Task, unixMs int64) {
	step := t.step
	if step.spec.GetLongRunning() {
		return
	}
	if step.spec.GetGang() {
		for i := range step.tasks {
			step.tasks[i].finish()
		}
	}
	t.finish()
	j := step.job
	s.markDirty(j)
	if step.unfinished > 0 || j.Ended() {
		return
	}
	step.occurrence.refresh()
	s.addToFrontier(step.occurrence)
	for _, o := range j.occurrences {
		if !o.done {
			return
		}
	}
	s.endJob(j, siskinv1.WorkflowPhase_WORKFLOW_PHASE_SUCCEEDED, unixMs)
	s.log.Decision("succeeded", j.Record.GetId(), "ms", unixMs-j.Record.GetAcceptedUnixMs())
}

// fail counts a failed run, and fails the job if the attempts are used up. Each run counts once: several members of a gang
// may fail in it, and a controller that takes over may read the end of another member.
func (s *State) fail(t *Task, unixMs int64) {
	step := t.step
	s.markDirty(step.job)
	if step.spec.GetLongRunning() || step.job.Ended() {
		return
	}
	counter := t.counter()
	if counter.failedRun == t.run {
		return
	}
	counter.failures++
	counter.failedRun = t.run
	s.log.Decision("attempt counted", step.job.Record.GetId(), "task", t.ID(), "run", t.run, "failures", counter.failures)
	if limit := s.queue(step.job).GetMaxAttempts(); limit > 0 && counter.failures >= limit {
		s.log.Decision("failed", step.job.Record.GetId(), "task", t.ID(), "failures", counter.failures)
		s.endJob(step.job, siskinv1.WorkflowPhase_WORKFLOW_PHASE_FAILED, unixMs)
	}
}

// Started applies the answer to a start order.
func (s *State) Started(t *Task, run int32, err error, now time.Time) {
	if t.run != run || t.worker == nil || t.phase == phaseActive {
		return
	}
	w := t.worker
	delete(s.unanswered, t)
	t.orderedAt, t.sent = now, true
	switch {
	case err == nil:
		t.phase, t.progressAt = phaseActive, now
		t.beginMeasurement(now)
		t.step.job.started = true
	case errors.Is(err, infra.ErrTicketInvalid):
		delete(t.step.advice.tickets, w.Info.ID)
		s.releaseUnstarted(t)
	case errors.Is(err, infra.ErrWorkerUnhealthy), errors.Is(err, infra.ErrWorkerFull), errors.Is(err, infra.ErrWorkerMismatch):
		s.suspendDeclining(w, now, err.Error())
		s.releaseUnstarted(t)
	case errors.Is(err, infra.ErrOrderInvalid):
		// The order may be at fault as well as the worker.
		s.suspendSuspected(w, now, err.Error())
		s.releaseUnstarted(t)
	case errors.Is(err, infra.ErrNotPermitted):
		s.releaseUnstarted(t)
	case errors.Is(err, infra.ErrNotSent):
		s.RenewFailed(w, now)
		s.releaseUnstarted(t)
	case errors.Is(err, infra.ErrStaleRun), errors.Is(err, infra.ErrOrderLeaseExpired), errors.Is(err, infra.ErrFenced):
		s.releaseUnstarted(t)
	default:
		// The order may or may not have arrived. The run is stopped; if it has begun, it ends with a checkpoint.
		t.unconfirmed = true
		t.closed = errors.Is(err, infra.ErrConnectionClosed) && now.Sub(t.sentAt) <= startupWindow
		s.requestStop(t, "start order not answered")
	}
}

// Stopped applies the answer to a stop order.
func (s *State) Stopped(t *Task, run int32, err error, now time.Time) {
	if t.run != run || t.worker == nil {
		return
	}
	t.stopping = false
	if t.stopOrderedAt.Before(t.worker.restartedAt) {
		// An earlier incarnation may have answered. The stop is repeated at once.
		t.stopAfter = time.Time{}
		return
	}
	if err == nil || errors.Is(err, infra.ErrStaleRun) {
		t.stopAnsweredAt, t.stopAfter = now, now.Add(stopRepeatDelay)
		return
	}
	t.stopAfter = now.Add(stopRetryDelay)
}

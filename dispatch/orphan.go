package dispatch

import (
	"time"

	"siskinstack.example/siskinstack/infra"
)

// A worker may list a run that the state does not place there: the state took the run for ended, or an earlier controller
// did. Renewals extend the lease of all runs on the worker, so that the run would go on without end. It is stopped, and until it
// has ended its task starts nowhere else and the worker, whose free capacity is not known, gets no tasks. Reports may
// overtake each other, so one report is no proof: the run counts as an orphan when a report lists it that was requested
// after it was first seen.

// orphanHold is the least time for which the task of an orphan is held. Its worker is asked for the next report much sooner.
const orphanHold = time.Second

// orphanKey identifies a run on a worker.
type orphanKey struct {
	task string
	run  int32
}

// orphan is a run on a worker that is not placed there.
type orphan struct {
	seenAt    time.Time
	confirmed bool
	// stopAfter is when the run may be ordered to stop (again).
	stopAfter time.Time
	// held is the waiting task of the run, or nil, and heldUntil the time before which it does not start.
	held      *Task
	heldUntil time.Time
}

// OrphanStop is the order to stop a run that is not placed on its worker.
type OrphanStop struct {
	Worker infra.FleetWorker
	Order  infra.StopOrder
}

// HasOrphans reports whether the worker has listed runs that are not placed on it.
func (w *Worker) HasOrphans() bool { return len(w.orphans) > 0 }

// hasConfirmedOrphans reports whether one of them is known to run.
func (w *Worker) hasConfirmedOrphans() bool {
	for _, o := range w.orphans {
		if o.confirmed {
			return true
		}
	}
	return false
}

// noteOrphan applies a run that a worker lists as active and that is not placed there; sent is when the report was requested.
func (s *State) noteOrphan(w *Worker, active infra.ActiveRun, sent, now time.Time) {
	key := orphanKey{active.Task, active.Run}
	o := w.orphans[key]
	if o == nil {
		o = &orphan{seenAt: now}
		if w.orphans == nil {
			w.orphans = map[orphanKey]*orphan{}
		}
		w.orphans[key] = o
	}
	s.holdTask(o, w, active.Task, now)
	if !o.confirmed && sent.After(o.seenAt) {
		o.confirmed = true
		s.log.Decision("run is not placed on its worker", "", "task", active.Task, "run", active.Run, "worker", w.Info.ID)
		s.orphaned[w] = struct{}{}
		s.index.update(w)
	}
}

// holdTask keeps the task of an orphan from starting until the orphan is gone or the worker's lease ends.
func (s *State) holdTask(o *orphan, w *Worker, name string, now time.Time) {
	job, position, ok := parseTask(name)
	if !ok || s.jobs[job] == nil {
		return
	}
	t := s.jobs[job].task(position)
	if t == nil || t.done || !s.withdrawUnsent(t) {
		return
	}
	until := now.Add(orphanHold)
	if w.leaseEnd.After(until) {
		until = w.leaseEnd
	}
	if counter := t.counter(); until.After(counter.notBefore) {
		o.held, o.heldUntil, counter.notBefore = counter, until, until
	}
}

// dropOrphans forgets the orphans of a worker that a complete report does not list; sent is when it was requested.
func (s *State) dropOrphans(w *Worker, listed []infra.ActiveRun, sent time.Time) {
	if len(w.orphans) == 0 {
		return
	}
	active := make(map[orphanKey]bool, len(listed))
	for _, run := range listed {
		active[orphanKey{run.Task, run.Run}] = true
	}
	for key, o := range w.orphans {
		// A report that was requested before the run was seen may be older than the run.
		if !active[key] && !sent.Before(o.seenAt) {
			w.dropOrphan(key)
		}
	}
	s.indexOrphans(w)
}

// forgetOrphans forgets all orphans of a worker whose runs have ended.
func (s *State) forgetOrphans(w *Worker) {
	for key := range w.orphans {
		w.dropOrphan(key)
	}
	s.indexOrphans(w)
}

// dropOrphan forgets an orphan, whose task may then start.
func (w *Worker) dropOrphan(key orphanKey) {
	o := w.orphans[key]
	delete(w.orphans, key)
	if o.held != nil && o.held.notBefore.Equal(o.heldUntil) {
		o.held.notBefore = time.Time{}
	}
}

// indexOrphans opens a worker to new tasks again once it has no confirmed orphans.
func (s *State) indexOrphans(w *Worker) {
	if _, known := s.orphaned[w]; known && !w.hasConfirmedOrphans() {
		delete(s.orphaned, w)
		s.index.update(w)
	}
}

// planOrphanStops adds the orders to stop orphans.
func (s *State) planOrphanStops(plan *Plan, now time.Time) {
	for w := range s.orphaned {
		for key, o := range w.orphans {
			if o.confirmed && w.reachable && !now.Before(o.stopAfter) {
				o.stopAfter = now.Add(stopRepeatDelay)
				plan.OrphanStops = append(plan.OrphanStops, OrphanStop{
					Worker: w.Info, Order: infra.StopOrder{Task: key.task, Run: key.run},
				})
			}
		}
	}
}

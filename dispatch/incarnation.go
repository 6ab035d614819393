package dispatch

import (
	"time"
)

// A worker that restarts comes back under its ID and takes orders that were meant for its former incarnation. Reports name the
// incarnation, answers to orders do not, and both overtake each other. So a report shows the end of a run or of an incarnation
// only if it was requested after what it is compared with: the answer to the start or to the stop, or the last report.

// applyUnlisted handles the tasks that are assigned to a worker and that a complete report does not list; first is true for
// the worker's first report to this controller.
func (s *State) applyUnlisted(w *Worker, listed map[*Task]bool, sent, now time.Time, unixMs int64, first bool) {
	if !sent.Before(w.unsettledAt) {
		w.unsettledAt = time.Time{}
	}
	defer func() { w.left = w.left && (w.IsUnsettled() || w.IsRestarted()) }()
	var lost []*Task
	for t := range w.tasks {
		switch {
		case listed[t]:
		case !t.ranOnEarlierIncarnation():
			s.applyMissing(t, first, sent)
		case t.restored || isBefore(t.orderedAt, sent):
			lost = append(lost, t)
		default:
			// The answer to a start order does not say which incarnation took it, and this report may be older than the run.
			w.unsettledAt = now
			s.log.Decision("run may be on the new incarnation", t.JobID(), "task", t.ID(), "run", t.run, "worker", w.Info.ID)
		}
	}
	s.loseRuns(w, lost, loss{reason: "worker restarted", crashed: true, now: now, unixMs: unixMs})
}

// isBefore reports whether an event is known to have happened before a report was requested.
func isBefore(event, requested time.Time) bool { return !event.IsZero() && event.Before(requested) }

// applyRestart records that a worker reported another incarnation; sent is when the report was requested. It returns false if
// that one may be the former one: answers overtake each other, and the clock that numbers incarnations may be set back, so
// only a report that was requested after the last one shows which is the newer one.
func (s *State) applyRestart(w *Worker, incarnation int64, sent, now time.Time) bool {
	if sent.Before(w.reportedAt) {
		w.unsettledAt = now
		s.log.Decision("report of another incarnation overlaps with the last report", "", "worker", w.Info.ID,
			"incarnation", incarnation, "known_incarnation", w.Info.Incarnation,
			"requested_ms_earlier", w.reportedAt.Sub(sent).Milliseconds())
		return false
	}
	if w.reported || w.lastEnd > 0 {
		w.lastEnd = 0
		clear(w.unsaved)
		s.log.Decision("worker restarted", "", "worker", w.Info.ID, "incarnation", incarnation,
			"former_incarnation", w.Info.Incarnation)
	}
	if w.reachable || w.lostAt.IsZero() {
		w.lostAt = now
	}
	w.Info.Incarnation, w.restartedAt = incarnation, now
	for t := range w.tasks {
		// The former incarnation may have answered the stop. The new one rejects a late start only after a stop of its own.
		t.stopAnsweredAt, t.stopAfter = time.Time{}, time.Time{}
	}
	s.forgetOrphans(w)
	s.index.update(w)
	return true
}

// ranOnEarlierIncarnation reports whether the run began on an earlier incarnation of its worker, or was ordered to begin
// there by an earlier controller.
func (t *Task) ranOnEarlierIncarnation() bool {
	return (t.phase == phaseActive || t.restored) && t.incarnation != 0 && t.incarnation != t.worker.Info.Incarnation
}

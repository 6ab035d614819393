package controller

import (
	"time"

	"siskinstack.example/siskinstack/infra"
)

// leaseUntil returns the end of a lease on the worker's clock; 0 if that clock is not known or the worker is unreachable.
// The caller holds mu.
func (t *term) leaseUntil(s *workerSession, sent time.Time) int64 {
	if s.clockMs == 0 || !s.worker.Reachable() {
		return 0
	}
	bound := t.leaseBound()
	if sent.Before(s.longLeases) {
		bound = t.maxLeaseBound()
	}
	t.state.RenewSent(s.worker, sent.Add(bound))
	return s.clockMs + sent.Sub(s.readAt).Milliseconds() + t.Bounds.requestedLease().Milliseconds()
}

// isOtherClock reports whether the clock in an answer to an order is that of another incarnation than the last report. Clocks
// start anew at any value. The order may have been sent before that report was received.
func (s *workerSession) isOtherClock(clockMs int64, sent, now time.Time) bool {
	if clockMs <= 0 || s.clockMs <= 0 {
		return false
	}
	since := sent.Sub(s.readAt)
	least := s.clockMs + (since - since.Abs()/clockDriftDivisor - clockSlack).Milliseconds()
	most := s.clockMs + (now.Sub(s.readAt) + clockLead).Milliseconds()
	return clockMs < least || clockMs > most
}

// isOutdated reports whether a renewal that failed at a time says nothing about the worker, because a poll has been answered
// since it was sent: by another incarnation, or so recently that a worker that is silent now could not be told yet.
func (s *workerSession) isOutdated(renewal sentOrder, timedOut bool, now time.Time) bool {
	return s.worker.Info.Incarnation != renewal.incarnation ||
		timedOut && s.readAt.After(renewal.sent) && now.Sub(s.readAt) < renewSlack
}

// noteAnswer applies what the end of an order with a lease says about the worker's lease: that the worker has restarted, or
// may have, so that the order's lease end is on the clock of an earlier incarnation. The caller holds mu.
func (t *term) noteAnswer(s *workerSession, order sentOrder, clockMs int64, err error, now time.Time) {
	switch {
	case s.worker.Info.Incarnation != order.incarnation:
		t.state.RenewSent(s.worker, now.Add(t.maxLeaseBound()))
	case s.isOtherClock(clockMs, order.sent, now):
		t.state.RenewSent(s.worker, now.Add(t.maxLeaseBound()))
		t.state.RenewFailed(s.worker, now) // unreachable until it has reported its runs
	case s.worker.IsEnded():
		// Only its next incarnation grants a lease now.
		if err == nil || isUnanswered(err) {
			t.state.RenewSent(s.worker, now.Add(t.maxLeaseBound()))
		}
	case isUnanswered(err) && order.overdue:
		t.state.RenewSent(s.worker, now.Add(t.maxLeaseBound()))
	}
}

// sentOrder is what was known of a worker when an order with a lease was sent to it.
type sentOrder struct {
	sent        time.Time
	incarnation int64
	// acknowledged is the number up to which a renewal lets the worker forget ends.
	acknowledged int64
	// overdue is true if the last report was so old that the worker could have restarted since.
	overdue bool
}

// sending returns what is known of the worker now. The caller holds mu.
func (s *workerSession) sending(now time.Time) sentOrder {
	return sentOrder{sent: now, incarnation: s.worker.Info.Incarnation, overdue: now.Sub(s.readAt) > maxAnswerAge}
}

// acknowledged returns the number up to which a worker may forget ends, or 0 if it has answered that. A worker that has
// restarted since its last response would forget ends of its new incarnation, which reuse the numbers and were never listed.
// So ends are acknowledged once, and only within maxAnswerAge of the time at which a report was made; otherwise the worker
// lists them again at once.
func (s *workerSession) acknowledged(sent time.Time) int64 {
	number := s.worker.Acknowledged()
	if number == s.forgotten || sent.Sub(s.madeAt) > maxAnswerAge {
		return 0
	}
	return number
}

// noteReport records the clock of a report, and with it the earliest time at which it can have been made: not before it was
// requested, nor sooner after the last one than the worker's clock shows.
func (s *workerSession) noteReport(report infra.RunReport, order sentOrder, restarted bool, now time.Time) {
	madeAt := order.sent
	if passed := time.Duration(report.ClockMs-s.clockMs) * time.Millisecond; !restarted && s.clockMs > 0 && passed > 0 {
		madeAt = laterOf(madeAt, s.madeAt.Add(passed))
	}
	s.clockMs, s.readAt, s.madeAt = report.ClockMs, now, madeAt
}

package dispatch

import (
	"math"
	"time"
)

// The controller's processor sends the start orders and reads their answers. When it has more to do than it can, orders
// that were sent to it first hold up all others, renewals are late and leases end, which costs work that was already done.
// So only some orders are pending at a time, and the rest of the work waits in the order of its rank. Work that is least
// owed to its team yields before that: jobs beyond their team's rate, and those that cannot be in time any more.

const (
	// maxPendingOrders is the number of pending start orders from which no work gets further starts, and maxPendingYielding
	// that for work that yields. Orders whose commit is under way count only if they are for work that is late or beyond its
	// team's rate: while the store is slow, hundreds wait for it, and the controller has little to do. At 2,000 starts a second, of which each is pending for 15 ms, 30 are, and more for the moment
	// after a wide step. A controller that has fallen behind has several hundred.
	maxPendingOrders   = 250
	maxPendingYielding = 100
	// overdueAfter is the time after which an order no longer counts as pending. Workers that are cut off do not answer, and
	// hold up no others for longer.
	overdueAfter = 300 * time.Millisecond
	// missedMargin is the factor on the estimated remaining time of an occurrence for the decision whether it can be in time.
	// A step ends with its slowest task, which takes about one and a half times as long as the mean of ten.
	missedMargin = 1.5
)

// yields reports whether a step waits before others while start orders pile up.
func (r ranked) yields() bool {
	return (r.rank.late || r.rank.excess || r.rank.missed) && !r.step.spec.GetLongRunning()
}

// maxPendingOrders returns the number of pending start orders from which a step gets no further starts. Long-running tasks
// always do: there are few, and their users notice each second that they are down.
func (r ranked) maxPendingOrders() int {
	switch {
	case r.step.spec.GetLongRunning():
		return math.MaxInt
	case r.yields():
		return maxPendingYielding
	default:
		return maxPendingOrders
	}
}

// countPendingOrders returns the number of start orders that wait for an answer and are not overdue.
func (s *State) countPendingOrders(now time.Time) int {
	n := 0
	for _, since := range s.unanswered {
		if now.Sub(since) < overdueAfter {
			n++
		}
	}
	return n
}

// isMissed reports whether a step can no longer bring its occurrence to its end in time. One that has begun counts as missed
// only after the deadline, because the work that was done would be wasted.
func (step *Step) isMissed(unixMs int64) bool {
	if step.occurrence.deadlineUnixMs <= step.occurrence.dueUnixMs {
		return false // the queue has no objective
	}
	if step.waiting < len(step.tasks) {
		return unixMs > step.occurrence.deadlineUnixMs
	}
	return unixMs+int64(missedMargin*step.remainingMs) > step.occurrence.deadlineUnixMs
}

// Backlog returns how many steps wait for workers, and how many start orders for their answer.
func (s *State) Backlog() (waitingSteps, unansweredOrders int) {
	return len(s.frontier), len(s.unanswered)
}

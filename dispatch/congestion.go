package dispatch

// The controller's processor sends the start orders and reads their answers. When it has more to do than it can, orders
// wait for their answers, renewals are late and leases end, which costs work that was already done. So work that is least
// owed to its team yields first: jobs beyond their team's rate, and those that are too late to be of use.

// maxOrdersForYielding is the number of start orders without an answer from which such work gets no further starts. At 2,000
// starts a second, with answers after ten milliseconds, 20 are under way, and more for the moment after a wide step. A
// controller that has fallen behind has several hundred.
const maxOrdersForYielding = 100

// yields reports whether a step waits while start orders pile up. Long-running tasks do not: they wait for nothing else.
func (r ranked) yields() bool { return (r.rank.late || r.rank.excess) && !r.step.spec.GetLongRunning() }

// Backlog returns how many steps wait for workers, and how many start orders for their answer.
func (s *State) Backlog() (waitingSteps, unansweredOrders int) {
	return len(s.frontier), len(s.unanswered)
}

// isCongested reports whether too many start orders wait for an answer.
func (s *State) isCongested() bool { return len(s.unanswered) >= maxOrdersForYielding }

package controller

import (
	"context"
	"time"

	"siskinstack.example/siskinstack/dispatch"
)

// loadInterval is the interval of the log line about the controller's load.
const loadInterval = time.Second

// load counts what the controller did since the last log line about it. The term's mu guards it.
type load struct {
	plans, orders, renewals int
	// planTime and orderTime are the sums of the durations of plans and of start orders until their answer.
	planTime, orderTime time.Duration
	// longestPlanGap is the longest time between the begins of two plans. It shows how late the process is.
	longestPlanGap time.Duration
	plannedAt      time.Time
}

// planned records a plan. The caller holds mu.
func (l *load) planned(began, now time.Time) {
	if !l.plannedAt.IsZero() {
		l.longestPlanGap = max(l.longestPlanGap, began.Sub(l.plannedAt))
	}
	l.plannedAt = began
	l.plans++
	l.planTime += now.Sub(began)
}

// logLoad logs the load once a second until the term ends, so that the time of day at which a controller fell behind, and
// with what, can be read from the log.
func (t *term) logLoad(ctx context.Context) {
	for t.Clock.Sleep(ctx, loadInterval) == nil {
		t.mu.Lock()
		l := t.load
		t.load = load{plannedAt: l.plannedAt}
		waiting, unanswered := t.state.Backlog()
		stops, lost, urgent := t.state.TakeStopFigures()
		advice := t.state.TakeAdviceFigures(t.now())
		t.mu.Unlock()
		t.logAdvice(advice)
		if stops > 0 {
			t.Metrics.preempted(lost, urgent)
			t.log.Info("stops for urgent work", "stops", stops, "lost_core_seconds", lost, "urgent_core_seconds", urgent)
		}
		t.log.Info("controller load", "plans", l.plans, "plan_ms", l.planTime.Milliseconds(),
			"longest_plan_gap_ms", l.longestPlanGap.Milliseconds(), "orders", l.orders,
			"order_ms", averageMs(l.orderTime, l.orders), "renewals", l.renewals, "waiting_steps", waiting,
			"unanswered_orders", unanswered)
	}
}

// logAdvice records and logs what the calls for advice of the last second cost and brought.
func (t *term) logAdvice(queues []dispatch.AdviceFigures) {
	if len(queues) == 0 {
		return
	}
	var sum dispatch.AdviceFigures
	wait := time.Duration(0)
	for _, f := range queues {
		t.Metrics.adviceFigures(f)
		sum.Calls += f.Calls
		sum.Cost += f.Cost
		sum.Starts += f.Starts
		sum.UnusedTickets += f.UnusedTickets
		sum.FirstTickets = append(sum.FirstTickets, f.FirstTickets...)
	}
	for _, d := range sum.FirstTickets {
		wait += d
	}
	t.log.Info("advice load", "calls", sum.Calls, "advisor_ms", sum.Cost.Milliseconds(), "starts", sum.Starts,
		"unused_tickets", sum.UnusedTickets, "first_tickets", len(sum.FirstTickets),
		"first_ticket_ms", averageMs(wait, len(sum.FirstTickets)))
}

// averageMs returns the average duration in milliseconds.
func averageMs(sum time.Duration, n int) float64 {
	if n == 0 {
		return 0
	}
	return float64(sum.Microseconds()/int64(n)) / 1000
}

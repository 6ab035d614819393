package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// AdviceFigures are what the calls for advice of one queue cost and brought since the figures were last taken.
type AdviceFigures struct {
	Queue string
	Calls int
	// Cost is the expected time of the advisor.
	Cost time.Duration
	// Starts is the number of planned starts with a ticket, UnusedTickets that of tickets that lapsed without one.
	Starts, UnusedTickets int
	// FirstTickets are the times from when a step was ready to its first ticket.
	FirstTickets []time.Duration
}

// adviceGrant is the tickets of one answer.
type adviceGrant struct {
	queue      string
	validUntil time.Time
	unused     int
}

// adviceFigures collects the figures of all queues. It is used only if the advisor's time is planned as a budget.
type adviceFigures struct {
	queues map[string]*AdviceFigures
	// grants are the answers whose tickets were valid when the figures were last taken, or that came since.
	grants []*adviceGrant
}

func (f *adviceFigures) of(queue string) *AdviceFigures {
	figures := f.queues[queue]
	if figures == nil {
		figures = &AdviceFigures{Queue: queue}
		f.queues[queue] = figures
	}
	return figures
}

// noteReady records when a step was first ready.
func (s *State) noteReady(step *Step, now time.Time) {
	if s.limits.Features.AdviceBudget && step.advice.readyAt.IsZero() {
		step.advice.readyAt = now
	}
}

// noteCall counts a call for advice.
func (s *State) noteCall(r *AdviceRequest) {
	if s.limits.Features.AdviceBudget {
		f := s.budget.figures.of(r.step.job.Record.GetQueue().GetName())
		f.Calls++
		f.Cost += r.Cost
	}
}

// noteTickets returns the grant of an answer with a number of tickets, or nil.
func (s *State) noteTickets(step *Step, tickets int, validUntil, now time.Time) *adviceGrant {
	if !s.limits.Features.AdviceBudget || tickets == 0 {
		return nil
	}
	queue := step.job.Record.GetQueue().GetName()
	if !step.advice.granted && !step.advice.readyAt.IsZero() {
		f := s.budget.figures.of(queue)
		f.FirstTickets = append(f.FirstTickets, now.Sub(step.advice.readyAt))
	}
	step.advice.granted = true
	grant := &adviceGrant{queue: queue, validUntil: validUntil, unused: tickets}
	s.budget.figures.grants = append(s.budget.figures.grants, grant)
	return grant
}

// noteTicketUse counts a planned start with a ticket.
func (s *State) noteTicketUse(t *Task) {
	if !s.limits.Features.AdviceBudget {
		return
	}
	tickets := t.step.advice.tickets
	k, ok := tickets[t.WorkerID()]
	if !ok {
		return
	}
	s.budget.figures.of(t.step.job.Record.GetQueue().GetName()).Starts++
	if k.grant != nil {
		k.grant.unused--
		k.grant = nil
		tickets[t.WorkerID()] = k
	}
}

// TakeAdviceFigures returns the figures since the last call, sorted by queue.
func (s *State) TakeAdviceFigures(now time.Time) []AdviceFigures {
	f := &s.budget.figures
	f.grants = slices.DeleteFunc(f.grants, func(g *adviceGrant) bool {
		if now.Before(g.validUntil) {
			return false
		}
		if g.unused > 0 {
			f.of(g.queue).UnusedTickets += g.unused
		}
		return true
	})
	var all []AdviceFigures
	for _, figures := range f.queues {
		all = append(all, *figures)
	}
	clear(f.queues)
	slices.SortFunc(all, func(a, b AdviceFigures) int { return cmp.Compare(a.Queue, b.Queue) })
	return all
}

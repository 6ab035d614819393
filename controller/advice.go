package controller

import (
	"context"
	"time"

	"siskinstack.example/siskinstack/dispatch"
	"siskinstack.example/siskinstack/infra"
)

// callLine is the queue of calls for advice through a machine.
type callLine struct {
	// calls is the number of calls without an answer, cost the sum of their expected costs.
	calls int
	cost  time.Duration
	// slow is true if one of them is not quick. emptyAt is when all are expected to be answered.
	slow    bool
	emptyAt time.Time
}

func (l *callLine) sent(r *dispatch.AdviceRequest, now time.Time) {
	if l.calls == 0 {
		l.emptyAt = now
	}
	l.calls++
	l.cost += r.Cost
	l.slow = l.slow || !r.IsQuick()
	l.emptyAt = l.emptyAt.Add(r.Cost)
}

func (l *callLine) answered(r *dispatch.AdviceRequest, now time.Time) {
	l.calls--
	l.cost -= r.Cost
	l.slow = l.slow && l.calls > 0
	l.emptyAt = now.Add(l.cost)
}

// adviceSlots returns the calls for advice that may be sent now. The caller holds mu.
func (t *term) adviceSlots(now time.Time) dispatch.AdviceSlots {
	if t.members[t.Machine] == nil {
		t.members[t.Machine] = &member{}
	}
	slots := dispatch.AdviceSlots{Machines: len(t.members)}
	for _, m := range t.members {
		if m.line.calls == 0 && !now.Before(m.retryAt) {
			slots.Free++
		}
	}
	if len(t.members) > 1 {
		slots.ReservedForQuick = (len(t.members) + quickShareDivisor - 1) / quickShareDivisor
	}
	if t.plansAdvice() {
		slots.Lines = t.adviceLines(now)
	}
	return slots
}

// adviceLines returns the lines of the machines that may be used now, this machine first. The caller holds mu.
func (t *term) adviceLines(now time.Time) []dispatch.AdviceLine {
	lines := make([]dispatch.AdviceLine, 0, len(t.members))
	for name, m := range t.members {
		// A slow call on a machine that failed still counts among the slow ones, so its line is listed, but takes no call.
		if now.Before(m.retryAt) && !m.line.slow {
			continue
		}
		lines = append(lines, dispatch.AdviceLine{
			Machine: name, Calls: m.line.calls, Wait: max(0, m.line.emptyAt.Sub(now)), Slow: m.line.slow, Unlisted: m.unlisted,
		})
		if name == t.Machine {
			last := len(lines) - 1
			lines[0], lines[last] = lines[last], lines[0]
		}
	}
	return lines
}

// sendAdvice sends requests for advice through the machines that the plan chose or, without lines, through free machines,
// preferably this one. The caller holds mu.
func (t *term) sendAdvice(ctx context.Context, requests []*dispatch.AdviceRequest) {
	now := t.now()
	for _, request := range requests {
		machine := request.Machine
		if machine == "" {
			machine = t.freeMachine(now)
		}
		m := t.members[machine]
		if m == nil {
			t.state.Advised(request, infra.Advice{}, infra.ErrAdvisorBusy, now)
			continue
		}
		m.line.sent(request, now)
		t.goroutines.Go(func() { t.advise(ctx, machine, m, request) })
	}
}

// freeMachine returns a machine without a call under way, or "". The caller holds mu.
func (t *term) freeMachine(now time.Time) string {
	machine := ""
	for name, m := range t.members {
		if m.line.calls == 0 && !now.Before(m.retryAt) && (machine == "" || name == t.Machine) {
			machine = name
		}
	}
	return machine
}

func (t *term) advise(ctx context.Context, machine string, m *member, request *dispatch.AdviceRequest) {
	call, cancel := context.WithTimeout(ctx, request.Ahead+request.Cost+adviceSlack)
	defer cancel()
	began := t.now()
	var answer infra.Advice
	var err error
	if machine == t.Machine {
		answer, err = t.Advisor.Advise(call, request.Step, request.Workers)
	} else {
		answer, err = t.Peers.Advise(call, m.address, request.Step, request.Workers)
	}
	t.Metrics.advice(t.now().Sub(began), err)
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	m.line.answered(request, now)
	t.memberAnswered(machine, m, err, now)
	t.state.Advised(request, answer, err, now)
	t.triggerPlan()
}

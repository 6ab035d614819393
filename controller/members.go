package controller

import (
	"time"

	"google.golang.org/protobuf/proto"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/infra"
)

const (
	// adviceSlack is added to the cost of a request to get the timeout of a call for advice.
	adviceSlack = 700 * time.Millisecond
	// adviceRetryDelay is how long a machine is not used for advice after a failed call.
	adviceRetryDelay = time.Second
	// maxAdviceRetryDelay bounds that delay, which doubles with each further failure if the advisor's time is planned as a
	// budget. A machine that was cut off is used again at most that long after its return.
	maxAdviceRetryDelay = 8 * time.Second
	// quickShareDivisor sets the part of the machines that is reserved for quick advice: one in quickShareDivisor,
	// rounded up.
	quickShareDivisor = 3
)

// member is a machine through which the advisor is called. The advisor serves one call at a time for each machine.
type member struct {
	address string
	cores   float64
	line    callLine
	// joinedAt is when this term learned of the machine at this address.
	joinedAt time.Time
	// retryAt is the earliest time of the next call after one that failed.
	retryAt time.Time
	// failures is the number of calls that failed since the last answer. unlisted is true if the machine's entry in the store
	// was deleted.
	failures int
	unlisted bool
}

// applyMember applies a change or deletion of a machine's entry. The caller holds mu.
func (t *term) applyMember(machine string, event infra.Event) {
	if event.Deleted {
		t.unlistMember(machine)
		return
	}
	record := &siskinv1.Member{}
	if err := proto.Unmarshal(event.Value, record); err != nil {
		t.log.Info("cannot decode the entry of a machine", "machine", machine, "reason", err.Error())
		return
	}
	if known := t.members[machine]; known != nil && known.address == record.GetAddress() {
		known.cores, known.unlisted = record.GetCores(), false
		return
	}
	t.members[machine] = &member{address: record.GetAddress(), cores: record.GetCores(), joinedAt: t.now()}
}

// unlistMember handles the deletion of a machine's entry. The store may have deleted it because it does not answer the
// machine. If the advisor's time is planned as a budget, the machine is used for advice until a call fails. The caller holds
// mu.
func (t *term) unlistMember(machine string) {
	m := t.members[machine]
	switch {
	case m == nil:
	case !t.plansAdvice() || m.failures > 0 && machine != t.Machine:
		delete(t.members, machine)
	default:
		m.unlisted = true
	}
}

// plansAdvice reports whether the advisor's time is planned as a budget.
func (t *term) plansAdvice() bool { return t.Bounds.Features.AdviceBudget }

// memberAnswered records the result of a call through a machine. The caller holds mu.
func (t *term) memberAnswered(machine string, m *member, err error, now time.Time) {
	if err == nil {
		m.failures = 0
		return
	}
	if t.plansAdvice() && now.Before(m.retryAt) {
		// The calls behind one that failed usually fail too, and count as one failure.
		return
	}
	delay := adviceRetryDelay
	if t.plansAdvice() {
		delay = min(adviceRetryDelay<<min(m.failures, 10), maxAdviceRetryDelay)
	}
	m.failures++
	m.retryAt = now.Add(delay)
	if !t.plansAdvice() {
		return
	}
	t.log.Info("call for advice failed", "machine", machine, "failures", m.failures, "retry_ms", delay.Milliseconds(),
		"reason", err.Error())
	if m.unlisted && t.members[machine] == m && machine != t.Machine {
		delete(t.members, machine)
		t.log.Info("machine without an entry is not used for advice any more", "machine", machine)
	}
}

const (
	// minCoresRatio is how many times the cores of this machine, scaled by current speed, another machine must have
	// before this one resigns in its favour. A change of controllers interrupts starts for some tenths of a second.
	minCoresRatio = 1.5
	// minSettledTime is how long this term must have lasted and must have known that machine. It is short because a weak
	// controller with a backlog falls behind within a second.
	minSettledTime = 700 * time.Millisecond
)

// shouldResign reports whether a machine that is much stronger than this one could be the controller. The caller holds
// mu.
func (t *term) shouldResign(now time.Time) bool {
	cores := t.Cores()
	if now.Sub(t.startedAt) < minSettledTime || cores <= 0 {
		return false
	}
	for _, m := range t.members {
		if !m.unlisted && m.cores >= minCoresRatio*cores && now.Sub(m.joinedAt) >= minSettledTime && !now.Before(m.retryAt) {
			return true
		}
	}
	return false
}

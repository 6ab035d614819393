package dispatch

import (
	"time"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
)

const (
	// maxQuickWait bounds the expected time of all quick calls of a line. A plan comes every 20 to 50 ms, so a machine with
	// one quick call at a time is idle for up to half of the time.
	maxQuickWait = 80 * time.Millisecond
	// maxQueuedCalls is the number of calls that may wait behind others on all lines. The advisor refuses a call while 32
	// wait; the calls of an earlier controller may be among them.
	maxQueuedCalls = 24
)

// AdviceLine is the queue of calls for advice through one machine. The advisor serves them one at a time, in turn.
type AdviceLine struct {
	Machine string
	// Calls is the number of calls without an answer, Wait the expected time until all are answered.
	Calls int
	Wait  time.Duration
	// Slow is true if one of them is not quick. Unlisted is true if the machine's entry in the store was deleted.
	Slow, Unlisted bool
}

// lineFor returns the line for a call with the given cost, or nil: a quick call goes to the shortest line without a slow
// call, a slow one to an idle line outside the reserved part.
func (a *AdviceSlots) lineFor(quick bool, cost time.Duration) *AdviceLine {
	var best *AdviceLine
	queued, slow := 0, 0
	for i := range a.Lines {
		queued += max(0, a.Lines[i].Calls-1)
		if a.Lines[i].Slow {
			slow++
		}
	}
	if !quick && slow >= a.Machines-a.ReservedForQuick {
		return nil
	}
	for i := range a.Lines {
		line := &a.Lines[i]
		if line.Calls > 0 && (line.Slow || !quick || queued >= maxQueuedCalls || line.Wait+cost > maxQuickWait) {
			continue
		}
		if best == nil || line.isBefore(best) {
			best = line
		}
	}
	return best
}

// isBefore reports whether a line is to be used before another one.
func (l *AdviceLine) isBefore(o *AdviceLine) bool {
	if l.Wait != o.Wait {
		return l.Wait < o.Wait
	}
	return !l.Unlisted && o.Unlisted
}

// leastCost returns the cost of a call with the least number of workers.
func leastCost(policy *siskinv1.AdvicePolicy) time.Duration {
	return callCost(policy, minWorkersPerCall)
}

// callCost returns how long the advisor is expected to take for a call that names a number of workers.
func callCost(policy *siskinv1.AdvicePolicy, workers int) time.Duration {
	ms := policy.GetDecideMs() + policy.GetPerWorkerMs()*float64(workers)
	return time.Duration(ms * float64(time.Millisecond))
}

// send adds a request to a line.
func (a *AdviceSlots) send(r *AdviceRequest, line *AdviceLine) {
	r.Machine, r.Ahead = line.Machine, line.Wait
	line.Calls++
	line.Wait += r.Cost
	line.Slow = line.Slow || !r.quick
}

// IsQuick reports whether the request is for a quick decision.
func (r *AdviceRequest) IsQuick() bool { return r.quick }

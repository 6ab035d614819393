package controller

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"siskinstack.example/siskinstack/clock"
	"siskinstack.example/siskinstack/election"
	"siskinstack.example/siskinstack/infra"
)

// Guards against a task being moved to another worker while its own worker, which has restarted, may still run it: a
// lease end on the clock of the earlier incarnation lasts as long as the worker allows on the clock of the new one.
func TestLeaseOnAnEarlierClockCountsInFull(t *testing.T) {
	const leaseMax = 6 * time.Second
	c := newTerm(Options{
		Clock: clock.Real{}, Log: logr.Discard(), Metrics: NewMetrics(nil), Bounds: Bounds{LeaseMax: leaseMax},
	}, &election.Term{})
	w, _ := c.state.SetWorker(infra.FleetWorker{ID: "w", Incarnation: 1})
	s := &workerSession{worker: w}
	now := time.Now()
	c.recordClock(s, 60_000, now)
	c.recordClock(s, 61_000, now.Add(time.Second))
	assert.Assert(t, w.LeaseEnd().IsZero(), "a clock that advances is that of the same incarnation")
	c.recordClock(s, 100, now.Add(2*time.Second))
	assert.Assert(t, w.LeaseEnd().Sub(now.Add(2*time.Second)) >= leaseMax)
	assert.Equal(t, s.clockMs, int64(100))
	assert.Assert(t, !w.Reachable())
}

// Guards against a restarted worker forgetting ends that were never reported, because it restarted between a response and
// the next renewal. With a store that lost responses, a soak run then ran a task again after its success (seed 1022).
func TestEndsAreAcknowledgedOnlyAfterARecentResponse(t *testing.T) {
	c := newTerm(Options{Clock: clock.Real{}, Log: logr.Discard(), Metrics: NewMetrics(nil)}, &election.Term{})
	w, _ := c.state.SetWorker(infra.FleetWorker{ID: "w", Incarnation: 1})
	now := time.Now()
	ends := []infra.EndedRun{{Number: 7, Task: "unknown", Run: 1, Outcome: infra.OutcomeSucceeded}}
	c.state.ApplyReport(w, infra.RunReport{Incarnation: 1, Ended: ends}, now, now, 0)
	s := &workerSession{worker: w, clockMs: 1, readAt: now}
	assert.Equal(t, s.acknowledged(now.Add(maxAnswerAge)), int64(7))
	assert.Equal(t, s.acknowledged(now.Add(maxAnswerAge+time.Millisecond)), int64(0))
}

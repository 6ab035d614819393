package controller

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"siskinstack.example/siskinstack/clock"
	"siskinstack.example/siskinstack/election"
	"siskinstack.example/siskinstack/infra"
)

const testLeaseMax = 6 * time.Second

// newTestSession returns the session of a worker that has reported its first incarnation with the given clock.
func newTestSession(clockMs int64, now time.Time) (*term, *workerSession) {
	c := newTerm(Options{
		Clock: clock.Real{}, Log: logr.Discard(), Metrics: NewMetrics(nil), Bounds: Bounds{LeaseMax: testLeaseMax},
	}, &election.Term{})
	w, _ := c.state.SetWorker(infra.FleetWorker{ID: "w", Incarnation: 1})
	s := &workerSession{worker: w}
	c.applyReport(s, infra.RunReport{Incarnation: 1, ClockMs: clockMs}, s.sending(now), now)
	return c, s
}

// Guards against a task being moved to another worker while its own worker, which has restarted, may still run it: a
// lease end on the clock of the earlier incarnation lasts as long as the worker allows on the clock of the new one.
func TestLeaseOnAnEarlierClockCountsInFull(t *testing.T) {
	now := time.Now()
	later := now.Add(time.Second)
	for _, test := range []struct {
		name                string
		clockMs, answeredMs int64
		restarted           bool
	}{
		{"clock advances", 60_000, 61_000, false},
		{"clock 2% slow", 60_000, 60_980, false},
		{"clock back", 60_000, 100, true},
		{"clock back by less than a second", 300, 250, true},
		{"clock advances by less than the time", 300, 600, true},
		{"clock advances by more than the time", 300, 2400, true},
		{"report was on its way for a while", 300, 2200, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c, s := newTestSession(test.clockMs, now)
			c.noteAnswer(s, s.sending(later), test.answeredMs, nil, later)
			assert.Equal(t, s.worker.LeaseEnd().Sub(later) >= testLeaseMax, test.restarted)
			assert.Equal(t, s.worker.Reachable(), !test.restarted)
		})
	}
}

// Guards against the same if the clocks do not show the restart, but the report does.
func TestLeaseCountsInFullAfterAReportOfAnotherIncarnation(t *testing.T) {
	now := time.Now()
	c, s := newTestSession(300, now)
	later := now.Add(100 * time.Millisecond)
	c.applyReport(s, infra.RunReport{Incarnation: 2, ClockMs: 400}, s.sending(later), later)
	assert.Assert(t, s.worker.LeaseEnd().Sub(later) >= testLeaseMax)
	assert.Equal(t, s.clockMs, int64(400))
	again := later.Add(time.Second)
	c.noteAnswer(s, sentOrder{sent: later.Add(-time.Millisecond), incarnation: 1}, 0, nil, again)
	assert.Assert(t, s.worker.LeaseEnd().Sub(again) >= testLeaseMax, "the order was sent before the restart was known")
}

// Guards against the same if the worker is cut off before it answers: the order may have reached its next incarnation.
func TestLeaseOfAnUnansweredOrderCountsInFull(t *testing.T) {
	now := time.Now()
	c, s := newTestSession(60_000, now)
	prompt := s.sending(now.Add(maxAnswerAge))
	c.noteAnswer(s, prompt, 0, context.DeadlineExceeded, now.Add(orderTimeout))
	assert.Assert(t, s.worker.LeaseEnd().IsZero(), "no process restarts in this time")
	late := now.Add(time.Second)
	c.noteAnswer(s, s.sending(late), 0, infra.ErrFenced, late)
	assert.Assert(t, s.worker.LeaseEnd().IsZero(), "the order was declined")
	c.noteAnswer(s, s.sending(late), 0, context.DeadlineExceeded, late.Add(orderTimeout))
	assert.Assert(t, s.worker.LeaseEnd().Sub(late.Add(orderTimeout)) >= testLeaseMax)
}

// Guards against the same if an order that was sent before the last report of the former incarnation was received reaches the
// next one.
func TestLeaseOfAnOrderOlderThanTheLastReportCountsInFull(t *testing.T) {
	now := time.Now()
	c, s := newTestSession(60_000, now)
	answered := now.Add(orderTimeout)
	c.noteAnswer(s, s.sending(now.Add(-5*time.Millisecond)), 60_300, nil, answered)
	assert.Assert(t, s.worker.LeaseEnd().IsZero(), "the same incarnation answered")
	c.noteAnswer(s, s.sending(now.Add(-5*time.Millisecond)), 40, nil, answered)
	assert.Assert(t, s.worker.LeaseEnd().Sub(answered) >= testLeaseMax)
}

// Guards against the same if the report that shows the lease is not used because it overlaps with another one.
func TestLeaseOfAnOverlappingReportCountsInFull(t *testing.T) {
	now := time.Now()
	c, s := newTestSession(60_000, now)
	later := now.Add(time.Second)
	c.applyReport(s, infra.RunReport{Incarnation: 2, ClockMs: 90}, s.sending(now.Add(-time.Millisecond)), later)
	assert.Assert(t, s.worker.IsUnsettled())
	assert.Assert(t, s.worker.LeaseEnd().Sub(later) >= testLeaseMax)
}

// Guards against the same for some time after the restart: an order of the former incarnation that was not answered may be
// carried out late.
func TestLeasesSoonAfterARestartCountInFull(t *testing.T) {
	now := time.Now()
	c, s := newTestSession(60_000, now)
	restart := now.Add(time.Second)
	c.applyReport(s, infra.RunReport{Incarnation: 2, ClockMs: 400}, s.sending(restart), restart)
	soon, late := restart.Add(lateOrderLimit-time.Millisecond), restart.Add(lateOrderLimit)
	c.leaseUntil(s, soon)
	assert.Assert(t, s.worker.LeaseEnd().Sub(soon) >= testLeaseMax)
	c.leaseUntil(s, late.Add(2*time.Second))
	assert.Assert(t, s.worker.LeaseEnd().Sub(late.Add(2*time.Second)) < testLeaseMax)
}

// Guards against leases that are counted on the clock of another incarnation: answers to orders overtake reports.
func TestAnswersToOrdersDoNotMoveTheClock(t *testing.T) {
	now := time.Now()
	c, s := newTestSession(60_000, now)
	before := s.sending(now.Add(-time.Millisecond))
	later := now.Add(time.Second)
	c.applyReport(s, infra.RunReport{Incarnation: 2, ClockMs: 200}, s.sending(later), later)
	c.noteAnswer(s, before, 61_000, nil, later.Add(time.Millisecond)) // by the former incarnation
	assert.Equal(t, s.clockMs, int64(200))
	assert.Assert(t, s.worker.Reachable())
	c.applyReport(s, infra.RunReport{Incarnation: 1, ClockMs: 61_000}, before, later.Add(time.Millisecond))
	assert.Equal(t, s.clockMs, int64(200), "a late report of the former incarnation moves the clock")
}

// Guards against a restarted worker forgetting ends that were never reported, because it restarted between a response and
// the next renewal. With a store that lost responses, a soak run then ran a task again after its success (seed 1022).
func TestEndsAreAcknowledgedOnlyAfterARecentResponse(t *testing.T) {
	now := time.Now()
	c, s := newTestSession(60_000, now)
	c.applyReport(s, reportOfEnd(60_000), s.sending(now), now)
	assert.Equal(t, s.acknowledged(now.Add(maxAnswerAge)), int64(7))
	assert.Equal(t, s.acknowledged(now.Add(maxAnswerAge+time.Millisecond)), int64(0))
}

// reportOfEnd returns a report that lists the end of a run of no known job.
func reportOfEnd(clockMs int64) infra.RunReport {
	return infra.RunReport{Incarnation: 1, ClockMs: clockMs, Ended: []infra.EndedRun{
		{Number: 7, Task: "unknown", Run: 1, Outcome: infra.OutcomeSucceeded},
	}}
}

// Guards against the same if a report of the former incarnation arrives late.
func TestEndsOfALateReportAreNotAcknowledged(t *testing.T) {
	for _, test := range []struct {
		name    string
		clockMs int64
		want    int64
	}{{"made when the hold ended", 61_000, 7}, {"on its way for a second", 60_001, 0}} {
		t.Run(test.name, func(t *testing.T) {
			now := time.Now()
			c, s := newTestSession(60_000, now)
			later := now.Add(time.Second)
			c.applyReport(s, reportOfEnd(test.clockMs), s.sending(now), later)
			assert.Equal(t, s.acknowledged(later), test.want)
		})
	}
}

// Guards against an acknowledgement that reaches the next incarnation although the former one had answered it: each renewal that
// was under way when a worker restarted repeated it.
func TestAcknowledgementIsNotRepeated(t *testing.T) {
	now := time.Now()
	c, s := newTestSession(60_000, now)
	c.applyReport(s, reportOfEnd(60_001), s.sending(now), now)
	renewal := s.sending(now)
	renewal.acknowledged = s.acknowledged(now)
	assert.Equal(t, renewal.acknowledged, int64(7))
	c.applyReport(s, infra.RunReport{Incarnation: 1, ClockMs: 60_002}, renewal, now)
	assert.Equal(t, s.acknowledged(now), int64(0))
}

package controller

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"siskinstack.example/siskinstack/clock"
	"siskinstack.example/siskinstack/infra"
)

// silentFleet has a worker that restarted while a renewal was held open, which is never answered.
type silentFleet struct {
	infra.Fleet
	held, end chan struct{}
	// polled is closed at the first poll, which then waits for end, if it is not nil. polls counts the polls.
	polled chan struct{}
	polls  int
	// closed is the number of connections to the former incarnation that are left.
	closed int
}

func (f *silentFleet) Renew(_ context.Context, _ infra.FleetWorker, order infra.RenewOrder) (infra.RunReport, error) {
	if order.Wait > 0 {
		close(f.held)
		<-f.end
		return infra.RunReport{}, infra.ErrConnectionClosed
	}
	if f.closed > 0 {
		f.closed--
		return infra.RunReport{}, infra.ErrConnectionClosed
	}
	f.polls++
	if f.polled != nil && f.polls == 1 {
		close(f.polled)
		<-f.end
	}
	return infra.RunReport{Incarnation: 2, ClockMs: 1}, nil
}

// Guards against a restarted worker that stays closed until the renewal that its former incarnation held open times out, also
// if connections to that incarnation are left.
func TestEntryOfARestartedWorkerHasItReport(t *testing.T) {
	fleet := &silentFleet{held: make(chan struct{}), end: make(chan struct{}), closed: 3}
	c := newTerm(Options{Clock: clock.Real{}, Log: logr.Discard(), Metrics: NewMetrics(nil), Fleet: fleet, WorkersPrefix: "workers/",
		DecodeWorker: func(entry infra.KeyValue) (infra.FleetWorker, error) {
			return infra.FleetWorker{ID: "w", Incarnation: int64(entry.Value[0])}, nil
		},
		Bounds: Bounds{LeaseMax: testLeaseMax}}, leadershipOf(t))
	now := c.now()
	c.mu.Lock()
	w, _ := c.state.SetWorker(infra.FleetWorker{ID: "w", Incarnation: 1})
	s := &workerSession{worker: w}
	c.sessions[w] = s
	c.applyReport(s, infra.RunReport{Incarnation: 1, ClockMs: 60_000}, s.sending(now), now)
	c.mu.Unlock()
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = c.renew(t.Context(), s, time.Minute, false)
	}()
	<-fleet.held
	c.withLock(func() {
		c.applyWorker(t.Context(), infra.Event{KeyValue: infra.KeyValue{Key: "workers/w", Value: []byte{2}}})
	})
	c.goroutines.Wait()
	c.mu.Lock()
	assert.Equal(t, w.Info.Incarnation, int64(2), "the worker was not asked for a report")
	assert.Assert(t, !w.IsRestarted())
	c.mu.Unlock()
	close(fleet.end)
	<-done
	c.mu.Lock()
	defer c.mu.Unlock()
	assert.Assert(t, w.Reachable(), "the end of the renewal at the former incarnation counts against the new one")
}

// Guards against a silent worker that stays open because it was polled while a renewal was held open there.
func TestRenewalThatTimesOutAfterAPollCounts(t *testing.T) {
	now := time.Now()
	_, s := newTestSession(60_000, now)
	renewal := s.sending(now.Add(-time.Millisecond))
	assert.Assert(t, s.isOutdated(renewal, true, now.Add(renewSlack/2)))
	assert.Assert(t, !s.isOutdated(renewal, false, now.Add(renewSlack/2)), "the connection was closed")
	assert.Assert(t, !s.isOutdated(renewal, true, now.Add(renewWait+renewSlack)), "the worker was silent since the poll")
}

// Guards against a restarted worker that is not asked for a report because an earlier poll hangs at its former incarnation, or
// because the report of the first poll settles nothing.
func TestPollIsRepeated(t *testing.T) {
	for _, test := range []struct {
		name string
		ask  func(c *term, s *workerSession)
	}{
		{"asked while a poll hangs", func(c *term, s *workerSession) { c.poll(t.Context(), s) }},
		{"overlapping report", func(c *term, s *workerSession) {
			now := c.now()
			c.withLock(func() { c.applyReport(s, infra.RunReport{Incarnation: 1, ClockMs: 60_001}, s.sending(now), now) })
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c, s := newTestSession(60_000, time.Now())
			c.leadership = leadershipOf(t)
			fleet := &silentFleet{polled: make(chan struct{}), end: make(chan struct{})}
			c.Fleet = fleet
			done := make(chan struct{})
			go func() {
				defer close(done)
				c.poll(t.Context(), s)
			}()
			<-fleet.polled
			test.ask(c, s)
			close(fleet.end)
			<-done
			assert.Equal(t, fleet.polls, 2)
			assert.Equal(t, s.worker.Info.Incarnation, int64(2))
		})
	}
}

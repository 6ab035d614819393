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
	held chan struct{}
}

func (f *silentFleet) Renew(ctx context.Context, _ infra.FleetWorker, order infra.RenewOrder) (infra.RunReport, error) {
	if order.Wait > 0 {
		close(f.held)
		<-ctx.Done()
		return infra.RunReport{}, ctx.Err()
	}
	return infra.RunReport{Incarnation: 2, ClockMs: 1}, nil
}

// Guards against a restarted worker that stays closed until the renewal that its former incarnation held open times out.
func TestEntryOfARestartedWorkerHasItReport(t *testing.T) {
	fleet := &silentFleet{held: make(chan struct{})}
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
	renewal, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = c.renew(renewal, s, time.Minute, false)
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
	cancel()
	<-done
}

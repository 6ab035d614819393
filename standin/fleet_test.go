package standin

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"siskinstack.example/siskinstack/infra"
)

const fleetLeaseMs = 60_000

func startRun(t *testing.T, f *Fleet, worker string, run int32) {
	t.Helper()
	_, err := f.Start(context.Background(), infra.FleetWorker{ID: worker}, infra.StartOrder{
		Task: "j.0.0.0", Run: run, Epoch: 1, LeaseUntilMs: fleetLeaseMs,
	})
	assert.NilError(t, err)
}

func activeRuns(t *testing.T, f *Fleet, worker string) int {
	t.Helper()
	report, err := f.Renew(context.Background(), infra.FleetWorker{ID: worker}, infra.RenewOrder{Epoch: 1})
	assert.NilError(t, err)
	return len(report.Active)
}

// Guards against two runs of one task at once that go unnoticed because both are on one worker.
func TestSecondRunOfATaskOnItsWorkerIsAViolation(t *testing.T) {
	for _, second := range []int32{2, 4} {
		f := NewFleet(time.Minute)
		startRun(t, f, "w", 3)
		startRun(t, f, "w", 3)
		assert.Equal(t, len(f.Violations()), 0, "a repeated order starts nothing")
		startRun(t, f, "w", second)
		assert.Equal(t, len(f.Violations()), 1)
		assert.Equal(t, activeRuns(t, f, "w"), 2)
		assert.Equal(t, len(f.Active()), 2)
	}
}

// Guards against a stop that ends a newer run than the one that it names.
func TestStopEndsNoNewerRun(t *testing.T) {
	f := NewFleet(time.Minute)
	startRun(t, f, "w", 3)
	startRun(t, f, "w", 4)
	_, err := f.Stop(context.Background(), infra.FleetWorker{ID: "w"}, infra.StopOrder{Task: "j.0.0.0", Run: 3, Epoch: 1})
	assert.NilError(t, err)
	assert.Equal(t, activeRuns(t, f, "w"), 1)
}

// Guards against a violation by a start on a worker whose former incarnation had the run, and none by one elsewhere.
func TestStartAfterARestartIsNoViolation(t *testing.T) {
	f := NewFleet(time.Minute)
	startRun(t, f, "w", 3)
	f.Restart("w")
	startRun(t, f, "w", 4)
	assert.Equal(t, len(f.Violations()), 0)
	startRun(t, f, "other", 5)
	assert.Equal(t, len(f.Violations()), 1)
}

// Guards against a worker that comes back without a trace of orders for its former incarnation, as if they had been lost.
func TestVanishedWorkerAnswersNothingAndItsNextIncarnationTakesOrders(t *testing.T) {
	f := NewFleet(time.Minute)
	startRun(t, f, "w", 1)
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	held := make(chan error, 1)
	go func() {
		_, err := f.Renew(ctx, infra.FleetWorker{ID: "w"}, infra.RenewOrder{Epoch: 1, Wait: time.Minute})
		held <- err
	}()
	time.Sleep(20 * time.Millisecond)
	f.Vanish("w")
	assert.Assert(t, f.IsDown("w"))
	time.AfterFunc(50*time.Millisecond, func() { f.Restart("w") })
	startRun(t, f, "w", 2)
	assert.ErrorIs(t, <-held, context.DeadlineExceeded)
	assert.Equal(t, activeRuns(t, f, "w"), 1)
	assert.Equal(t, len(f.Violations()), 0)
}

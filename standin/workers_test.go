package standin

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"siskinstack.example/siskinstack/clock"
	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/resource"
)

var origin = time.Unix(1_800_000_000, 0)

const testLease = 20 * time.Second

func testWorkers(plan TaskPlan) (*Workers, *clock.Fake) {
	fake := clock.NewFake(origin)
	vms := []infra.VM{{
		Name: "w", Role: infra.RoleWorker, Zone: "z", Capacity: resource.Vector{MilliCPU: 4000, MemoryBytes: 1 << 30},
	}}
	return NewWorkers(fake, vms, func(infra.StartRequest) TaskPlan { return plan }), fake
}

func startOf(index, attempt int32, epoch int64) infra.StartRequest {
	return infra.StartRequest{
		Authority: infra.Authority{Shard: "z-0", Epoch: epoch}, Worker: "w",
		Task: infra.TaskRef{Job: "j", Index: index, Attempt: attempt}, Checkpointable: true,
		Resources: resource.Vector{MilliCPU: 2000}, Lease: testLease,
	}
}

func stopOf(start infra.StartRequest) infra.StopRequest {
	return infra.StopRequest{Authority: start.Authority, Worker: "w", Task: start.Task}
}

func renewOf(epoch int64) infra.RenewRequest {
	return infra.RenewRequest{
		Authority: infra.Authority{Shard: "z-0", Epoch: epoch}, Worker: "w", Lease: testLease,
	}
}

// TestWorkerRefusals guards against violations of capacity, epochs or attempts that are neither rejected nor counted.
func TestWorkerRefusals(t *testing.T) {
	ctx := context.Background()
	w, _ := testWorkers(TaskPlan{})
	assert.NilError(t, w.Start(ctx, startOf(0, 1, 5)))
	assert.NilError(t, w.Start(ctx, startOf(0, 1, 5)), "a repeated start has no effect")
	assert.ErrorIs(t, w.Start(ctx, startOf(0, 2, 5)), infra.ErrStaleAttempt)
	assert.ErrorIs(t, w.Start(ctx, startOf(1, 1, 4)), infra.ErrStaleEpoch)
	assert.NilError(t, w.Start(ctx, startOf(1, 1, 5)))
	assert.ErrorIs(t, w.Start(ctx, startOf(2, 1, 5)), infra.ErrInsufficientCapacity)
	assert.Equal(t, len(w.Runs()), 2)
	counts := w.Counts()
	assert.Equal(t, counts.InsufficientCapacity+counts.StaleEpochs+counts.StaleAttempts, int64(3))
}

// TestWorkerLease guards against leases that expire on a clock other than the worker's own.
func TestWorkerLease(t *testing.T) {
	ctx := context.Background()
	for clockRate, want := range map[float64]time.Duration{1: testLease, 2: testLease / 2, 0.5: 2 * testLease} {
		w, fake := testWorkers(TaskPlan{RunFor: time.Hour})
		w.SetClockRate("w", clockRate)
		assert.NilError(t, w.Start(ctx, startOf(0, 1, 1)))
		fake.Advance(want - time.Millisecond)
		assert.Equal(t, w.Runs()[0].Phase, infra.PhaseRunning)
		fake.Advance(time.Millisecond)
		assert.Equal(t, w.Runs()[0].Phase, infra.PhaseStopped)
		assert.Equal(t, w.Runs()[0].Ended.Sub(origin), want)
	}
}

// TestWorkerCheckpoint guards against resumed tasks that repeat all their work.
func TestWorkerCheckpoint(t *testing.T) {
	ctx := context.Background()
	w, fake := testWorkers(TaskPlan{RunFor: 10 * time.Second, StopDuration: time.Second})
	first := startOf(0, 1, 1)
	assert.NilError(t, w.Start(ctx, first))
	fake.Advance(6 * time.Second)
	stop := stopOf(first)
	stop.Checkpoint, stop.Grace = true, 5*time.Second
	assert.NilError(t, w.Stop(ctx, stop))
	assert.Equal(t, w.Runs()[0].Phase, infra.PhaseRunning, "the task runs on during its grace time")
	fake.Advance(time.Second)
	assert.Equal(t, w.Runs()[0].Phase, infra.PhaseStopped)
	assert.NilError(t, w.Start(ctx, startOf(0, 2, 1)))
	fake.Advance(3 * time.Second)
	runs := w.Runs()
	assert.Equal(t, runs[1].Phase, infra.PhaseSucceeded)
	assert.Equal(t, runs[1].Resumed, 7*time.Second)
}

// TestWorkerThrottleAndUsage guards against a throttle without effect and against usage reported without lag.
func TestWorkerThrottleAndUsage(t *testing.T) {
	ctx := context.Background()
	w, fake := testWorkers(TaskPlan{RunFor: 10 * time.Second, Used: resource.Vector{MilliCPU: 2000}})
	start := startOf(0, 1, 1)
	assert.NilError(t, w.Start(ctx, start))
	throttle := infra.ThrottleRequest{Authority: start.Authority, Worker: "w", Task: start.Task, MilliCPU: 1000}
	fake.Advance(4 * time.Second)
	assert.NilError(t, w.Throttle(ctx, throttle))
	report, err := w.Renew(ctx, renewOf(1))
	assert.NilError(t, err)
	assert.Equal(t, report.Tasks[0].Used.MilliCPU, int64(2000))
	assert.Equal(t, report.Tasks[0].UsageLag, defaultUsageLag)
	fake.Advance(defaultUsageLag)
	report, err = w.Renew(ctx, renewOf(1))
	assert.NilError(t, err)
	assert.Equal(t, report.Tasks[0].Used.MilliCPU, int64(1000))
	fake.Advance(10 * time.Second)
	assert.Equal(t, w.Runs()[0].Ended.Sub(origin), 16*time.Second, "the remaining 6 s of work take 12 s")
}

// TestWorkerFaults guards against injected faults without the specified effect.
func TestWorkerFaults(t *testing.T) {
	ctx := context.Background()
	w, fake := testWorkers(TaskPlan{RunFor: time.Second})
	w.SetFaults("w", WorkerFaults{LoseResponses: 1, FailTasks: true})
	assert.ErrorIs(t, w.Start(ctx, startOf(0, 1, 1)), errResponseLost)
	assert.Equal(t, len(w.Runs()), 1, "the call took effect")
	fake.Advance(time.Second)
	assert.Equal(t, w.Runs()[0].Phase, infra.PhaseFailed)

	w.SetFaults("w", WorkerFaults{Delayed: 1, DelayedBy: time.Second})
	assert.ErrorIs(t, w.Start(ctx, startOf(1, 1, 1)), errResponseLost)
	_, err := w.Renew(ctx, renewOf(2))
	assert.NilError(t, err)
	fake.Advance(time.Second)
	w.Deliver()
	assert.Equal(t, len(w.Runs()), 1, "a delayed call of a lower epoch is rejected")
	assert.Equal(t, w.Counts().StaleEpochs, int64(1))

	w.SetFaults("w", WorkerFaults{Duplicate: 1})
	assert.NilError(t, w.Start(ctx, startOf(2, 1, 2)))
	assert.Equal(t, len(w.Runs()), 2, "a duplicate start runs once")
	w.Crash("w")
	assert.Assert(t, w.Runs()[1].Lost)
	w.SetFaults("w", WorkerFaults{Unreachable: true})
	assert.ErrorIs(t, w.Start(ctx, startOf(3, 1, 2)), errUnavailable)
}

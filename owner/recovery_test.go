package owner

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
)

// TestRecoveryOfTenThousandTasks guards against a recovery that takes longer than its target of 2 s, or that reads or
// writes the store for each task. All workers respond.
func TestRecoveryOfTenThousandTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const count = 10_000
		s := newTestFleet(t, 63, "x")
		s.runFor = time.Hour
		home := s.open("x", time.Hour)
		spec := batch(count, false)
		spec.Each = &siskinv1.Resources{MilliCpu: 50, MemoryBytes: 1 << 20}
		id := s.submit(home, "b", spec)
		time.Sleep(time.Minute)
		assert.Equal(t, s.status(home, id).GetRunning(), int32(count))
		home.kill()
		before, began := s.store.Counts(), time.Now()
		home = s.open("x", time.Hour)
		for s.status(home, id).GetRunning() < count && time.Since(began) < time.Minute {
			time.Sleep(10 * time.Millisecond)
		}
		took, after := time.Since(began), s.store.Counts()
		assert.Assert(t, took <= 2*time.Second, "took %v", took)
		assert.Assert(t, after.Reads-before.Reads+after.Writes-before.Writes < 20)
		t.Logf("all %d tasks known after %v; %d reads, %d writes of the store", count, took,
			after.Reads-before.Reads, after.Writes-before.Writes)
		s.checkRuns()
	})
}

// TestUnreachableWorkerDelaysOnlyItsOwnTasks guards against a takeover that restarts the tasks of an unreachable worker
// before their leases have ended, or more than 5 s after that.
func TestUnreachableWorkerDelaysOnlyItsOwnTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestFleet(t, 4, "x")
		s.runFor = time.Hour
		home := s.open("x", time.Hour)
		id := s.submit(home, "b", batch(24, false))
		time.Sleep(10 * time.Second)
		home.kill()
		s.workers.SetDown(s.workers.Runs()[0].Worker, true)
		began := time.Now()
		home = s.open("x", time.Hour)
		for s.status(home, id).GetRunning() < 24 && time.Since(began) < time.Minute {
			time.Sleep(100 * time.Millisecond)
		}
		took := time.Since(began)
		assert.Assert(t, took >= TaskLease && took <= TaskLease+5*time.Second, "took %v", took)
		t.Logf("all tasks run again after %v", took)
		s.checkRuns()
	})
}

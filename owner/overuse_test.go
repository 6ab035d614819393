package owner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/resource"
	"siskinstack.example/siskinstack/standin"
)

// cpuUsedOn returns the CPU usage of the tasks on a worker in thousandths of a core, as the worker reports it.
func (s *testFleet) cpuUsedOn(worker string) int64 {
	s.t.Helper()
	report, err := s.workers.Renew(context.Background(), infra.RenewRequest{
		Authority: infra.Authority{Shard: "z-0", Epoch: s.epoch}, Worker: worker,
	})
	assert.NilError(s.t, err)
	used := int64(0)
	for _, task := range report.Tasks {
		used += task.Used.MilliCPU
	}
	return used
}

// TestOveruseIsThrottledAndLifted guards against tasks that use more CPU than their worker has, also when throttle
// calls fail or the owner changes, and against CPU limits that remain once the worker has free capacity.
func TestOveruseIsThrottledAndLifted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestFleet(t, 1, "z")
		s.runFor = 0
		s.used = resource.Vector{MilliCPU: 6000, MemoryBytes: 1 << 30}
		o := s.open("z", time.Hour)
		first, second := s.submit(o, "a", batch(1, false)), s.submit(o, "b", batch(1, false))
		time.Sleep(5 * time.Second)
		assert.Equal(t, s.cpuUsedOn("z-w0"), int64(8000))
		o.kill()
		s.workers.SetFaults("z-w0", standin.WorkerFaults{LoseResponses: 2})
		o = s.open("z", time.Hour)
		defer o.kill()
		time.Sleep(20 * time.Second)
		assert.Equal(t, s.cpuUsedOn("z-w0"), int64(8000))
		_, err := o.Cancel(context.Background(), &siskinv1.CancelWorkRequest{Id: first, Team: testTeam})
		assert.NilError(t, err)
		time.Sleep(20 * time.Second)
		assert.Equal(t, s.cpuUsedOn("z-w0"), int64(6000))
		assert.Equal(t, s.status(o, second).GetRunning(), int32(1))
		s.checkRuns()
	})
}

// TestMemoryAboveAllocationMovesCheckpointableTask guards against a task that stays on a worker although it uses more
// memory than its allocation there, and against progress that is lost by the move.
func TestMemoryAboveAllocationMovesCheckpointableTask(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestFleet(t, 2, "z")
		s.runFor = time.Minute
		s.used = resource.Vector{MilliCPU: 500, MemoryBytes: 20 << 30}
		o := s.open("z", time.Hour)
		defer o.kill()
		spec := batch(1, false)
		spec.Checkpointable = true
		id := s.submit(o, "a", spec)
		time.Sleep(90 * time.Second)
		assert.Equal(t, s.status(o, id).GetSucceeded(), int32(1))
		runs := s.checkRuns()
		assert.Equal(t, len(runs), 2)
		assert.Assert(t, runs[0].Resources.MemoryBytes == 1<<30 && runs[1].Resources.MemoryBytes >= 20<<30, "%v", runs[1].Resources)
		assert.Equal(t, runs[1].Resumed, runs[0].Progress)
	})
}

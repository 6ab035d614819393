package owner

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/refusal"
	"siskinstack.example/siskinstack/standin"
)

// TestBatchEndsAndIsForgottenByWorkers guards against task ends that are lost between worker, log and status.
func TestBatchEndsAndIsForgottenByWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestFleet(t, 2, "z")
		o := s.open("z", time.Hour)
		id := s.submit(o, "a", batch(12, false))
		time.Sleep(2 * time.Minute)
		status := s.status(o, id)
		assert.Equal(t, status.GetSucceeded(), int32(12))
		assert.Equal(t, status.GetQueued()+status.GetRunning(), int32(0))
		o.kill()
		next := s.open("z", time.Hour)
		assert.Equal(t, s.status(next, id).GetSucceeded(), int32(12))
		next.kill()
		assert.Equal(t, len(s.checkRuns()), 12)
	})
}

// TestTakeoverAdoptsRunningTasks guards against a restart of tasks that still run when the owner changes.
func TestTakeoverAdoptsRunningTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestFleet(t, 2, "z")
		first := s.open("z", time.Hour)
		id := s.submit(first, "a", batch(10, false))
		time.Sleep(5 * time.Second)
		first.kill()
		time.Sleep(5 * time.Second)
		second := s.open("z", time.Hour)
		time.Sleep(2 * time.Second)
		assert.Equal(t, s.status(second, id).GetRunning(), int32(10))
		time.Sleep(2 * time.Minute)
		assert.Equal(t, s.status(second, id).GetSucceeded(), int32(10))
		second.kill()
		assert.Equal(t, len(s.checkRuns()), 10)
	})
}

// TestTakeoverWaitsForUnreachableWorker guards against a second run of a task that still runs on a worker which the
// new owner cannot reach.
func TestTakeoverWaitsForUnreachableWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestFleet(t, 3, "z")
		s.runFor = 10 * time.Minute
		first := s.open("z", time.Hour)
		id := s.submit(first, "a", batch(12, false))
		time.Sleep(5 * time.Second)
		down := s.workers.Runs()[0].Worker
		unreachable := int32(0)
		for _, run := range s.workers.Runs() {
			if run.Worker == down {
				unreachable++
			}
		}
		s.workers.SetDown(down, true)
		first.kill()
		second := s.open("z", time.Hour)
		time.Sleep(15 * time.Second)
		assert.Equal(t, s.status(second, id).GetRunning(), 12-unreachable, "tasks on the unreachable worker wait for the old leases")
		s.submit(second, "b", batch(1, false))
		time.Sleep(time.Second)
		assert.Equal(t, len(s.workers.Runs()), 13, "work accepted after the takeover starts at once")
		time.Sleep(20 * time.Second)
		assert.Equal(t, s.status(second, id).GetRunning(), int32(12))
		s.workers.SetDown(down, false)
		time.Sleep(10 * time.Second)
		second.kill()
		s.checkRuns()
	})
}

// TestLostWorkerRestartsTasksOnlyAfterLease guards against a restart while the old lease may last.
func TestLostWorkerRestartsTasksOnlyAfterLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestFleet(t, 2, "z")
		s.runFor = 10 * time.Minute
		o := s.open("z", time.Hour)
		id := s.submit(o, "a", batch(8, false))
		time.Sleep(5 * time.Second)
		down := s.workers.Runs()[0].Worker
		s.workers.SetDown(down, true)
		time.Sleep(15 * time.Second)
		s.checkRuns()
		time.Sleep(30 * time.Second)
		assert.Equal(t, s.status(o, id).GetRunning(), int32(8))
		o.kill()
		assert.Assert(t, len(s.checkRuns()) > 8)
	})
}

// TestAtMostOnceTaskIsUnknownAfterWorkerLoss guards against a second run of a task that must not be repeated.
func TestAtMostOnceTaskIsUnknownAfterWorkerLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestFleet(t, 2, "z")
		o := s.open("z", time.Hour)
		id := s.submit(o, "a", batch(8, true))
		time.Sleep(3 * time.Second)
		for _, run := range s.workers.Runs() {
			s.workers.Crash(run.Worker)
		}
		time.Sleep(time.Minute)
		assert.Equal(t, s.status(o, id).GetUnknown(), int32(8))
		o.kill()
		next := s.open("z", time.Hour)
		time.Sleep(time.Minute)
		assert.Equal(t, s.status(next, id).GetUnknown(), int32(8))
		next.kill()
		assert.Equal(t, len(s.checkRuns()), 8)
	})
}

// TestAtMostOnceTaskAfterOwnerAndWorkerLoss guards against a second run when owner and worker fail together.
func TestAtMostOnceTaskAfterOwnerAndWorkerLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestFleet(t, 2, "z")
		o := s.open("z", time.Hour)
		id := s.submit(o, "a", batch(4, true))
		time.Sleep(time.Second)
		o.kill()
		s.workers.Crash("z-w0")
		s.workers.Crash("z-w1")
		next := s.open("z", time.Hour)
		time.Sleep(time.Minute)
		status := s.status(next, id)
		assert.Equal(t, status.GetUnknown()+status.GetSucceeded(), int32(4))
		next.kill()
		s.checkRuns()
	})
}

// TestUncertainStart guards against a task that runs twice when the response to a start call is lost or the call
// arrives late.
func TestUncertainStart(t *testing.T) {
	for name, faults := range map[string]standin.WorkerFaults{
		"response lost":   {LoseResponses: 3},
		"delivered late":  {Delayed: 2, DelayedBy: 8 * time.Second},
		"delivered twice": {Duplicate: 4},
		"late and twice":  {Delayed: 1, DelayedBy: 3 * time.Second, Duplicate: 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newTestFleet(t, 3, "z")
				o := s.open("z", time.Hour)
				time.Sleep(time.Second)
				s.workers.SetFaults("z-w0", faults)
				s.workers.SetFaults("z-w1", faults)
				id := s.submit(o, "a", batch(24, false))
				once := s.submit(o, "b", batch(2, true))
				time.Sleep(5 * time.Minute)
				s.workers.Deliver()
				status := s.status(o, id)
				assert.Equal(t, status.GetSucceeded(), int32(24))
				ended := s.status(o, once)
				assert.Equal(t, ended.GetSucceeded()+ended.GetUnknown(), int32(2))
				o.kill()
				s.checkRuns()
			})
		})
	}
}

// TestExpiredRightStopsAllCalls guards against an owner that acts after its right has ended.
func TestExpiredRightStopsAllCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestFleet(t, 2, "z")
		o := s.open("z", 3*time.Second)
		id := s.submit(o, "a", batch(4, false))
		<-o.ended
		before := s.workers.Counts()
		time.Sleep(time.Minute)
		assert.Equal(t, s.workers.Counts(), before)
		_, err := o.Submit(context.Background(), &siskinv1.SubmitWorkRequest{Shard: o.Shard(), Id: id + "x", Spec: batch(1, false)})
		refused := refusal.From(err)
		assert.Equal(t, refused.Reason, refusal.ShardUnavailable)
		assert.Assert(t, refused.NotRun())
	})
}

// TestSupersededOwnerIsFenced guards against two owners that both write and start.
func TestSupersededOwnerIsFenced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestFleet(t, 2, "z")
		old := s.open("z", time.Hour)
		s.submit(old, "a", batch(4, false))
		time.Sleep(time.Second)
		second := s.open("z", time.Hour)
		_, err := old.Submit(context.Background(), &siskinv1.SubmitWorkRequest{Shard: old.Shard(), Id: "z-0.b", Spec: batch(1, false)})
		assert.Assert(t, err != nil)
		assert.Assert(t, refusal.From(err).NotRun())
		<-old.ended
		time.Sleep(2 * time.Minute)
		assert.Equal(t, s.status(second, "z-0.a").GetSucceeded(), int32(4))
		second.kill()
		assert.Equal(t, len(s.checkRuns()), 4)
	})
}

// TestRepeatedSubmission guards against duplicate work when a caller repeats a submission, and against a key that is
// reused for other work.
func TestRepeatedSubmission(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestFleet(t, 1, "z")
		o := s.open("z", time.Hour)
		request := &siskinv1.SubmitWorkRequest{Shard: "z-0", Id: "z-0.k", Team: testTeam, Spec: batch(2, false), RequestKey: "k"}
		responses := make(chan *siskinv1.SubmitWorkResponse, 8)
		for range cap(responses) {
			go func() {
				response, err := o.Submit(context.Background(), request)
				assert.NilError(t, err)
				responses <- response
			}()
		}
		first := 0
		for range cap(responses) {
			if response := <-responses; !response.GetRepeated() {
				first++
			}
		}
		assert.Equal(t, first, 1)
		request.Spec = batch(3, false)
		_, err := o.Submit(context.Background(), request)
		var refused *refusal.Error
		assert.Assert(t, errors.As(err, &refused))
		assert.Equal(t, refused.Reason, refusal.RequestKeyReused)
		o.kill()
	})
}

// TestStoreOutageKeepsWork guards against work that stops, is lost or is falsely accepted while the store is down.
func TestStoreOutageKeepsWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestFleet(t, 2, "z")
		o := s.open("z", 2*time.Hour)
		id := s.submit(o, "a", batch(100, false))
		time.Sleep(5 * time.Second)
		s.store.SetFaults(standin.StoreFaults{Down: true})
		time.Sleep(30 * time.Minute)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := o.Submit(ctx, &siskinv1.SubmitWorkRequest{Shard: "z-0", Id: "z-0.n", Team: testTeam, Spec: batch(1, false)})
		assert.Assert(t, err != nil)
		assert.Equal(t, s.status(o, id).GetSucceeded(), int32(100), "queued work goes on without the store")
		s.store.SetFaults(standin.StoreFaults{})
		time.Sleep(time.Minute)
		o.kill()
		next := s.open("z", time.Hour)
		assert.Equal(t, s.status(next, id).GetSucceeded(), int32(100))
		next.kill()
		assert.Equal(t, len(s.checkRuns()), 100)
	})
}

package owner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/sharding"
)

// TestReleasedButUnassignedTasksAreNotLost guards against a job that counts as ended, and is never processed again,
// because the owner of its home shard stopped after it reclaimed all tasks and before it assigned them. Found by package
// schedules, seed 44.
func TestReleasedButUnassignedTasksAreNotLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestFleet(t, 2, "x")
		s.drain("x", true)
		home := s.open("x", time.Hour)
		id := s.submit(home, "b", batch(4, false))
		assert.NilError(t, home.append(t.Context(), partRecord(id, home.shard, 1, nil, nil)))
		assert.Equal(t, s.status(home, id).GetQueued(), int32(4), "unassigned tasks are not counted")
		home.kill()
		s.drain("x", false)
		home = s.open("x", time.Hour)
		time.Sleep(3 * time.Minute)
		assert.Equal(t, s.status(home, id).GetSucceeded(), int32(4))
		s.checkRuns()
	})
}

// TestCancelledJobCountsMovedTasks guards against a cancelled job whose previously moved tasks are missing from the
// status counts. Found by package schedules, seed 17.
func TestCancelledJobCountsMovedTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestFleet(t, 2, "x")
		s.drain("x", true)
		home := s.open("x", time.Hour)
		id := s.submit(home, "b", batch(4, false))
		assert.NilError(t, home.append(t.Context(), partRecord(id, home.shard, 1, nil, nil), cancelRecord(id)))
		assert.Equal(t, s.status(home, id).GetCancelled(), int32(4))
		assert.NilError(t, home.append(t.Context(), partRecord(id, home.shard, 2, indexSet{{0, 4}}, nil)))
		assert.Equal(t, s.status(home, id).GetCancelled(), int32(4))
		assert.NilError(t, home.append(t.Context(), partRecord(id, home.shard, 3, nil, nil),
			partRecord(id, sharding.Name("y", 0), 1, indexSet{{0, 4}}, nil)))
		assert.Equal(t, s.status(home, id).GetCancelled(), int32(4), "tasks were counted by two shards; found by package schedules, seed 439")
		_, err := home.Cancel(context.Background(), &siskinv1.CancelWorkRequest{Id: id, Team: testTeam})
		assert.NilError(t, err)
	})
}

// TestTaskWaitingForCeilingIsNotMovedRepeatedly guards against a task that waits for the ceiling of its team and is
// moved between shards several times a second, which costs commits and leaves no shard enough time to obtain the
// allowance. Found by package schedules, seed 93: plan version 547 after 4 minutes.
func TestTaskWaitingForCeilingIsNotMovedRepeatedly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestFleet(t, 2, "x", "y")
		s.limit.MilliCPU = 1000
		s.runFor = time.Hour
		x, y := s.open("x", time.Hour), s.open("y", time.Hour)
		s.submit(x, "full", batch(1, false))
		s.submit(y, "full", batch(1, false))
		time.Sleep(time.Second)
		id := s.submit(x, "b", batch(1, false))
		time.Sleep(time.Minute)
		x.mu.Lock()
		defer x.mu.Unlock()
		moves := x.state.jobs[id].plan[sharding.Name("y", 0)].version
		assert.Assert(t, moves <= 2*int64(time.Minute/moveCooldown), "plan version %d after a minute", moves)
	})
}

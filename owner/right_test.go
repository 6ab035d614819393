package owner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/scheduler"
)

// callCounter counts the calls that reach workers.
type callCounter struct {
	infra.Workers
	calls int
}

func (c *callCounter) Start(context.Context, infra.StartRequest) error {
	c.calls++
	return nil
}

func (c *callCounter) Throttle(context.Context, infra.ThrottleRequest) error {
	c.calls++
	return nil
}

func (c *callCounter) Stop(context.Context, infra.StopRequest) error {
	c.calls++
	return nil
}

func (c *callCounter) Checkpoint(context.Context, infra.StopRequest) error {
	c.calls++
	return nil
}

// TestNoWorkerCallAfterRightExpired guards against calls to workers that an owner makes after its right has expired
// between plan and call.
func TestNoWorkerCallAfterRightExpired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestFleet(t, 1, "x")
		o := s.open("x", time.Second)
		id := s.submit(o, "b", batch(1, false))
		time.Sleep(2 * time.Second)
		calls := &callCounter{}
		o.kill()
		o.options.Workers = calls
		task := scheduler.TaskID{Job: id}
		ref := infra.TaskRef{Job: id, Attempt: 1}
		assert.ErrorContains(t, o.options.Right.Check(), "expired")
		o.throttle(t.Context(), scheduler.Throttle{Task: task, Attempt: 1, Worker: "x-w0"})
		o.Owner.stop(t.Context(), scheduler.Stop{Task: task, Attempt: 1, Worker: "x-w0"})
		o.Owner.stop(t.Context(), scheduler.Stop{Task: task, Attempt: 1, Worker: "x-w0", Checkpoint: true})
		o.start(t.Context(), plannedStart{
			Start:   scheduler.Start{Task: task, Attempt: 1, Worker: "x-w0"},
			request: infra.StartRequest{Worker: "x-w0", Task: ref},
		})
		assert.Equal(t, calls.calls, 0)
	})
}

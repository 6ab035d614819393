package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/resource"
)

// resize changes the capacity in the entry of a worker.
func (f *fixture) resize(w *Worker, milliCPU int64) {
	info := w.Info
	info.Capacity = resource.Vector{MilliCPU: milliCPU, MemoryBytes: testMemoryMB << 20}
	f.state.SetWorker(info)
}

// Guards against starts that bring a worker over its capacity because it shrank after the plan: while the commit was under
// way, or while the order waited behind others.
func TestStartsOnAShrunkenWorkerAreWithheld(t *testing.T) {
	t.Run("before the commit is durable", func(t *testing.T) {
		f := newFixture(t, 1)
		f.state.AddJob(job("a", step(8, 1000)), nil)
		f.state.Plan(f.now, f.unixMs(), AdviceSlots{})
		changes := f.state.TakeChanges(allJobs)
		f.resize(f.workers[0], 3000)
		orders, _ := f.state.Committed(changes, f.now)
		assert.Equal(t, len(orders), 3)
	})
	t.Run("while the orders are queued", func(t *testing.T) {
		f := newFixture(t, 1)
		f.state.AddJob(job("a", step(8, 1000)), nil)
		f.state.Plan(f.now, f.unixMs(), AdviceSlots{})
		orders, _ := f.state.Committed(f.state.TakeChanges(allJobs), f.now)
		assert.Equal(t, len(orders), 8)
		f.state.Started(orders[0], orders[0].Run(), nil, f.now)
		f.resize(f.workers[0], 3000)
		sent := 1
		for _, order := range orders[1:] {
			if f.state.ConfirmOrder(order, order.Run(), f.now) {
				f.state.Started(order, order.Run(), nil, f.now)
				sent++
			}
		}
		assert.Equal(t, sent, 3)
	})
}

// Guards against starts on the room of runs that are being stopped, and on a worker that shrank below what it runs.
func TestStoppingRunsCountOnAShrunkenWorker(t *testing.T) {
	f := newFixture(t, 1)
	f.state.AddJob(job("a", step(8, 1000)), nil)
	f.step()
	f.step()
	assert.Equal(t, f.runs(), 8)
	w := f.workers[0]
	f.resize(w, 4000)
	f.state.Cancel("a", f.unixMs())
	f.state.AddJob(job("b", step(4, 1000)), nil)
	plan := f.state.Plan(f.now, f.unixMs(), AdviceSlots{})
	orders, _ := f.state.Committed(f.state.TakeChanges(allJobs), f.now)
	assert.Equal(t, len(orders), 0, "the stops have not ended")
	assert.Equal(t, len(plan.Stops), 8)
	for _, stop := range plan.Stops {
		f.state.Stopped(stop, stop.Run(), errNoAnswer, f.now)
	}
	for range 20 {
		f.step()
	}
	assert.Equal(t, f.runsOf("b"), 4)
}

// Guards against a step that fits no worker while all are small and is failed, or is not started once they have grown.
func TestStepWaitsWhileWorkersAreSmall(t *testing.T) {
	f := newFixture(t, 3)
	for _, w := range f.workers {
		f.resize(w, 2000)
	}
	f.state.AddJob(job("a", step(3, 5000)), nil)
	for range 100 {
		f.step()
	}
	assert.Equal(t, f.runs(), 0)
	assert.Assert(t, !f.state.Job("a").Ended())
	for _, w := range f.workers {
		f.resize(w, testMilliCPU)
	}
	grown := f.now
	for f.runs() < 3 && f.now.Sub(grown) < time.Second {
		f.step()
	}
	assert.Equal(t, f.runs(), 3)
}

// Guards against a gang that starts on the size that its workers had when it was planned, and against one that starts in
// part when one of them has shrunk.
func TestGangOnAShrunkenWorkerIsWithheld(t *testing.T) {
	f := newFixture(t, 4)
	gang := step(4, testMilliCPU)
	gang.Gang = true
	f.state.AddJob(job("a", gang), nil)
	f.state.Plan(f.now, f.unixMs(), AdviceSlots{})
	changes := f.state.TakeChanges(allJobs)
	f.resize(f.workers[2], testMilliCPU/2)
	orders, _ := f.state.Committed(changes, f.now)
	assert.Equal(t, len(orders), 0)
	f.resize(f.workers[2], testMilliCPU)
	for range 40 {
		f.step()
	}
	assert.Equal(t, f.runs(), 4)
	f.endAll(infra.OutcomeSucceeded)
}

package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"siskinstack.example/siskinstack/infra"
)

// Guards against tasks on a worker without the required label: it came back as another kind, and its report arrived before
// its new entry was read (review/10).
func TestRestartedWorkerGetsNoTasksByItsEarlierEntry(t *testing.T) {
	f := newFixture(t, 1)
	worker := f.workers[0]
	s := step(1, 1000)
	s.RequiredLabel = "kind"
	f.state.AddJob(job("0000000000000001", s), nil)
	f.state.ApplyReport(worker, infra.RunReport{Incarnation: 2}, f.now, f.now, f.unixMs())
	for range 10 {
		f.step()
	}
	assert.Equal(t, len(f.started), 0, "a task was started by the entry of the earlier incarnation")
	info := worker.Info
	info.Labels = []string{"another kind", "rack"}
	f.state.SetWorker(info)
	for range 10 {
		f.step()
	}
	assert.Equal(t, len(f.started), 0, "a task was started on a worker without the required label")
	info.Labels = []string{"kind", "rack"}
	f.state.SetWorker(info)
	f.now = f.now.Add(time.Second)
	f.step()
	assert.Equal(t, len(f.started), 1)
}

// Guards against the same for an order that was planned before the worker restarted.
func TestPlannedOrderIsWithheldFromARestartedWorker(t *testing.T) {
	f := newFixture(t, 1)
	worker := f.workers[0]
	f.state.AddJob(job("0000000000000001", step(1, 1000)), nil)
	f.now = f.now.Add(20 * time.Millisecond)
	f.state.Plan(f.now, f.unixMs(), AdviceSlots{Free: 4})
	changes := f.state.TakeChanges(allJobs)
	f.state.ApplyReport(worker, infra.RunReport{Incarnation: 2}, f.now, f.now, f.unixMs())
	orders, _ := f.state.Committed(changes, f.now)
	assert.Equal(t, len(orders), 0)
}

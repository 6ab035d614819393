package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"siskinstack.example/siskinstack/infra"
)

// Guards against one job whose record makes a decision fail, and thereby ends the controller and all later ones.
func TestJobWithFailingDecisionIsSetAside(t *testing.T) {
	f := newFixture(t, 3)
	f.state.AddJob(job("0000000000000001", step(1, 1000)), nil)
	bad := f.state.AddJob(job("0000000000000002", step(1, 1000)), nil)
	bad.occurrences[0].steps[0].spec = nil
	bad.occurrences[0].steps[0].tasks = nil
	bad.Record.Queue = nil
	f.state.AddJob(job("0000000000000003", step(1, 1000)), nil)
	for range 3 {
		f.step()
	}
	assert.Equal(t, f.runs(), 2)
	f.state.AddJob(job("0000000000000004", step(1, 1000)), nil)
	f.state.contain(f.state.Job("0000000000000004"), func() { panic("decision fails") })
	for range 3 {
		f.step()
	}
	assert.Equal(t, f.runs(), 2, "a job that was set aside has started")
}

// Guards against a worker that lists a row that cannot be read, and whose other runs are then stopped as not listed.
func TestRunsAreNotMissingFromAnIncompleteReport(t *testing.T) {
	f := newFixture(t, 1)
	f.state.AddJob(job("0000000000000001", step(2, 1000)), nil)
	f.step()
	f.step()
	assert.Equal(t, f.runs(), 2)
	w := f.workers[0]
	f.now = f.now.Add(time.Second)
	f.state.ApplyReport(w, infra.RunReport{Incarnation: 1, Incomplete: true}, f.now, f.now, f.unixMs())
	for task := range w.tasks {
		assert.Assert(t, !task.stop)
	}
	assert.Equal(t, len(w.tasks), 2)
	// A complete report without the runs still shows that they are gone.
	f.state.ApplyReport(w, infra.RunReport{Incarnation: 1}, f.now, f.now, f.unixMs())
	for task := range w.tasks {
		assert.Assert(t, task.stop)
	}
}

// Guards against a controller that takes an incomplete first report for proof that tasks do not run on the worker.
func TestIncompleteFirstReportReleasesNothing(t *testing.T) {
	f := newFixture(t, 1)
	f.state.AddJob(job("0000000000000001", step(1, 1000)), nil)
	f.step()
	progress := f.state.Job("0000000000000001").Progress()
	next := newFixture(t, 0)
	next.state.AddJob(job("0000000000000001", step(1, 1000)), progress)
	w, _ := next.state.SetWorker(f.workers[0].Info)
	next.state.ApplyReport(w, infra.RunReport{Incarnation: 1, Incomplete: true}, next.now, next.now, next.unixMs())
	assert.Equal(t, len(w.tasks), 1)
	assert.Assert(t, !w.isSchedulable(next.now), "the worker's runs are not known yet")
	next.state.ApplyReport(w, infra.RunReport{Incarnation: 1}, next.now, next.now, next.unixMs())
	assert.Equal(t, len(w.tasks), 0)
}

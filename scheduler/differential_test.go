package scheduler_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"siskinstack.example/siskinstack/resource"
	"siskinstack.example/siskinstack/scheduler"
	"siskinstack.example/siskinstack/scheduler/naive"
	_ "siskinstack.example/siskinstack/testseed"
)

// endEvent is a report of the end of an attempt, kept so that it can be delivered again.
type endEvent struct {
	task    scheduler.TaskID
	attempt int32
	outcome scheduler.Outcome
}

// model passes the same events to the fast core and to the naive one, which checks every start.
type model struct {
	t         *rapid.T
	core      *scheduler.Cell
	naive     *naive.Cell
	now       scheduler.Time
	jobs      []scheduler.Job
	cancelled map[string]bool
	running   []scheduler.Start
	stopping  map[endEvent]resource.Vector
	ended     []endEvent
	workers   []scheduler.Worker
	limits    map[string]resource.Vector
	draining  bool
	usage     map[endEvent]*taskUsage
	// lastStarts holds the starts of the last plan.
	lastStarts []scheduler.Start
}

func vector(cpu, memory, accelerators int64) resource.Vector {
	return resource.Vector{MilliCPU: cpu * 1000, MemoryBytes: memory << 30, Accelerators: accelerators}
}

var workerCapacities = []resource.Vector{vector(8, 16, 0), vector(16, 64, 0), vector(16, 32, 4)}
var taskSizes = []resource.Vector{vector(1, 1, 0), vector(2, 6, 0), vector(5, 3, 0), vector(7, 12, 1), vector(12, 40, 0), vector(40, 1, 0)}
var limits = []resource.Vector{vector(4, 8, 1), vector(20, 40, 2), vector(200, 800, 50)}
var teamNames = []string{"atlas", "birch", "cedar"}

func newModel(t *rapid.T, options scheduler.Options) *model {
	options.RampTime = 0
	m := &model{
		t: t, core: scheduler.NewCell(scheduler.WithOptions(options)), naive: naive.New(),
		cancelled: map[string]bool{}, stopping: map[endEvent]resource.Vector{}, limits: map[string]resource.Vector{},
	}
	for _, name := range teamNames[:2] {
		m.setTeam(name, limits[2], 1)
	}
	for range 3 {
		m.AddWorker(t)
	}
	return m
}

func (m *model) setTeam(name string, limit resource.Vector, share int64) {
	team := scheduler.Team{Name: name, Share: share, Limit: limit}
	m.limits[name] = limit
	m.core.SetTeam(team)
	m.naive.SetTeam(team)
}

func (m *model) SetTeam(t *rapid.T) {
	m.setTeam(rapid.SampledFrom(teamNames).Draw(t, "team"), rapid.SampledFrom(limits).Draw(t, "limit"),
		rapid.Int64Range(1, 4).Draw(t, "share"))
}

func (m *model) AddWorker(t *rapid.T) {
	m.setWorker(scheduler.Worker{
		Name:     fmt.Sprintf("w%d", rapid.IntRange(0, 11).Draw(t, "worker")),
		Rack:     fmt.Sprintf("r%d", rapid.IntRange(0, 3).Draw(t, "rack")),
		Capacity: rapid.SampledFrom(workerCapacities).Draw(t, "capacity"), Leaving: rapid.IntRange(0, 9).Draw(t, "leaving") == 0,
	})
}

func (m *model) setWorker(w scheduler.Worker) {
	for i, known := range m.workers {
		if known.Name == w.Name {
			m.workers = append(m.workers[:i], m.workers[i+1:]...)
			break
		}
	}
	m.workers = append(m.workers, w)
	m.core.SetWorker(w)
	m.naive.SetWorker(w)
}

func (m *model) RemoveWorker(t *rapid.T) {
	if len(m.workers) == 0 {
		t.Skip("no workers")
	}
	i := rapid.IntRange(0, len(m.workers)-1).Draw(t, "i")
	name := m.workers[i].Name
	m.workers = append(m.workers[:i], m.workers[i+1:]...)
	m.core.RemoveWorker(name)
	m.naive.RemoveWorker(name)
}

func (m *model) Submit(t *rapid.T) {
	kind := rapid.SampledFrom([]scheduler.Kind{scheduler.Service, scheduler.Batch, scheduler.Batch, scheduler.Gang}).Draw(t, "kind")
	job := scheduler.Job{
		ID: fmt.Sprintf("j%d", len(m.jobs)), Team: rapid.SampledFrom(teamNames).Draw(t, "team"), Kind: kind,
		Queue: fmt.Sprintf("q%d", kind), Urgency: scheduler.Urgency(rapid.IntRange(1, 3).Draw(t, "urgency")),
		Each: rapid.SampledFrom(taskSizes).Draw(t, "each"), Accepted: m.now, MaxAttempts: 1000,
		Checkpoint: rapid.Bool().Draw(t, "checkpoint"), SameRack: rapid.Bool().Draw(t, "same rack"),
		AtMostOnce:  kind == scheduler.Batch && rapid.IntRange(0, 4).Draw(t, "at most once") == 0,
		DeclaredRun: time.Duration(rapid.IntRange(0, 3).Draw(t, "run")) * time.Second,
	}
	if rapid.IntRange(0, 3).Draw(t, "ready by") == 0 {
		job.ReadyBy = m.now + 10*time.Second
	}
	for i := range rapid.IntRange(1, 8).Draw(t, "count") {
		job.Indexes = append(job.Indexes, int32(2*i))
	}
	m.submit(job)
}

func (m *model) submit(job scheduler.Job) {
	m.jobs = append(m.jobs, job)
	assert.NilError(m.t, m.core.Submit(job))
	m.naive.Submit(job)
}

func (m *model) job(t *rapid.T) scheduler.Job {
	if len(m.jobs) == 0 {
		t.Skip("no jobs")
	}
	return m.jobs[rapid.IntRange(max(0, len(m.jobs)-8), len(m.jobs)-1).Draw(t, "job")]
}

func (m *model) Cancel(t *rapid.T) {
	job := m.job(t)
	stops, err := m.core.Cancel(job.ID)
	assert.NilError(t, err)
	m.naive.Cancel(job.ID)
	m.cancelled[job.ID] = true
	m.noteStops(stops)
}

func (m *model) Hold(t *rapid.T) {
	job := m.job(t)
	id := scheduler.TaskID{Job: job.ID, Index: rapid.SampledFrom(job.Indexes).Draw(t, "index")}
	for _, start := range m.running {
		if start.Task == id {
			t.Skip("the task is running")
		}
	}
	held := rapid.Bool().Draw(t, "held")
	if held {
		assert.NilError(t, m.core.Hold(id))
	} else {
		assert.NilError(t, m.core.Unhold(id))
	}
	m.naive.Hold(id, held)
}

func (m *model) Usage(t *rapid.T) {
	if len(m.running) == 0 {
		t.Skip("nothing runs")
	}
	start := rapid.SampledFrom(m.running).Draw(t, "start")
	job := m.find(start.Task.Job)
	if job.Kind == scheduler.Gang {
		t.Skip("learned sizes of gang jobs are compared by other tests")
	}
	used := rapid.SampledFrom(taskSizes).Draw(t, "used")
	m.core.Usage(start.Task, start.Attempt, used)
	m.usageOf(start.Task, start.Attempt).used = used.MilliCPU
	m.naive.Usage(start.Task, used)
	m.core.Usage(start.Task, start.Attempt-1, vector(1000, 1000, 1000))
}

func (m *model) find(id string) scheduler.Job {
	for _, job := range m.jobs {
		if job.ID == id {
			return job
		}
	}
	return scheduler.Job{}
}

func (m *model) End(t *rapid.T) {
	if len(m.running) == 0 {
		t.Skip("nothing runs")
	}
	for range rapid.IntRange(1, 6).Draw(t, "ends") {
		if len(m.running) == 0 {
			return
		}
		i := rapid.IntRange(0, len(m.running)-1).Draw(t, "i")
		outcome := rapid.SampledFrom([]scheduler.Outcome{
			scheduler.Succeeded, scheduler.Failed, scheduler.Stopped, scheduler.Lost,
		}).Draw(t, "outcome")
		m.end(endEvent{m.running[i].Task, m.running[i].Attempt, outcome})
	}
}

func (m *model) end(event endEvent) {
	worker := ""
	for i, start := range m.running {
		if start.Task == event.task && start.Attempt == event.attempt {
			worker = start.Worker
			m.running = append(m.running[:i], m.running[i+1:]...)
			break
		}
	}
	atMostOnce := m.find(event.task.Job).AtMostOnce
	assert.NilError(m.t, m.core.Ended(event.task, event.attempt, event.outcome, m.now))
	m.naive.Ended(event.task, event.attempt, event.outcome == scheduler.Succeeded || atMostOnce)
	if event.outcome == scheduler.Failed {
		m.naive.Failed(event.task, worker, m.now+scheduler.DefaultOptions().AvoidFor)
	}
	m.ended = append(m.ended, event)
	delete(m.stopping, endEvent{task: event.task, attempt: event.attempt})
}

// RepeatEnd delivers an earlier report again, as a success and as a failed start.
func (m *model) RepeatEnd(t *rapid.T) {
	if len(m.ended) == 0 {
		t.Skip("nothing ended")
	}
	event := rapid.SampledFrom(m.ended).Draw(t, "event")
	assert.NilError(t, m.core.Ended(event.task, event.attempt, scheduler.Succeeded, m.now-time.Minute))
	assert.NilError(t, m.core.StartFailed(event.task, event.attempt, m.now))
}

// BadWorker makes every task on one worker fail.
func (m *model) BadWorker(t *rapid.T) {
	if len(m.running) == 0 {
		t.Skip("nothing runs")
	}
	name := rapid.SampledFrom(m.running).Draw(t, "start").Worker
	for _, start := range append([]scheduler.Start(nil), m.running...) {
		if start.Worker == name && !m.find(start.Task.Job).AtMostOnce {
			m.end(endEvent{start.Task, start.Attempt, scheduler.Failed})
		}
	}
}

// EndAll ends all running tasks, and submits finished jobs again under the same identifiers.
func (m *model) EndAll(t *rapid.T) {
	outcome := rapid.SampledFrom([]scheduler.Outcome{scheduler.Succeeded, scheduler.Stopped}).Draw(t, "outcome")
	for _, start := range append([]scheduler.Start(nil), m.running...) {
		m.end(endEvent{start.Task, start.Attempt, outcome})
	}
	for _, job := range m.jobs {
		counts, err := m.core.Counts(job.ID)
		assert.NilError(t, err)
		err = m.core.Forget(job.ID)
		assert.Equal(t, err == nil, counts.Queued+counts.Running == 0)
		if err == nil {
			assert.NilError(t, m.core.Submit(job))
			_, err = m.core.Cancel(job.ID)
			assert.NilError(t, err)
			m.naive.Cancel(job.ID)
			m.cancelled[job.ID] = true
		}
	}
}

// Explain checks that a reason is given exactly for jobs with queued tasks.
func (m *model) Explain(t *rapid.T) {
	job := m.job(t)
	counts, err := m.core.Counts(job.ID)
	assert.NilError(t, err)
	waiting, err := m.core.Explain(job.ID)
	assert.NilError(t, err)
	assert.Equal(t, waiting.Reason == scheduler.WaitNone, counts.Queued == 0)
	assert.Equal(t, waiting.Remedy == "", counts.Queued == 0)
	_, err = m.core.AtRisk(job.ID)
	assert.NilError(t, err)
}

// SetIndexes removes tasks of a service and adds them again.
func (m *model) SetIndexes(t *rapid.T) {
	job := m.job(t)
	if job.Kind != scheduler.Service || m.cancelled[job.ID] {
		t.Skip("no service")
	}
	kept := rapid.SliceOfDistinct(rapid.SampledFrom(job.Indexes), rapid.ID).Draw(t, "kept")
	stops, err := m.core.SetIndexes(job.ID, kept)
	assert.NilError(t, err)
	for _, stop := range stops {
		m.end(endEvent{stop.Task, stop.Attempt, scheduler.Stopped})
	}
	counts, err := m.core.Counts(job.ID)
	assert.NilError(t, err)
	assert.Assert(t, counts.Queued+counts.Running <= len(kept))
	_, err = m.core.SetIndexes(job.ID, job.Indexes)
	assert.NilError(t, err)
}

func (m *model) Drain(t *rapid.T) {
	m.draining = rapid.IntRange(0, 2).Draw(t, "drain") == 0
	m.core.SetDraining(m.draining)
	m.naive.SetDraining(m.draining)
}

func (m *model) noteStops(stops []scheduler.Stop) {
	for _, stop := range stops {
		found := false
		_, repeated := m.stopping[endEvent{task: stop.Task, attempt: stop.Attempt}]
		for _, start := range m.running {
			if start.Task == stop.Task && start.Attempt == stop.Attempt && start.Worker == stop.Worker {
				found = true
				m.stopping[endEvent{task: stop.Task, attempt: stop.Attempt}] = start.Allocation
			}
		}
		assert.Assert(m.t, found, "stop of a task that is not running: %+v", stop)
		job := m.find(stop.Task.Job)
		if !repeated && (job.AtMostOnce || job.Kind == scheduler.Service) {
			moved := stop.Reason == scheduler.StopDraining && job.Kind == scheduler.Service && m.leaving(stop.Worker)
			assert.Assert(m.t, moved || stop.Reason == scheduler.StopCancelled || stop.Reason == scheduler.StopCeiling, "%+v", stop)
		}
	}
}

func (m *model) leaving(worker string) bool {
	for _, w := range m.workers {
		if w.Name == worker {
			return w.Leaving
		}
	}
	return false
}

func (m *model) Plan(t *rapid.T) {
	m.plan(t, 10_000)
	m.checkComplete()
	m.checkLimits()
}

// PlanFew limits a pass to fewer starts than fit.
func (m *model) PlanFew(t *rapid.T) { m.plan(t, rapid.IntRange(0, 3).Draw(t, "starts")) }

func (m *model) plan(t *rapid.T, maxStarts int) {
	m.now += time.Duration(rapid.IntRange(0, 40).Draw(t, "seconds")) * time.Second
	before := map[string]int{}
	for _, job := range m.jobs {
		counts, err := m.core.Counts(job.ID)
		assert.NilError(t, err)
		before[job.ID] = counts.Queued
	}
	m.naive.Advance(m.now)
	m.noteHealth()
	plan := m.core.Plan(m.now, maxStarts)
	m.noteStops(plan.Stops)
	started := map[string]int{}
	for _, start := range plan.Starts {
		assert.NilError(t, m.naive.Apply(start))
		assert.NilError(t, m.core.Recheck(start))
		m.running = append(m.running, start)
		started[start.Task.Job]++
	}
	for _, job := range m.jobs {
		if n := started[job.ID]; job.Kind == scheduler.Gang && n > 0 {
			assert.Equal(t, n, before[job.ID], "part of gang job %s started", job.ID)
		}
	}
	m.lastStarts = plan.Starts
	m.noteThrottles(t, plan.Throttles)
	m.checkUsage()
}

// noteHealth copies to the naive core which workers the fast core has suspended.
func (m *model) noteHealth() {
	for _, w := range m.workers {
		health := m.core.Health(w.Name)
		m.naive.SetSuspended(w.Name, health.Suspended || health.Probing)
	}
}

// FailStart reports that a start of the last plan was not carried out.
func (m *model) FailStart(t *rapid.T) {
	if len(m.lastStarts) == 0 {
		t.Skip("nothing was started")
	}
	start := rapid.SampledFrom(m.lastStarts).Draw(t, "start")
	for _, known := range m.running {
		if known == start {
			assert.NilError(t, m.core.StartFailed(start.Task, start.Attempt, m.now))
			m.forgetStart(start)
			return
		}
	}
}

func (m *model) forgetStart(start scheduler.Start) {
	for i, known := range m.running {
		if known.Task == start.Task {
			m.running = append(m.running[:i], m.running[i+1:]...)
			break
		}
	}
	m.naive.Ended(start.Task, start.Attempt, false)
	delete(m.stopping, endEvent{task: start.Task, attempt: start.Attempt})
}

// checkComplete verifies that the naive core finds no further task to start.
func (m *model) checkComplete() {
	excluded := map[string]bool{}
	_, reserved := m.core.Reservation()
	for _, name := range reserved {
		excluded[name] = true
	}
	for _, w := range m.workers {
		health := m.core.Health(w.Name)
		if health.Suspended || health.Probing || health.Limit > 0 {
			excluded[w.Name] = true
		}
	}
	more := m.naive.Plan(1, func(name string) bool { return excluded[name] })
	assert.Equal(m.t, len(more), 0, "the naive core can start %+v", more)
}

// checkLimits verifies that every team is within its limit once the ordered stops have taken effect.
func (m *model) checkLimits() {
	for name, limit := range m.limits {
		left := m.core.TeamRunning(name)
		assert.Equal(m.t, left, m.naive.Running(name))
		for event, allocation := range m.stopping {
			if m.find(event.task.Job).Team == name {
				left = left.Sub(allocation)
			}
		}
		assert.Assert(m.t, left.Fits(limit), "team %s: %v over %v", name, left, limit)
	}
}

func (m *model) Check(t *rapid.T) { assert.NilError(t, m.core.CheckConsistency()) }

// TestCoreObeysConstraints guards against starts that exceed a worker's capacity or a team's limit, that are on a leaving
// worker or in a draining zone, or of cancelled, held or running tasks, against partially started gang jobs, and against work
// that waits although the naive core could start it.
func TestCoreObeysConstraints(t *testing.T) {
	noReservations, immediateReservations := scheduler.DefaultOptions(), scheduler.DefaultOptions()
	noReservations.ReserveAfter = 24 * time.Hour
	immediateReservations.ReserveAfter = 0
	for name, options := range map[string]scheduler.Options{
		"default": scheduler.DefaultOptions(), "no reservations": noReservations, "reservations at once": immediateReservations,
	} {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				m := newModel(t, options)
				t.Repeat(rapid.StateMachineActions(m))
			})
		})
	}
}

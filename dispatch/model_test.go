package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/resource"
	_ "siskinstack.example/siskinstack/testseed"
)

// modelLease is the lease duration that the model's controllers request.
const modelLease = 4 * time.Second

// modelListedEnds is the number of ends that a worker of the model lists at a time.
const modelListedEnds = 2

// fakeWorker models a worker of the platform: it obeys the highest epoch, rejects runs that are not newer than ended
// ones, and ends all runs when its lease expires.
type fakeWorker struct {
	info   infra.FleetWorker
	epoch  int64
	lease  time.Time
	active map[string]infra.ActiveRun
	newest map[string]int32
	ended  []infra.EndedRun
	number int64
	// lastExpired is the number of the last end before the lease expired; successes up to it are not final.
	lastExpired int64
	partitioned bool
	capacity    resource.Vector
	// resizedAt is when the capacity last changed.
	resizedAt time.Time
	// life is the number of the incarnation; an order dies with the one that took it. It rises with the crash, and bornAt is
	// when the worker's clock began. While the worker is down, backAt is when it returns.
	life           int
	bornAt, backAt time.Time
	down           bool
}

// model simulates a store, workers and a sequence of controllers.
type model struct {
	t       *rapid.T
	now     time.Time
	workers []*fakeWorker
	// jobs and progress are the content of the store.
	jobs     []*siskinv1.Workflow
	progress map[string]*siskinv1.WorkflowProgress
	epoch    int64
	state    *State
	// events are what is going to happen, lives the number of incarnations so far.
	events []event
	lives  int64
	// sessions are what the current controller knows of its workers.
	sessions map[*fakeWorker]*modelSession
	// saving holds the commits in flight.
	saving   [][]Change
	declared map[string]resource.Vector
	done     map[string]bool // tasks whose success was acknowledged
	ceiling  resource.Vector
	attempts map[string]int
	// features are those of each controller.
	features Features
}

func newModel(t *rapid.T, workers int) *model {
	m := &model{
		t: t, now: time.Unix(1000, 0), progress: map[string]*siskinv1.WorkflowProgress{}, declared: map[string]resource.Vector{},
		done: map[string]bool{}, attempts: map[string]int{},
		ceiling: resource.Vector{MilliCPU: int64(workers) * testMilliCPU * 2 / 3},
	}
	for i := range workers {
		capacity := resource.Vector{MilliCPU: testMilliCPU, MemoryBytes: testMemoryMB << 20}
		m.workers = append(m.workers, &fakeWorker{
			info: infra.FleetWorker{
				ID: fmt.Sprintf("w%d", i), Incarnation: 1, Service: testService, Address: "a", Zone: "z", Labels: []string{"k", "r"},
				Capacity: capacity,
			},
			active: map[string]infra.ActiveRun{}, newest: map[string]int32{}, capacity: capacity, bornAt: m.now,
		})
	}
	m.takeOver()
	return m
}

// takeOver starts the term of a new controller, which restores its state from the store. Each commit in flight may or
// may not have taken effect.
func (m *model) takeOver() {
	for _, changes := range m.saving {
		if rapid.Bool().Draw(m.t, "took effect") {
			m.store(changes)
		}
	}
	m.saving = nil
	m.epoch++
	f := newFixture(nil, 0)
	f.state = New(Limits{StatusKept: time.Minute, OrderTimeout: modelOrderTimeout + modelSlack, Features: m.features}, discardLog{})
	m.state, m.sessions = f.state, map[*fakeWorker]*modelSession{}
	f.setCeiling(m.ceiling)
	for _, job := range m.jobs {
		m.state.AddJob(job, m.progress[job.GetId()])
	}
	for _, worker := range m.workers {
		m.state.SetWorker(worker.info)
	}
	m.state.AssumeLeases(m.now, m.now.Add(modelMaxLease))
}

func (m *model) unixMs() int64 { return m.now.UnixMilli() }

// submit adds a random job to the store and the controller.
func (m *model) submit() {
	id := fmt.Sprintf("%016x", len(m.jobs)+1)
	steps := []*siskinv1.WorkflowStep{step(int32(rapid.IntRange(1, 4).Draw(m.t, "count")), int64(rapid.IntRange(1, 4).Draw(m.t, "cores"))*1000)}
	if rapid.Bool().Draw(m.t, "second step") {
		second := step(2, 2000)
		second.After = []int32{0}
		second.Gang = rapid.Bool().Draw(m.t, "gang")
		steps = append(steps, second)
	}
	job := job(id, steps...)
	m.jobs = append(m.jobs, job)
	for i, s := range steps {
		for index := range s.GetCount() {
			m.declared[fmt.Sprintf("%s.0.%d.%d", id, i, index)] = declaredResources(s)
		}
	}
	m.state.AddJob(job, nil)
}

// expire ends all runs on workers whose lease has expired.
func (m *model) expire() {
	for _, w := range m.workers {
		if m.now.Before(w.lease) {
			continue
		}
		for task := range w.active {
			m.finish(w, task, infra.OutcomeExpired)
		}
		w.lastExpired = w.number
	}
}

// finish ends a run with an outcome and records the end for the worker's next reports.
func (m *model) finish(w *fakeWorker, task string, outcome infra.Outcome) {
	run := w.active[task]
	delete(w.active, task)
	w.newest[task] = max(w.newest[task], run.Run)
	w.number++
	w.ended = append(w.ended, infra.EndedRun{Number: w.number, Task: task, Run: run.Run, Outcome: outcome})
}

// start carries out a start order as a worker does.
func (m *model) start(w *fakeWorker, epoch int64, order infra.StartOrder, until, sentAt time.Time) error {
	m.expire()
	switch {
	case epoch < w.epoch:
		return infra.ErrFenced
	case order.Run <= w.newest[order.Task]:
		return infra.ErrStaleRun
	case !m.now.Before(until):
		return infra.ErrOrderLeaseExpired
	}
	w.epoch, w.lease = epoch, maxTime(w.lease, until)
	if run, runs := w.active[order.Task]; runs && run.Run == order.Run {
		return nil
	}
	if m.done[order.Task] {
		m.t.Fatalf("%s started after its success was acknowledged", order.Task)
	}
	for _, other := range m.workers {
		if run, runs := other.active[order.Task]; runs {
			m.t.Fatalf("%s runs on %s as run %d and on %s as run %d", order.Task, other.info.ID, run.Run, w.info.ID, order.Run)
		}
	}
	w.active[order.Task] = infra.ActiveRun{Task: order.Task, Run: order.Run}
	if !sentAt.Before(w.resizedAt) {
		m.checkLimits(w)
	}
	return nil
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// checkLimits fails if a worker runs more than its capacity or the team more than its ceiling.
func (m *model) checkLimits(w *fakeWorker) {
	var used, team resource.Vector
	for task := range w.active {
		used = used.Add(m.declared[task])
	}
	for _, other := range m.workers {
		for task := range other.active {
			team = team.Add(m.declared[task])
		}
	}
	if !used.Fits(w.capacity) {
		m.t.Fatalf("%s runs %v of %v", w.info.ID, used, w.capacity)
	}
	if team.MilliCPU > m.ceiling.MilliCPU {
		m.t.Fatalf("the team runs %v of %v", team, m.ceiling)
	}
}

func (m *model) stop(w *fakeWorker, epoch int64, order infra.StopOrder) error {
	if epoch < w.epoch {
		return infra.ErrFenced
	}
	w.epoch = epoch
	if run, runs := w.active[order.Task]; runs && run.Run <= order.Run {
		m.finish(w, order.Task, infra.OutcomeStopped)
	}
	w.newest[order.Task] = max(w.newest[order.Task], order.Run)
	return nil
}

// cycle plans, sends the stop orders and leaves a commit in flight.
func (m *model) cycle() {
	m.state.ExpireLeases(m.now, m.unixMs())
	plan := m.state.Plan(m.now, m.unixMs(), AdviceSlots{})
	if changes := m.state.TakeChanges(rapid.IntRange(1, 4).Draw(m.t, "jobs")); len(changes) > 0 {
		m.saving = append(m.saving, changes)
	}
	for _, task := range plan.Stops {
		w := m.worker(task.WorkerID())
		if w == nil {
			continue
		}
		order, _ := task.Stop()
		state, epoch := m.state, m.epoch
		m.deliver(w, func() error { return m.stop(w, epoch, order) }, func(err error) {
			if m.state == state {
				m.state.Stopped(task, order.Run, err, m.now)
			}
		})
	}
}

// store makes changes durable.
func (m *model) store(changes []Change) {
	for _, change := range changes {
		m.progress[change.ID] = change.Progress
	}
}

// commit makes a random commit in flight durable and sends its start orders.
func (m *model) commit() {
	if len(m.saving) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.saving)-1).Draw(m.t, "commit")
	changes := m.saving[i]
	m.saving = append(m.saving[:i], m.saving[i+1:]...)
	m.store(changes)
	orders, _ := m.state.Committed(changes, m.now)
	for _, task := range orders {
		m.order(task)
	}
}

func (m *model) worker(id string) *fakeWorker {
	for _, w := range m.workers {
		if w.info.ID == id {
			return w
		}
	}
	return nil
}

// randomAction advances the clock and makes one random event happen.
func (m *model) randomAction() {
	m.advance(m.draw("ms", 5, 400))
	w := m.workers[rapid.IntRange(0, len(m.workers)-1).Draw(m.t, "worker")]
	switch rapid.IntRange(0, 16).Draw(m.t, "act") {
	case 0, 1:
		m.submit()
	case 2, 3:
		m.cycle()
	case 4, 5:
		m.cycle()
		m.commit()
	case 6, 7, 8:
		for _, worker := range m.workers {
			m.renew(worker)
		}
		if rapid.Bool().Draw(m.t, "again") {
			m.renew(w)
		}
	case 9, 10:
		for task := range w.active {
			m.finish(w, task, rapid.SampledFrom([]infra.Outcome{infra.OutcomeSucceeded, infra.OutcomeSucceeded, infra.OutcomeFailed}).Draw(m.t, "outcome"))
			break
		}
	case 11:
		w.partitioned = !w.partitioned
	case 12:
		m.takeOver()
	case 13:
		m.restart(w)
	case 14:
		m.resize(w)
	case 15:
		m.crash(w)
	case 16:
		m.state.SetWorker(w.info)
	}
}

// resize changes the capacity of a worker, which its entry shows at once.
func (m *model) resize(w *fakeWorker) {
	m.setCapacity(w, int64(rapid.IntRange(1, 4).Draw(m.t, "quarters"))*testMilliCPU/4)
}

func (m *model) setCapacity(w *fakeWorker, milliCPU int64) {
	w.capacity.MilliCPU = milliCPU
	w.info.Capacity, w.resizedAt = w.capacity, m.now
	m.state.SetWorker(w.info)
}

// Guards against a task that runs twice at once or again after its success, and against a worker above its capacity or
// a team above its ceiling. Orders are lost, not answered or carried out up to 12 s late, workers are partitioned,
// restarted, with the controller told or not, and resized, answers overtake each other, commits are lost, and controllers are replaced at any time.
func TestRulesHoldUnderAnyFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newModel(rt, rapid.IntRange(1, 4).Draw(rt, "workers"))
		for range rapid.IntRange(10, 150).Draw(rt, "acts") {
			m.randomAction()
		}
	})
}

// Guards against accepted jobs that do not end after the faults are over.
func TestAcceptedJobsEndAfterFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newModel(rt, 3)
		for range rapid.IntRange(10, 60).Draw(rt, "acts") {
			m.randomAction()
		}
		for _, w := range m.workers {
			w.partitioned = false
			m.setCapacity(w, testMilliCPU)
		}
		m.settle()
		for _, job := range m.jobs {
			assert.Assert(rt, m.state.Job(job.GetId()).Ended(), "job %s has not ended", job.GetId())
		}
	})
}

// settle runs the fleet without faults for 400 cycles of 100 ms, long enough for all jobs to end.
func (m *model) settle() {
	for range 400 {
		m.advance(100 * time.Millisecond)
		for _, w := range m.workers {
			m.renewNow(w)
			m.renewNow(w)
		}
		m.faultFreeCycle()
		for _, w := range m.workers {
			for task := range w.active {
				m.finish(w, task, infra.OutcomeSucceeded)
			}
		}
	}
}

// faultFreeCycle is a cycle in which all new orders arrive at once.
func (m *model) faultFreeCycle() {
	m.state.ExpireLeases(m.now, m.unixMs())
	plan := m.state.Plan(m.now, m.unixMs(), AdviceSlots{})
	for len(m.saving) > 0 {
		m.commit()
	}
	changes := m.state.TakeChanges(allJobs)
	m.store(changes)
	orders, _ := m.state.Committed(changes, m.now)
	for _, task := range orders {
		m.orderNow(task)
	}
	for _, task := range plan.Stops {
		if w := m.worker(task.WorkerID()); w != nil && !w.down {
			order, _ := task.Stop()
			m.state.Stopped(task, order.Run, m.stop(w, m.epoch, order), m.now)
		}
	}
}

package standin

import (
	"context"
	"sync"
	"time"

	"siskinstack.example/siskinstack/clock"
	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/resource"
)

// RunPlan decides how a task behaves: how long it runs, what it uses and whether it succeeds.
type RunPlan func(request infra.StartRequest) TaskPlan

// TaskPlan is the behaviour of one task.
type TaskPlan struct {
	// RunFor is the run time; 0 runs until stopped. A resumed task runs only what its checkpoint left.
	RunFor time.Duration
	Used   resource.Vector
	Fails  bool
	// StopDuration is how long a task that is asked to stop takes, up to the grace time of the call.
	StopDuration time.Duration
}

// TaskRun is one run of a task, as the workers recorded it.
type TaskRun struct {
	Task       infra.TaskRef
	Team       string
	Worker     string
	Zone       string
	Shard      string
	Epoch      int64
	Resources  resource.Vector
	AtMostOnce bool
	Command    []string
	Started    time.Time
	// Ended is zero while the task runs.
	Ended time.Time
	Phase infra.TaskPhase
	// Resumed is the work that a checkpoint of an earlier attempt had saved; Progress is the work done at the end.
	Resumed  time.Duration
	Progress time.Duration
	// Lost is true if the worker was killed with the task, or with a result that no owner had acknowledged.
	Lost bool
}

// WorkerCounts is the number of calls that reached the workers, and of the refusals among them.
type WorkerCounts struct {
	Starts, Renewals, Stops, Checkpoints, Throttles  int64
	StaleEpochs, StaleAttempts, InsufficientCapacity int64
}

// defaultUsageLag is the lag with which workers report usage.
const defaultUsageLag = 2 * time.Second

// Workers is a set of workers that run tasks under leases.
type Workers struct {
	clock clock.Clock
	plan  RunPlan

	mu       sync.Mutex // guards all fields below
	usageLag time.Duration
	workers  map[string]*worker
	runs     []*TaskRun
	// saved is the work that checkpoints hold, by task.
	saved  map[taskName]time.Duration
	counts WorkerCounts
}

type worker struct {
	vm     infra.VM
	faults WorkerFaults
	// pace is the speed of the worker's own clock, by which leases end.
	pace  float64
	late  []lateCall
	epoch map[string]int64 // highest epoch seen for each shard
	tasks map[taskName]*task
	// closed are the last attempts that were stopped or forgotten; late starts of these are refused.
	closed map[taskName]attemptID
}

// attemptID orders attempts of one task over successive owners of its shard.
type attemptID struct {
	epoch   int64
	attempt int32
}

func (a attemptID) after(b attemptID) bool {
	if a.epoch != b.epoch {
		return a.epoch > b.epoch
	}
	return a.attempt > b.attempt
}

type taskName struct {
	job   string
	index int32
}

// NewWorkers returns workers for the VMs with the worker role.
func NewWorkers(c clock.Clock, vms []infra.VM, plan RunPlan) *Workers {
	w := &Workers{
		clock: c, plan: plan, usageLag: defaultUsageLag,
		workers: map[string]*worker{}, saved: map[taskName]time.Duration{},
	}
	for _, vm := range vms {
		if vm.Role == infra.RoleWorker {
			w.workers[vm.Name] = &worker{vm: vm, pace: 1, epoch: map[string]int64{},
				tasks: map[taskName]*task{}, closed: map[taskName]attemptID{}}
		}
	}
	return w
}

// SetUsageLag sets the lag with which usage is reported.
func (w *Workers) SetUsageLag(lag time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.usageLag = lag
}

// SetClockRate sets the speed of a worker's own clock: 1.01 ends leases one percent early.
func (w *Workers) SetClockRate(name string, pace float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.settle(w.workers[name])
	w.workers[name].pace = pace
}

// Runs returns a copy of all runs recorded so far.
func (w *Workers) Runs() []TaskRun {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, machine := range w.workers {
		w.settle(machine)
	}
	runs := make([]TaskRun, len(w.runs))
	for i, run := range w.runs {
		runs[i] = *run
	}
	return runs
}

// Counts returns the calls that reached the workers.
func (w *Workers) Counts() WorkerCounts {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.counts
}

// admit checks the epoch of a call that has reached a worker. The caller holds mu.
func (w *Workers) admit(machine *worker, authority infra.Authority) error {
	w.settle(machine)
	if authority.Epoch < machine.epoch[authority.Shard] {
		w.counts.StaleEpochs++
		return infra.ErrStaleEpoch
	}
	machine.epoch[authority.Shard] = authority.Epoch
	return nil
}

// Start runs a task under a lease.
func (w *Workers) Start(ctx context.Context, request infra.StartRequest) error {
	return w.deliver(ctx, request.Worker, func(machine *worker) error {
		w.counts.Starts++
		if err := w.admit(machine, request.Authority); err != nil {
			return err
		}
		return w.start(machine, request)
	})
}

func (w *Workers) start(machine *worker, request infra.StartRequest) error {
	name := taskName{request.Task.Job, request.Task.Index}
	id := attemptID{request.Epoch, request.Task.Attempt}
	if closed, ok := machine.closed[name]; ok && !id.after(closed) {
		w.counts.StaleAttempts++
		return infra.ErrStaleAttempt
	}
	if held, ok := machine.tasks[name]; ok {
		if held.request.Task.Attempt == request.Task.Attempt {
			return nil
		}
		if held.request.Task.Attempt > request.Task.Attempt || held.running() {
			w.counts.StaleAttempts++
			return infra.ErrStaleAttempt
		}
	}
	if !machine.inUse().Add(request.Resources).Fits(machine.vm.Capacity) {
		w.counts.InsufficientCapacity++
		return infra.ErrInsufficientCapacity
	}
	var resumed time.Duration
	if request.Checkpointable {
		resumed = w.saved[name]
	}
	plan := w.plan(request)
	plan.Fails = plan.Fails || machine.faults.FailTasks
	t := newTask(w.clock.Now(), request, plan, resumed)
	t.run.Zone = machine.vm.Zone
	w.runs = append(w.runs, t.run)
	machine.tasks[name] = t
	return nil
}

// Renew extends the leases of a shard's tasks on a worker and reports them.
func (w *Workers) Renew(ctx context.Context, request infra.RenewRequest) (infra.WorkerReport, error) {
	var report infra.WorkerReport
	err := w.deliver(ctx, request.Worker, func(machine *worker) error {
		w.counts.Renewals++
		if err := w.admit(machine, request.Authority); err != nil {
			return err
		}
		report = w.renew(machine, request)
		return nil
	})
	if err != nil {
		return infra.WorkerReport{}, err
	}
	return report, nil
}

func (w *Workers) renew(machine *worker, request infra.RenewRequest) infra.WorkerReport {
	machine.forget(request.Acknowledged, request.Epoch)
	now := w.clock.Now()
	report := infra.WorkerReport{Worker: request.Worker, Capacity: machine.vm.Capacity}
	for _, t := range machine.tasks {
		if t.request.Shard != request.Shard {
			continue
		}
		if t.running() && request.Lease > 0 {
			t.leaseLeft = request.Lease
		}
		report.Tasks = append(report.Tasks, t.report(now, w.usageLag))
	}
	return report
}

// Stop ends a task within its grace time.
func (w *Workers) Stop(ctx context.Context, request infra.StopRequest) error {
	return w.deliver(ctx, request.Worker, func(machine *worker) error {
		w.counts.Stops++
		t, err := w.find(machine, request.Authority, request.Task)
		if err != nil {
			return err
		}
		machine.close(taskName{request.Task.Job, request.Task.Index}, attemptID{request.Epoch, request.Task.Attempt})
		if t == nil {
			return nil
		}
		t.saveOnStop = t.saveOnStop || request.Checkpoint
		t.stopWithin(w.clock.Now(), min(request.Grace, t.plan.StopDuration))
		w.settle(machine)
		return nil
	})
}

// Checkpoint saves the progress of a checkpointable task.
func (w *Workers) Checkpoint(ctx context.Context, request infra.StopRequest) error {
	return w.deliver(ctx, request.Worker, func(machine *worker) error {
		w.counts.Checkpoints++
		t, err := w.find(machine, request.Authority, request.Task)
		if err != nil || t == nil {
			return err
		}
		w.save(t)
		return nil
	})
}

// Throttle limits the processor time of a task, which slows it.
func (w *Workers) Throttle(ctx context.Context, request infra.ThrottleRequest) error {
	return w.deliver(ctx, request.Worker, func(machine *worker) error {
		w.counts.Throttles++
		t, err := w.find(machine, request.Authority, request.Task)
		if err != nil || t == nil {
			return err
		}
		t.throttle(w.clock.Now(), request.MilliCPU)
		return nil
	})
}

// find returns the running task of a call; nil if the worker does not run that attempt. The caller holds mu.
func (w *Workers) find(machine *worker, authority infra.Authority, ref infra.TaskRef) (*task, error) {
	if err := w.admit(machine, authority); err != nil {
		return nil, err
	}
	t, ok := machine.tasks[taskName{ref.Job, ref.Index}]
	if !ok || t.request.Task.Attempt != ref.Attempt || !t.running() {
		return nil, nil
	}
	return t, nil
}

// save keeps the progress of a task. The caller holds mu.
func (w *Workers) save(t *task) {
	if t.request.Checkpointable {
		w.saved[taskName{t.request.Task.Job, t.request.Task.Index}] = t.run.Progress
	}
}

// settle brings the tasks of a worker up to the present. The caller holds mu.
func (w *Workers) settle(machine *worker) {
	now := w.clock.Now()
	for _, t := range machine.tasks {
		if !t.running() {
			continue
		}
		t.settle(now, machine.pace)
		if !t.running() && t.saveOnStop {
			w.save(t)
		}
	}
}

func (m *worker) inUse() resource.Vector {
	var used resource.Vector
	for _, t := range m.tasks {
		if t.running() {
			used = used.Add(t.request.Resources)
		}
	}
	return used
}

func (m *worker) forget(acknowledged []infra.TaskRef, epoch int64) {
	for _, ref := range acknowledged {
		name := taskName{ref.Job, ref.Index}
		t, ok := m.tasks[name]
		if ok && t.request.Task.Attempt == ref.Attempt && !t.running() {
			delete(m.tasks, name)
			m.close(name, attemptID{epoch, ref.Attempt})
		}
	}
}

// close refuses an attempt and all before it from now on.
func (m *worker) close(name taskName, id attemptID) {
	if closed, ok := m.closed[name]; !ok || id.after(closed) {
		m.closed[name] = id
	}
}

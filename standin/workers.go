package standin

import (
	"context"
	"sync"
	"time"

	"siskinstack.example/siskinstack/clock"
	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/resource"
)

// RunPlan decides how a task behaves: how long it runs, which resources it uses and whether it succeeds.
type RunPlan func(request infra.StartRequest) TaskPlan

// TaskPlan is the behaviour of one task.
type TaskPlan struct {
	// RunFor is the run time; 0 runs until stopped. A resumed task runs only what its checkpoint left.
	RunFor time.Duration
	Used   resource.Vector
	Fails  bool
	// StopDuration is how long a task takes to stop, limited by the grace time of the call.
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
	// Resumed is the work saved by a checkpoint of an earlier attempt; Progress is the work done at the end.
	Resumed  time.Duration
	Progress time.Duration
	// Lost is true if the worker crashed while it held the task or its unacknowledged result.
	Lost bool
}

// WorkerCounts is the number of calls that reached the workers, and of the refusals among them.
type WorkerCounts struct {
	Starts, Renewals, Stops, Checkpoints, Throttles  int64
	StaleEpochs, StaleAttempts, InsufficientCapacity int64
}

// defaultUsageLag is the lag with which workers report usage.
const defaultUsageLag = 2 * time.Second

// Workers simulates a set of workers that run tasks under leases.
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
	// clockRate is the rate of the worker's own clock, on which leases expire.
	clockRate float64
	delayed   []delayedCall
	epoch     map[string]int64 // highest epoch seen for each shard
	tasks     map[taskName]*task
	// closed holds the last stopped or discarded attempt of each task; starts of it and of earlier attempts are rejected.
	closed map[taskName]attemptID
}

// attemptID orders the attempts of one task across successive owners of its shard.
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
			w.workers[vm.Name] = &worker{vm: vm, clockRate: 1, epoch: map[string]int64{},
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

// SetClockRate sets the rate of a worker's own clock: at 1.01 leases expire one percent early.
func (w *Workers) SetClockRate(name string, clockRate float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.updateTasks(w.workers[name])
	w.workers[name].clockRate = clockRate
}

// Runs returns a copy of all runs recorded so far.
func (w *Workers) Runs() []TaskRun {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, target := range w.workers {
		w.updateTasks(target)
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

// checkEpoch advances the tasks of a worker and rejects a call whose epoch is lower than the highest that the worker has
// seen for the shard. The caller holds mu.
func (w *Workers) checkEpoch(target *worker, authority infra.Authority) error {
	w.updateTasks(target)
	if authority.Epoch < target.epoch[authority.Shard] {
		w.counts.StaleEpochs++
		return infra.ErrStaleEpoch
	}
	target.epoch[authority.Shard] = authority.Epoch
	return nil
}

// Start runs a task under a lease.
func (w *Workers) Start(ctx context.Context, request infra.StartRequest) error {
	return w.deliver(ctx, request.Worker, func(target *worker) error {
		w.counts.Starts++
		if err := w.checkEpoch(target, request.Authority); err != nil {
			return err
		}
		return w.start(target, request)
	})
}

func (w *Workers) start(target *worker, request infra.StartRequest) error {
	name := taskName{request.Task.Job, request.Task.Index}
	id := attemptID{request.Epoch, request.Task.Attempt}
	if closed, ok := target.closed[name]; ok && !id.after(closed) {
		w.counts.StaleAttempts++
		return infra.ErrStaleAttempt
	}
	if existing, ok := target.tasks[name]; ok {
		if existing.request.Task.Attempt == request.Task.Attempt {
			return nil
		}
		if existing.request.Task.Attempt > request.Task.Attempt || existing.running() {
			w.counts.StaleAttempts++
			return infra.ErrStaleAttempt
		}
	}
	if !target.inUse().Add(request.Resources).Fits(target.vm.Capacity) {
		w.counts.InsufficientCapacity++
		return infra.ErrInsufficientCapacity
	}
	var resumed time.Duration
	if request.Checkpointable {
		resumed = w.saved[name]
	}
	plan := w.plan(request)
	plan.Fails = plan.Fails || target.faults.FailTasks
	t := newTask(w.clock.Now(), request, plan, resumed)
	t.run.Zone = target.vm.Zone
	w.runs = append(w.runs, t.run)
	target.tasks[name] = t
	return nil
}

// Renew extends the leases of a shard's tasks on a worker and reports them.
func (w *Workers) Renew(ctx context.Context, request infra.RenewRequest) (infra.WorkerReport, error) {
	var report infra.WorkerReport
	err := w.deliver(ctx, request.Worker, func(target *worker) error {
		w.counts.Renewals++
		if err := w.checkEpoch(target, request.Authority); err != nil {
			return err
		}
		report = w.renew(target, request)
		return nil
	})
	if err != nil {
		return infra.WorkerReport{}, err
	}
	return report, nil
}

func (w *Workers) renew(target *worker, request infra.RenewRequest) infra.WorkerReport {
	target.discard(request.Acknowledged, request.Epoch)
	now := w.clock.Now()
	report := infra.WorkerReport{Worker: request.Worker, Capacity: target.vm.Capacity}
	for _, t := range target.tasks {
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
	return w.deliver(ctx, request.Worker, func(target *worker) error {
		w.counts.Stops++
		t, err := w.findRunning(target, request.Authority, request.Task)
		if err != nil {
			return err
		}
		target.close(taskName{request.Task.Job, request.Task.Index}, attemptID{request.Epoch, request.Task.Attempt})
		if t == nil {
			return nil
		}
		t.saveOnStop = t.saveOnStop || request.Checkpoint
		t.stopWithin(w.clock.Now(), min(request.Grace, t.plan.StopDuration))
		w.updateTasks(target)
		return nil
	})
}

// Checkpoint saves the progress of a checkpointable task.
func (w *Workers) Checkpoint(ctx context.Context, request infra.StopRequest) error {
	return w.deliver(ctx, request.Worker, func(target *worker) error {
		w.counts.Checkpoints++
		t, err := w.findRunning(target, request.Authority, request.Task)
		if err != nil || t == nil {
			return err
		}
		w.save(t)
		return nil
	})
}

// Throttle limits the CPU usage of a task, which slows it.
func (w *Workers) Throttle(ctx context.Context, request infra.ThrottleRequest) error {
	return w.deliver(ctx, request.Worker, func(target *worker) error {
		w.counts.Throttles++
		t, err := w.findRunning(target, request.Authority, request.Task)
		if err != nil || t == nil {
			return err
		}
		t.throttle(w.clock.Now(), request.MilliCPU)
		return nil
	})
}

// findRunning returns the running task of a call, or nil if the worker does not run that attempt. The caller holds mu.
func (w *Workers) findRunning(target *worker, authority infra.Authority, ref infra.TaskRef) (*task, error) {
	if err := w.checkEpoch(target, authority); err != nil {
		return nil, err
	}
	t, ok := target.tasks[taskName{ref.Job, ref.Index}]
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

// updateTasks advances the tasks of a worker to the current time. The caller holds mu.
func (w *Workers) updateTasks(target *worker) {
	now := w.clock.Now()
	for _, t := range target.tasks {
		if !t.running() {
			continue
		}
		t.update(now, target.clockRate)
		if !t.running() && t.saveOnStop {
			w.save(t)
		}
	}
}

func (target *worker) inUse() resource.Vector {
	var used resource.Vector
	for _, t := range target.tasks {
		if t.running() {
			used = used.Add(t.request.Resources)
		}
	}
	return used
}

func (target *worker) discard(acknowledged []infra.TaskRef, epoch int64) {
	for _, ref := range acknowledged {
		name := taskName{ref.Job, ref.Index}
		t, ok := target.tasks[name]
		if ok && t.request.Task.Attempt == ref.Attempt && !t.running() {
			delete(target.tasks, name)
			target.close(name, attemptID{epoch, ref.Attempt})
		}
	}
}

// close makes the worker reject an attempt and all earlier ones from now on.
func (target *worker) close(name taskName, id attemptID) {
	if closed, ok := target.closed[name]; !ok || id.after(closed) {
		target.closed[name] = id
	}
}

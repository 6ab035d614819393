package standin

import (
	"context"
	"sync"
	"time"

	"siskinstack.example/siskinstack/clock"
	"siskinstack.example/siskinstack/platform"
	"siskinstack.example/siskinstack/resource"
)

// RunPlan decides how a task behaves: how long it runs, what it uses and whether it succeeds.
type RunPlan func(request platform.StartRequest) TaskPlan

// TaskPlan is the behaviour of one task.
type TaskPlan struct {
	// RunFor is the run time; 0 runs until stopped.
	RunFor time.Duration
	Used   resource.Vector
	Fails  bool
}

// TaskRun is one run of a task, as the workers recorded it.
type TaskRun struct {
	Task       platform.TaskRef
	Team       string
	Worker     string
	Zone       string
	Shard      string
	Epoch      int64
	Room       resource.Vector
	AtMostOnce bool
	Started    time.Time
	// Ended is zero while the task runs.
	Ended time.Time
	Phase platform.TaskPhase
}

// Workers is a set of workers that run tasks under leases.
type Workers struct {
	clock clock.Clock
	plan  RunPlan

	mu      sync.Mutex // guards all fields below
	workers map[string]*worker
	runs    []*TaskRun
}

type worker struct {
	vm    platform.VM
	down  bool
	epoch map[string]int64 // highest epoch seen for each shard
	tasks map[taskName]*task
}

type taskName struct {
	job   string
	index int32
}

type task struct {
	request platform.StartRequest
	plan    TaskPlan
	run     *TaskRun
	lease   time.Time
}

// NewWorkers returns workers for the VMs with the worker role.
func NewWorkers(c clock.Clock, vms []platform.VM, plan RunPlan) *Workers {
	w := &Workers{clock: c, plan: plan, workers: map[string]*worker{}}
	for _, vm := range vms {
		if vm.Role != platform.RoleWorker {
			continue
		}
		w.workers[vm.Name] = &worker{vm: vm, epoch: map[string]int64{}, tasks: map[taskName]*task{}}
	}
	return w
}

// SetDown makes a worker unreachable; its tasks go on until their leases end.
func (w *Workers) SetDown(name string, down bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.workers[name].down = down
}

// Fail ends a worker with all its tasks; it comes back empty.
func (w *Workers) Fail(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	machine := w.workers[name]
	for _, t := range machine.tasks {
		if t.run.Phase == platform.PhaseRunning {
			t.end(w.clock.Now(), platform.PhaseStopped)
		}
	}
	machine.tasks = map[taskName]*task{}
	machine.epoch = map[string]int64{}
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

// reach returns a reachable worker after checking the epoch of the call. The caller holds mu.
func (w *Workers) reach(name string, authority platform.Authority) (*worker, error) {
	machine, ok := w.workers[name]
	if !ok {
		return nil, platform.ErrWorkerGone
	}
	if machine.down {
		return nil, errUnavailable
	}
	w.settle(machine)
	if authority.Epoch < machine.epoch[authority.Shard] {
		return nil, platform.ErrStaleEpoch
	}
	machine.epoch[authority.Shard] = authority.Epoch
	return machine, nil
}

// Start runs a task under a lease.
func (w *Workers) Start(ctx context.Context, request platform.StartRequest) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	machine, err := w.reach(request.Worker, request.Authority)
	if err != nil {
		return err
	}
	name := taskName{request.Task.Job, request.Task.Index}
	if held, ok := machine.tasks[name]; ok {
		if held.request.Task.Attempt == request.Task.Attempt {
			return nil
		}
		if held.request.Task.Attempt > request.Task.Attempt || held.run.Phase == platform.PhaseRunning {
			return platform.ErrStaleAttempt
		}
	}
	if !machine.inUse().Add(request.Room).Fits(machine.vm.Room) {
		return platform.ErrNoRoom
	}
	now := w.clock.Now()
	run := &TaskRun{
		Task: request.Task, Team: request.Team, Worker: request.Worker, Zone: machine.vm.Zone,
		Shard: request.Shard, Epoch: request.Epoch, Room: request.Room, AtMostOnce: request.AtMostOnce,
		Started: now, Phase: platform.PhaseRunning,
	}
	w.runs = append(w.runs, run)
	machine.tasks[name] = &task{request: request, plan: w.plan(request), run: run, lease: now.Add(request.Lease)}
	return nil
}

// Renew extends the leases of a shard's tasks on a worker and reports them.
func (w *Workers) Renew(ctx context.Context, request platform.RenewRequest) (platform.WorkerReport, error) {
	if err := ctx.Err(); err != nil {
		return platform.WorkerReport{}, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	machine, err := w.reach(request.Worker, request.Authority)
	if err != nil {
		return platform.WorkerReport{}, err
	}
	machine.forget(request.Acknowledged)
	now := w.clock.Now()
	report := platform.WorkerReport{Worker: request.Worker, Room: machine.vm.Room}
	for _, t := range machine.tasks {
		if t.request.Shard != request.Shard {
			continue
		}
		if t.run.Phase == platform.PhaseRunning {
			t.lease = now.Add(request.Lease)
		}
		report.Tasks = append(report.Tasks, t.report(now))
	}
	return report, nil
}

// Stop ends a task.
func (w *Workers) Stop(ctx context.Context, request platform.StopRequest) error {
	t, err := w.find(ctx, request)
	if err != nil || t == nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if t.run.Phase == platform.PhaseRunning {
		t.end(w.clock.Now(), platform.PhaseStopped)
	}
	return nil
}

// Checkpoint saves the state of a task.
func (w *Workers) Checkpoint(ctx context.Context, request platform.StopRequest) error {
	_, err := w.find(ctx, request)
	return err
}

// Throttle limits the processor time of a task.
func (w *Workers) Throttle(ctx context.Context, request platform.ThrottleRequest) error {
	stop := platform.StopRequest{Authority: request.Authority, Worker: request.Worker, Task: request.Task}
	t, err := w.find(ctx, stop)
	if err != nil || t == nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	t.plan.Used.MilliCPU = min(t.plan.Used.MilliCPU, request.MilliCPU)
	return nil
}

func (w *Workers) find(ctx context.Context, request platform.StopRequest) (*task, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	machine, err := w.reach(request.Worker, request.Authority)
	if err != nil {
		return nil, err
	}
	t, ok := machine.tasks[taskName{request.Task.Job, request.Task.Index}]
	if !ok || t.request.Task.Attempt != request.Task.Attempt {
		return nil, nil
	}
	return t, nil
}

// settle ends the tasks whose run time or lease is over. The caller holds mu.
func (w *Workers) settle(machine *worker) {
	now := w.clock.Now()
	for _, t := range machine.tasks {
		if t.run.Phase != platform.PhaseRunning {
			continue
		}
		t.settle(now)
	}
}

func (t *task) settle(now time.Time) {
	finish := t.run.Started.Add(t.plan.RunFor)
	finished := t.plan.RunFor > 0 && !now.Before(finish) && finish.Before(t.lease)
	switch {
	case finished && t.plan.Fails:
		t.end(finish, platform.PhaseFailed)
	case finished:
		t.end(finish, platform.PhaseSucceeded)
	case now.After(t.lease):
		t.end(t.lease, platform.PhaseStopped)
	}
}

func (t *task) end(at time.Time, phase platform.TaskPhase) {
	t.run.Ended = at
	t.run.Phase = phase
}

func (t *task) report(now time.Time) platform.TaskReport {
	end := now
	if !t.run.Ended.IsZero() {
		end = t.run.Ended
	}
	return platform.TaskReport{
		Task: t.request.Task, Team: t.request.Team, Room: t.request.Room,
		Phase: t.run.Phase, Used: t.plan.Used, RunFor: end.Sub(t.run.Started),
	}
}

func (m *worker) inUse() resource.Vector {
	var used resource.Vector
	for _, t := range m.tasks {
		if t.run.Phase == platform.PhaseRunning {
			used = used.Add(t.request.Room)
		}
	}
	return used
}

func (m *worker) forget(acknowledged []platform.TaskRef) {
	for _, ref := range acknowledged {
		name := taskName{ref.Job, ref.Index}
		t, ok := m.tasks[name]
		if ok && t.request.Task.Attempt == ref.Attempt && t.run.Phase != platform.PhaseRunning {
			delete(m.tasks, name)
		}
	}
}

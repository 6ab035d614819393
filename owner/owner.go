// Package owner is the runtime of one owned shard: it keeps the durable records, feeds the decision core with events,
// and carries its plans out on the workers. All calls to workers and the log are made under the owner's right.
package owner

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/clock"
	"siskinstack.example/siskinstack/ownership"
	"siskinstack.example/siskinstack/platform"
	"siskinstack.example/siskinstack/scheduler"
	"siskinstack.example/siskinstack/shardlog"
)

const (
	// taskLease is how long a worker runs a task without renewal.
	taskLease = 20 * time.Second
	// planInterval is the longest time between two passes of the decision core.
	planInterval = 20 * time.Millisecond
	// maxStartsPerPass bounds the calls to workers that one pass causes.
	maxStartsPerPass = 256
	// renewInterval is the time between two renewals of a worker.
	renewInterval = 500 * time.Millisecond
	// workerTimeout bounds one call to a worker.
	workerTimeout = 2 * time.Second
)

// Options configures the owner of a shard.
type Options struct {
	Right   *ownership.Right
	Store   platform.Store
	Workers platform.Workers
	VMs     platform.VMList
	Clock   clock.Clock
	Logger  logr.Logger
	VM      string
	Zone    string
	Writer  string
	// Teams returns the teams with the limits that apply in this shard.
	Teams func() []scheduler.Team
}

// Owner runs one shard until its right ends.
type Owner struct {
	options Options
	log     *shardlog.Log

	mu      sync.Mutex // guards all fields below
	cell    *scheduler.Cell
	jobs    map[string]*siskinv1.JobAccepted
	acked   map[string][]platform.TaskRef // durable ends by worker, not yet acknowledged to it
	workers map[string]platform.VM
	origin  time.Time
}

// Open takes over the shard: it fences and replays the log.
func Open(ctx context.Context, options Options) (*Owner, error) {
	o := &Owner{
		options: options,
		cell:    scheduler.NewCell(),
		jobs:    map[string]*siskinv1.JobAccepted{},
		acked:   map[string][]platform.TaskRef{},
		workers: map[string]platform.VM{},
		origin:  options.Clock.Now(),
	}
	log, err := shardlog.Open(ctx, shardlog.Options{
		Store: options.Store, Clock: options.Clock, Shard: options.Right.Shard, Writer: options.Writer,
		Owner: options.VM, Epoch: options.Right.Epoch, Apply: o.apply,
		Check: options.Right.Check,
	})
	if err != nil {
		return nil, err
	}
	o.log = log
	return o, nil
}

// now returns the core's time.
func (o *Owner) now() scheduler.Time { return o.options.Clock.Now().Sub(o.origin) }

// apply brings a durable record into memory.
func (o *Owner) apply(record *siskinv1.Record) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch change := record.GetChange().(type) {
	case *siskinv1.Record_JobAccepted:
		o.applyAccepted(change.JobAccepted)
	case *siskinv1.Record_JobCancelled:
		_, _ = o.cell.Cancel(change.JobCancelled.GetId())
	case *siskinv1.Record_TaskEnded:
		o.applyEnded(change.TaskEnded)
	}
}

func (o *Owner) applyAccepted(job *siskinv1.JobAccepted) {
	if _, ok := o.jobs[job.GetId()]; ok {
		return
	}
	o.jobs[job.GetId()] = job
	_ = o.cell.Submit(coreJob(job, o.now()))
}

func (o *Owner) applyEnded(ended *siskinv1.TaskEnded) {
	id := scheduler.TaskID{Job: ended.GetJob(), Index: ended.GetIndex()}
	_ = o.cell.Resolve(id, outcomeOf(ended.GetState()))
}

// Run plans and renews until ctx ends or the right expires.
func (o *Owner) Run(ctx context.Context) {
	defer o.log.Close()
	var renewed time.Time
	for ctx.Err() == nil && o.options.Right.Check() == nil {
		if o.options.Clock.Now().Sub(renewed) >= renewInterval {
			renewed = o.options.Clock.Now()
			o.refresh(ctx)
			o.renewAll(ctx)
		}
		o.pass(ctx)
		_ = o.options.Clock.Sleep(ctx, planInterval)
	}
}

// refresh brings teams and workers up to date.
func (o *Owner) refresh(ctx context.Context) {
	vms, err := o.options.VMs.List(ctx)
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, team := range o.options.Teams() {
		o.cell.SetTeam(team)
	}
	if err != nil {
		return
	}
	for _, vm := range vms.VMs {
		if vm.Role != platform.RoleWorker || vm.Zone != o.options.Zone {
			continue
		}
		o.workers[vm.Name] = vm
		o.cell.SetWorker(scheduler.Worker{
			Name: vm.Name, Zone: vm.Zone, Rack: vm.Rack, Room: vm.Room, Leaving: vm.Leaving,
		})
	}
}

// pass runs the decision core once and carries its plan out.
func (o *Owner) pass(ctx context.Context) {
	o.mu.Lock()
	plan := o.cell.Plan(o.now(), maxStartsPerPass)
	requests := make([]platform.StartRequest, len(plan.Starts))
	for i, start := range plan.Starts {
		requests[i] = o.startRequest(start)
	}
	o.mu.Unlock()
	var calls sync.WaitGroup
	for i := range requests {
		calls.Go(func() { o.start(ctx, plan.Starts[i], requests[i]) })
	}
	calls.Wait()
}

func (o *Owner) startRequest(start scheduler.Start) platform.StartRequest {
	spec := o.jobs[start.Task.Job].GetSpec()
	return platform.StartRequest{
		Authority:      o.authority(),
		Worker:         start.Worker,
		Task:           platform.TaskRef{Job: start.Task.Job, Index: start.Task.Index, Attempt: start.Attempt},
		Team:           start.Team,
		Room:           start.Room,
		Lease:          taskLease,
		Command:        spec.GetCommand(),
		Checkpointable: spec.GetCheckpointable(),
		AtMostOnce:     spec.GetAtMostOnce(),
	}
}

func (o *Owner) authority() platform.Authority {
	return platform.Authority{Shard: o.options.Right.Shard, Epoch: o.options.Right.Epoch}
}

func (o *Owner) start(ctx context.Context, start scheduler.Start, request platform.StartRequest) {
	ctx, cancel := context.WithTimeout(ctx, workerTimeout)
	defer cancel()
	err := o.options.Right.Check()
	if err == nil {
		err = o.options.Workers.Start(ctx, request)
	}
	if err == nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	_ = o.cell.StartFailed(start.Task, start.Attempt, o.now())
}

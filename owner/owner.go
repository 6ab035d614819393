// Package owner is the runtime of one owned shard. It keeps the durable records, passes events to the scheduler and
// executes the scheduler's plans on the workers.
//
// Invariants:
//   - Durable state changes only in apply, which the log calls with records that the store holds.
//   - Every call to a worker is made under a right that was checked immediately before.
//   - A task has at most one placement; it is placed again only after the previous attempt is known to have ended.
package owner

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"siskinstack.example/siskinstack/allowance"
	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/claim"
	"siskinstack.example/siskinstack/clock"
	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/ownership"
	"siskinstack.example/siskinstack/resource"
	"siskinstack.example/siskinstack/scheduler"
	"siskinstack.example/siskinstack/shardlog"
)

const (
	// TaskLease is how long a worker runs a task without renewal.
	TaskLease = 20 * time.Second
	// leaseMargin covers the difference between the rates of two clocks over one task lease.
	leaseMargin = time.Second
	// commitInterval keeps three busy shards, including the deletion of log entries that snapshots cover, below 100
	// store writes a second. An idle shard commits at once.
	commitInterval = 70 * time.Millisecond
	// planInterval is the time between two scheduling passes.
	planInterval = 10 * time.Millisecond
	// idlePlanInterval is the time between two scheduling passes while no task waits; these still stop and evacuate tasks.
	idlePlanInterval = 100 * time.Millisecond
	// maxStartsPerPass bounds the task starts of one scheduling pass.
	maxStartsPerPass = 256
	// maxCalls bounds the calls to workers in flight.
	maxCalls = 512
	// workerTimeout bounds one call to a worker.
	workerTimeout = 2 * time.Second
	// refreshInterval is the time between two reads of configuration, limits and the VM list.
	refreshInterval = 250 * time.Millisecond
	// backgroundTimeout bounds the appends that run in the background, such as those of ended tasks. An end that was not
	// logged is found again in the next report.
	backgroundTimeout = 5 * time.Second
	// stopGrace is the time that a stopped task has to shut down.
	stopGrace = 10 * time.Second
)

// Config is the configuration that is in force.
type Config interface {
	// Fresh reports whether the configuration is known to be complete. Tasks start only under a fresh one.
	Fresh() bool
	// Draining reports whether operators have taken the availability zone out of service.
	Draining(zone string) bool
	// Teams returns the teams with their shares.
	Teams() []*siskinv1.Team
	// Shards returns all shards of the fleet.
	Shards() []ownership.Shard
}

// Demand receives what teams run and want to run in a shard, so that parts of their ceilings can be moved there.
type Demand interface {
	SetDemand(shard, team string, demand resource.Vector)
	// SetGang sets the first gang job of a team among those that wait in a shard.
	SetGang(shard, team string, gang allowance.Gang)
}

// Fleet is what the other VMs report about their shards.
type Fleet interface {
	// UsedElsewhere returns what each team has running in all other shards.
	UsedElsewhere(shard string) map[string]resource.Vector
	// WaitingElsewhere returns what each team waits for in all other shards.
	WaitingElsewhere(shard string) map[string]resource.Vector
	// Capacity returns the total capacity of all workers of the fleet.
	Capacity() resource.Vector
	// EntryAlive reports whether an entry VM, named with its incarnation, may still have requests in flight.
	EntryAlive(entryVM string) bool
	// Loads returns the last reported load of each shard.
	Loads() []*siskinv1.ShardLoad
}

// Options configures the owner of a shard.
type Options struct {
	Right *ownership.Right
	Store infra.Store
	// SnapshotStore stores snapshots at a lower priority; nil uses Store.
	SnapshotStore infra.Store
	Workers       infra.Workers
	VMs           infra.VMList
	Clock         clock.Clock
	Logger        logr.Logger
	Tracer        trace.Tracer
	Metrics       *Metrics
	LogMetrics    *shardlog.Metrics
	Config        Config
	Demand        Demand
	Fleet         Fleet
	// Parts calls the owners of other shards.
	Parts PartClient
	VM    string
	// Zone is the availability zone of the shard, which need not be that of the VM.
	Zone string
	// Writer is the identity of this owner in the log.
	Writer string
	// MaxQueuedTasks bounds the tasks that wait in the shard.
	MaxQueuedTasks int64
}

// Owner runs one shard until its right ends.
type Owner struct {
	options    Options
	shard      string
	log        *shardlog.Log
	claims     *claim.Service
	calls      chan struct{} // one token for each call to a worker in flight
	goroutines sync.WaitGroup

	mu    sync.Mutex // guards all fields below
	state *state
	cell  *scheduler.Cell
	live  bool // false while the log is replayed
	// limits are the parts of the teams' ceilings that this shard may use; a team without a limit starts nothing.
	limits         map[string]resource.Vector
	workers        map[string]*workerState
	placed         map[scheduler.TaskID]*placement
	stops          []scheduler.Stop
	recovery       *recovery
	pending        map[string]chan struct{}       // submissions whose record is being written to the store
	remote         map[string]*remoteParts        // by job: the state exchanged with other shards
	heldForRelease map[scheduler.TaskID]time.Time // when the release of a task began
	origin         time.Time
	lastPlan       time.Time // time of the last scheduling pass
	fenced         bool
	stopping       bool
}

// placement is one attempt of a task that may be running on a worker.
type placement struct {
	ref    infra.TaskRef
	worker string
	// startDoneAt is when the start call ended or a report showed the task running; zero while the call is in flight.
	startDoneAt time.Time
	// uncertain is true if the start call ended without a definite result.
	uncertain  bool
	atMostOnce bool
}

// Open takes over the shard: it fences and replays the log, and prepares the recovery of running tasks.
func Open(ctx context.Context, options Options) (*Owner, error) {
	o := &Owner{
		options:        options,
		shard:          options.Right.Shard,
		calls:          make(chan struct{}, maxCalls),
		state:          newState(options.Right.Shard),
		cell:           scheduler.NewCell(),
		limits:         map[string]resource.Vector{},
		workers:        map[string]*workerState{},
		placed:         map[scheduler.TaskID]*placement{},
		pending:        map[string]chan struct{}{},
		remote:         map[string]*remoteParts{},
		heldForRelease: map[scheduler.TaskID]time.Time{},
		origin:         options.Clock.Now(),
	}
	o.cell = scheduler.NewCell(scheduler.WithMaxQueued(o.maxQueued()))
	log, err := shardlog.Open(ctx, shardlog.Options{
		Store: options.Store, SnapshotStore: options.SnapshotStore, Clock: options.Clock, Shard: o.shard, Writer: options.Writer,
		Owner: options.VM, Epoch: options.Right.Epoch, Apply: o.apply,
		Check: options.Right.Check, Snapshot: o.snapshot, CommitInterval: commitInterval, Metrics: options.LogMetrics,
	})
	if err != nil {
		return nil, err
	}
	o.log = log
	o.claims = claim.NewService(o.state.claims, claimLog{o})
	o.mu.Lock()
	defer o.mu.Unlock()
	o.live = true
	o.beginRecovery()
	options.Metrics.takeovers.WithLabelValues(o.shard).Inc()
	return o, nil
}

// Shard returns the name of the shard.
func (o *Owner) Shard() string { return o.shard }

// now returns the scheduler's time, which starts at origin.
func (o *Owner) now() scheduler.Time { return o.options.Clock.Now().Sub(o.origin) }

// Run runs the owner until ctx ends, the right expires or a later owner is detected. It returns after all its
// goroutines have ended.
func (o *Owner) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	o.goroutines.Go(func() { o.every(ctx, refreshInterval, o.refresh) })
	o.goroutines.Go(func() { o.every(ctx, renewCheckInterval, o.renewDue) })
	o.goroutines.Go(func() { o.every(ctx, partsInterval, o.reconcileParts) })
	o.goroutines.Go(func() { o.every(ctx, forgetInterval, o.forgetEnded) })
	o.goroutines.Go(func() { o.every(ctx, sweepInterval, o.sweepClaims) })
	o.every(ctx, planInterval, o.schedule)
	cancel()
	o.goroutines.Wait()
	o.log.Close()
}

// every calls step at an interval until ctx ends or mayAct returns false.
func (o *Owner) every(ctx context.Context, interval time.Duration, step func(context.Context)) {
	for ctx.Err() == nil && o.mayAct() {
		step(ctx)
		_ = o.options.Clock.Sleep(ctx, interval)
	}
}

// mayAct reports whether the right is valid and no later owner has been detected.
func (o *Owner) mayAct() bool {
	o.mu.Lock()
	fenced := o.fenced
	o.mu.Unlock()
	return !fenced && o.options.Right.Check() == nil
}

// fence stops the owner: the store or a worker has accepted a later one.
func (o *Owner) fence() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.fenced = true
}

// StopStarting ends the placement of new tasks before a handover. Renewals continue.
func (o *Owner) StopStarting() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.stopping = true
}

// Drained reports whether no start call is in flight.
func (o *Owner) Drained() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, p := range o.placed {
		if p.startDoneAt.IsZero() && !p.uncertain {
			return false
		}
	}
	return true
}

// authority identifies this owner in calls to workers.
func (o *Owner) authority() infra.Authority {
	return infra.Authority{Shard: o.shard, Epoch: o.options.Right.Epoch}
}

// background runs a step in a goroutine with its own timeout, independent of the caller's context.
func (o *Owner) background(step func(ctx context.Context)) {
	o.goroutines.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), backgroundTimeout)
		defer cancel()
		step(ctx)
	})
}

// append makes records durable. It stops the owner if a later one has taken over the log.
func (o *Owner) append(ctx context.Context, records ...*siskinv1.Record) error {
	if len(records) == 0 {
		return nil
	}
	if err := o.options.Right.Check(); err != nil {
		return err
	}
	ctx, end := o.traceAppend(ctx, len(records))
	err := o.log.Append(ctx, records...)
	end(err)
	if errors.Is(err, shardlog.ErrFenced) {
		o.fence()
	}
	return err
}

// traceAppend starts a span for an append that belongs to a trace. The appends of the owner's own loops belong to none.
func (o *Owner) traceAppend(ctx context.Context, records int) (context.Context, func(error)) {
	if !trace.SpanContextFromContext(ctx).IsValid() {
		return ctx, func(error) {}
	}
	ctx, span := o.options.Tracer.Start(ctx, "log.append", trace.WithAttributes(
		attribute.String("siskin.shard", o.shard), attribute.Int("siskin.records", records)))
	return ctx, func(err error) {
		if err != nil {
			span.SetStatus(codes.Error, err.Error())
		}
		span.End()
	}
}

// refresh updates teams, limits, usage in other shards and workers in the scheduler, and reports the teams' demand.
func (o *Owner) refresh(ctx context.Context) {
	vms, err := o.options.VMs.List(ctx)
	// Reading the fleet calls Load of all owners of this VM, which locks mu, so it is done before mu is locked.
	capacity := o.options.Fleet.Capacity()
	elsewhere := o.options.Fleet.UsedElsewhere(o.shard)
	waiting := o.options.Fleet.WaitingElsewhere(o.shard)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.cell.SetFleetCapacity(capacity)
	o.refreshTeams(elsewhere, waiting)
	o.cell.SetDraining(o.options.Config.Draining(o.options.Zone))
	if err == nil {
		o.refreshWorkers(vms.VMs)
	}
}

func (o *Owner) refreshTeams(elsewhere, waiting map[string]resource.Vector) {
	shards := int64(max(1, len(o.options.Config.Shards())))
	gangs := o.firstGangs()
	for _, team := range o.options.Config.Teams() {
		name := team.GetName()
		limit, known := o.limits[name]
		if known {
			o.cell.SetTeam(schedulerTeam(team, limit))
		}
		demand := o.cell.TeamDemand(name)
		if !known {
			demand = demand.Max(baseline(team, shards))
		}
		o.options.Demand.SetDemand(o.shard, name, demand)
		o.options.Demand.SetGang(o.shard, name, gangs[name])
		o.cell.SetRunningElsewhere(name, elsewhere[name])
		o.cell.SetWaitingElsewhere(name, allowedWaiting(team, elsewhere[name], waiting[name]))
	}
}

// allowedWaiting returns the part of what a team waits for in other shards that its ceiling allows it to run there.
func allowedWaiting(team *siskinv1.Team, used, waiting resource.Vector) resource.Vector {
	left := resource.FromProto(team.GetCeiling()).Sub(used).Max(resource.Vector{})
	return waiting.Min(left)
}

// schedulerTeam converts a team to the scheduler's type.
func schedulerTeam(team *siskinv1.Team, limit resource.Vector) scheduler.Team {
	return scheduler.Team{
		Name: team.GetName(), Share: team.GetShare(), Limit: limit, Ceiling: resource.FromProto(team.GetCeiling()),
	}
}

// baseline is the part of a team's ceiling that every shard requests initially: half of the ceiling is split evenly, so
// that a shard that is cut off can start work of every team. A shard without demand gives it back when another shard
// requests it, since a gang job may need most of the ceiling in one shard.
func baseline(team *siskinv1.Team, shards int64) resource.Vector {
	ceiling := resource.FromProto(team.GetCeiling())
	return resource.Vector{
		MilliCPU:     ceiling.MilliCPU / (2 * shards),
		MemoryBytes:  ceiling.MemoryBytes / (2 * shards),
		Accelerators: ceiling.Accelerators / (2 * shards),
	}
}

// SetLimit bounds what a team may run in the shard from now on, and returns what it runs, including starts in progress.
// A zero limit before the first nonzero one is not applied: a new owner receives its limits after it has adopted running
// tasks, and the zero limit would stop them.
func (o *Owner) SetLimit(team string, limit resource.Vector) resource.Vector {
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, known := o.limits[team]; known || !limit.IsZero() {
		o.limits[team] = limit
		o.applyLimit(team, limit)
	}
	return o.cell.TeamRunning(team)
}

// applyLimit passes a limit to the scheduler at once. The caller holds mu.
func (o *Owner) applyLimit(name string, limit resource.Vector) {
	for _, team := range o.options.Config.Teams() {
		if team.GetName() == name {
			o.cell.SetTeam(schedulerTeam(team, limit))
		}
	}
}

// Load returns the load of the shard and the usage of each team, for the other VMs.
func (o *Owner) Load() (*siskinv1.ShardLoad, []*siskinv1.TeamUsage) {
	o.mu.Lock()
	defer o.mu.Unlock()
	total, free := o.cell.Capacity()
	load := &siskinv1.ShardLoad{
		Shard: o.shard, Epoch: o.options.Right.Epoch, Total: total.Proto(), Free: free.Proto(),
		QueuedTasks: int64(o.cell.Queued()), RunningTasks: int64(len(o.placed)),
		Draining: o.options.Config.Draining(o.options.Zone),
	}
	var usage []*siskinv1.TeamUsage
	for _, team := range o.options.Config.Teams() {
		running := o.cell.TeamRunning(team.GetName())
		waiting := o.cell.TeamWaiting(team.GetName())
		if running.IsZero() && waiting.IsZero() {
			continue
		}
		usage = append(usage, &siskinv1.TeamUsage{
			Team: team.GetName(), Shard: o.shard, Running: running.Proto(), Queued: waiting.Proto(),
		})
	}
	return load, usage
}

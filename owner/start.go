package owner

import (
	"context"
	"errors"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/ownership"
	"siskinstack.example/siskinstack/scheduler"
	"siskinstack.example/siskinstack/telemetry"
)

// errNotStarted means that conditions changed between plan and start, and the worker was not called.
var errNotStarted = eris.New("conditions changed before the start")

// schedule runs one scheduling pass and executes its plan. Calls to workers do not delay the next pass.
func (o *Owner) schedule(ctx context.Context) {
	o.mu.Lock()
	stops := o.stops
	o.stops = nil
	var plan scheduler.Plan
	if o.mayPlan() && len(o.calls) < maxCalls && o.planDue() {
		o.cell.SetDraining(o.options.Config.Draining(o.options.Zone))
		plan = o.cell.Plan(o.now(), maxStartsPerPass)
	}
	stops = append(stops, plan.Stops...)
	plain, recorded := o.splitByRecord(plan.Starts)
	o.mu.Unlock()
	for _, start := range plain {
		o.call(ctx, func(ctx context.Context) { o.start(ctx, start) })
	}
	if len(recorded) > 0 {
		o.goroutines.Go(func() { o.recordAndStart(ctx, recorded) })
	}
	for _, stop := range stops {
		o.call(ctx, func(ctx context.Context) { o.stop(ctx, stop) })
	}
	for _, order := range plan.Throttles {
		o.call(ctx, func(ctx context.Context) { o.throttle(ctx, order) })
	}
}

// planDue reports whether a scheduling pass is due: at once while tasks wait, otherwise after idlePlanInterval. It
// notes the time of a due pass. The caller holds mu.
func (o *Owner) planDue() bool {
	now := o.options.Clock.Now()
	if o.cell.Queued() == 0 && now.Sub(o.lastPlan) < idlePlanInterval {
		return false
	}
	o.lastPlan = now
	return true
}

// mayPlan reports whether the scheduler may plan now. In a draining zone it only stops tasks. The caller holds mu.
func (o *Owner) mayPlan() bool {
	return !o.stopping && !o.fenced && o.options.Config.Fresh()
}

// mayStart reports whether tasks may start now. The caller holds mu.
func (o *Owner) mayStart() bool {
	return o.mayPlan() && !o.options.Config.Draining(o.options.Zone)
}

// call runs one call to a worker in a goroutine once a token is free.
func (o *Owner) call(ctx context.Context, step func(context.Context)) {
	o.goroutines.Go(func() {
		select {
		case o.calls <- struct{}{}:
		case <-ctx.Done():
			return
		}
		defer func() { <-o.calls }()
		callContext, cancel := context.WithTimeout(ctx, workerTimeout)
		defer cancel()
		step(callContext)
	})
}

// plannedStart is a planned task start with the data for its call.
type plannedStart struct {
	scheduler.Start
	request infra.StartRequest
	// record must be durable before the call; nil if none is needed.
	record *siskinv1.Record
	// traceParent is the trace of the job's submission.
	traceParent string
}

// splitByRecord separates the starts that need a durable record first: tasks that run at most once, and the first
// task of the shard on a worker. The caller holds mu.
func (o *Owner) splitByRecord(starts []scheduler.Start) (plain, recorded []plannedStart) {
	firstUses := map[string]bool{}
	for _, start := range starts {
		planned := o.prepare(start)
		if !o.state.workers[start.Worker] {
			firstUses[start.Worker] = true
		}
		if planned.record != nil || firstUses[start.Worker] {
			recorded = append(recorded, planned)
			continue
		}
		plain = append(plain, planned)
	}
	return plain, recorded
}

// prepare registers the placement of a start and builds its request. The caller holds mu.
func (o *Owner) prepare(start scheduler.Start) plannedStart {
	accepted := o.state.jobs[start.Task.Job].accepted
	spec := o.state.jobs[start.Task.Job].spec()
	ref := infra.TaskRef{Job: start.Task.Job, Index: start.Task.Index, Attempt: start.Attempt}
	p := &placement{ref: ref, worker: start.Worker, atMostOnce: spec.GetAtMostOnce()}
	o.placed[start.Task] = p
	o.worker(start.Worker).placed[start.Task] = p
	planned := plannedStart{Start: start, traceParent: accepted.GetTraceParent(), request: infra.StartRequest{
		Authority: o.authority(), Worker: start.Worker, Task: ref, Team: start.Team, Resources: start.Allocation,
		Lease: TaskLease, Command: spec.GetCommand(), Checkpointable: spec.GetCheckpointable(),
		AtMostOnce: spec.GetAtMostOnce(),
	}}
	if spec.GetAtMostOnce() {
		planned.record = &siskinv1.Record{Change: &siskinv1.Record_TaskClaimed{TaskClaimed: &siskinv1.TaskClaimed{
			Job: ref.Job, Index: ref.Index, Worker: start.Worker, Attempt: ref.Attempt,
		}}}
	}
	return planned
}

// recordAndStart makes the records of all starts durable in one append, then starts the tasks.
func (o *Owner) recordAndStart(ctx context.Context, starts []plannedStart) {
	var records []*siskinv1.Record
	recorded := map[string]bool{}
	for _, start := range starts {
		if !recorded[start.Worker] {
			recorded[start.Worker] = true
			records = append(records, workerUsedRecord(start.Worker))
		}
		if start.record != nil {
			records = append(records, start.record)
		}
	}
	if err := o.append(ctx, records...); err != nil {
		for _, start := range starts {
			o.notStarted(start)
		}
		return
	}
	for _, start := range starts {
		o.call(ctx, func(ctx context.Context) { o.start(ctx, start) })
	}
}

func (o *Owner) start(ctx context.Context, start plannedStart) {
	ctx = telemetry.WithTraceParent(ctx, start.traceParent)
	ctx, span := o.options.Tracer.Start(ctx, "worker.start", trace.WithAttributes(
		attribute.String("siskin.task", start.request.Task.String()), attribute.String("siskin.worker", start.Worker)))
	defer span.End()
	err := o.recheck(start)
	if err == nil {
		err = o.options.Workers.Start(ctx, start.request)
	}
	o.options.Metrics.start(o.shard, err)
	switch {
	case err == nil:
		o.started(start)
	case certainlyNotStarted(err):
		o.notStarted(start)
	default:
		span.RecordError(err)
		o.startUncertain(start)
	}
	if errors.Is(err, infra.ErrStaleEpoch) {
		o.fence()
	}
}

// recheck checks a planned start against the current state immediately before the call.
func (o *Owner) recheck(start plannedStart) error {
	o.mu.Lock()
	allowed := o.mayStart()
	err := o.cell.Recheck(start.Start)
	o.mu.Unlock()
	if !allowed {
		return errNotStarted
	}
	if err != nil {
		return eris.Wrap(errNotStarted, err.Error())
	}
	return o.options.Right.Check()
}

// certainlyNotStarted reports whether an error proves that the task does not run and will not run because of this call.
func certainlyNotStarted(err error) bool {
	for _, known := range []error{
		errNotStarted, ownership.ErrExpired, infra.ErrNotSent, infra.ErrInsufficientCapacity,
		infra.ErrStaleEpoch, infra.ErrStaleAttempt, infra.ErrWorkerNotFound,
	} {
		if errors.Is(err, known) {
			return true
		}
	}
	return false
}

func (o *Owner) started(start plannedStart) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if p := o.placement(start.request.Task, start.Worker); p != nil {
		p.startDoneAt = o.options.Clock.Now()
		w := o.worker(start.Worker)
		if next := p.startDoneAt.Add(o.renewInterval(w)); next.Before(w.due) {
			w.due = next
		}
	}
}

// startUncertain keeps the placement: the worker's next report shows whether the task runs.
func (o *Owner) startUncertain(start plannedStart) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if p := o.placement(start.request.Task, start.Worker); p != nil {
		p.startDoneAt = o.options.Clock.Now()
		p.uncertain = true
	}
}

func (o *Owner) notStarted(start plannedStart) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.placement(start.request.Task, start.Worker) == nil {
		return
	}
	o.removePlacement(start.Task)
	_ = o.cell.StartFailed(start.Task, start.Attempt, o.now())
}

// placement returns the placement of an attempt on a worker, or nil if it is not the current one. The caller holds mu.
func (o *Owner) placement(ref infra.TaskRef, worker string) *placement {
	p := o.placed[taskID(ref)]
	if p == nil || p.ref != ref || p.worker != worker {
		return nil
	}
	return p
}

// removePlacement removes the placement of a task. The caller holds mu.
func (o *Owner) removePlacement(id scheduler.TaskID) {
	p := o.placed[id]
	if p == nil {
		return
	}
	delete(o.placed, id)
	if w := o.workers[p.worker]; w != nil {
		delete(w.placed, id)
	}
}

// throttle limits the CPU of a running task or lifts the limit. A later scheduling pass repeats a failed call.
func (o *Owner) throttle(ctx context.Context, order scheduler.Throttle) {
	err := o.options.Right.Check()
	if err == nil {
		err = o.options.Workers.Throttle(ctx, infra.ThrottleRequest{
			Authority: o.authority(), Worker: order.Worker, MilliCPU: order.MilliCPU,
			Task: infra.TaskRef{Job: order.Task.Job, Index: order.Task.Index, Attempt: order.Attempt},
		})
	}
	o.options.Metrics.throttle(o.shard, err)
	if errors.Is(err, infra.ErrStaleEpoch) {
		o.fence()
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.cell.Throttled(order, err == nil, o.now())
}

// stop ends a running task; the worker's next report shows its end. A failed stop is retried.
func (o *Owner) stop(ctx context.Context, stop scheduler.Stop) {
	request := infra.StopRequest{
		Authority:  o.authority(),
		Worker:     stop.Worker,
		Task:       infra.TaskRef{Job: stop.Task.Job, Index: stop.Task.Index, Attempt: stop.Attempt},
		Grace:      stopGrace,
		Checkpoint: stop.Checkpoint,
	}
	err := o.options.Right.Check()
	if err == nil && stop.Checkpoint {
		err = o.options.Workers.Checkpoint(ctx, request)
	}
	if err == nil {
		err = o.options.Workers.Stop(ctx, request)
	}
	o.options.Metrics.stop(o.shard, string(stop.Reason), err)
	o.mu.Lock()
	defer o.mu.Unlock()
	if err == nil {
		if w := o.workers[stop.Worker]; w != nil {
			w.due = o.options.Clock.Now()
		}
		return
	}
	if o.placement(request.Task, stop.Worker) != nil {
		o.stops = append(o.stops, stop)
	}
}

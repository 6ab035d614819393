package owner

import (
	"context"
	"errors"
	"time"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/scheduler"
	"siskinstack.example/siskinstack/sharding"
)

const (
	// renewCheckInterval is the time between two checks for workers whose renewal is due.
	renewCheckInterval = 50 * time.Millisecond
	// minRenewInterval and maxRenewInterval bound the time between two renewals of a worker.
	minRenewInterval = 500 * time.Millisecond
	maxRenewInterval = 5 * time.Second
	// renewSpacing times the number of workers is the renewal interval within these bounds: at most 200 renewals a second
	// for up to 1000 workers.
	renewSpacing = 5 * time.Millisecond
	// suspectAfter is the number of consecutive failed renewals after which a worker gets no new tasks and its leases
	// are no longer extended, so that the time of their end is known.
	suspectAfter = 3
)

// workerState is the owner's view of a worker.
type workerState struct {
	name        string
	vm          infra.VM
	listed      bool
	inScheduler bool
	placed      map[scheduler.TaskID]*placement
	// acked are ended attempts that are durable and that the worker may forget.
	acked []infra.TaskRef
	// lastExtended is when a call that may have extended a lease was last sent.
	lastExtended time.Time
	failures     int
	due          time.Time
	renewing     bool
	loggingEnds  bool
}

// worker returns the state of a worker and creates it if needed. The caller holds mu.
func (o *Owner) worker(name string) *workerState {
	w, ok := o.workers[name]
	if !ok {
		w = &workerState{name: name, placed: map[scheduler.TaskID]*placement{}, lastExtended: o.origin}
		o.workers[name] = w
	}
	return w
}

func (w *workerState) suspect() bool { return w.failures >= suspectAfter }

// refreshWorkers updates the workers from the platform's VM list. The caller holds mu.
func (o *Owner) refreshWorkers(vms []infra.VM) {
	for _, w := range o.workers {
		w.listed = false
	}
	shards := o.shardsOfZone()
	for _, vm := range vms {
		if vm.Role != infra.RoleWorker || vm.Zone != o.options.Zone {
			continue
		}
		if sharding.OfWorker(vm.Name, vm.Zone, shards) != o.shard {
			continue
		}
		w := o.worker(vm.Name)
		w.listed = true
		w.vm = vm
		o.setWorker(w)
	}
	for name, w := range o.workers {
		if w.listed {
			continue
		}
		if w.inScheduler {
			o.setWorker(w)
		}
		if len(w.placed) == 0 && !o.mayHoldTasks(name) {
			o.dropWorker(w)
		}
	}
}

func (o *Owner) shardsOfZone() int {
	n := 0
	for _, shard := range o.options.Config.Shards() {
		if shard.Zone == o.options.Zone {
			n++
		}
	}
	return n
}

// setWorker adds a worker to the scheduler or updates it there. The caller holds mu.
func (o *Owner) setWorker(w *workerState) {
	w.inScheduler = true
	o.cell.SetWorker(scheduler.Worker{
		Name: w.name, Zone: o.options.Zone, Rack: w.vm.Rack, Capacity: w.vm.Capacity,
		Leaving: w.vm.Leaving || !w.listed || w.suspect(),
	})
}

// mayHoldTasks reports whether a worker may hold tasks of the previous owner that it has not reported to this one. The
// caller holds mu.
func (o *Owner) mayHoldTasks(name string) bool {
	return o.recovery != nil && o.recovery.unreported[name]
}

// dropWorker removes a worker that is no longer listed and holds no tasks from the scheduler. Its state is deleted once
// every lease that it may have has ended. The caller holds mu.
func (o *Owner) dropWorker(w *workerState) {
	if w.inScheduler {
		o.cell.RemoveWorker(w.name)
		w.inScheduler = false
	}
	if o.options.Clock.Now().Before(w.lastExtended.Add(TaskLease + leaseMargin)) {
		return
	}
	delete(o.workers, w.name)
	if !o.state.workers[w.name] {
		return
	}
	record := &siskinv1.Record{Change: &siskinv1.Record_WorkerUnused{WorkerUnused: &siskinv1.WorkerUnused{Worker: w.name}}}
	o.background(func(ctx context.Context) { _ = o.append(ctx, record) })
}

// renewDue renews the workers whose renewal is due. It expires suspect workers whose leases are known to have ended.
func (o *Owner) renewDue(ctx context.Context) {
	o.mu.Lock()
	now := o.options.Clock.Now()
	var requests []infra.RenewRequest
	var lost []*placement
	for _, w := range o.workers {
		if w.suspect() && now.After(w.lastExtended.Add(TaskLease+leaseMargin)) {
			lost = append(lost, o.expireWorker(w)...)
		}
		if w.renewing || now.Before(w.due) {
			continue
		}
		w.renewing = true
		requests = append(requests, o.renewRequest(w, now))
	}
	o.expireRecovery(now)
	o.mu.Unlock()
	if len(lost) > 0 {
		o.background(func(ctx context.Context) { o.logUnknown(ctx, lost) })
	}
	for _, request := range requests {
		o.call(ctx, func(ctx context.Context) { o.renew(ctx, request) })
	}
}

// renewRequest prepares a renewal; suspect workers are only asked for a report. The caller holds mu.
func (o *Owner) renewRequest(w *workerState, now time.Time) infra.RenewRequest {
	request := infra.RenewRequest{
		Authority: o.authority(), Worker: w.name, Acknowledged: append([]infra.TaskRef(nil), w.acked...),
	}
	if !w.suspect() {
		request.Lease = TaskLease
	}
	w.due = now.Add(o.renewInterval(w))
	return request
}

func (o *Owner) renewInterval(w *workerState) time.Duration {
	if len(w.placed) == 0 && !o.mayHoldTasks(w.name) {
		return maxRenewInterval
	}
	return min(max(time.Duration(len(o.workers))*renewSpacing, minRenewInterval), maxRenewInterval)
}

func (o *Owner) renew(ctx context.Context, request infra.RenewRequest) {
	sent := o.options.Clock.Now()
	err := o.options.Right.Check()
	if err != nil {
		o.renewEnded(request, nil, err)
		return
	}
	if request.Lease > 0 {
		o.noteExtended(request.Worker, sent)
	}
	report, err := o.options.Workers.Renew(ctx, request)
	if errors.Is(err, infra.ErrStaleEpoch) {
		o.fence()
	}
	o.renewEnded(request, &report, err)
	if err == nil {
		o.processReport(ctx, report, sent)
	}
}

func (o *Owner) noteExtended(worker string, sent time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	w := o.worker(worker)
	if sent.After(w.lastExtended) {
		w.lastExtended = sent
	}
}

// renewEnded updates the health of a worker after a renewal.
func (o *Owner) renewEnded(request infra.RenewRequest, report *infra.WorkerReport, err error) {
	o.options.Metrics.renewal(o.shard, err)
	o.mu.Lock()
	defer o.mu.Unlock()
	w := o.worker(request.Worker)
	w.renewing = false
	wasSuspect := w.suspect()
	if err != nil {
		w.failures++
		w.due = o.options.Clock.Now().Add(minRenewInterval)
	} else {
		w.failures = 0
		w.acked = w.acked[min(len(request.Acknowledged), len(w.acked)):]
		if !w.inScheduler {
			w.vm.Capacity = report.Capacity
			o.setWorker(w)
		}
	}
	if w.suspect() != wasSuspect {
		o.options.Logger.Info("worker changed state", "shard", o.shard, "worker", w.name, "suspect", w.suspect())
		if w.inScheduler {
			o.setWorker(w)
		}
	}
}

// expireWorker ends all placements on a worker whose leases are known to have ended, and returns those of tasks that
// run at most once. The caller holds mu.
func (o *Owner) expireWorker(w *workerState) []*placement {
	var unknown []*placement
	for _, p := range w.placed {
		outcome := scheduler.Lost
		if p.atMostOnce {
			outcome = scheduler.Unknown
			unknown = append(unknown, p)
		}
		o.finishAttempt(p.ref, outcome)
	}
	o.markWorkerRecovered(w.name)
	return unknown
}

// logUnknown makes the unknown outcome of tasks durable. If the append fails, the next owner derives the same outcome
// from the durable claims.
func (o *Owner) logUnknown(ctx context.Context, placements []*placement) {
	records := make([]*siskinv1.Record, len(placements))
	for i, p := range placements {
		records[i] = endedRecord(p.ref.Job, p.ref.Index, p.ref.Attempt, siskinv1.TaskState_TASK_STATE_UNKNOWN,
			"worker was lost while the task may have run")
	}
	_ = o.append(ctx, records...)
}

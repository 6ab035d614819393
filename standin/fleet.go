package standin

import (
	"context"
	"fmt"
	"sync"
	"time"

	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/resource"
)

// maxViolations bounds the rule violations that a fleet records.
const maxViolations = 20

// Fleet simulates workers that run each task for RunFor. A worker rejects epochs below the highest that it has seen,
// ends all runs when its lease expires, and keeps ended runs until they are acknowledged. The fleet records orders that
// violate a rule.
type Fleet struct {
	// RunFor is the duration of a task.
	RunFor time.Duration
	// RunForTask returns the duration of a task if it is not nil; 0 means RunFor.
	RunForTask func(task string) time.Duration
	// LeaseMax caps the duration of leases; 0 sets no limit.
	LeaseMax time.Duration
	// DeclaredResources returns the resources that a task declared; nil if the capacity of workers is not checked.
	DeclaredResources func(task string) resource.Vector

	mu           sync.Mutex // guards all fields below
	workers      map[string]*fleetWorker
	starts       map[string]int
	unresponsive map[string]bool
	failing      map[string]bool
	// done is the set of tasks whose success was acknowledged.
	done       map[string]bool
	faults     fleetFaults
	violations []string
}

type fleetWorker struct {
	epoch       int64
	startedAt   time.Time
	incarnation int64
	// lease is when all runs end unless it is renewed.
	lease     time.Time
	active    map[runKey]fleetRun
	latestRun map[string]int32 // latest run of each task that has ended or was stopped
	ended     []infra.EndedRun
	number    int64 // number of the last run that ended
	// expiredUpTo is the number of the last run that had ended when the lease was last found expired. An acknowledgement
	// of a success up to it does not count, so the task may be started again.
	expiredUpTo int64
	// vanished is true if the incarnation ended without closing its connections.
	vanished bool
}

// runKey identifies a run on a worker. A worker starts a run also while another one of the same task is active.
type runKey struct {
	task string
	run  int32
}

type fleetRun struct {
	infra.ActiveRun
	startedAt, finishAt time.Time
}

// NewFleet returns a fleet whose tasks run for runFor.
func NewFleet(runFor time.Duration) *Fleet {
	return &Fleet{
		RunFor: runFor, workers: map[string]*fleetWorker{}, starts: map[string]int{}, unresponsive: map[string]bool{},
		failing: map[string]bool{}, done: map[string]bool{}, faults: newFleetFaults(),
	}
}

// SetUnresponsive makes a worker stop responding, or respond again.
func (f *Fleet) SetUnresponsive(worker string, unresponsive bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unresponsive[worker] = unresponsive
}

// SetFailing makes all tasks on a worker fail, or succeed again.
func (f *Fleet) SetFailing(worker string, failing bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failing[worker] = failing
}

// Restart replaces a worker by a new incarnation without state. It returns that incarnation.
func (f *Fleet) Restart(id string) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	incarnation := f.worker(id).incarnation + 1
	delete(f.faults.down, id)
	delete(f.faults.silent, id)
	f.workers[id] = newFleetWorker(incarnation)
	return incarnation
}

// Starts returns how often each task was started.
func (f *Fleet) Starts() map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	starts := map[string]int{}
	for task, n := range f.starts {
		starts[task] = n
	}
	return starts
}

// Done reports whether the success of a task was acknowledged.
func (f *Fleet) Done(task string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.done[task]
}

// Violations returns the recorded orders that violated a rule.
func (f *Fleet) Violations() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.violations...)
}

func (f *Fleet) recordViolation(format string, args ...any) {
	if len(f.violations) < maxViolations {
		f.violations = append(f.violations, fmt.Sprintf(format, args...))
	}
}

func newFleetWorker(incarnation int64) *fleetWorker {
	return &fleetWorker{
		startedAt: time.Now(), incarnation: incarnation, active: map[runKey]fleetRun{}, latestRun: map[string]int32{},
	}
}

// worker returns a worker after ending its runs that are due. The caller holds mu.
func (f *Fleet) worker(id string) *fleetWorker {
	w := f.workers[id]
	if w == nil {
		w = newFleetWorker(1)
		f.workers[id] = w
	}
	now := time.Now()
	for key, run := range w.active {
		switch {
		case !run.finishAt.After(now) && run.finishAt.Before(w.lease):
			outcome := infra.OutcomeSucceeded
			if f.failing[id] {
				outcome = infra.OutcomeFailed
			}
			w.endRun(key, outcome)
		case !w.lease.After(now):
			w.endRun(key, infra.OutcomeExpired)
		}
	}
	if !w.lease.After(now) {
		w.expiredUpTo = w.number
	}
	return w
}

func (w *fleetWorker) endRun(key runKey, outcome infra.Outcome) {
	delete(w.active, key)
	w.number++
	w.latestRun[key.task] = max(w.latestRun[key.task], key.run)
	w.ended = append(w.ended, infra.EndedRun{Number: w.number, Task: key.task, Run: key.run, Outcome: outcome})
}

// runsOf returns the active runs of a task.
func (w *fleetWorker) runsOf(task string) []runKey {
	var runs []runKey
	for key := range w.active {
		if key.task == task {
			runs = append(runs, key)
		}
	}
	return runs
}

// acceptEpoch raises a worker's epoch to that of an order, or returns ErrFenced if the order's epoch is lower. If the
// worker is unresponsive, it releases mu and waits for the end of ctx, if it has vanished, for its next incarnation, which takes
// the order. The caller holds mu.
func (f *Fleet) acceptEpoch(ctx context.Context, id string, epoch int64) (*fleetWorker, error) {
	if f.unresponsive[id] {
		return nil, f.hang(ctx)
	}
	if err := f.awaitReturn(ctx, id); err != nil {
		return nil, err
	}
	if f.faults.down[id] {
		return nil, errNoResponse
	}
	w := f.worker(id)
	if epoch < w.epoch {
		return nil, infra.ErrFenced
	}
	w.epoch = epoch
	return w, nil
}

func (w *fleetWorker) clockMs() int64 { return time.Since(w.startedAt).Milliseconds() + 1 }

// extend moves the end of the lease to endMs on the worker's clock, capped by LeaseMax. It never shortens the lease.
func (f *Fleet) extend(w *fleetWorker, endMs int64) {
	until := w.startedAt.Add(time.Duration(endMs-1) * time.Millisecond)
	if longest := time.Now().Add(f.LeaseMax); f.LeaseMax > 0 && until.After(longest) {
		until = longest
	}
	if until.After(w.lease) {
		w.lease = until
	}
}

// Start implements infra.Fleet.
func (f *Fleet) Start(ctx context.Context, worker infra.FleetWorker, order infra.StartOrder) (int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w, err := f.acceptEpoch(ctx, worker.ID, order.Epoch)
	if err != nil {
		return 0, err
	}
	key := runKey{order.Task, order.Run}
	if _, runs := w.active[key]; runs {
		return w.clockMs(), nil
	}
	if order.Run <= w.latestRun[order.Task] {
		return w.clockMs(), infra.ErrStaleRun
	}
	if order.LeaseUntilMs <= w.clockMs() {
		return w.clockMs(), infra.ErrOrderLeaseExpired
	}
	f.extend(w, order.LeaseUntilMs)
	f.checkStart(worker, w, order)
	f.starts[order.Task]++
	now := time.Now()
	w.active[key] = fleetRun{
		ActiveRun: infra.ActiveRun{Task: order.Task, Run: order.Run}, startedAt: now, finishAt: now.Add(f.runFor(order.Task)),
	}
	f.crashOnStart(worker.ID, order.Task, w.incarnation)
	return w.clockMs(), nil
}

// runFor returns the duration of a task.
func (f *Fleet) runFor(task string) time.Duration {
	if f.RunForTask != nil {
		if d := f.RunForTask(task); d > 0 {
			return d
		}
	}
	return f.RunFor
}

// checkStart records a start that violates a rule. The caller holds mu.
func (f *Fleet) checkStart(worker infra.FleetWorker, w *fleetWorker, order infra.StartOrder) {
	if f.done[order.Task] {
		f.recordViolation("%s starts on %s after its success was acknowledged", order.Task, worker.ID)
	}
	for id := range f.workers {
		for _, other := range f.worker(id).runsOf(order.Task) {
			f.recordViolation("%s starts on %s as run %d while run %d is on %s", order.Task, worker.ID, order.Run, other.run, id)
		}
	}
	if f.DeclaredResources == nil {
		return
	}
	used := f.DeclaredResources(order.Task)
	for key := range w.active {
		used = used.Add(f.DeclaredResources(key.task))
	}
	if !used.Fits(f.capacityOf(worker.ID, worker.Capacity)) {
		f.recordViolation("%s does not fit on %s", order.Task, worker.ID)
	}
}

// Stop implements infra.Fleet.
func (f *Fleet) Stop(ctx context.Context, worker infra.FleetWorker, order infra.StopOrder) (int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w, err := f.acceptEpoch(ctx, worker.ID, order.Epoch)
	if err != nil {
		return 0, err
	}
	for _, key := range w.runsOf(order.Task) {
		if key.run <= order.Run {
			w.endRun(key, infra.OutcomeStopped)
		}
	}
	w.latestRun[order.Task] = max(w.latestRun[order.Task], order.Run)
	return w.clockMs(), nil
}

// fleetPollInterval is how often a waiting renewal checks for ended runs.
const fleetPollInterval = 5 * time.Millisecond

// Renew implements infra.Fleet.
func (f *Fleet) Renew(ctx context.Context, worker infra.FleetWorker, order infra.RenewOrder) (infra.RunReport, error) {
	end := time.Now().Add(order.Wait)
	taker, err := f.takerOf(ctx, worker.ID)
	if err != nil {
		return infra.RunReport{}, err
	}
	for {
		report, err := f.renewOnce(ctx, worker.ID, taker, order)
		if err != nil || len(report.Ended) > 0 || !time.Now().Before(end) {
			return report, err
		}
		select {
		case <-time.After(fleetPollInterval):
		case <-ctx.Done():
			return infra.RunReport{}, ctx.Err()
		}
	}
}

// renewOnce executes a renewal that an incarnation of a worker has taken. It fails if that has ended since, because the
// connections of a process end with it, and hangs if it has vanished.
func (f *Fleet) renewOnce(
	ctx context.Context, id string, taker *fleetWorker, order infra.RenewOrder,
) (infra.RunReport, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.worker(id) != taker {
		if taker.vanished {
			return infra.RunReport{}, f.hang(ctx)
		}
		return infra.RunReport{}, errNoResponse
	}
	w, err := f.acceptEpoch(ctx, id, order.Epoch)
	if err != nil {
		return infra.RunReport{}, err
	}
	if order.LeaseUntilMs > 0 {
		f.extend(w, order.LeaseUntilMs)
	}
	kept := w.ended[:0]
	for _, ended := range w.ended {
		switch {
		case ended.Number > order.Acknowledged:
			kept = append(kept, ended)
		case ended.Outcome == infra.OutcomeSucceeded && ended.Number > w.expiredUpTo:
			f.done[ended.Task] = true
		}
	}
	w.ended = kept
	report := infra.RunReport{
		Incarnation: w.incarnation, ClockMs: w.clockMs(), Ended: append([]infra.EndedRun(nil), w.ended...),
	}
	for _, run := range w.active {
		const complete = 100
		run.Percent = int32(min(complete-1, complete*time.Since(run.startedAt)/max(1, f.runFor(run.Task))))
		report.Active = append(report.Active, run.ActiveRun)
	}
	return report, nil
}

// Active returns the task of each active run on any worker.
func (f *Fleet) Active() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var tasks []string
	for id := range f.workers {
		for key := range f.worker(id).active {
			tasks = append(tasks, key.task)
		}
	}
	return tasks
}

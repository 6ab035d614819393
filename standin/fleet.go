package standin

import (
	"context"
	"fmt"
	"sync"
	"time"

	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/resource"
)

// maxViolations bounds what a fleet keeps about broken rules.
const maxViolations = 20

// Fleet is a set of workers in memory that run each task for a while. A worker follows the highest epoch, ends all runs
// when its lease passes, and keeps ends until they are acknowledged. The fleet notes orders that break a rule.
type Fleet struct {
	// RunFor is how long a task takes.
	RunFor time.Duration
	// LeaseMax shortens longer leases; 0 leaves them as asked for.
	LeaseMax time.Duration
	// DeclaredResources returns what a task declared; nil if rooms are not checked.
	DeclaredResources func(task string) resource.Vector

	mu      sync.Mutex // guards all fields below
	workers map[string]*fleetWorker
	starts  map[string]int
	silent  map[string]bool
	failing map[string]bool
	// done are the tasks whose success was acknowledged.
	done       map[string]bool
	violations []string
}

type fleetWorker struct {
	epoch       int64
	born        time.Time
	incarnation int64
	// lease is when all runs end unless it is renewed.
	lease  time.Time
	active map[string]fleetRun
	newest map[string]int32
	ended  []infra.EndedRun
	number int64
	// lapsed is the number of the last end before a lease passed; such ends bind nobody any more.
	lapsed int64
}

type fleetRun struct {
	infra.ActiveRun
	began, until time.Time
}

// NewFleet returns a fleet whose tasks take a time.
func NewFleet(runFor time.Duration) *Fleet {
	return &Fleet{
		RunFor: runFor, workers: map[string]*fleetWorker{}, starts: map[string]int{}, silent: map[string]bool{},
		failing: map[string]bool{}, done: map[string]bool{},
	}
}

// SetUnresponsive makes a worker stop answering, or answer again.
func (f *Fleet) SetUnresponsive(worker string, silent bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silent[worker] = silent
}

// SetFailing makes all tasks on a worker fail, or succeed again.
func (f *Fleet) SetFailing(worker string, failing bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failing[worker] = failing
}

// Restart gives a worker a new incarnation that knows nothing. It returns that incarnation.
func (f *Fleet) Restart(id string) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	incarnation := f.worker(id).incarnation + 1
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

// Violations returns the orders that broke a rule.
func (f *Fleet) Violations() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.violations...)
}

func (f *Fleet) violated(format string, args ...any) {
	if len(f.violations) < maxViolations {
		f.violations = append(f.violations, fmt.Sprintf(format, args...))
	}
}

func newFleetWorker(incarnation int64) *fleetWorker {
	return &fleetWorker{
		born: time.Now(), incarnation: incarnation, active: map[string]fleetRun{}, newest: map[string]int32{},
	}
}

// worker returns a worker with its ends brought up to date. The caller holds mu.
func (f *Fleet) worker(id string) *fleetWorker {
	w := f.workers[id]
	if w == nil {
		w = newFleetWorker(1)
		f.workers[id] = w
	}
	now := time.Now()
	for task, run := range w.active {
		switch {
		case !run.until.After(now) && run.until.Before(w.lease):
			outcome := infra.OutcomeSucceeded
			if f.failing[id] {
				outcome = infra.OutcomeFailed
			}
			w.finish(task, outcome)
		case !w.lease.After(now):
			w.finish(task, infra.OutcomeExpired)
		}
	}
	if !w.lease.After(now) {
		w.lapsed = w.number
	}
	return w
}

func (w *fleetWorker) finish(task string, outcome infra.Outcome) {
	run := w.active[task]
	delete(w.active, task)
	w.number++
	w.newest[task] = max(w.newest[task], run.Run)
	w.ended = append(w.ended, infra.EndedRun{Number: w.number, Task: task, Run: run.Run, Outcome: outcome})
}

// follow takes an epoch over. The caller holds mu.
func (f *Fleet) follow(ctx context.Context, id string, epoch int64) (*fleetWorker, error) {
	if f.silent[id] {
		f.mu.Unlock()
		<-ctx.Done()
		f.mu.Lock()
		return nil, ctx.Err()
	}
	w := f.worker(id)
	if epoch < w.epoch {
		return nil, infra.ErrFenced
	}
	w.epoch = epoch
	return w, nil
}

func (w *fleetWorker) clockMs() int64 { return time.Since(w.born).Milliseconds() + 1 }

// extend moves the end of the lease, given on the worker's clock. It never shortens it.
func (f *Fleet) extend(w *fleetWorker, endMs int64) {
	until := w.born.Add(time.Duration(endMs-1) * time.Millisecond)
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
	w, err := f.follow(ctx, worker.ID, order.Epoch)
	if err != nil {
		return 0, err
	}
	if run, runs := w.active[order.Task]; runs && run.Run == order.Run {
		return w.clockMs(), nil
	}
	if order.Run <= w.newest[order.Task] {
		return w.clockMs(), infra.ErrStaleRun
	}
	if order.LeaseUntilMs <= w.clockMs() {
		return w.clockMs(), infra.ErrOrderLeaseExpired
	}
	f.extend(w, order.LeaseUntilMs)
	f.checkStart(worker, w, order)
	f.starts[order.Task]++
	now := time.Now()
	w.active[order.Task] = fleetRun{
		ActiveRun: infra.ActiveRun{Task: order.Task, Run: order.Run}, began: now, until: now.Add(f.RunFor),
	}
	return w.clockMs(), nil
}

// checkStart notes a start that breaks a rule. The caller holds mu.
func (f *Fleet) checkStart(worker infra.FleetWorker, w *fleetWorker, order infra.StartOrder) {
	if f.done[order.Task] {
		f.violated("%s starts on %s after its success was acknowledged", order.Task, worker.ID)
	}
	for id := range f.workers {
		if other := f.worker(id); other != w {
			if run, runs := other.active[order.Task]; runs {
				f.violated("%s starts on %s as run %d while run %d is on %s", order.Task, worker.ID, order.Run, run.Run, id)
			}
		}
	}
	if f.DeclaredResources == nil {
		return
	}
	used := f.DeclaredResources(order.Task)
	for task := range w.active {
		used = used.Add(f.DeclaredResources(task))
	}
	if !used.Fits(worker.Capacity) {
		f.violated("%s does not fit on %s", order.Task, worker.ID)
	}
}

// Stop implements infra.Fleet.
func (f *Fleet) Stop(ctx context.Context, worker infra.FleetWorker, order infra.StopOrder) (int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w, err := f.follow(ctx, worker.ID, order.Epoch)
	if err != nil {
		return 0, err
	}
	if _, runs := w.active[order.Task]; runs {
		w.finish(order.Task, infra.OutcomeStopped)
	}
	w.newest[order.Task] = max(w.newest[order.Task], order.Run)
	return w.clockMs(), nil
}

// fleetPoll is how often a waiting renewal looks for ends.
const fleetPoll = 5 * time.Millisecond

// Renew implements infra.Fleet.
func (f *Fleet) Renew(ctx context.Context, worker infra.FleetWorker, order infra.RenewOrder) (infra.RunReport, error) {
	end := time.Now().Add(order.Wait)
	began := f.incarnation(worker.ID)
	for {
		report, err := f.renewOnce(ctx, worker.ID, began, order)
		if err != nil || len(report.Ended) > 0 || !time.Now().Before(end) {
			return report, err
		}
		select {
		case <-time.After(fleetPoll):
		case <-ctx.Done():
			return infra.RunReport{}, ctx.Err()
		}
	}
}

func (f *Fleet) incarnation(id string) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.worker(id).incarnation
}

// renewOnce carries a renewal out that began at an incarnation of a worker. When that process is gone, its connections
// are, too.
func (f *Fleet) renewOnce(
	ctx context.Context, id string, incarnation int64, order infra.RenewOrder,
) (infra.RunReport, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.worker(id).incarnation != incarnation {
		return infra.RunReport{}, errNoAnswer
	}
	w, err := f.follow(ctx, id, order.Epoch)
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
		case ended.Outcome == infra.OutcomeSucceeded && ended.Number > w.lapsed:
			f.done[ended.Task] = true
		}
	}
	w.ended = kept
	report := infra.RunReport{
		Incarnation: w.incarnation, ClockMs: w.clockMs(), Ended: append([]infra.EndedRun(nil), w.ended...),
	}
	for _, run := range w.active {
		const whole = 100
		run.Percent = int32(min(whole-1, whole*time.Since(run.began)/max(1, f.RunFor)))
		report.Active = append(report.Active, run.ActiveRun)
	}
	return report, nil
}

// Active returns the tasks that run on any worker now.
func (f *Fleet) Active() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var tasks []string
	for id := range f.workers {
		for task := range f.worker(id).active {
			tasks = append(tasks, task)
		}
	}
	return tasks
}

package standin

import (
	"context"
	"time"

	"siskinstack.example/siskinstack/resource"
)

const (
	// crashDelay is the time from the start of a task that crashes its worker to the crash.
	crashDelay = 10 * time.Millisecond
	// A task may be started maxStartsAfterCrashes times after budgetCrashes workers have crashed under it.
	budgetCrashes, maxStartsAfterCrashes = 3, 2
	// capacityGrace is how long starts may rely on the capacity that a worker had before it shrank.
	capacityGrace = 4500 * time.Millisecond
)

// fleetFaults are the workers that are down, the tasks that crash workers, and the workers with another capacity.
type fleetFaults struct {
	// crashes reports whether a task crashes each worker that starts it; onCrash is called without locks after a crash.
	crashes func(task string) bool
	onCrash func(worker string)
	down    map[string]bool
	// silent are the workers that are down and have closed no connection.
	silent map[string]bool
	// crashed counts the workers that crashed under each task, startsAfter the starts after budgetCrashes of them.
	crashed, startsAfter map[string]int
	capacities           map[string]capacityChange
}

// capacityChange is a changed capacity with the one before, which counts until a time.
type capacityChange struct {
	now, before resource.Vector
	until       time.Time
}

func newFleetFaults() fleetFaults {
	return fleetFaults{
		down: map[string]bool{}, silent: map[string]bool{}, crashed: map[string]int{}, startsAfter: map[string]int{}, capacities: map[string]capacityChange{},
	}
}

// SetCrashing sets which tasks crash each worker that starts them, and what is called after a crash. A crashed worker is
// down until Restart.
func (f *Fleet) SetCrashing(crashes func(task string) bool, onCrash func(worker string)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults.crashes, f.faults.onCrash = crashes, onCrash
}

// IsDown reports whether a worker has crashed and not been restarted.
func (f *Fleet) IsDown(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults.down[id]
}

// SetCapacity changes the capacity of a worker.
func (f *Fleet) SetCapacity(id string, before, now resource.Vector) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults.capacities[id] = capacityChange{now: now, before: before, until: time.Now().Add(capacityGrace)}
}

// capacityOf returns the largest capacity of a worker on which a start may rely. The caller holds mu.
func (f *Fleet) capacityOf(id string, published resource.Vector) resource.Vector {
	change, ok := f.faults.capacities[id]
	switch {
	case !ok:
		return published
	case time.Now().Before(change.until):
		return change.now.Max(change.before)
	default:
		return change.now
	}
}

// crashOnStart makes a worker crash shortly after the start of a task that crashes its workers, and records a start
// beyond the budget. The caller holds mu.
func (f *Fleet) crashOnStart(id, task string, incarnation int64) {
	if f.faults.crashes == nil || !f.faults.crashes(task) {
		return
	}
	if f.faults.crashed[task] >= budgetCrashes {
		f.faults.startsAfter[task]++
		if f.faults.startsAfter[task] > maxStartsAfterCrashes {
			f.recordViolation("%s was started %d times after %d workers had crashed under it", task, f.faults.startsAfter[task], budgetCrashes)
		}
	}
	time.AfterFunc(crashDelay, func() { f.crash(id, task, incarnation) })
}

// crash ends a worker with all its runs, unless it has been restarted since.
func (f *Fleet) crash(id, task string, incarnation int64) {
	f.mu.Lock()
	w := f.worker(id)
	if w.incarnation != incarnation || f.faults.down[id] || len(w.runsOf(task)) == 0 {
		f.mu.Unlock()
		return
	}
	f.faults.crashed[task]++
	f.faults.down[id] = true
	f.workers[id] = newFleetWorker(incarnation)
	onCrash := f.faults.onCrash
	f.mu.Unlock()
	if onCrash != nil {
		onCrash(id)
	}
}

// Vanish ends a worker with all its runs as a loss of power does: until Restart it is down, and what it had taken is never
// answered. Orders that are sent meanwhile are taken by its next incarnation.
func (f *Fleet) Vanish(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.worker(id)
	w.vanished = true
	f.faults.down[id], f.faults.silent[id] = true, true
	f.workers[id] = newFleetWorker(w.incarnation)
}

// hang leaves a request without an answer until its caller gives it up. The caller holds mu.
func (f *Fleet) hang(ctx context.Context) error {
	f.mu.Unlock()
	defer f.mu.Lock()
	<-ctx.Done()
	return ctx.Err()
}

// awaitReturn waits while a worker that has vanished is down. The caller holds mu.
func (f *Fleet) awaitReturn(ctx context.Context, id string) error {
	for f.faults.silent[id] {
		f.mu.Unlock()
		select {
		case <-time.After(fleetPollInterval):
		case <-ctx.Done():
		}
		f.mu.Lock()
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	return nil
}

// takerOf returns the incarnation of a worker that takes a request.
func (f *Fleet) takerOf(ctx context.Context, id string) (*fleetWorker, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.awaitReturn(ctx, id); err != nil {
		return nil, err
	}
	return f.worker(id), nil
}

package controller

import (
	"context"
	"time"

	"siskinstack.example/siskinstack/dispatch"
	"siskinstack.example/siskinstack/infra"
)

const (
	// machinesMinInterval is the least time between two listings of the machines. The platform bounds the calls of all VMs
	// together, and each is priced.
	machinesMinInterval = 50 * time.Millisecond
	// machinesRest is the least time between two listings as a multiple of the duration of the last one, which grows with
	// the number of pages and when the service is slow.
	machinesRest = 2
	// machinesMaxInterval is the longest time between two listings while workers that do not answer have tasks.
	machinesMaxInterval = time.Second
	// newWorkersDelay is the time after which a new worker is looked up, so that one listing serves several.
	newWorkersDelay = time.Second
)

// machineWatch finds out from listings of the platform's machines which workers have ended. A worker that has only lost
// its connections is still listed.
type machineWatch struct {
	// machines are the machines on which workers were listed.
	machines map[string]string
	// missed are the workers without a known machine that the last listing did not contain.
	missed map[string]bool
}

func newMachineWatch() *machineWatch {
	return &machineWatch{machines: map[string]string{}, missed: map[string]bool{}}
}

// observe applies a listing that was requested after the given workers were known. It returns those that have ended and
// those that are running. A worker has ended if the machine on which it was listed runs it no longer. One that was never
// listed has ended if two listings of its service's machines in turn do not contain it.
func (m *machineWatch) observe(listing []infra.Machine, workers map[string]infra.FleetWorker) (ended, running []string) {
	runningOn, workerOf, pools := map[string]string{}, map[string]string{}, map[string]bool{}
	for _, machine := range listing {
		pools[machine.Pool] = true
		workerOf[machine.Name] = ""
		if machine.Up && machine.Worker != "" {
			workerOf[machine.Name], runningOn[machine.Worker] = machine.Worker, machine.Name
		}
	}
	missed := map[string]bool{}
	for id, info := range workers {
		if name, ok := runningOn[id]; ok {
			m.machines[id] = name
			running = append(running, id)
			continue
		}
		machine, known := m.machines[id]
		_, listed := workerOf[machine]
		switch {
		case known && listed, !known && m.missed[id]:
			ended = append(ended, id)
		case !known && pools[info.Service]:
			missed[id] = true
		}
	}
	m.missed = missed
	for id := range m.machines {
		if _, ok := workers[id]; !ok {
			delete(m.machines, id)
		}
	}
	return ended, running
}

// followMachines lists the platform's machines when workers stop answering, so that the tasks of those that have ended
// start elsewhere without waiting for the leases.
func (t *term) followMachines(ctx context.Context) {
	watch := newMachineWatch()
	interval := machinesMinInterval
	for ctx.Err() == nil {
		t.awaitMachinesDue(ctx, interval)
		if !t.leadership.Valid() {
			_ = t.Clock.Sleep(ctx, storeRetryDelay)
			continue
		}
		began := t.now()
		workers := t.workersToLookUp()
		listing, err := t.listMachines(ctx)
		waiting := true
		if err != nil {
			t.log.Info("machines not listed", "reason", err.Error())
		} else {
			waiting = t.applyMachines(watch, listing, workers, began)
		}
		interval = nextMachinesInterval(interval, waiting)
		_ = t.Clock.Sleep(ctx, max(machinesMinInterval, machinesRest*t.now().Sub(began)))
	}
}

// nextMachinesInterval returns the time until the next listing without a further event, or 0 if none is due.
func nextMachinesInterval(interval time.Duration, waiting bool) time.Duration {
	if !waiting {
		return 0
	}
	return min(max(2*interval, machinesMinInterval), machinesMaxInterval)
}

// awaitMachinesDue waits until a worker stops answering, until newWorkersDelay after one is new, or until the interval has
// passed if it is not 0.
func (t *term) awaitMachinesDue(ctx context.Context, interval time.Duration) {
	timer := time.NewTimer(interval)
	defer timer.Stop()
	if interval == 0 {
		timer.Stop()
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-t.workerLost:
			return
		case <-t.workerNew:
			if interval == 0 || interval > newWorkersDelay {
				interval = newWorkersDelay
				timer.Reset(interval)
			}
		}
	}
}

// workersToLookUp returns the workers that are known before a listing is requested.
func (t *term) workersToLookUp() map[string]infra.FleetWorker {
	t.mu.Lock()
	defer t.mu.Unlock()
	workers := make(map[string]infra.FleetWorker, len(t.state.Workers()))
	for id, w := range t.state.Workers() {
		workers[id] = w.Info
	}
	return workers
}

// applyMachines applies a listing that was requested at a time, when the given workers were known. It reports whether workers
// that do not answer still have tasks.
func (t *term) applyMachines(
	watch *machineWatch, listing []infra.Machine, workers map[string]infra.FleetWorker, requested time.Time,
) bool {
	ended, running := watch.observe(listing, workers)
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	for _, id := range running {
		if w := t.state.Worker(id); w != nil {
			t.state.SeenUp(w, now)
		}
	}
	var gone []*dispatch.Worker
	for _, id := range ended {
		if w := t.state.Worker(id); w != nil && w.Info.Incarnation == workers[id].Incarnation {
			gone = append(gone, w)
		}
	}
	if len(gone) > 0 {
		t.state.WorkersEnded(gone, requested, now, unixMs())
		t.triggerPlan()
	}
	return t.state.HasUnreachableTasks()
}

// notify wakes the receiver of a channel with a buffer of one.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

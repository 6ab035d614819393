// Package maintenance decides which machines of a maintenance wave may go down. It does no I/O: the controller makes
// its decisions durable, sends the orders, and passes in the platform's list of machines.
package maintenance

import (
	"slices"
	"time"

	"siskinstack.example/siskinstack/infra"
)

// Wave is an operator's request to maintain machines, a few at a time.
type Wave struct {
	Number   int64
	Machines []string
	// AtOnce is how many of the machines may be down at the same time.
	AtOnce int
	// Within is how long the whole wave may take.
	Within time.Duration
}

// phase is the state of a machine in its wave.
type phase uint8

const (
	// waiting machines are neither being drained nor ordered.
	waiting phase = iota
	// draining machines get no new tasks, so that their workers become empty.
	draining
	// inherited machines may have been ordered by an earlier controller. Until the order is sent again they are drained like
	// others, as tasks may have been started on them since.
	inherited
	// ordered machines have a durable order that the platform may or may not have carried out.
	ordered
	// down machines have an order that the platform confirmed.
	down
	// done machines are up again, do not exist, or do not belong to the wave.
	done
)

// Tracker tracks the progress of one wave.
type Tracker struct {
	Wave Wave
	// minDowntime is the minimum duration of a maintenance. The platform's list may lag and show a machine as up that
	// is going down, so a machine counts as down at least this long.
	minDowntime time.Duration
	phases      map[string]phase
	// workers holds the worker of each machine.
	workers map[string]string
	// since holds when each machine's drain began or, once the platform has confirmed its order, when it did so. That of an
	// inherited machine begins with its first Drain.
	since map[string]time.Time
}

// NewTracker returns a tracker of a wave. The machines in alreadyOrdered may have been ordered by an earlier controller, and
// alreadyDone are those of them that are done.
func NewTracker(wave Wave, minDowntime time.Duration, alreadyOrdered, alreadyDone []string) *Tracker {
	t := &Tracker{
		Wave: wave, minDowntime: minDowntime, phases: map[string]phase{}, workers: map[string]string{},
		since: map[string]time.Time{},
	}
	for _, machine := range wave.Machines {
		t.phases[machine] = waiting
	}
	t.setPhase(alreadyOrdered, inherited)
	t.setPhase(alreadyDone, done)
	return t
}

// setPhase sets the phase of those of the given machines that belong to the wave.
func (t *Tracker) setPhase(machines []string, p phase) {
	for _, machine := range machines {
		if _, known := t.phases[machine]; known {
			t.phases[machine] = p
		}
	}
}

// Observe applies a complete list of the platform's machines.
func (t *Tracker) Observe(now time.Time, machines []infra.Machine) {
	listed := map[string]infra.Machine{}
	for _, m := range machines {
		listed[m.Name] = m
	}
	for name, p := range t.phases {
		m, exists := listed[name]
		switch {
		case !exists:
			t.phases[name] = done
		case p == down && m.Up && now.Sub(t.since[name]) >= t.minDowntime:
			t.phases[name] = done
		case p <= inherited && m.Up:
			t.workers[name] = m.Worker
		case p == inherited:
			// The maintenance has begun, or the machine is down for another reason.
			t.phases[name] = ordered
		}
	}
}

// maxDown returns how many machines may be down at once. A wave without a limit takes one machine at a time.
func (t *Tracker) maxDown() int { return max(t.Wave.AtOnce, 1) }

// Drain starts to drain the next waiting machines, within the limit of machines that may be down, and returns the
// workers of all machines being drained.
func (t *Tracker) Drain(now time.Time) []string {
	allowed := t.maxDown() - t.count(inherited) - t.count(ordered) - t.count(down) - t.count(draining)
	for _, name := range t.inPhase(waiting) {
		if allowed <= 0 {
			break
		}
		if t.workers[name] == "" {
			continue // not up, or not listed yet
		}
		t.phases[name], t.since[name] = draining, now
		allowed--
	}
	var workers []string
	for _, name := range append(t.inPhase(draining), t.inPhase(inherited)...) {
		if _, drained := t.since[name]; !drained {
			t.since[name] = now
		}
		workers = append(workers, t.workers[name])
	}
	return workers
}

// gracePeriodDivisor divides each machine's part of the time of the wave. The result is the grace period of its tasks.
const gracePeriodDivisor = 2

// gracePeriod returns how long after the start of a drain tasks without checkpoints may continue before maintenance ends
// them.
func (t *Tracker) gracePeriod() time.Duration {
	return t.Wave.Within * time.Duration(t.maxDown()) / time.Duration(max(len(t.Wave.Machines), 1)) / gracePeriodDivisor
}

// ReadyToOrder returns the draining machines to order now. isEmpty reports whether a worker is empty; forced is true
// once the grace period of tasks that cannot be moved has passed.
func (t *Tracker) ReadyToOrder(now time.Time, isEmpty func(worker string, forced bool) bool) []string {
	return t.emptied(draining, now, isEmpty)
}

// ResumeOrders lets the orders be sent again that an earlier controller recorded, for the machines whose workers are empty.
func (t *Tracker) ResumeOrders(now time.Time, isEmpty func(worker string, forced bool) bool) {
	for _, name := range t.emptied(inherited, now, isEmpty) {
		t.phases[name] = ordered
	}
}

// emptied returns the machines in a phase whose workers are empty.
func (t *Tracker) emptied(p phase, now time.Time, isEmpty func(worker string, forced bool) bool) []string {
	var names []string
	for _, name := range t.inPhase(p) {
		if isEmpty(t.workers[name], now.Sub(t.since[name]) > t.gracePeriod()) {
			names = append(names, name)
		}
	}
	return names
}

// Ordered records that the order for a machine is durable, so that it may be carried out from now on.
func (t *Tracker) Ordered(machine string) { t.phases[machine] = ordered }

// Unconfirmed returns the machines whose orders are to be sent or sent again.
func (t *Tracker) Unconfirmed() []string { return t.inPhase(ordered) }

// Confirmed records that the platform carries out the order for a machine, or has carried it out before.
func (t *Tracker) Confirmed(now time.Time, machine string) {
	t.phases[machine], t.since[machine] = down, now
}

// Excluded records that a machine does not exist or does not belong to the wave.
func (t *Tracker) Excluded(machine string) { t.phases[machine] = done }

// Finished reports whether all machines are done.
func (t *Tracker) Finished() bool { return t.count(done) == len(t.phases) }

// AllOrdered returns the machines whose maintenance may have been ordered, for the durable record.
func (t *Tracker) AllOrdered() []string {
	var names []string
	for name, p := range t.phases {
		if p >= inherited {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// AllDone returns the machines that are done, for the durable record.
func (t *Tracker) AllDone() []string { return t.inPhase(done) }

// Worker returns the last known worker of a machine before its maintenance, or "".
func (t *Tracker) Worker(machine string) string { return t.workers[machine] }

// ToUncordon returns the workers of machines that are done. Those that still exist may get tasks again.
func (t *Tracker) ToUncordon() []string {
	var workers []string
	for _, name := range t.inPhase(done) {
		if worker := t.workers[name]; worker != "" {
			workers = append(workers, worker)
		}
	}
	return workers
}

func (t *Tracker) count(p phase) int { return len(t.inPhase(p)) }

func (t *Tracker) inPhase(p phase) []string {
	var names []string
	for _, name := range t.Wave.Machines {
		if t.phases[name] == p && !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return names
}

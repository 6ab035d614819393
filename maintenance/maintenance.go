// Package maintenance decides which machines of a maintenance wave may go down. It is a pure core: the controller makes
// its decisions durable, gives the orders, and tells it what the platform says of the machines.
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

// phase is how far a machine is in its wave.
type phase uint8

const (
	// waiting machines are up and not ordered.
	waiting phase = iota
	// emptying machines get no new tasks.
	emptying
	// ordered machines have a durable order that the platform may or may not have carried out.
	ordered
	// down machines have an order that the platform has confirmed.
	down
	// done machines are up again, or do not exist.
	done
)

// Tracker follows one wave.
type Tracker struct {
	Wave Wave
	// downFor is how long a maintenance takes at least. The platform's list may lag, and show a machine as up that is
	// going down.
	downFor time.Duration
	phases  map[string]phase
	// workers are the workers of the machines, and since is when a machine began to be emptied, or was confirmed to go down.
	workers map[string]string
	since   map[string]time.Time
}

// NewTracker returns a tracker of a wave some of whose machines may have been ordered by an earlier controller.
func NewTracker(wave Wave, downFor time.Duration, before []string) *Tracker {
	t := &Tracker{
		Wave: wave, downFor: downFor, phases: map[string]phase{}, workers: map[string]string{}, since: map[string]time.Time{},
	}
	for _, machine := range wave.Machines {
		t.phases[machine] = waiting
	}
	for _, machine := range before {
		if _, known := t.phases[machine]; known {
			t.phases[machine] = ordered
		}
	}
	return t
}

// Observe takes in a complete list of the platform's machines.
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
		case p == down && m.Up && now.Sub(t.since[name]) >= t.downFor:
			t.phases[name] = done
		case p <= emptying && m.Up:
			t.workers[name] = m.Worker
		}
	}
}

// atOnce is how many machines may be down. A wave without a limit takes one machine at a time.
func (t *Tracker) atOnce() int { return max(t.Wave.AtOnce, 1) }

// Drain returns the workers that are to be emptied now: those of the next machines, as many as may go down.
func (t *Tracker) Drain(now time.Time) []string {
	room := t.atOnce() - t.count(ordered) - t.count(down) - t.count(emptying)
	for _, name := range t.in(waiting) {
		if room <= 0 {
			break
		}
		if t.workers[name] == "" {
			continue // not up, or not listed yet
		}
		t.phases[name], t.since[name] = emptying, now
		room--
	}
	var workers []string
	for _, name := range t.in(emptying) {
		workers = append(workers, t.workers[name])
	}
	return workers
}

// patienceShare is the part of a machine's share of the wave's time for which its tasks may finish, as a divisor.
const patienceShare = 2

// patience is how long tasks without a checkpoint may run on before the maintenance ends them.
func (t *Tracker) patience() time.Duration {
	return t.Wave.Within * time.Duration(t.atOnce()) / time.Duration(max(len(t.Wave.Machines), 1)) / patienceShare
}

// ReadyToOrder returns the machines to order now. isEmpty reports whether a worker has been emptied; forced is true when tasks
// that cannot be moved have had their time.
func (t *Tracker) ReadyToOrder(now time.Time, isEmpty func(worker string, forced bool) bool) []string {
	var next []string
	for _, name := range t.in(emptying) {
		if isEmpty(t.workers[name], now.Sub(t.since[name]) > t.patience()) {
			next = append(next, name)
		}
	}
	return next
}

// Ordered notes that an order for a machine is durable and may be carried out from now on.
func (t *Tracker) Ordered(machine string) { t.phases[machine] = ordered }

// Unconfirmed returns the machines whose orders are to be given, or given again.
func (t *Tracker) Unconfirmed() []string { return t.in(ordered) }

// Confirmed notes that the platform carries out the order for a machine, or did so before.
func (t *Tracker) Confirmed(now time.Time, machine string) {
	t.phases[machine], t.since[machine] = down, now
}

// Excluded notes that a machine does not exist or does not belong to the wave.
func (t *Tracker) Excluded(machine string) { t.phases[machine] = done }

// Finished reports whether all machines are through.
func (t *Tracker) Finished() bool { return t.count(done) == len(t.phases) }

// AllOrdered returns the machines whose maintenance may have been ordered, for the durable record.
func (t *Tracker) AllOrdered() []string {
	var names []string
	for name, p := range t.phases {
		if p >= ordered {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Worker returns the worker that a machine had before its maintenance.
func (t *Tracker) Worker(machine string) string { return t.workers[machine] }

// ToUncordon returns the workers of machines that are through, which may get tasks again if they are still there.
func (t *Tracker) ToUncordon() []string {
	var workers []string
	for _, name := range t.in(done) {
		if worker := t.workers[name]; worker != "" {
			workers = append(workers, worker)
		}
	}
	return workers
}

func (t *Tracker) count(p phase) int { return len(t.in(p)) }

func (t *Tracker) in(p phase) []string {
	var names []string
	for _, name := range t.Wave.Machines {
		if t.phases[name] == p && !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	return names
}

package dispatch

import (
	"cmp"
	"slices"
	"time"

	"siskinstack.example/siskinstack/resource"
)

const (
	// stopTakes is the time from the decision to stop a run until another can take its capacity. A stop takes up to one second.
	stopTakes = time.Second
	// restoreTakes is the assumed time that a stopped task spends on its restart and on restoring its checkpoint.
	restoreTakes = 300 * time.Millisecond
	// stopAgainInterval is how long further stops of a job cost more after one. A stopped task needs about two seconds to run
	// again, and one that is stopped before makes no progress.
	stopAgainInterval = 3 * time.Second
	// stopAgainFactor is the factor on the cost of stopping further runs of a job within stopAgainInterval. They are stopped only
	// if no run of another job makes room: in a trial on a full fleet, urgent work in time fell from 90% to 80% without them.
	stopAgainFactor = 10
)

// stopPrice is what stopping one run costs.
type stopPrice struct {
	// cores is the CPU of the run in cores.
	cores float64
	// sinceCheckpoint is the work that is done again, restart the time until the task does new work after its capacity is free
	// again, and left the rest of its work.
	sinceCheckpoint, restart, left time.Duration
	// again is true if runs of the same job were stopped a short time ago.
	again bool
}

// lost returns the core-seconds that a stop loses.
func (p stopPrice) lost() float64 { return p.cores * (p.sinceCheckpoint + p.restart).Seconds() }

// cost returns the core-seconds that a stop loses, up to doubled for a run that is about to end: its capacity becomes free soon
// anyway, and the next step of its job waits for it.
func (p stopPrice) cost() float64 {
	cost := p.lost() * (1 + float64(stopTakes)/float64(max(p.left, stopTakes)))
	if p.again {
		cost *= stopAgainFactor
	}
	return cost
}

// endsFirst reports whether the run is expected to end before a stop would take effect.
func (p stopPrice) endsFirst() bool { return p.left <= stopTakes }

// stoppable is a run that may be stopped.
type stoppable struct {
	task   *Task
	amount resource.Vector
	price  stopPrice
}

// stopRoom is a worker on which runs may be stopped. free includes what is expected to become free without a stop.
type stopRoom struct {
	free resource.Vector
	runs []stoppable
	// most is the number of tasks that the worker may take in all.
	most int
}

// stopChoice is the cheapest way to make room for the next task or tasks on one worker.
type stopChoice struct {
	runs   []int
	cost   float64
	placed int
}

// perTask returns the cost of the room for one task.
func (c stopChoice) perTask() float64 { return c.cost / float64(c.placed) }

// chooseStops returns the runs to stop on some workers so that up to a number of tasks of a size fit, and how many tasks will
// fit. Capacity that needs no stop is used first, then each time the worker where the room for a task costs least.
func chooseStops(rooms []stopRoom, need resource.Vector, tasks int) (stops []stoppable, placed int) {
	if need.IsZero() {
		return nil, 0
	}
	placed = useFree(rooms, need, tasks)
	choices := make([]stopChoice, len(rooms))
	for i := range rooms {
		choices[i] = rooms[i].cheapest(need, tasks-placed)
	}
	for placed < tasks {
		best := -1
		for i, c := range choices {
			if c.placed > 0 && (best < 0 || c.perTask() < choices[best].perTask()) {
				best = i
			}
		}
		if best < 0 {
			break
		}
		room := &rooms[best]
		for _, k := range choices[best].runs {
			stops = append(stops, room.runs[k])
		}
		room.take(choices[best], need)
		placed += choices[best].placed
		for i := range choices {
			if i == best || choices[i].placed > tasks-placed {
				choices[i] = rooms[i].cheapest(need, tasks-placed)
			}
		}
	}
	return stops, placed
}

// useFree places up to a number of tasks in free capacity, and returns how many.
func useFree(rooms []stopRoom, need resource.Vector, tasks int) int {
	placed := 0
	for i := range rooms {
		for placed < tasks && rooms[i].most > 0 && need.Fits(rooms[i].free) {
			rooms[i].free = rooms[i].free.Sub(need)
			rooms[i].most--
			placed++
		}
	}
	return placed
}

// cheapest returns the choice with the lowest cost for a task: one run that is enough alone, or several.
func (r *stopRoom) cheapest(need resource.Vector, tasks int) stopChoice {
	tasks = min(tasks, r.most)
	if tasks <= 0 {
		return stopChoice{}
	}
	best := stopChoice{}
	consider := func(runs []int) {
		free, cost := r.free, 0.0
		for _, k := range runs {
			free, cost = free.Add(r.runs[k].amount), cost+r.runs[k].price.cost()
		}
		placed := 0
		for placed < tasks && need.Fits(free) {
			free = free.Sub(need)
			placed++
		}
		if c := (stopChoice{slices.Clone(runs), cost, placed}); placed > 0 && (best.placed == 0 || c.perTask() < best.perTask()) {
			best = c
		}
	}
	for k := range r.runs {
		consider([]int{k})
	}
	if best.placed > 0 {
		return best
	}
	// No run is enough alone. The cheapest per core are added until the task fits, then those that it fits without are left out.
	order := make([]int, len(r.runs))
	for k := range order {
		order[k] = k
	}
	perCore := func(k int) float64 { return r.runs[k].price.cost() / max(r.runs[k].price.cores, 0.001) }
	slices.SortFunc(order, func(a, b int) int { return cmp.Or(cmp.Compare(perCore(a), perCore(b)), cmp.Compare(a, b)) })
	free := r.free
	chosen := 0
	for chosen < len(order) && !need.Fits(free) {
		free = free.Add(r.runs[order[chosen]].amount)
		chosen++
	}
	if !need.Fits(free) {
		return best
	}
	needed := order[:chosen]
	for i := len(needed) - 1; i >= 0; i-- {
		if without := free.Sub(r.runs[needed[i]].amount); need.Fits(without) {
			free = without
			needed = slices.Delete(needed, i, i+1)
		}
	}
	consider(needed)
	return best
}

// take removes the runs of a choice, and adds their capacity less that of the tasks that take it.
func (r *stopRoom) take(c stopChoice, need resource.Vector) {
	for _, k := range c.runs {
		r.free = r.free.Add(r.runs[k].amount)
	}
	slices.Sort(c.runs)
	for _, k := range slices.Backward(c.runs) {
		r.runs = slices.Delete(r.runs, k, k+1)
	}
	r.free = r.free.Sub(need.Scale(int64(c.placed)))
	r.most -= c.placed
}

// chooseUntil returns the cheapest runs, per core, whose stops bring an amount under a ceiling. Runs that it is under without
// are left out.
func chooseUntil(runs []stoppable, needed, ceiling resource.Vector) []stoppable {
	runs = slices.Clone(runs)
	slices.SortStableFunc(runs, func(a, b stoppable) int {
		return cmp.Compare(a.price.cost()/max(a.price.cores, 0.001), b.price.cost()/max(b.price.cores, 0.001))
	})
	chosen := 0
	for chosen < len(runs) && isAbove(needed, ceiling) {
		needed = needed.Sub(runs[chosen].amount)
		chosen++
	}
	runs = runs[:chosen]
	for i := len(runs) - 1; i >= 0; i-- {
		if with := needed.Add(runs[i].amount); !isAbove(with, ceiling) {
			needed = with
			runs = slices.Delete(runs, i, i+1)
		}
	}
	return runs
}

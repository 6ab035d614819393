package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"siskinstack.example/siskinstack/resource"
)

// stopFigures sum up the stops for urgent work.
type stopFigures struct {
	stops int
	// lost are the core-seconds that the stops lose, urgent those of the tasks for which they made room.
	lost, urgent float64
}

// price returns what stopping a run costs.
func (s *State) price(t *Task, now time.Time) stopPrice {
	since := t.orderedAt
	if t.checkpointAt.After(since) {
		since = t.checkpointAt
	}
	restart := adviceMs(s.queue(t.step.job).GetAdvice(), minWorkersPerCall)
	return stopPrice{
		cores:           float64(t.step.spec.GetMilliCpu()) / 1000,
		sinceCheckpoint: max(0, now.Sub(since)),
		restart:         restoreTakes + time.Duration(restart*float64(time.Millisecond)),
		again:           isWithin(t.step.job.preemptedAt, now),
		left:            t.left(now),
	}
}

// left returns the expected rest of a run: by its estimate, or by its pace so far once it has lasted longer than that. Estimates
// may be a tenth of the run time, and the run would otherwise count as about to end until it ends.
func (t *Task) left(now time.Time) time.Duration {
	age := now.Sub(t.orderedAt)
	if age > time.Duration(t.step.spec.GetEstimateMs())*time.Millisecond {
		return age * time.Duration(fullPercent-t.percent) / time.Duration(max(t.percent, 1))
	}
	return max(0, remaining(t.step.spec, t.percent)-max(0, now.Sub(t.progressAt)))
}

// isWithin reports whether a stop is so recent that another one of the same job costs more.
func isWithin(stoppedAt, now time.Time) bool {
	return !stoppedAt.IsZero() && now.Sub(stoppedAt) < stopAgainInterval
}

// preemptCosted stops the cheapest runs for a number of tasks of an urgent step.
func (s *State) preemptCosted(p *placement, tasks int) {
	if tasks <= 0 {
		return
	}
	step := p.step
	var rooms []stopRoom
	var workers []*Worker
	for _, w := range s.candidates(p) {
		if s.couldFit(p, w) {
			rooms, workers = append(rooms, s.stopRoom(p, w)), append(workers, w)
		}
	}
	left := make([]resource.Vector, len(rooms))
	for i := range rooms {
		left[i] = rooms[i].free
	}
	stops, placed := chooseStops(rooms, p.need, tasks)
	for i, w := range workers {
		if taken := left[i].Sub(rooms[i].free); !taken.IsNegative() {
			s.claimed[w] = s.claimed[w].Add(taken)
		}
	}
	if len(stops) == 0 {
		return
	}
	s.stopChosen(stops, "pre-empted for "+step.name, p.now)
	urgent := s.countStops(stops, step, placed)
	step.preemptAfter = p.now.Add(preemptInterval)
	s.log.Decision("pre-empting", step.job.Record.GetId(), "step", step.name, "tasks", placed, "stops", len(stops),
		"lost_core_seconds", lostBy(stops), "urgent_core_seconds", urgent)
}

// stopRoom returns the runs on a worker that may be stopped for a step, and the free capacity that no other step expects to use.
// The capacity of runs that end soon does not count as free: in a trial on a full fleet, less urgent work took it first.
func (s *State) stopRoom(p *placement, w *Worker) stopRoom {
	room := stopRoom{free: w.free().Sub(s.claimed[w]), most: math.MaxInt32}
	if limit := p.step.spec.GetMaxPerWorker(); limit > 0 {
		room.most = 1
	}
	for t := range w.tasks {
		if !s.isVictimFor(p.step, t) {
			continue
		}
		if price := s.price(t, p.now); !price.endsFirst() {
			room.runs = append(room.runs, stoppable{t, t.allocation(), price})
		}
	}
	slices.SortFunc(room.runs, compareStoppable)
	return room
}

// compareStoppable orders runs by their names, so that a plan does not depend on the order of a map.
func compareStoppable(a, b stoppable) int {
	return cmp.Or(cmp.Compare(a.task.step.name, b.task.step.name), cmp.Compare(a.task.index, b.task.index))
}

// reclaimCeilingCosted stops the cheapest less urgent runs of a team when its ceiling blocks tasks of an urgent step.
func (s *State) reclaimCeilingCosted(step *Step, now time.Time) {
	ceiling, limited := s.ceiling(step)
	if !limited {
		return
	}
	team := step.job.Record.GetTeam()
	victims, kept := s.victimsOf(team)
	needed := kept.Add(s.reserved[team])
	least := kept.Add(declaredResources(step.spec))
	var runs []stoppable
	for _, t := range victims {
		least = least.Sub(declaredResources(t.step.spec))
		price := s.price(t, now)
		if price.endsFirst() {
			needed = needed.Sub(declaredResources(t.step.spec))
		} else {
			runs = append(runs, stoppable{t, declaredResources(t.step.spec), price})
		}
	}
	if isAbove(least, ceiling) {
		return // no task of the step would fit under the ceiling
	}
	stops := chooseUntil(runs, needed, ceiling)
	if len(stops) == 0 {
		return
	}
	s.stopChosen(stops, "ceiling needed for "+step.name, now)
	urgent := s.countStops(stops, step, step.waiting-s.underCeiling(step))
	step.preemptAfter = now.Add(preemptInterval)
	s.log.Decision("pre-empting at the ceiling", step.job.Record.GetId(), "step", step.name, "team", team, "tasks", len(stops),
		"lost_core_seconds", lostBy(stops), "urgent_core_seconds", urgent)
}

func (s *State) stopChosen(stops []stoppable, reason string, now time.Time) {
	for _, v := range stops {
		s.requestStop(v.task, reason)
		v.task.step.job.preemptedAt = now
	}
}

func lostBy(stops []stoppable) float64 {
	lost := 0.0
	for _, v := range stops {
		lost += v.price.lost()
	}
	return lost
}

// countStops adds stops for some tasks of an urgent step to the figures. It returns the core-seconds of these tasks.
func (s *State) countStops(stops []stoppable, step *Step, tasks int) float64 {
	urgent := float64(tasks) * float64(step.spec.GetMilliCpu()) / 1000 * float64(step.spec.GetEstimateMs()) / 1000
	s.stopped.stops += len(stops)
	s.stopped.lost += lostBy(stops)
	s.stopped.urgent += urgent
	return urgent
}

// TakeStopFigures returns the number of stops for urgent work since the last call, the core-seconds that they lose and the
// core-seconds of the urgent work for which they made room.
func (s *State) TakeStopFigures() (stops int, lost, urgent float64) {
	f := s.stopped
	s.stopped = stopFigures{}
	return f.stops, f.lost, f.urgent
}

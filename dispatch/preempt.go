package dispatch

import (
	"slices"
	"time"

	"siskinstack.example/siskinstack/resource"
)

// preemptInterval is the delay before a step whose tasks still wait may preempt again. A stop takes up to one second.
const preemptInterval = 1200 * time.Millisecond

// mayPreempt reports whether a step may preempt others: it is in a queue of the highest priority, 0, neither late nor
// in excess of its team's rate, and not a gang.
func (s *State) mayPreempt(r ranked) bool {
	return r.rank.priority == 0 && !r.rank.late && !r.rank.excess && !r.step.spec.GetGang()
}

// isVictimFor reports whether a task may be preempted for an urgent step. A team above its share preempts only its own
// tasks.
func (s *State) isVictimFor(step *Step, t *Task) bool {
	return s.isPreemptible(t) && (!step.overShare || t.step.job.Record.GetTeam() == step.job.Record.GetTeam())
}

// isPreemptible reports whether a task may be preempted: it runs in a less urgent queue, can resume from a checkpoint,
// and is not a gang, long-running or backfill task.
func (s *State) isPreemptible(t *Task) bool {
	spec := t.step.spec
	return t.phase == phaseActive && !t.stop && !t.done && spec.GetCheckpointing() && !spec.GetGang() &&
		!spec.GetLongRunning() && !spec.GetBackfill() && s.queue(t.step.job).GetPriority() > 0
}

// reclaimable returns the resources on a worker that an urgent step may take from preemptible tasks.
func (s *State) reclaimable(step *Step, w *Worker) resource.Vector {
	var sum resource.Vector
	for t := range w.tasks {
		if s.isVictimFor(step, t) {
			sum = sum.Add(t.allocation())
		}
	}
	return sum
}

// couldFit reports whether a task of a step would fit on a worker after preempting less urgent tasks.
func (s *State) couldFit(p *placement, w *Worker) bool {
	return w.isSchedulable(p.now) && s.isSuitable(p, w) && underWorkerLimit(p.step, w) && isCompatible(p.step, w) &&
		p.need.Fits(w.free().Add(s.reclaimable(p.step, w)))
}

// candidates returns the workers that a step may use now, whether or not they have free capacity.
func (s *State) candidates(p *placement) []*Worker {
	if p.isAdvised() {
		return p.ticketed
	}
	var workers []*Worker
	for _, z := range s.openZones {
		for _, bucket := range z.buckets {
			workers = append(workers, bucket...)
		}
	}
	return workers
}

// preempt stops less urgent tasks to free capacity for the waiting tasks of an urgent step on its candidate workers.
func (s *State) preempt(p *placement) {
	step, now := p.step, p.now
	waiting := step.waiting - s.waitingSuspects(step)
	if waiting == 0 || !step.urgent || now.Before(step.preemptAfter) {
		return
	}
	allowed := min(s.underCeiling(step), waiting)
	if allowed < waiting {
		s.reclaimCeiling(step, now)
	}
	missing := allowed
	for _, w := range s.candidates(p) {
		if missing <= 0 {
			break
		}
		if s.couldFit(p, w) {
			missing -= s.preemptOn(w, p.need, missing, step)
		}
	}
	if missing < allowed {
		step.preemptAfter = now.Add(preemptInterval)
		s.log.Decision("pre-empting", step.job.Record.GetId(), "step", step.name, "tasks", allowed-missing)
	}
}

// preemptOn stops tasks on a worker to free capacity for up to limit tasks of the given size. It returns the number of
// tasks that will fit.
func (s *State) preemptOn(w *Worker, need resource.Vector, limit int, step *Step) int {
	var victims []*Task
	for t := range w.tasks {
		if s.isVictimFor(step, t) {
			victims = append(victims, t)
		}
	}
	slices.SortFunc(victims, compareNewest)
	free, placed := w.free(), 0
	for _, t := range victims {
		if placed >= limit {
			break
		}
		s.requestStop(t, "pre-empted for "+step.name)
		free = free.Add(t.allocation())
		for placed < limit && need.Fits(free) {
			free = free.Sub(need)
			placed++
		}
	}
	return placed
}

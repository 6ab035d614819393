package dispatch

import (
	"cmp"
	"slices"
	"time"

	"siskinstack.example/siskinstack/resource"
)

// ceiling returns the ceiling of a step's team, and false if it has none. An amount of 0 is no limit.
func (s *State) ceiling(step *Step) (resource.Vector, bool) {
	team := step.job.Record.GetTeam()
	if team == "" || s.policy == nil {
		return resource.Vector{}, false
	}
	ceiling := s.policy.Teams[team].Ceiling
	return ceiling, !ceiling.IsZero()
}

// isAbove reports whether an amount exceeds a ceiling.
func isAbove(amount, ceiling resource.Vector) bool {
	above := func(amount, limit int64) bool { return limit != 0 && amount > limit }
	return above(amount.MilliCPU, ceiling.MilliCPU) || above(amount.MemoryBytes, ceiling.MemoryBytes) ||
		above(amount.Accelerators, ceiling.Accelerators)
}

// mayStartOne reports whether the team's ceiling allows one more task of a step. What waiting tasks of urgent steps need
// is left to them.
func (s *State) mayStartOne(step *Step) bool { return s.mayStart(step, 1) }

func (s *State) mayStart(step *Step, tasks int64) bool {
	ceiling, limited := s.ceiling(step)
	if !limited {
		return true
	}
	team := step.job.Record.GetTeam()
	next := s.team(team).running.Add(declaredResources(step.spec).Scale(tasks))
	if !step.urgent {
		next = next.Add(s.reserved[team])
	}
	return !isAbove(next, ceiling)
}

// underCeiling returns how many more tasks of a step the team's ceiling allows, up to the number that wait.
func (s *State) underCeiling(step *Step) int {
	n := 0
	for n < step.waiting && s.mayStart(step, int64(n)+1) {
		n++
	}
	return n
}

// maxReservationAge is how long an urgent step claims its team's ceiling. A step that no worker suits would otherwise hold up all
// other work of its team; less urgent jobs must not wait for three seconds while there is room for them.
const maxReservationAge = 1500 * time.Millisecond

// claim notes what the waiting tasks of an urgent step need of its team's ceiling. Steps are claimed for in the order of
// their ranks.
func (s *State) reserveCeiling(r ranked, now time.Time) {
	r.step.urgent = s.mayPreempt(r)
	if r.step.reservedSince.IsZero() {
		r.step.reservedSince = now
	}
	if r.step.urgent && now.Sub(r.step.reservedSince) < maxReservationAge {
		team := r.step.job.Record.GetTeam()
		s.reserved[team] = s.reserved[team].Add(declaredResources(r.step.spec).Scale(int64(r.step.waiting)))
	}
}

// reclaimCeiling stops less urgent tasks of a team whose ceiling keeps tasks of an urgent step waiting. The tasks go on
// from the checkpoint of their stop once the urgent ones have ended.
func (s *State) reclaimCeiling(step *Step, now time.Time) {
	ceiling, limited := s.ceiling(step)
	if !limited {
		return
	}
	team := step.job.Record.GetTeam()
	victims, kept := s.victimsOf(team)
	// Runs that are being stopped already make room for the steps that come before this one.
	needed := kept.Add(s.reserved[team])
	stopped := 0
	for _, t := range victims {
		if !isAbove(needed, ceiling) {
			break
		}
		t.requestStop("ceiling needed for " + step.name)
		needed = needed.Sub(declaredResources(t.step.spec))
		stopped++
	}
	if stopped > 0 {
		step.preemptAfter = now.Add(preemptInterval)
		s.log.Decision("pre-empting at the ceiling", step.job.Record.GetId(), "step", step.name, "team", team, "tasks", stopped)
	}
}

// victimsOf returns the tasks of a team that may be stopped for urgent ones, the newest runs first, and what the team has
// running that is not being stopped.
func (s *State) victimsOf(team string) (victims []*Task, kept resource.Vector) {
	for _, w := range s.workers {
		for t := range w.tasks {
			if t.step.job.Record.GetTeam() != team || t.stop {
				continue
			}
			kept = kept.Add(declaredResources(t.step.spec))
			if s.isPreemptible(t) {
				victims = append(victims, t)
			}
		}
	}
	slices.SortFunc(victims, compareNewest)
	return victims, kept
}

// compareNewest puts the newest runs first, which have the least work behind them.
func compareNewest(a, b *Task) int {
	return cmp.Or(b.orderedAt.Compare(a.orderedAt), cmp.Compare(a.step.name, b.step.name), cmp.Compare(a.index, b.index))
}

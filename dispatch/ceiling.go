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

// isAbove reports whether an amount exceeds a ceiling in any limited dimension.
func isAbove(amount, ceiling resource.Vector) bool {
	above := func(amount, limit int64) bool { return limit != 0 && amount > limit }
	return above(amount.MilliCPU, ceiling.MilliCPU) || above(amount.MemoryBytes, ceiling.MemoryBytes) ||
		above(amount.Accelerators, ceiling.Accelerators)
}

// mayStartOne reports whether the team's ceiling allows one more task of a step. Amounts reserved for waiting tasks of
// urgent steps are not available to other steps.
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

// maxReservationAge bounds how long an urgent step reserves part of its team's ceiling. A step without a suitable
// worker would otherwise block all other work of its team; less urgent jobs must not wait for three seconds while there
// is enough free capacity for them.
const maxReservationAge = 1500 * time.Millisecond

// reserveCeiling reserves part of the team's ceiling for the waiting tasks of an urgent step. Steps reserve in rank
// order.
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

// reclaimCeiling preempts less urgent tasks of a team when its ceiling blocks tasks of an urgent step. The preempted
// tasks resume from the checkpoint taken at the stop once the urgent ones have ended.
func (s *State) reclaimCeiling(step *Step, now time.Time) {
	ceiling, limited := s.ceiling(step)
	if !limited {
		return
	}
	team := step.job.Record.GetTeam()
	victims, kept := s.victimsOf(team)
	// kept excludes the runs that are already being stopped: the part of the ceiling that they free is for steps of
	// higher rank, whose reservations are in reserved.
	needed := kept.Add(s.reserved[team])
	stopped := 0
	for _, t := range victims {
		if !isAbove(needed, ceiling) {
			break
		}
		s.requestStop(t, "ceiling needed for "+step.name)
		needed = needed.Sub(declaredResources(t.step.spec))
		stopped++
	}
	if stopped > 0 {
		step.preemptAfter = now.Add(preemptInterval)
		s.log.Decision("pre-empting at the ceiling", step.job.Record.GetId(), "step", step.name, "team", team, "tasks", stopped)
	}
}

// victimsOf returns the preemptible tasks of a team, the newest runs first, and the resources of the team's runs that
// are not being stopped.
func (s *State) victimsOf(team string) (victims []*Task, kept resource.Vector) {
	for t := range s.team(team).tasks {
		if t.stop {
			continue
		}
		kept = kept.Add(declaredResources(t.step.spec))
		if s.isPreemptible(t) {
			victims = append(victims, t)
		}
	}
	slices.SortFunc(victims, compareNewest)
	return victims, kept
}

// compareNewest orders the newest runs first: stopping them loses the least work.
func compareNewest(a, b *Task) int {
	return cmp.Or(b.orderedAt.Compare(a.orderedAt), cmp.Compare(a.step.name, b.step.name), cmp.Compare(a.index, b.index))
}

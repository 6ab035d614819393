package dispatch

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// hasHome reports whether the tasks of a step are kept in one availability zone. The loss of a zone then delays only
// the steps of that zone and not every step with some task in it. Long-running tasks are spread over zones instead, so
// that the loss of a zone never ends all tasks of a service; a preferred rack takes precedence over a home zone.
func (step *Step) hasHome() bool {
	return !step.spec.GetLongRunning() && step.spec.GetPreferredRack() == ""
}

// home returns the availability zone that the tasks of a step prefer, or nil. It changes only when the zone has too
// little free CPU for one task.
func (s *State) home(step *Step) *zoneIndex {
	if !step.hasHome() {
		return nil
	}
	need := allocation(step.spec).MilliCPU
	for _, z := range s.openZones {
		if z.name == step.homeZone && z.freeFor(need) >= max(need, 1) {
			return z
		}
	}
	z := s.chooseHome(step)
	if z != nil {
		step.homeZone = z.name
	}
	return z
}

// chooseHome picks a zone with a probability proportional to the free CPU of its workers with enough for one task, by a
// hash of the step's name. If some zones have enough for all waiting tasks, only these are considered.
func (s *State) chooseHome(step *Step) *zoneIndex {
	need := allocation(step.spec).MilliCPU
	free := make([]int64, len(s.openZones))
	most := int64(0)
	for i, z := range s.openZones {
		free[i] = z.freeFor(need)
		most = max(most, free[i])
	}
	if all := need * int64(step.waiting); most >= all {
		for i := range free {
			if free[i] < all {
				free[i] = 0
			}
		}
	}
	total := int64(0)
	for _, f := range free {
		total += f
	}
	draw := int64(float64(xxhash.Sum64String(step.name)) / math.MaxUint64 * float64(total))
	for i, z := range s.openZones {
		draw -= free[i]
		if draw < 0 {
			return z
		}
	}
	return nil
}

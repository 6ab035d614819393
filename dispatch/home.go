package dispatch

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// homePenalty ranks workers outside a step's home zone after those in it. It exceeds the milli-CPU of any worker and is
// less than the penalty for a rack other than the preferred one.
const homePenalty = 1 << 30

// hasHome reports whether the tasks of a step are kept in one availability zone. The loss of a zone then delays only
// the steps of that zone and not every step with some task in it. Long-running tasks are spread over zones instead, so
// that the loss of a zone never ends all tasks of a service; a preferred rack takes precedence over a home zone.
func (step *Step) hasHome() bool {
	return !step.spec.GetLongRunning() && step.spec.GetPreferredRack() == ""
}

// home returns the availability zone that the tasks of a step prefer, or "". It changes only when the zone has too
// little free CPU for one task.
func (s *State) home(step *Step) string {
	if !step.hasHome() {
		return ""
	}
	if step.homeZone == "" || s.zoneFreeCPU[step.homeZone] < allocation(step.spec).MilliCPU {
		step.homeZone = s.chooseHome(step)
	}
	return step.homeZone
}

// chooseHome picks a zone with a probability proportional to its free CPU, by a hash of the step's name. If some zones
// have enough free CPU for all waiting tasks, only these are considered.
func (s *State) chooseHome(step *Step) string {
	need := allocation(step.spec).MilliCPU * int64(step.waiting)
	zones, total := s.zonesWithFreeCPU(need)
	if len(zones) == 0 {
		zones, total = s.zonesWithFreeCPU(0)
	}
	if len(zones) == 0 {
		return ""
	}
	draw := int64(float64(xxhash.Sum64String(step.name)) / math.MaxUint64 * float64(total))
	for _, zone := range zones {
		draw -= s.zoneFreeCPU[zone]
		if draw < 0 {
			return zone
		}
	}
	return zones[len(zones)-1]
}

// zonesWithFreeCPU returns the zones with at least the given free milli-CPU, sorted by name, and their total free CPU.
func (s *State) zonesWithFreeCPU(need int64) (zones []string, total int64) {
	for zone, free := range s.zoneFreeCPU {
		if free >= need {
			zones = append(zones, zone)
			total += free
		}
	}
	slices.Sort(zones)
	return zones, total
}

// zonePenalty returns the score penalty of a worker outside the home zone of a step, else 0.
func (s *State) zonePenalty(step *Step, w *Worker) int64 {
	if home := s.home(step); home != "" && w.Info.Zone != home {
		return homePenalty
	}
	return 0
}

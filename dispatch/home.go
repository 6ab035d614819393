package dispatch

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// homePenalty puts workers outside a step's home zone behind those in it. It exceeds the milli-CPU of any worker and is
// less than the penalty for another rack than the preferred one.
const homePenalty = 1 << 30

// hasHome reports whether the tasks of a step are kept in one availability zone. Each zone that is lost then holds up the
// steps of that zone only, and not every step with a task in it. Long-running tasks are spread instead, so that a zone
// that is lost never ends all tasks of a service; a preferred rack decides by itself.
func (step *Step) hasHome() bool {
	return !step.spec.GetLongRunning() && step.spec.GetPreferredRack() == ""
}

// home returns the availability zone in which the tasks of a step are placed first, or "". It stays the same as long as
// the zone has room for a task.
func (s *State) home(step *Step) string {
	if !step.hasHome() {
		return ""
	}
	if step.homeZone == "" || s.zoneFreeCPU[step.homeZone] < allocation(step.spec).MilliCPU {
		step.homeZone = s.chooseHome(step)
	}
	return step.homeZone
}

// chooseHome draws a zone in proportion to the room that the zones have left, among those with room for all waiting tasks
// if there are any.
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

// zonesWithFreeCPU returns the zones whose workers have some amount of milli-CPU left, in the order of their names, and how much
// they have left together.
func (s *State) zonesWithFreeCPU(need int64) (zones []string, total int64) {
	for zone, room := range s.zoneFreeCPU {
		if room >= need {
			zones = append(zones, zone)
			total += room
		}
	}
	slices.Sort(zones)
	return zones, total
}

// zonePenalty returns the penalty of a worker outside the home zone of a step.
func (s *State) zonePenalty(step *Step, w *Worker) int64 {
	if home := s.home(step); home != "" && w.Info.Zone != home {
		return homePenalty
	}
	return 0
}

// Package reserve chooses the workers that are reserved for a gang job or a large task that has waited too long.
package reserve

import "sort"

// Candidate is a worker with the number of the job's tasks that it can take now, and later, when all of its work except for
// services has ended.
type Candidate struct {
	Worker     int32
	Rack       int32
	Now, Later int
}

// MostFree takes the workers that can take the most tasks of the job now, so that the reservation keeps the least capacity
// idle.
type MostFree struct{}

// Reserve returns workers that together can take count tasks later, or nil if there are not enough. They are in one rack if
// sameRack is set.
func (MostFree) Reserve(candidates []Candidate, count int, sameRack bool) []int32 {
	if sameRack {
		candidates = bestRack(candidates, count)
	}
	sort.SliceStable(candidates, func(i, j int) bool {
		return candidates[i].Now > candidates[j].Now
	})
	var chosen []int32
	for _, candidate := range candidates {
		if count <= 0 {
			break
		}
		if candidate.Later > 0 {
			chosen = append(chosen, candidate.Worker)
			count -= candidate.Later
		}
	}
	if count > 0 {
		return nil
	}
	return chosen
}

// bestRack returns the candidates of the rack that can take the most tasks now among those that can take count later.
func bestRack(candidates []Candidate, count int) []Candidate {
	racks := map[int32]*Candidate{}
	best := int32(-1)
	for _, candidate := range candidates {
		sum, ok := racks[candidate.Rack]
		if !ok {
			sum = &Candidate{Rack: candidate.Rack}
			racks[candidate.Rack] = sum
		}
		sum.Now += candidate.Now
		sum.Later += candidate.Later
	}
	for _, candidate := range candidates {
		sum := racks[candidate.Rack]
		if sum.Later >= count && (best < 0 || sum.Now > racks[best].Now) {
			best = candidate.Rack
		}
	}
	var chosen []Candidate
	for _, candidate := range candidates {
		if candidate.Rack == best {
			chosen = append(chosen, candidate)
		}
	}
	return chosen
}

// Package order decides which work is next: weighted dominant-resource fairness across teams, urgency and age within a team.
package order

import (
	"time"

	"siskinstack.example/siskinstack/resource"
)

// canWaitPenalty is added to the time at which work that can wait was accepted. As a fixed offset, it bounds how long newer
// normal work can overtake such work.
const canWaitPenalty = 10 * time.Minute

// DominantShare orders teams by weighted dominant share.
type DominantShare struct{}

// Share returns the weighted dominant share of a team.
func (DominantShare) Share(used, fleet resource.Vector, weight int64) float64 {
	return used.DominantShare(fleet) / float64(max(weight, 1))
}

// Key returns the key by which the jobs of a team are ordered; lower keys go first.
func (DominantShare) Key(accepted time.Duration, canWait bool) time.Duration {
	if canWait {
		return accepted + canWaitPenalty
	}
	return accepted
}

// Demand is what a team runs and wants to run, as a dominant share of the fleet.
type Demand struct {
	Weight int64
	Wanted float64
}

// FairShares sets shares to the weighted max-min fair shares of the fleet: it is split by weight, and what a team does not
// want is split among the others.
func (DominantShare) FairShares(demands []Demand, shares []float64) {
	left, weights := 1.0, 0.0
	for i, demand := range demands {
		shares[i] = -1
		if demand.Wanted <= 0 {
			shares[i] = 0
			continue
		}
		weights += float64(max(demand.Weight, 1))
	}
	for satisfied := true; satisfied && weights > 0; {
		satisfied = false
		level := left / weights
		for i, demand := range demands {
			weight := float64(max(demand.Weight, 1))
			if shares[i] >= 0 || demand.Wanted > level*weight {
				continue
			}
			shares[i] = demand.Wanted
			left -= demand.Wanted
			weights -= weight
			satisfied = true
		}
	}
	for i, demand := range demands {
		if shares[i] < 0 {
			shares[i] = max(left, 0) / weights * float64(max(demand.Weight, 1))
		}
	}
}

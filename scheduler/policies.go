package scheduler

import (
	"siskinstack.example/siskinstack/resource"
	"siskinstack.example/siskinstack/scheduler/policy/filter"
	"siskinstack.example/siskinstack/scheduler/policy/order"
	"siskinstack.example/siskinstack/scheduler/policy/permit"
	"siskinstack.example/siskinstack/scheduler/policy/preempt"
	"siskinstack.example/siskinstack/scheduler/policy/reserve"
	"siskinstack.example/siskinstack/scheduler/policy/score"
)

// Filter decides the allocation of a task on a worker; a worker with less free capacity is excluded.
type Filter interface {
	Need(declared, learned, capacity resource.Vector) resource.Vector
}

// Score ranks the workers that can run a task; lower is better.
type Score interface {
	Score(free, need, scale resource.Vector) float64
}

// Order decides which team and which of its jobs is served next.
type Order interface {
	Share(used, fleet resource.Vector, weight int64) float64
	Key(accepted Time, canWait bool) Time
	FairShares(demands []order.Demand, shares []float64)
}

// Permit decides whether a team may run more work.
type Permit interface {
	Permit(running, need, limit resource.Vector) bool
}

// Reserve chooses the workers that are reserved for a gang job or a large task.
type Reserve interface {
	Reserve(candidates []reserve.Candidate, count int, sameRack bool) []int32
}

// Preempt ranks running tasks by the work that is lost if they are stopped.
type Preempt interface {
	Cost(v preempt.Victim) Time
}

// Policies are the replaceable decisions of a cell.
type Policies struct {
	Filter  Filter
	Score   Score
	Order   Order
	Permit  Permit
	Reserve Reserve
	Preempt Preempt
}

// DefaultPolicies returns the policies that a cell has unless they are changed. They are described in design.md, section 2.9.
func DefaultPolicies() Policies {
	return Policies{
		Filter:  filter.Learned{},
		Score:   score.BestFit{},
		Order:   order.DominantShare{},
		Permit:  permit.Limit{},
		Reserve: reserve.MostFree{},
		Preempt: preempt.LeastCost{},
	}
}

// Package preempt decides which running tasks are preempted first.
package preempt

import "time"

// Victim describes a running task, or a whole gang job, that may be preempted.
type Victim struct {
	Service    bool
	AtMostOnce bool
	Checkpoint bool
	Tasks      int
	Ran        time.Duration
}

const (
	// checkpointCost is the work lost by checkpointing and resuming one task.
	checkpointCost = 2 * time.Second
	// serviceCost ranks services behind all batch work.
	serviceCost = 1 << 20 * time.Second
	// atMostOnceCost ranks tasks that cannot run again behind everything else.
	atMostOnceCost = 1 << 30 * time.Second
)

// LeastCost prefers the tasks whose stop loses the least work.
type LeastCost struct{}

// Cost returns the work that is lost if v is stopped.
func (LeastCost) Cost(v Victim) time.Duration {
	lost := v.Ran
	if v.Checkpoint {
		lost = min(lost, checkpointCost)
	}
	lost *= time.Duration(max(v.Tasks, 1))
	if v.Service {
		lost += serviceCost
	}
	if v.AtMostOnce {
		lost += atMostOnceCost
	}
	return lost
}

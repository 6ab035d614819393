package scheduler

import (
	"cmp"
	"slices"
	"time"

	"siskinstack.example/siskinstack/resource"
	"siskinstack.example/siskinstack/scheduler/policy/preempt"
)

// stopRetryInterval is the time after which a stop without effect is ordered again, as the first order may have been lost.
const stopRetryInterval = 5 * time.Second

// pendingStop is an ordered stop that has not taken effect.
type pendingStop struct {
	ref         taskRef
	attempt     int32
	reason      StopReason
	at          Time
	allocation  resource.Vector
	beneficiary *job // job for which the capacity is freed, or nil
	claims      int  // tasks of beneficiary for which this stop frees capacity
}

// stop orders a running task to stop and returns the order.
func (c *Cell) stop(ref taskRef, reason StopReason, beneficiary *job) Stop {
	t := ref.task()
	if t.flags&flagStopping == 0 {
		allocation := ref.allocation()
		t.flags |= flagStopping
		ref.job.stopping++
		ref.job.team.stopping = ref.job.team.stopping.Add(allocation)
		if beneficiary != nil {
			beneficiary.team.reclaimed = beneficiary.team.reclaimed.Add(allocation)
		}
		c.stopping = append(c.stopping, pendingStop{
			ref: ref, attempt: t.attempt, reason: reason, at: c.now, allocation: allocation, beneficiary: beneficiary,
		})
	}
	return c.stopOrder(ref, reason)
}

func (c *Cell) stopOrder(ref taskRef, reason StopReason) Stop {
	t := ref.task()
	return Stop{
		Task: ref.job.id(ref.slot), Attempt: t.attempt, Worker: c.workers[t.worker-1].Name,
		Checkpoint: ref.job.Checkpoint && reason != StopCancelled, Reason: reason,
	}
}

// stopInNextPlan records a stop that the next plan orders.
func (c *Cell) stopInNextPlan(ref taskRef, reason StopReason) {
	c.stop(ref, reason, nil)
	c.stopping[len(c.stopping)-1].at = c.now - stopRetryInterval
}

// retryStops drops the stops that have taken effect and orders the others again after stopRetryInterval.
func (c *Cell) retryStops(plan *Plan) {
	kept := c.stopping[:0]
	for _, p := range c.stopping {
		t := p.ref.task()
		if t.state != taskRunning || t.attempt != p.attempt || t.flags&flagStopping == 0 {
			if p.beneficiary != nil {
				p.beneficiary.team.reclaimed = p.beneficiary.team.reclaimed.Sub(p.allocation)
				p.beneficiary.claims -= p.claims
			}
			continue
		}
		if c.now-p.at >= stopRetryInterval {
			p.at = c.now
			plan.Stops = append(plan.Stops, c.stopOrder(p.ref, p.reason))
		}
		kept = append(kept, p)
	}
	clear(c.stopping[len(kept):])
	c.stopping = kept
}

// victim is a running task, or a whole gang job, that may be stopped.
type victim struct {
	ref   taskRef
	cost  Time
	order int32 // position before sorting, which breaks ties deterministically
}

func (c *Cell) victim(ref taskRef) victim {
	j := ref.job
	v := preempt.Victim{
		Service: j.Kind == Service, AtMostOnce: j.AtMostOnce, Checkpoint: j.Checkpoint,
		Tasks: 1, Ran: c.now - ref.task().started,
	}
	if j.Kind == Gang {
		v.Tasks = j.counts.Running
	}
	return victim{ref: ref, cost: c.options.Policies.Preempt.Cost(v)}
}

// sortVictims sorts victims by the work that is lost if they are stopped, least first.
func sortVictims(victims []victim) {
	for i := range victims {
		victims[i].order = int32(i)
	}
	slices.SortFunc(victims, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.cost, b.cost), cmp.Compare(a.order, b.order))
	})
}

// stopTaskOrGang stops a task, or all tasks of its gang job, because the rest of a gang job cannot work alone.
func (c *Cell) stopTaskOrGang(ref taskRef, reason StopReason, beneficiary *job, plan *Plan) {
	if ref.job.Kind != Gang {
		plan.Stops = append(plan.Stops, c.stop(ref, reason, beneficiary))
		return
	}
	for slot := range ref.job.tasks {
		member := taskRef{ref.job, int32(slot)}
		if t := member.task(); t.state == taskRunning && t.flags&flagStopping == 0 {
			plan.Stops = append(plan.Stops, c.stop(member, reason, beneficiary))
		}
	}
}

// enforceLimits stops work of teams that exceed their limit, which happens when a limit is lowered.
func (c *Cell) enforceLimits(plan *Plan) {
	for _, t := range c.teamList {
		if t.known && !t.running.Sub(t.stopping).Fits(t.Limit) {
			c.enforceLimit(t, plan)
		}
	}
}

func (c *Cell) enforceLimit(t *team, plan *Plan) {
	var victims []victim
	for _, w := range c.workers {
		if w == nil {
			continue
		}
		for _, ref := range w.tasks {
			if ref.job.team == t && ref.task().flags&flagStopping == 0 {
				victims = append(victims, c.victim(ref))
			}
		}
	}
	sortVictims(victims)
	for _, v := range victims {
		over := t.running.Sub(t.stopping)
		if over.Fits(t.Limit) {
			return
		}
		task := v.ref.task()
		if task.flags&flagStopping != 0 || !reducesExcess(v.ref.allocation(), over, t.Limit) {
			continue
		}
		c.stopTaskOrGang(v.ref, StopCeiling, nil, plan)
	}
}

// reducesExcess reports whether freeing an allocation would reduce an amount that is over the limit.
func reducesExcess(allocation, over, limit resource.Vector) bool {
	return over.MilliCPU > limit.MilliCPU && allocation.MilliCPU > 0 ||
		over.MemoryBytes > limit.MemoryBytes && allocation.MemoryBytes > 0 ||
		over.Accelerators > limit.Accelerators && allocation.Accelerators > 0
}

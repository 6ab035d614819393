package scheduler

import (
	"time"

	"siskinstack.example/siskinstack/resource"
)

const (
	// reclaimsPerPass is the number of preemptions in a pass after which no more victims are searched for single tasks. The
	// last search can exceed it, and so can the stops for a gang job.
	reclaimsPerPass = 256
	// reclaimInterval is the shortest time between two passes that search for victims. The search is the costliest part
	// of a pass on a full cell, and capacity is freed only when tasks have saved their state.
	reclaimInterval = 100 * time.Millisecond
	// reclaimWindow is the number of workers whose tasks are considered in one pass.
	reclaimWindow = 1024
	// claimantsPerTeam is the number of waiting jobs per team for which victims are searched in one pass.
	claimantsPerTeam = 4
	// minVictimRun is how long a task runs before it may be preempted. Without it, a task could be stopped by the plan that
	// starts it, before it has started.
	minVictimRun = 500 * time.Millisecond
	// shareTolerance allows for rounding errors of computed shares.
	shareTolerance = 1e-9
)

// claimant is a waiting job that may preempt running work.
type claimant struct {
	job *job
	// urgent claimants may also preempt less urgent work of their own team.
	urgent bool
	// underShare claimants may preempt work of teams that have more than their fair share.
	underShare bool
}

// failedClaim is a team and a need for which no victims were found.
type failedClaim struct {
	team   *team
	need   resource.Vector
	urgent bool
}

// reclaim preempts work of teams above their fair share for teams below theirs, and less urgent work for urgent work.
func (c *Cell) reclaim(plan *Plan) {
	if c.now < c.reclaimAt {
		return
	}
	claimants := c.claimants()
	if len(claimants) == 0 {
		return
	}
	c.reclaimAt = c.now + reclaimInterval
	victims := c.reclaimable(claimants)
	limit := len(plan.Stops) + reclaimsPerPass
	var failed []failedClaim
	for _, claim := range claimants {
		if claim.job.Kind == Gang {
			c.reclaimGang(claim, plan)
			continue
		}
		if hasFailed(failed, claim) {
			continue
		}
		for len(plan.Stops) < limit && c.mayClaim(&claim) {
			if !c.reclaimOne(claim, victims, plan) {
				failed = append(failed, failedClaim{claim.job.team, claim.job.shape.need, claim.urgent})
				break
			}
		}
	}
}

// hasFailed reports whether no victims were found for the same team and the same or a smaller need, by a claimant that may
// preempt at least as much.
func hasFailed(failed []failedClaim, claim claimant) bool {
	for _, f := range failed {
		if f.team == claim.job.team && (f.urgent || !claim.urgent) && f.need.Fits(claim.job.shape.need) {
			return true
		}
	}
	return false
}

// claimants returns the first waiting jobs of each team that may preempt, in the order of team names.
func (c *Cell) claimants() []claimant {
	var found []claimant
	for _, t := range c.teamList {
		if !t.known || t.waiting.IsZero() {
			continue
		}
		taken := 0
		for queue := range t.queues {
			for i := range t.queues[queue].entries {
				e := &t.queues[queue].entries[i]
				if taken == claimantsPerTeam {
					break
				}
				if e.job.token != e.token || e.job.counts.Queued == e.job.held {
					continue
				}
				taken++
				claim := claimant{job: e.job, urgent: queue == queueUrgent}
				c.refreshShape(e.job.shape, t)
				if c.mayClaim(&claim) {
					found = append(found, claim)
				}
			}
		}
	}
	return found
}

// mayClaim reports whether capacity may be freed for one more task of a job: its team stays within its limit even when it
// uses all capacity that is being freed for it, and it also stays within its fair share or the job is urgent. It sets
// underShare.
func (c *Cell) mayClaim(claim *claimant) bool {
	t, need := claim.job.team, claim.job.shape.need
	if claim.job.claims >= claim.job.counts.Queued-claim.job.held {
		return false
	}
	if !c.options.Policies.Permit.Permit(t.running.Sub(t.stopping).Add(t.reclaimed), need, t.Limit) {
		return false
	}
	claim.underShare = c.belowFairShare(t, need)
	return claim.urgent || claim.underShare
}

func (c *Cell) belowFairShare(t *team, need resource.Vector) bool {
	return c.dominantShareWith(t, t.reclaimed.Add(need)) <= t.fairShare+shareTolerance
}

// reclaimable returns the preemptible tasks in the next window of workers, in ascending order of cost.
func (c *Cell) reclaimable(claimants []claimant) []victim {
	for _, t := range c.teamList {
		t.hasVictims = c.dominantShareWith(t, resource.Vector{}.Sub(t.stopping)) > t.fairShare
	}
	for _, claim := range claimants {
		claim.job.team.hasVictims = claim.job.team.hasVictims || claim.urgent
	}
	var victims []victim
	for range min(reclaimWindow, len(c.workers)) {
		w := c.workers[c.victimStart%len(c.workers)]
		c.victimStart = (c.victimStart + 1) % len(c.workers)
		if w == nil || !w.present || w.Leaving || w.health.suspended {
			continue
		}
		for _, ref := range w.tasks {
			if ref.job.team.hasVictims && c.preemptible(ref) {
				victims = append(victims, c.victim(ref))
			}
		}
	}
	sortVictims(victims)
	return victims
}

// reclaimOne frees capacity for one task of the claimant on the first worker on which the victims, taken in order of cost,
// free enough.
func (c *Cell) reclaimOne(claim claimant, victims []victim, plan *Plan) bool {
	freed := map[int32]resource.Vector{}
	chosen := map[int32][]taskRef{}
	for _, v := range victims {
		t := v.ref.task()
		if t.flags&flagStopping != 0 || t.state != taskRunning || !c.mayPreempt(claim, v.ref) {
			continue
		}
		id := t.worker - 1
		freed[id] = freed[id].Add(v.ref.allocation())
		chosen[id] = append(chosen[id], v.ref)
		need := c.needOn(claim.job, c.workers[id])
		if need.Fits(c.index.free[id].Max(resource.Vector{}).Add(freed[id])) {
			return c.stopChosen(claim, chosen[id], need, plan)
		}
	}
	return false
}

// stopChosen stops the chosen tasks of one worker, except those whose allocation turns out not to be needed.
func (c *Cell) stopChosen(claim claimant, refs []taskRef, need resource.Vector, plan *Plan) bool {
	id := refs[0].task().worker - 1
	available := c.index.free[id].Max(resource.Vector{})
	for _, ref := range refs {
		available = available.Add(ref.allocation())
	}
	before := len(plan.Stops)
	for i := len(refs) - 1; i >= 0; i-- {
		remaining := available.Sub(refs[i].allocation())
		if need.Fits(remaining) {
			available = remaining
			continue
		}
		if refs[i].task().flags&flagStopping == 0 {
			c.stopTaskOrGang(refs[i], StopPreempted, claim.job, plan)
		}
	}
	if len(plan.Stops) == before {
		return false
	}
	c.countClaims(claim.job, 1)
	return true
}

// countClaims records that the last ordered stop frees capacity for n tasks of a job.
func (c *Cell) countClaims(j *job, n int) {
	c.stopping[len(c.stopping)-1].claims = n
	j.claims += n
}

// reclaimGang frees capacity for a gang job on the workers that are reserved for it.
func (c *Cell) reclaimGang(claim claimant, plan *Plan) {
	r, j := c.reservation, claim.job
	if r == nil || r.job != j || j.claims > 0 {
		return
	}
	missing, victims := c.gangVictims(r, claim)
	before := len(plan.Stops)
	gathered := map[int32]resource.Vector{}
	pending := map[int32][]taskRef{}
	for _, v := range victims {
		if missing <= 0 {
			break
		}
		if !c.mayPreempt(claim, v.ref) {
			continue
		}
		t := v.ref.task()
		id := t.worker - 1
		need := c.needOn(j, c.workers[id])
		had := c.freeSoon(c.workers[id]).Add(gathered[id])
		gathered[id] = gathered[id].Add(v.ref.allocation())
		pending[id] = append(pending[id], v.ref)
		gained := copies(need, had.Add(v.ref.allocation()), j.counts.Queued) - copies(need, had, j.counts.Queued)
		if gained == 0 {
			continue
		}
		missing -= gained
		for _, ref := range pending[id] {
			if ref.task().flags&flagStopping == 0 {
				c.stopTaskOrGang(ref, StopPreempted, j, plan)
			}
		}
		gathered[id], pending[id] = resource.Vector{}, nil
	}
	if len(plan.Stops) > before {
		c.countClaims(j, 1)
	}
}

// gangVictims returns how many tasks of the gang job do not fit on the reserved workers once the stopping tasks there have
// ended, and the preemptible tasks there.
func (c *Cell) gangVictims(r *reservation, claim claimant) (int, []victim) {
	missing := claim.job.counts.Queued
	var victims []victim
	for _, id := range r.workers {
		w := c.workers[id]
		if w == nil || w.reserved != r.job {
			continue
		}
		missing -= copies(c.needOn(r.job, w), c.freeSoon(w), missing)
		for _, ref := range w.tasks {
			if c.preemptible(ref) {
				victims = append(victims, c.victim(ref))
			}
		}
	}
	sortVictims(victims)
	return missing, victims
}

// freeSoon returns the free capacity of a worker plus the allocations of its stopping tasks.
func (c *Cell) freeSoon(w *worker) resource.Vector {
	free := c.index.free[w.id]
	for _, ref := range w.tasks {
		if ref.task().flags&flagStopping != 0 {
			free = free.Add(ref.allocation())
		}
	}
	return free
}

// preemptible reports whether a running task may be stopped for other work at all.
func (c *Cell) preemptible(ref taskRef) bool {
	t, j := ref.task(), ref.job
	started := t.started
	if j.Kind == Gang {
		// All tasks of the gang job would be stopped, including one that was restarted after the others.
		started = j.lastStart
	}
	return j.Kind != Service && !j.AtMostOnce && t.flags&flagStopping == 0 && c.now-started >= minVictimRun
}

// mayPreempt reports whether a running task may be preempted for the claimant.
func (c *Cell) mayPreempt(claim claimant, ref taskRef) bool {
	j := ref.job
	if j.team == claim.job.team {
		return claim.urgent && j.Urgency != Urgent && !j.raised
	}
	if !claim.underShare || !j.team.hasVictims {
		return false
	}
	freed := ref.allocation()
	if j.Kind == Gang {
		freed = freed.Scale(int64(j.counts.Running))
	}
	return c.dominantShareWith(j.team, resource.Vector{}.Sub(j.team.stopping).Sub(freed)) >= j.team.fairShare-shareTolerance
}

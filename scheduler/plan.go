package scheduler

import "siskinstack.example/siskinstack/resource"

// maxRounds bounds how often a pass goes through the queues. Another round follows if the previous one released a
// reservation.
const maxRounds = 4

// Plan decides what to start, stop and throttle now. It makes at most maxStarts starts, but a gang job that would exceed
// maxStarts is started as a whole. The allocations of the starts are reserved: the caller checks each start with Recheck
// before it carries it out, and calls StartFailed for those that it did not carry out.
func (c *Cell) Plan(now Time, maxStarts int) Plan {
	c.advance(now)
	c.endAvoidance()
	var plan Plan
	c.recheckParked()
	c.raiseDeadlines()
	c.refreshFairShares()
	c.probeSuspended()
	c.retryStops(&plan)
	c.enforceLimits(&plan)
	c.stopPartialGangs(&plan)
	if c.draining {
		c.evacuate(&plan)
	} else {
		c.planWork(&plan, maxStarts)
	}
	c.limitUsage(&plan)
	return plan
}

func (c *Cell) planWork(plan *Plan, maxStarts int) {
	c.evacuateLeaving(plan)
	c.continueUpdates(plan)
	c.startWork(plan, maxStarts)
	if len(plan.Starts) < maxStarts && c.rampAllows() {
		c.reclaim(plan)
	}
}

// startWork starts tasks in fair order until nothing more fits.
func (c *Cell) startWork(plan *Plan, maxStarts int) {
	c.startReservedGang(plan, maxStarts)
	for range maxRounds {
		released := c.released
		c.rewindTeams()
		c.startInOrder(plan, maxStarts)
		c.startReservedTask(plan, maxStarts)
		if c.released == released {
			return
		}
	}
}

// rewindTeams resets the cursors of all queues, so that every waiting job is a candidate again.
func (c *Cell) rewindTeams() {
	for _, t := range c.teamList {
		for i := range t.queues {
			t.queues[i].rewind()
		}
		t.candidate, t.exhausted = nil, !t.known
	}
}

func (c *Cell) startInOrder(plan *Plan, maxStarts int) {
	for len(plan.Starts) < maxStarts && c.rampAllows() {
		t := c.nextTeam()
		if t == nil {
			return
		}
		if !c.tryCandidate(t, plan) {
			t.skipCandidate()
		}
	}
}

// nextTeam returns the team whose candidate is next: first teams with urgent work that are below their fair share, then
// the team with the lowest weighted share.
func (c *Cell) nextTeam() *team {
	var best *team
	bestUrgent := false
	for _, t := range c.teamList {
		if t.exhausted {
			continue
		}
		if t.candidate == nil || t.candidate.counts.Queued == 0 {
			c.nextCandidate(t)
			if t.candidate == nil {
				continue
			}
		}
		urgent := t.hasPriority()
		if best == nil || (urgent && !bestUrgent) || (urgent == bestUrgent && t.share < best.share) {
			best, bestUrgent = t, urgent
		}
	}
	return best
}

// hasPriority reports whether the candidate of a team is urgent work and the team is below its fair share.
func (t *team) hasPriority() bool {
	return t.candidateQueue == queueUrgent && t.share*float64(max(t.Share, 1)) < t.fairShare
}

// permits reports whether a team may run need in addition to its running work.
func (c *Cell) permits(t *team, need resource.Vector) bool {
	return c.options.Policies.Permit.Permit(t.running, need, t.Limit)
}

// startSmaller starts a task on a smaller worker, where its allocation stays within the team's limit.
func (c *Cell) startSmaller(j *job, plan *Plan) bool {
	if j.shape.need == j.shape.declared || !c.permits(j.team, j.shape.declared) {
		return false
	}
	id, need := c.findSmaller(j.shape, j.team, -1)
	if id < 0 {
		return false
	}
	slot, ok := c.slotFor(j, c.workers[id])
	if !ok {
		return c.startSmallerElsewhere(j, id, plan)
	}
	plan.Starts = append(plan.Starts, c.start(taskRef{j, slot}, c.workers[id], need))
	return true
}

// startSmallerElsewhere starts a task on a smaller worker other than avoid, on which no waiting task may start.
func (c *Cell) startSmallerElsewhere(j *job, avoid int32, plan *Plan) bool {
	id, need := c.findSmaller(j.shape, j.team, avoid)
	if id < 0 {
		return false
	}
	slot, ok := c.slotFor(j, c.workers[id])
	if ok {
		plan.Starts = append(plan.Starts, c.start(taskRef{j, slot}, c.workers[id], need))
	}
	return ok
}

// tryCandidate starts one task of a team's candidate, or all of its tasks if it is a gang job.
func (c *Cell) tryCandidate(t *team, plan *Plan) bool {
	j := t.candidate
	c.refreshShape(j.shape, t)
	if j.Kind == Gang {
		return c.tryGang(j, plan)
	}
	if _, ok := j.nextQueued(); !ok {
		return false
	}
	if !c.permits(t, j.shape.need) {
		return c.startSmaller(j, plan)
	}
	chosen := c.pick(j)
	if chosen.worker == nil && c.releaseForUrgent(t) {
		chosen = c.pick(j)
	}
	if chosen.worker == nil {
		c.noteBlocked(j, chosen)
		return false
	}
	plan.Starts = append(plan.Starts, c.start(taskRef{j, chosen.slot}, chosen.worker, chosen.need))
	return true
}

// noteBlocked keeps a job that found no worker from being tried again before the capacity version changes. It parks a job
// that can never run, and reserves a worker for a large task that has waited too long.
func (c *Cell) noteBlocked(j *job, chosen choice) {
	if chosen.avoided {
		j.avoidBlockedAt = c.capacityVersion
		return
	}
	j.shape.blockedAt = c.capacityVersion
	c.parkIfUnschedulable(j)
	if c.isLarge(j.shape.need) {
		c.reserveFor(j, 1)
	}
}

package scheduler

import "siskinstack.example/siskinstack/resource"

// parkIfUnschedulable parks a job that found no worker if it can never run with the present workers and limits.
func (c *Cell) parkIfUnschedulable(j *job) {
	if j.examinedAt == c.topologyVersion {
		return
	}
	if reason := c.unschedulableReason(j); reason != WaitNone {
		c.dropReservation(j)
		c.park(j)
		j.parked = reason
	}
}

// park removes a job from its queue until workers or teams change.
func (c *Cell) park(j *job) {
	j.dequeue()
	c.listParked(j)
	j.addWaiting(-j.counts.Queued)
	if j.parked == WaitNone {
		j.parked = WaitNoCapacity
	}
}

// listParked adds a parked job to the list that is examined again when workers or teams change.
func (c *Cell) listParked(j *job) {
	if !j.inParked {
		j.inParked = true
		c.parked = append(c.parked, j)
	}
}

// recheckParked examines the parked jobs after a change of workers or teams, and queues those that can run now.
func (c *Cell) recheckParked() {
	if c.parkedAt == c.topologyVersion && 2*c.parkedCancelled <= len(c.parked) {
		return
	}
	c.parkedAt, c.parkedCancelled = c.topologyVersion, 0
	kept := c.parked[:0]
	for _, j := range c.parked {
		if j.cancelled || j.counts.Queued == 0 && j.counts.Running == 0 {
			j.inParked = false
			continue
		}
		c.unparkIfPossible(j)
		if j.parked == WaitNone {
			j.inParked = false
			continue
		}
		kept = append(kept, j)
	}
	clear(c.parked[len(kept):])
	c.parked = kept
}

// unparkIfPossible examines a parked job again, and queues it if it can run now.
func (c *Cell) unparkIfPossible(j *job) {
	if j.parked == WaitNone {
		return
	}
	reason := c.unschedulableReason(j)
	if reason != WaitNone {
		j.parked = reason
		// A job whose tasks had all moved to another shard is no longer in the list; some of them may have returned.
		c.listParked(j)
		return
	}
	j.parked = WaitNone
	j.addWaiting(j.counts.Queued)
	c.enqueue(j)
}

// unschedulableReason returns why a job cannot run with the present workers and limits even if nothing else ran, or WaitNone.
func (c *Cell) unschedulableReason(j *job) WaitReason {
	j.examinedAt = c.topologyVersion
	switch {
	case !j.team.known:
		return WaitUnknownTeam
	case !j.Each.Fits(j.team.maxRunning()):
		return WaitOverCeiling
	case len(c.capacityCounts) == 0:
		// No worker is known yet, for example after a takeover.
		return WaitNone
	case !c.fitsSomeWorker(j):
		return WaitTooLarge
	case j.Kind != Gang:
		return WaitNone
	}
	n := j.counts.Queued + j.counts.Running
	if !j.Each.Scale(int64(n)).Fits(j.team.maxRunning()) {
		return WaitOverCeiling
	}
	if !c.gangFitsEmpty(j, n, declaredNeed) {
		return WaitGangTooBig
	}
	return WaitNone
}

func (c *Cell) fitsSomeWorker(j *job) bool {
	for capacity := range c.capacityCounts {
		if j.Each.Fits(capacity) {
			return true
		}
	}
	return false
}

// declaredNeed is the declared size of a task.
func declaredNeed(j *job, _ *worker) resource.Vector { return j.Each }

// gangFitsEmpty reports whether the workers, or those of one rack, could take the whole gang job if they were empty.
func (c *Cell) gangFitsEmpty(j *job, n int, need func(*job, *worker) resource.Vector) bool {
	total := 0
	for _, members := range c.racks {
		rack := 0
		for _, id := range members {
			if w := c.workers[id]; w.present && !w.Leaving {
				rack += copies(need(j, w), w.Capacity, n)
			}
		}
		if rack >= n {
			return true
		}
		total += rack
	}
	return total >= n && !j.SameRack
}

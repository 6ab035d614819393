package scheduler

// remedies maps each reason to what would have to change for a waiting job to start.
var remedies = map[WaitReason]string{
	WaitNoCapacity:  "wait until running work ends, or ask the operators for more workers",
	WaitCeiling:     "wait until work of the team ends, or ask the operators for a higher ceiling",
	WaitShare:       "wait: other teams are below their fair share",
	WaitDraining:    "wait until the operators return the availability zone to service",
	WaitTooLarge:    "submit tasks that fit on one worker, or ask the operators for larger workers",
	WaitGangTooBig:  "submit fewer or smaller tasks, allow more than one rack, or ask the operators for more workers",
	WaitOverCeiling: "submit less than the ceiling of the team, or ask the operators for a higher ceiling",
	WaitHeld:        "wait until the earlier run of the task has certainly ended",
	WaitUnknownTeam: "ask the operators to add the team to the bundle",
	WaitStarting:    "the next pass starts it",
	WaitOtherWorker: "wait until a worker has room on which the tasks have not failed",
	WaitReturning:   "wait: the availability zone fills gradually after its return",
}

// Explain returns why a job's tasks wait.
func (c *Cell) Explain(id string) (Waiting, error) {
	j, ok := c.jobs[id]
	if !ok {
		return Waiting{}, ErrUnknownJob
	}
	reason := c.waitReason(j)
	return Waiting{Reason: reason, Remedy: remedies[reason]}, nil
}

func (c *Cell) waitReason(j *job) WaitReason {
	t := j.team
	if j.counts.Queued == 0 {
		return WaitNone
	}
	n := int64(1)
	if j.Kind == Gang {
		n = int64(j.counts.Queued)
	}
	c.refreshShape(j.shape, t)
	switch {
	case j.parked != WaitNone:
		return j.parked
	case c.draining:
		return WaitDraining
	case j.held == j.counts.Queued || (j.Kind == Gang && j.held > 0):
		return WaitHeld
	case !c.permits(t, j.need().Scale(n)):
		return WaitCeiling
	case !c.rampAllows():
		return WaitReturning
	case j.avoidBlockedAt == c.capacityVersion:
		return WaitOtherWorker
	case j.shape.blockedAt == c.capacityVersion || j.gangBlockedAt == c.capacityVersion:
		if c.dominantShareWith(t, j.shape.need) > t.fairShare {
			return WaitShare
		}
		return WaitNoCapacity
	default:
		return c.waitOutsidePass(j)
	}
}

// waitOutsidePass returns the reason for a job that the last pass did not reach.
func (c *Cell) waitOutsidePass(j *job) WaitReason {
	if j.Kind == Gang && !c.gangBlocked(j) && c.fitGang(j, j.counts.Queued) {
		return WaitStarting
	}
	if j.Kind != Gang {
		if id, _ := c.findBest(j.shape, j.team, -1); id >= 0 {
			return WaitStarting
		}
	}
	if c.dominantShareWith(j.team, j.shape.need) > j.team.fairShare {
		return WaitShare
	}
	return WaitNoCapacity
}

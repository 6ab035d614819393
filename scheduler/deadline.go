package scheduler

const (
	// raiseQuantile is the quantile of the learned run times from which the latest start of a job is computed.
	raiseQuantile = 0.9
	// feasibleQuantile is the quantile of the learned run times that decides whether a job can still be ready in time.
	feasibleQuantile = 0.5
	// safetyFactor allows for the delay from the decision to the start, and for run times above the quantile.
	safetyFactor = 1.5
)

// raiseDeadlines moves jobs that must start soon to meet their ready-by time into the urgent queue. Jobs that can no longer
// meet it return to their own queue, because they would take capacity from jobs that can.
func (c *Cell) raiseDeadlines() {
	kept := c.timed[:0]
	for _, j := range c.timed {
		if j.cancelled || j.counts.Queued+j.counts.Running == 0 {
			continue
		}
		kept = append(kept, j)
		if j.counts.Queued > 0 && j.Urgency != Urgent {
			c.raiseOrLower(j)
		}
	}
	clear(c.timed[len(kept):])
	c.timed = kept
}

func (c *Cell) raiseOrLower(j *job) {
	at := j.raiseAt()
	raised := c.now >= at && c.feasible(j)
	if raised == j.raised {
		return
	}
	j.dequeue()
	j.raised, j.raisedAt = raised, at
	c.enqueue(j)
}

// raiseAt returns the time from which a job belongs in the urgent queue.
func (j *job) raiseAt() Time {
	estimate := j.estimate(raiseQuantile)
	if estimate == 0 {
		// The run time is unknown: reserve half of the available time for it.
		return j.Accepted + (j.ReadyBy-j.Accepted)/2
	}
	return j.ReadyBy - Time(float64(estimate)*safetyFactor)
}

func (c *Cell) feasible(j *job) bool {
	return c.now+j.estimate(feasibleQuantile) <= j.ReadyBy
}

// AtRisk reports whether a job is expected to miss its ready-by time.
func (c *Cell) AtRisk(id string) (bool, error) {
	j, ok := c.jobs[id]
	if !ok {
		return false, ErrUnknownJob
	}
	if j.ReadyBy == 0 || j.cancelled {
		return false, nil
	}
	if j.counts.Queued > 0 {
		return !c.feasible(j), nil
	}
	if j.counts.Running == 0 {
		return false, nil
	}
	estimate := j.estimate(feasibleQuantile)
	for slot := range j.tasks {
		t := &j.tasks[slot]
		if t.state == taskRunning && max(t.started+estimate, c.now) > j.ReadyBy {
			return true, nil
		}
	}
	return false, nil
}

package scheduler

// restartsTogether reports whether the tasks of a job only ever run together. Members of gang jobs that run at most once
// cannot start again, so they run to their ends.
func (j *job) restartsTogether() bool { return j.Kind == Gang && !j.AtMostOnce }

// regroupSoon lets the next pass stop the running members of a gang job of which others wait.
func (c *Cell) regroupSoon(j *job) {
	if j.restartsTogether() && !j.regrouping && j.counts.Running > 0 {
		j.regrouping = true
		c.regrouping = append(c.regrouping, j)
	}
}

// regroup stops the members of gang jobs that run without the others, which have failed, were lost or were not started.
// The job starts again together once the last one has ended.
func (c *Cell) regroup(plan *Plan) {
	kept := c.regrouping[:0]
	for _, j := range c.regrouping {
		if j.held > 0 && !j.cancelled && !j.gangFailed {
			kept = append(kept, j) // after a takeover, waiting members may yet be found running
			continue
		}
		j.regrouping = false
		if j.counts.Queued > 0 || j.gangFailed {
			c.stopMembers(j, plan)
		}
	}
	clear(c.regrouping[len(kept):])
	c.regrouping = kept
}

func (c *Cell) stopMembers(j *job, plan *Plan) {
	for slot := range j.tasks {
		member := taskRef{j, int32(slot)}
		if t := member.task(); t.state == taskRunning && t.flags&flagStopping == 0 {
			plan.Stops = append(plan.Stops, c.stop(member, StopGang, nil))
		}
	}
}

// FailGang ends a gang job of which a member has failed for good: waiting members have failed too, and running ones fail
// when they have been stopped, unless they succeed first.
func (c *Cell) FailGang(id string) error {
	j, ok := c.jobs[id]
	if !ok {
		return ErrUnknownJob
	}
	if j.restartsTogether() && !j.cancelled {
		c.failGang(j)
	}
	return nil
}

func (c *Cell) failGang(j *job) {
	j.gangFailed = true
	j.dequeue()
	c.dropReservation(j)
	for slot := range j.tasks {
		// A held member may still run; it ends when that is known.
		if t := &j.tasks[slot]; t.state == taskQueued && t.flags&flagHeld == 0 {
			c.finish(taskRef{j, int32(slot)}, Failed)
		}
	}
	c.regroupSoon(j)
}

// settleGang ends a member that is no longer held if its gang job has failed, or lets the job start again together.
func (c *Cell) settleGang(ref taskRef) {
	j, t := ref.job, ref.task()
	if t.flags&flagHeld != 0 {
		return
	}
	if j.gangFailed && !j.cancelled {
		c.finish(ref, Failed)
		return
	}
	c.regroupSoon(j)
}

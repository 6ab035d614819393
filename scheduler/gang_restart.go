package scheduler

// restartsTogether reports whether the tasks of a job are always restarted together. Members of gang jobs that run at most
// once cannot start again, so they run to completion.
func (j *job) restartsTogether() bool { return j.Kind == Gang && !j.AtMostOnce }

// notePartialGang makes the next pass stop the running members of a gang job of which other members wait.
func (c *Cell) notePartialGang(j *job) {
	if j.restartsTogether() && !j.partial && j.counts.Running > 0 {
		j.partial = true
		c.partialGangs = append(c.partialGangs, j)
	}
}

// stopPartialGangs stops the running members of gang jobs of which other members have failed, were lost or were not
// started. The whole job starts again once its last running member has ended.
func (c *Cell) stopPartialGangs(plan *Plan) {
	kept := c.partialGangs[:0]
	for _, j := range c.partialGangs {
		if j.held > 0 && !j.cancelled && !j.gangFailed {
			kept = append(kept, j) // after a takeover, held members may still be found running
			continue
		}
		j.partial = false
		if j.counts.Queued > 0 || j.gangFailed {
			c.stopMembers(j, plan)
		}
	}
	clear(c.partialGangs[len(kept):])
	c.partialGangs = kept
}

func (c *Cell) stopMembers(j *job, plan *Plan) {
	for slot := range j.tasks {
		member := taskRef{j, int32(slot)}
		if t := member.task(); t.state == taskRunning && t.flags&flagStopping == 0 {
			plan.Stops = append(plan.Stops, c.stop(member, StopGang, nil))
		}
	}
}

// FailGang ends a gang job of which a member has failed permanently: waiting members fail too, and running ones fail
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
		// A held member may still run under an earlier owner; it is ended once that is known.
		if t := &j.tasks[slot]; t.state == taskQueued && t.flags&flagHeld == 0 {
			c.finish(taskRef{j, int32(slot)}, Failed)
		}
	}
	c.notePartialGang(j)
}

// resolveGangMember fails a member that is no longer held if its gang job has failed; otherwise it lets the whole job start
// again.
func (c *Cell) resolveGangMember(ref taskRef) {
	j, t := ref.job, ref.task()
	if t.flags&flagHeld != 0 {
		return
	}
	if j.gangFailed && !j.cancelled {
		c.finish(ref, Failed)
		return
	}
	c.notePartialGang(j)
}

package scheduler

import "github.com/rotisserie/eris"

// Recheck verifies a start against the current state. If it returns an error, the caller does not carry the start out and
// calls StartFailed.
func (c *Cell) Recheck(start Start) error {
	ref, err := c.lookup(start.Task)
	if err != nil {
		return err
	}
	t := ref.task()
	if t.state != taskRunning || t.attempt != start.Attempt {
		return eris.Wrap(ErrStaleStart, "the attempt is no longer the current one")
	}
	w := c.workers[t.worker-1]
	switch {
	case w.Name != start.Worker:
		return eris.Wrap(ErrStaleStart, "the task was placed on another worker")
	case t.flags&flagStopping != 0:
		return eris.Wrap(ErrStaleStart, "the task has been ordered to stop")
	case c.draining:
		return eris.Wrap(ErrStaleStart, "the availability zone drains")
	case !w.present || w.Leaving:
		return eris.Wrapf(ErrStaleStart, "worker %q is leaving", w.Name)
	case w.health.suspended:
		return eris.Wrapf(ErrStaleStart, "worker %q is suspended", w.Name)
	case !w.used.Fits(w.Capacity):
		return eris.Wrapf(ErrStaleStart, "worker %q has less capacity than before", w.Name)
	case !ref.job.team.known || !ref.job.team.running.Fits(ref.job.team.Limit):
		return eris.Wrapf(ErrStaleStart, "team %q is over its limit", start.Team)
	}
	return nil
}

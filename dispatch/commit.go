package dispatch

import (
	"time"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/resource"
)

// Change is the progress of one job to be committed to the store.
type Change struct {
	job      *Job
	ID       string
	Phase    siskinv1.WorkflowPhase
	Progress *siskinv1.WorkflowProgress
	orders   []*Task
	ends     []pendingEnd
}

// Record returns the job of the change as it was accepted.
func (c Change) Record() *siskinv1.Workflow { return c.job.Record }

// Ends reports whether the change ends its job.
func (c Change) Ends() bool { return ended(c.Phase) && !ended(c.job.DurablePhase) }

// pendingEnd identifies the end of a run, which the worker reports until it is acknowledged.
type pendingEnd struct {
	worker      *Worker
	incarnation int64
	number      int64
}

// TakeChanges removes and returns the oldest changes of at most the given number of jobs. A job with a commit in flight
// is skipped, so that concurrent commits never contain the same job.
func (s *State) TakeChanges(limit int) []Change {
	var changes []Change
	waiting := s.dirtyQueue[:0]
	for _, j := range s.dirtyQueue {
		if j.saving || len(changes) >= limit {
			waiting = append(waiting, j)
			continue
		}
		changes = append(changes, Change{
			job: j, ID: j.Record.GetId(), Phase: j.Phase, Progress: j.Progress(), orders: j.orders, ends: j.ends,
		})
		j.saving, j.orders, j.ends = true, nil, nil
		delete(s.dirty, j.Record.GetId())
	}
	clear(s.dirtyQueue[len(waiting):])
	s.dirtyQueue = waiting
	return changes
}

// Committed records that changes are durable. It returns the runs to start, and the workers whose reported ends are now
// all durable. A run is not started if its job has ended, or its worker or ticket is no longer usable.
func (s *State) Committed(changes []Change, now time.Time) (orders []*Task, settled []*Worker) {
	for _, c := range changes {
		c.job.DurablePhase, c.job.saving = c.Phase, false
		for _, end := range c.ends {
			if end.worker.markSaved(end) {
				settled = append(settled, end.worker)
			}
		}
		withheld := s.withheldGangs(c, now)
		for _, t := range c.orders {
			if t.phase != phasePlanned || t.worker == nil {
				continue
			}
			if t.stop || c.job.Ended() || withheld[t.step] || !s.mayOrder(t, now) {
				s.release(t)
				continue
			}
			t.phase = phaseOrdered
			s.unanswered[t] = now
			orders = append(orders, t)
		}
	}
	return orders, settled
}

// Uncommitted records that a change will not become durable. It is part of the job's next change.
func (s *State) Uncommitted(c Change) {
	j := c.job
	j.saving = false
	j.orders, j.ends = append(c.orders, j.orders...), append(c.ends, j.ends...)
	s.markDirty(j)
}

// GiveUp fails a job whose progress exceeds what the store can hold, so that its commits do not fail for good. Only the end is
// stored; a later controller stops the runs as unknown ones.
func (s *State) GiveUp(c Change, unixMs int64) {
	s.Uncommitted(c)
	c.job.endOnly = true
	if !c.job.Ended() {
		s.log.Decision("failed", c.ID, "cause", "progress exceeds what the store can hold")
		s.endJob(c.job, siskinv1.WorkflowPhase_WORKFLOW_PHASE_FAILED, unixMs)
	}
}

// withheldGangs returns the gangs of a change of which some member may not be ordered. The others would wait for it.
func (s *State) withheldGangs(c Change, now time.Time) map[*Step]bool {
	var withheld map[*Step]bool
	for _, t := range c.orders {
		if t.step.spec.GetGang() && (t.phase != phasePlanned || t.worker == nil || t.stop || !s.mayOrder(t, now)) {
			if withheld == nil {
				withheld = map[*Step]bool{}
			}
			withheld[t.step] = true
		}
	}
	return withheld
}

// releaseUnstarted releases a task whose run does not begin. The other members of a gang would wait for it, so they are
// stopped.
func (s *State) releaseUnstarted(t *Task) {
	s.release(t)
	if !t.step.spec.GetGang() {
		return
	}
	for i := range t.step.tasks {
		s.requestStop(&t.step.tasks[i], "member of the gang did not start")
	}
}

// addEnd adds the end of a run to the job's next change; it is acknowledged once that change is durable.
func (j *Job) addEnd(w *Worker, number int64) {
	j.ends = append(j.ends, pendingEnd{worker: w, incarnation: w.Info.Incarnation, number: number})
	w.unsaved[number] = struct{}{}
}

// markSaved records that an end is durable and reports whether no others are pending on the worker.
func (w *Worker) markSaved(end pendingEnd) bool {
	if end.incarnation != w.Info.Incarnation {
		return false
	}
	delete(w.unsaved, end.number)
	return len(w.unsaved) == 0
}

// ConfirmOrder checks a run again before its start order is sent, because the order may have waited behind others. It
// reports whether the order may be sent; if not, the task waits for a worker again.
func (s *State) ConfirmOrder(t *Task, run int32, now time.Time) bool {
	if t.run != run || t.worker == nil || t.phase != phaseOrdered {
		return false
	}
	if t.stop || t.step.job.Ended() || !s.mayOrder(t, now) {
		s.releaseUnstarted(t)
		return false
	}
	t.sent, t.sentAt, t.incarnation = true, now, t.worker.Info.Incarnation
	return true
}

// Withdraw gives up a run whose start order was not sent. The task waits for a worker again.
func (s *State) Withdraw(t *Task, run int32) {
	if t.run == run && t.worker != nil && t.phase == phaseOrdered {
		s.releaseUnstarted(t)
	}
}

// mayOrder checks a planned run against the current state. Tickets may expire while a commit waits for an unavailable
// store.
func (s *State) mayOrder(t *Task, now time.Time) bool {
	w := t.worker
	p := &placement{step: t.step, now: now, queue: s.queue(t.step.job)}
	if p.isAdvised() && !t.step.advice.tickets[w.Info.ID].isValid(w, now) {
		return false
	}
	return w.Listed && w.reachable && w.isDescribed() && !w.Info.Draining && !w.cordoned && s.isSuitable(p, w) && w.hasRoomFor(t)
}

// hasRoomFor reports whether the worker still has the capacity for a task that is planned on it. A worker may shrink after
// the plan. It then starts the tasks that fit beside those that are ahead, including runs that are being stopped: before
// the commit those that are ordered, and before an order is sent those whose order has been sent.
func (w *Worker) hasRoomFor(t *Task) bool {
	if w.allocated.Fits(w.Info.Capacity) {
		return true
	}
	ahead := func(other *Task) bool {
		switch {
		case other == t:
			return false
		case t.step.spec.GetGang():
			// All members start, so all that is planned has to fit.
			return true
		case t.phase == phasePlanned:
			return other.phase != phasePlanned
		default:
			return other.sent
		}
	}
	var sum resource.Vector
	for other := range w.tasks {
		if ahead(other) {
			sum = sum.Add(other.allocation())
		}
	}
	return fitsBeside(t.allocation(), sum, w.Info.Capacity)
}

// fitsBeside reports whether an amount fits beside others. A dimension of which it takes nothing does not count.
func fitsBeside(amount, others, capacity resource.Vector) bool {
	fits := func(amount, others, capacity int64) bool { return amount == 0 || amount+others <= capacity }
	return fits(amount.MilliCPU, others.MilliCPU, capacity.MilliCPU) &&
		fits(amount.MemoryBytes, others.MemoryBytes, capacity.MemoryBytes) &&
		fits(amount.Accelerators, others.Accelerators, capacity.Accelerators)
}

// Start returns the order to start a planned run.
func (t *Task) Start() infra.StartOrder {
	return infra.StartOrder{
		Task: t.ID(), Run: t.run, Payload: t.step.job.Record.GetPayload(), Checkpoint: t.checkpoint, Ticket: t.ticketFor(),
	}
}

// Stop returns the order to stop a run, with the reason.
func (t *Task) Stop() (infra.StopOrder, string) {
	return infra.StopOrder{Task: t.ID(), Run: t.run}, t.stopReason
}

// Worker returns what the worker of the newest run last reported, or the zero value.
func (t *Task) Worker() infra.FleetWorker {
	if t.worker == nil {
		return infra.FleetWorker{}
	}
	return t.worker.Info
}

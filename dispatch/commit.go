package dispatch

import (
	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/infra"
)

// Change is the progress of one job that is to become durable.
type Change struct {
	job      *Job
	ID       string
	Phase    siskinv1.WorkflowPhase
	Progress *siskinv1.WorkflowProgress
	orders   []*Task
}

// Batch is a set of changes that become durable together, with what may be told to workers afterwards.
type Batch struct {
	Changes []Change
	// seen is the last end of each worker that the changes cover.
	seen map[*Worker]lastEnd
}

// lastEnd is the number of an end in one incarnation of a worker.
type lastEnd struct {
	incarnation int64
	number      int64
}

// Take returns all changes since the last call. Ends that workers listed are covered once all of them are durable.
func (s *State) Take() Batch {
	batch := Batch{seen: map[*Worker]lastEnd{}}
	for id, j := range s.dirty {
		batch.Changes = append(batch.Changes, Change{job: j, ID: id, Phase: j.Phase, Progress: j.Progress(), orders: j.orders})
		j.orders = nil
		delete(s.dirty, id)
	}
	for _, w := range s.workers {
		if w.seen != w.acknowledged {
			batch.seen[w] = lastEnd{w.Info.Incarnation, w.seen}
		}
	}
	return batch
}

// Committed takes in that changes are durable, and returns the runs to order. A run whose job has ended, or whose
// worker was lost meanwhile, is not ordered.
func (s *State) Committed(changes []Change) []*Task {
	var orders []*Task
	for _, c := range changes {
		c.job.DurablePhase, c.job.stored = c.Phase, true
		for _, t := range c.orders {
			if t.phase != phasePlanned || t.worker == nil {
				continue
			}
			if t.stop || c.job.Ended() || !s.mayOrder(t) {
				s.release(t)
				continue
			}
			t.phase = phaseOrdered
			orders = append(orders, t)
		}
	}
	return orders
}

// mayOrder compares a planned run with the newest state.
func (s *State) mayOrder(t *Task) bool {
	w := t.worker
	return w.Listed && w.reachable && !w.Info.Draining && s.suits(t.step, w)
}

// Acknowledge lets workers forget the ends that a batch covers, and returns the workers.
func (s *State) Acknowledge(batch Batch) []*Worker {
	var workers []*Worker
	for w, seen := range batch.seen {
		if seen.incarnation == w.Info.Incarnation {
			w.acknowledged = max(w.acknowledged, seen.number)
			workers = append(workers, w)
		}
	}
	return workers
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

package owner

import (
	"context"
	"time"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/scheduler"
)

// recovery is the phase after a takeover in which tasks of the previous owner may still run without being reported.
type recovery struct {
	// unreported are the workers that may hold tasks and have not reported to this owner.
	unreported map[string]bool
	// until is when every lease that the previous owner may have granted is known to have ended.
	until time.Time
	// held are the tasks that the scheduler does not start before the recovery ends.
	held []scheduler.TaskID
}

// beginRecovery holds every open task until it is known not to run. The caller holds mu.
func (o *Owner) beginRecovery() {
	r := &recovery{
		unreported: map[string]bool{},
		// The previous owner's right had ended when this one's began, so no lease was extended after that.
		until: o.origin.Add(TaskLease + leaseMargin),
	}
	for worker := range o.state.workers {
		r.unreported[worker] = true
		o.worker(worker)
	}
	for _, id := range sortedKeys(o.state.jobs) {
		o.submitToScheduler(id)
		for _, index := range o.state.jobs[id].openIndexes() {
			task := scheduler.TaskID{Job: id, Index: index}
			if o.cell.Hold(task) == nil {
				r.held = append(r.held, task)
			}
		}
	}
	o.recovery = r
	o.endRecoveryIfComplete()
}

// adopt takes over an attempt that was started on a worker before the takeover. It returns false if the attempt must
// not run. The caller holds mu.
func (o *Owner) adopt(worker string, task infra.TaskReport) bool {
	id := taskID(task.Task)
	j := o.state.jobs[id.Job]
	if o.recovery == nil || j == nil || !j.held.contains(id.Index) || o.placed[id] != nil {
		return false
	}
	if _, ended := j.ended[id.Index]; ended {
		return false
	}
	if o.cell.Adopt(id, task.Task.Attempt, worker, task.Resources) != nil {
		return false
	}
	p := &placement{
		ref: task.Task, worker: worker, startDoneAt: o.options.Clock.Now(),
		atMostOnce: j.spec().GetAtMostOnce(),
	}
	o.placed[id] = p
	o.worker(worker).placed[id] = p
	return true
}

// resolveEndedBeforeAdoption passes the outcome of a task that ended before this owner saw it running to the scheduler.
// Failed and stopped attempts of tasks that may be repeated are not passed on. The caller holds mu.
func (o *Owner) resolveEndedBeforeAdoption(task infra.TaskReport) {
	id := taskID(task.Task)
	j := o.state.jobs[id.Job]
	if o.recovery == nil || j == nil || o.placed[id] != nil {
		return
	}
	if _, ended := j.ended[id.Index]; ended {
		return
	}
	outcome := outcomeOfPhase(task.Phase, j.spec().GetAtMostOnce())
	if outcome == scheduler.Succeeded || outcome == scheduler.Unknown || j.spec().GetAtMostOnce() {
		_ = o.cell.Resolve(id, outcome)
		o.noteFinal(id)
	}
}

// markWorkerRecovered notes that a worker no longer holds unreported tasks. The caller holds mu.
func (o *Owner) markWorkerRecovered(name string) {
	if o.recovery == nil {
		return
	}
	delete(o.recovery.unreported, name)
	o.endRecoveryIfComplete()
}

// expireRecovery ends the recovery when every lease of the previous owner is known to have ended. The caller holds mu.
func (o *Owner) expireRecovery(now time.Time) {
	if o.recovery == nil || now.Before(o.recovery.until) {
		return
	}
	o.recovery.unreported = nil
	o.endRecoveryIfComplete()
}

// endRecoveryIfComplete releases the held tasks once no worker is unreported. Claimed tasks that were not found have an
// unknown outcome, because they may have run. The caller holds mu.
func (o *Owner) endRecoveryIfComplete() {
	r := o.recovery
	if len(r.unreported) > 0 {
		return
	}
	o.recovery = nil
	var unknown []*siskinv1.Record
	for _, id := range r.held {
		_ = o.cell.Unhold(id)
		j := o.state.jobs[id.Job]
		if j == nil || o.placed[id] != nil {
			continue
		}
		claim := j.claims[id.Index]
		if claim == nil {
			continue
		}
		if _, final := o.cell.Final(id); !final {
			_ = o.cell.Resolve(id, scheduler.Unknown)
			o.noteFinal(id)
			o.options.Metrics.ended(o.shard, scheduler.Unknown)
		}
		unknown = append(unknown, o.claimedEndRecord(id, claim))
	}
	o.options.Logger.Info("recovery ended", "shard", o.shard, "tasks", len(r.held), "unknown", len(unknown))
	if len(unknown) == 0 {
		return
	}
	o.background(func(ctx context.Context) { _ = o.append(ctx, unknown...) })
}

// claimedEndRecord returns the record of the end of a claimed task that is not running. The caller holds mu.
func (o *Owner) claimedEndRecord(id scheduler.TaskID, claim *siskinv1.TaskClaimed) *siskinv1.Record {
	outcome, final := o.cell.Final(id)
	if !final {
		outcome = scheduler.Unknown
	}
	return endedRecord(id.Job, id.Index, claim.GetAttempt(), stateOf(outcome), "owner changed while the task may have run")
}

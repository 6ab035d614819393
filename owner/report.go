package owner

import (
	"context"
	"time"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/scheduler"
)

// reportActions are the actions that a worker's report requires.
type reportActions struct {
	stale      []infra.TaskRef // running attempts that must not run
	unresolved []*placement    // uncertain starts that the worker does not report
	unknown    []*placement    // lost attempts of tasks that run at most once
	ended      []infra.TaskReport
}

// processReport applies a worker's report to the placements and executes the actions that it requires.
func (o *Owner) processReport(ctx context.Context, report infra.WorkerReport, sent time.Time) {
	o.mu.Lock()
	actions := o.applyReport(report, sent)
	o.markWorkerRecovered(report.Worker)
	loggingEnds := o.worker(report.Worker).loggingEnds
	if len(actions.ended) > 0 {
		o.worker(report.Worker).loggingEnds = true
	}
	o.mu.Unlock()
	for _, ref := range actions.stale {
		o.options.Metrics.staleRuns.WithLabelValues(o.shard).Inc()
		o.stopAttempt(ctx, report.Worker, ref)
	}
	for _, p := range actions.unresolved {
		o.resolveUncertain(ctx, p)
	}
	if len(actions.unknown) > 0 {
		o.background(func(ctx context.Context) { o.logUnknown(ctx, actions.unknown) })
	}
	if len(actions.ended) > 0 && !loggingEnds {
		o.background(func(ctx context.Context) { o.logEnds(ctx, report.Worker, actions.ended) })
	}
}

// applyReport updates placements from a report and returns the actions that it requires. The caller holds mu.
func (o *Owner) applyReport(report infra.WorkerReport, sent time.Time) reportActions {
	var actions reportActions
	seen := map[infra.TaskRef]bool{}
	for _, task := range report.Tasks {
		seen[task.Task] = true
		p := o.placement(task.Task, report.Worker)
		switch {
		case p != nil && task.Phase == infra.PhaseRunning:
			o.confirmRunning(p, task)
		case p != nil:
			o.attemptEnded(p, task)
			actions.ended = append(actions.ended, task)
		case task.Phase != infra.PhaseRunning:
			o.resolveEndedBeforeAdoption(task)
			actions.ended = append(actions.ended, task)
		case !o.adopt(report.Worker, task):
			actions.stale = append(actions.stale, task.Task)
		}
	}
	o.findMissing(report.Worker, seen, sent, &actions)
	return actions
}

func (o *Owner) confirmRunning(p *placement, task infra.TaskReport) {
	p.uncertain = false
	if p.startDoneAt.IsZero() {
		p.startDoneAt = o.options.Clock.Now()
	}
	o.cell.Usage(taskID(task.Task), task.Task.Attempt, task.Used)
}

// attemptEnded passes the end of the current attempt to the scheduler. The caller holds mu.
func (o *Owner) attemptEnded(p *placement, task infra.TaskReport) {
	o.finishAttempt(p.ref, outcomeOfPhase(task.Phase, p.atMostOnce))
}

// findMissing finds placements that the worker does not report. Only starts that were done before the report was
// requested count, since others may still be in flight. The caller holds mu.
func (o *Owner) findMissing(worker string, seen map[infra.TaskRef]bool, sent time.Time, actions *reportActions) {
	for _, p := range o.worker(worker).placed {
		if seen[p.ref] || p.startDoneAt.IsZero() || !p.startDoneAt.Before(sent) {
			continue
		}
		if p.uncertain {
			actions.unresolved = append(actions.unresolved, p)
			continue
		}
		outcome := scheduler.Lost
		if p.atMostOnce {
			outcome = scheduler.Unknown
			actions.unknown = append(actions.unknown, p)
		}
		o.finishAttempt(p.ref, outcome)
	}
}

// resolveUncertain ends an attempt whose start call had no definite result and that the worker does not report. The
// stop makes the worker refuse the start if it arrives late.
func (o *Owner) resolveUncertain(ctx context.Context, p *placement) {
	if !o.stopAttempt(ctx, p.worker, p.ref) {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.placement(p.ref, p.worker) != p {
		return
	}
	if !p.atMostOnce {
		o.removePlacement(taskID(p.ref))
		_ = o.cell.StartFailed(taskID(p.ref), p.ref.Attempt, o.now())
		return
	}
	o.finishAttempt(p.ref, scheduler.Unknown)
	o.background(func(ctx context.Context) { o.logUnknown(ctx, []*placement{p}) })
}

// stopAttempt stops an attempt that must not run and reports whether the worker confirmed it.
func (o *Owner) stopAttempt(ctx context.Context, worker string, ref infra.TaskRef) bool {
	if o.options.Right.Check() != nil {
		return false
	}
	err := o.options.Workers.Stop(ctx, infra.StopRequest{
		Authority: o.authority(), Worker: worker, Task: ref, Grace: stopGrace,
	})
	return err == nil
}

// logEnds makes final states durable; the next renewal then acknowledges the attempts to the worker, which may forget
// them. If the append fails, the next report contains them again.
func (o *Owner) logEnds(ctx context.Context, worker string, tasks []infra.TaskReport) {
	o.mu.Lock()
	records := o.endRecords(tasks)
	o.mu.Unlock()
	err := o.append(ctx, records...)
	o.mu.Lock()
	defer o.mu.Unlock()
	w := o.worker(worker)
	w.loggingEnds = false
	if err != nil {
		return
	}
	for _, task := range tasks {
		w.acked = append(w.acked, task.Task)
	}
}

// endRecords returns the records of the final states that are not durable yet. The caller holds mu.
func (o *Owner) endRecords(tasks []infra.TaskReport) []*siskinv1.Record {
	var records []*siskinv1.Record
	for _, task := range tasks {
		j := o.state.jobs[task.Task.Job]
		if j == nil {
			continue
		}
		if state, ok := j.unlogged[task.Task.Index]; ok {
			records = append(records, endedRecord(task.Task.Job, task.Task.Index, task.Task.Attempt, state, task.Message))
		}
	}
	return records
}

// finishAttempt passes the end of an attempt to the scheduler and notes it if it is final. The caller holds mu.
func (o *Owner) finishAttempt(ref infra.TaskRef, outcome scheduler.Outcome) {
	id := taskID(ref)
	o.removePlacement(id)
	_ = o.cell.Ended(id, ref.Attempt, outcome, o.now())
	if _, held := o.heldForRelease[id]; held {
		// The task was stopped in order to be released, so it must not start here again.
		_ = o.cell.Hold(id)
	}
	o.noteFinal(id)
	if j := o.state.jobs[id.Job]; j != nil && outcome == scheduler.Failed {
		o.noteGangEnds(j)
	}
	o.options.Metrics.ended(o.shard, outcome)
}

// noteFinal keeps the final state of a task until it is durable. The caller holds mu.
func (o *Owner) noteFinal(id scheduler.TaskID) {
	j := o.state.jobs[id.Job]
	if j == nil {
		return
	}
	outcome, final := o.cell.Final(id)
	if !final || outcome == scheduler.Cancelled {
		return
	}
	if _, durable := j.ended[id.Index]; !durable {
		j.unlogged[id.Index] = stateOf(outcome)
	}
}

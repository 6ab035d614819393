package owner

import (
	"context"
	"sync"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/platform"
	"siskinstack.example/siskinstack/scheduler"
)

// renewAll renews the task leases on every worker and processes the reports.
func (o *Owner) renewAll(ctx context.Context) {
	o.mu.Lock()
	requests := make([]platform.RenewRequest, 0, len(o.workers))
	for name := range o.workers {
		requests = append(requests, platform.RenewRequest{
			Authority: o.authority(), Worker: name, Lease: taskLease, Acknowledged: o.acked[name],
		})
	}
	o.mu.Unlock()
	var calls sync.WaitGroup
	for _, request := range requests {
		calls.Go(func() { o.renew(ctx, request) })
	}
	calls.Wait()
}

func (o *Owner) renew(ctx context.Context, request platform.RenewRequest) {
	ctx, cancel := context.WithTimeout(ctx, workerTimeout)
	defer cancel()
	if o.options.Right.Check() != nil {
		return
	}
	report, err := o.options.Workers.Renew(ctx, request)
	if err != nil {
		return
	}
	o.forgetAcknowledged(request)
	o.processReport(ctx, report)
}

func (o *Owner) forgetAcknowledged(request platform.RenewRequest) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.acked[request.Worker] = o.acked[request.Worker][len(request.Acknowledged):]
}

// processReport logs the ends of tasks; the worker forgets them after they are durable.
func (o *Owner) processReport(ctx context.Context, report platform.WorkerReport) {
	var records []*siskinv1.Record
	var refs []platform.TaskRef
	for _, task := range report.Tasks {
		if task.Phase == platform.PhaseRunning {
			continue
		}
		refs = append(refs, task.Task)
		if record := endRecord(task); record != nil {
			records = append(records, record)
		}
	}
	if len(records) > 0 && o.log.Append(ctx, records...) != nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, task := range report.Tasks {
		if task.Phase == platform.PhaseRunning {
			continue
		}
		id := scheduler.TaskID{Job: task.Task.Job, Index: task.Task.Index}
		_ = o.cell.Ended(id, task.Task.Attempt, outcomeOfPhase(task.Phase), o.now())
	}
	o.acked[report.Worker] = append(o.acked[report.Worker], refs...)
}

// endRecord returns the record of a final end, or nil if the task may run again.
func endRecord(task platform.TaskReport) *siskinv1.Record {
	if task.Phase != platform.PhaseSucceeded {
		return nil
	}
	return &siskinv1.Record{Change: &siskinv1.Record_TaskEnded{TaskEnded: &siskinv1.TaskEnded{
		Job: task.Task.Job, Index: task.Task.Index, Attempt: task.Task.Attempt,
		State: siskinv1.TaskState_TASK_STATE_SUCCEEDED, Message: task.Message,
	}}}
}

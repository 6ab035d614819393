package owner

import (
	"context"
	"sort"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/refusal"
)

// Submit makes a job durable. The job is accepted once Submit has returned without error.
func (o *Owner) Submit(ctx context.Context, request *siskinv1.SubmitWorkRequest) (*siskinv1.SubmitWorkResponse, error) {
	if err := o.options.Right.Check(); err != nil {
		return nil, refusal.New(refusal.ShardUnavailable, "%v", err)
	}
	job := &siskinv1.JobAccepted{
		Id: request.GetId(), Team: request.GetTeam(), Spec: request.GetSpec(),
		RequestKey: request.GetRequestKey(), AcceptedUnixMs: o.options.Clock.Now().UnixMilli(),
	}
	record := &siskinv1.Record{Change: &siskinv1.Record_JobAccepted{JobAccepted: job}}
	if err := o.log.Append(ctx, record); err != nil {
		return nil, refusal.New(refusal.AcceptanceUnknown, "%v", err)
	}
	return &siskinv1.SubmitWorkResponse{Id: job.GetId()}, nil
}

// Get returns the state of a job.
func (o *Owner) Get(id string) (*siskinv1.WorkStatus, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.status(id)
}

func (o *Owner) status(id string) (*siskinv1.WorkStatus, error) {
	job, ok := o.jobs[id]
	if !ok {
		return nil, refusal.New(refusal.NotFound, "work %q does not exist", id)
	}
	counts, err := o.cell.Counts(id)
	if err != nil {
		return nil, refusal.New(refusal.NotFound, "work %q: %v", id, err)
	}
	waiting, _ := o.cell.Explain(id)
	return &siskinv1.WorkStatus{
		Id: id, Team: job.GetTeam(), Spec: job.GetSpec(),
		Queued: int32(counts.Queued), Running: int32(counts.Running), Succeeded: int32(counts.Succeeded),
		Failed: int32(counts.Failed), Cancelled: int32(counts.Cancelled), Unknown: int32(counts.Unknown),
		WaitingReason: string(waiting.Reason), WaitingRemedy: waiting.Remedy,
		AcceptedUnixMs: job.GetAcceptedUnixMs(),
	}, nil
}

// defaultListLimit is the number of jobs in a listing that names no limit.
const defaultListLimit = 1000

// List returns the jobs of a team in the order of their identifiers; an empty team lists all.
func (o *Owner) List(request *siskinv1.ListWorkRequest) []*siskinv1.WorkStatus {
	o.mu.Lock()
	defer o.mu.Unlock()
	ids := make([]string, 0, len(o.jobs))
	for id, job := range o.jobs {
		if (request.GetTeam() == "" || job.GetTeam() == request.GetTeam()) && id > request.GetAfterId() {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	limit := int(request.GetLimit())
	if limit <= 0 {
		limit = defaultListLimit
	}
	ids = ids[:min(limit, len(ids))]
	listed := make([]*siskinv1.WorkStatus, 0, len(ids))
	for _, id := range ids {
		if status, err := o.status(id); err == nil {
			listed = append(listed, status)
		}
	}
	return listed
}

// Cancel makes the cancellation of a job durable and stops its running tasks.
func (o *Owner) Cancel(ctx context.Context, request *siskinv1.CancelWorkRequest) (*siskinv1.WorkStatus, error) {
	if err := o.options.Right.Check(); err != nil {
		return nil, refusal.New(refusal.ShardUnavailable, "%v", err)
	}
	o.mu.Lock()
	job, ok := o.jobs[request.GetId()]
	o.mu.Unlock()
	if !ok || job.GetTeam() != request.GetTeam() {
		return nil, refusal.New(refusal.NotFound, "work %q does not exist", request.GetId())
	}
	record := &siskinv1.Record{Change: &siskinv1.Record_JobCancelled{
		JobCancelled: &siskinv1.JobCancelled{Id: request.GetId()},
	}}
	if err := o.log.Append(ctx, record); err != nil {
		return nil, refusal.New(refusal.AcceptanceUnknown, "%v", err)
	}
	return o.Get(request.GetId())
}

package owner

import (
	"context"
	"crypto/sha256"
	"errors"
	"sort"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"
	"google.golang.org/protobuf/proto"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/ownership"
	"siskinstack.example/siskinstack/refusal"
	"siskinstack.example/siskinstack/scheduler"
	"siskinstack.example/siskinstack/shardlog"
	"siskinstack.example/siskinstack/telemetry"
)

const (
	// defaultListLimit is the number of jobs in a listing that names no limit.
	defaultListLimit = 1000
	// jobRetention is how long an ended job is kept, so that a repeated submission finds it.
	jobRetention = 24 * time.Hour
	// forgetInterval is the time between two scans for ended jobs.
	forgetInterval = 5 * time.Second
	// defaultMaxQueuedTasks bounds the tasks that wait in a shard if the settings name no limit.
	defaultMaxQueuedTasks = 200_000
	queueFullRetryAfter   = time.Second
)

// Submit makes a job durable. The job is accepted once Submit has returned without error. A repeated submission with
// the same identifier returns the first one.
func (o *Owner) Submit(ctx context.Context, request *siskinv1.SubmitWorkRequest) (*siskinv1.SubmitWorkResponse, error) {
	ctx, span := o.options.Tracer.Start(ctx, "owner.submit", trace.WithAttributes(
		attribute.String("siskin.shard", o.shard), attribute.String("siskin.job", request.GetId())))
	defer span.End()
	hash, err := specHash(request.GetSpec())
	if err != nil {
		return nil, err
	}
	begun, err := o.beginSubmit(ctx, request, hash)
	if err != nil || begun.repeated {
		return &siskinv1.SubmitWorkResponse{Id: request.GetId(), Repeated: begun.repeated}, err
	}
	defer begun.done()
	if begun.update != nil {
		return o.acceptUpdate(ctx, begun.update)
	}
	job := &siskinv1.JobAccepted{
		Id: request.GetId(), Team: request.GetTeam(), Spec: request.GetSpec(), RequestKey: request.GetRequestKey(),
		AcceptedUnixMs: o.options.Clock.Now().UnixMilli(), SpecSha256: hash,
		TraceParent: telemetry.TraceParent(ctx),
	}
	records := append([]*siskinv1.Record{{Change: &siskinv1.Record_JobAccepted{JobAccepted: job}}}, o.initialParts(job)...)
	if err := o.append(ctx, records...); err != nil {
		return nil, refuseAppend(err)
	}
	o.options.Metrics.accepted.WithLabelValues(o.shard, "new").Inc()
	return &siskinv1.SubmitWorkResponse{Id: job.GetId()}, nil
}

func specHash(spec *siskinv1.WorkSpec) ([]byte, error) {
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(spec)
	if err != nil {
		return nil, refusal.New(refusal.BadRequest, "encode work: %v", err)
	}
	hash := sha256.Sum256(encoded)
	return hash[:], nil
}

// submission is a submission in progress; its identifier is reserved until done is called.
type submission struct {
	done     func()
	repeated bool // the job is known with the same specification; nothing is reserved
	// update is the new version of a known service; nil for a new job.
	update *siskinv1.JobUpdated
}

// beginSubmit finds an earlier submission of the same job that is durable, waits for one that is being written, or
// reserves the identifier.
func (o *Owner) beginSubmit(ctx context.Context, request *siskinv1.SubmitWorkRequest, hash []byte) (submission, error) {
	id := request.GetId()
	for {
		if !o.mayAct() {
			return submission{}, refusal.New(refusal.ShardUnavailable, "shard %q is changing its owner", o.shard)
		}
		o.mu.Lock()
		pending, ok := o.pending[id]
		if !ok {
			begun, err := o.reserve(request, hash)
			o.mu.Unlock()
			return begun, err
		}
		o.mu.Unlock()
		select {
		case <-pending:
		case <-ctx.Done():
			return submission{}, refusal.New(refusal.AcceptanceUnknown, "an earlier submission of %q is still in progress", id)
		}
	}
}

// reserve reserves the identifier of a new job or of an update. The caller holds mu.
func (o *Owner) reserve(request *siskinv1.SubmitWorkRequest, hash []byte) (submission, error) {
	id := request.GetId()
	var begun submission
	more := request.GetSpec().GetCount()
	if j, ok := o.state.jobs[id]; ok {
		update, err := o.updateOf(j, request, hash)
		if err != nil {
			return begun, err
		}
		if update == nil {
			o.options.Metrics.accepted.WithLabelValues(o.shard, "repeated").Inc()
			return submission{repeated: true}, nil
		}
		begun.update = update
		more = max(0, more-j.spec().GetCount())
	}
	if err := o.checkQueueLimit(int(more)); err != nil {
		return submission{}, err
	}
	done := make(chan struct{})
	o.pending[id] = done
	begun.done = func() { o.endSubmit(id, done) }
	return begun, nil
}

func (o *Owner) endSubmit(id string, done chan struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.pending, id)
	close(done)
}

func (o *Owner) maxQueued() int {
	if o.options.MaxQueuedTasks > 0 {
		return int(o.options.MaxQueuedTasks)
	}
	return defaultMaxQueuedTasks
}

// checkQueueLimit refuses work above the limit of the queue. The caller holds mu.
func (o *Owner) checkQueueLimit(tasks int) error {
	if err := o.cell.Admit(tasks); err != nil {
		refused := refusal.New(refusal.QueueFull, "shard %q: %v", o.shard, err)
		refused.RetryAfter = queueFullRetryAfter
		return refused
	}
	return nil
}

// refuseAppend converts an error of the log to a refusal that reports "not run" only if nothing is durable.
func refuseAppend(err error) error {
	switch {
	case errors.Is(err, ownership.ErrExpired), errors.Is(err, shardlog.ErrFenced), errors.Is(err, shardlog.ErrClosed):
		return refusal.New(refusal.ShardUnavailable, "%v", err)
	case errors.Is(err, shardlog.ErrTooLarge):
		return refusal.New(refusal.BodyTooLarge, "%v", err)
	case shardlog.IsNotDurable(err):
		return refusal.New(refusal.StoreUnavailable, "%v", err)
	default:
		return refusal.New(refusal.AcceptanceUnknown, "%v", err)
	}
}

// Get returns the state of a job.
func (o *Owner) Get(id string) (*siskinv1.WorkStatus, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.status(id)
}

// status returns the state of a job over all its holders. The caller holds mu.
func (o *Owner) status(id string) (*siskinv1.WorkStatus, error) {
	j, ok := o.state.jobs[id]
	if !ok || !j.home {
		return nil, refusal.New(refusal.NotFound, "work %q does not exist", id)
	}
	counts, err := o.cell.Counts(id)
	if err != nil {
		return nil, refusal.New(refusal.NotFound, "work %q: %v", id, err)
	}
	waiting, _ := o.cell.Explain(id)
	status := &siskinv1.WorkStatus{
		Id: id, Team: j.accepted.GetTeam(), Spec: j.spec(),
		Queued: int32(counts.Queued), Running: int32(counts.Running),
		WaitingReason: string(waiting.Reason), WaitingRemedy: waiting.Remedy,
		CancelRequested: j.cancelled, AcceptedUnixMs: j.accepted.GetAcceptedUnixMs(),
	}
	status.ReadyByAtRisk, _ = o.cell.AtRisk(id)
	status.Outdated = int32(o.updateState(id, o.shard).Outdated)
	o.addRemote(status, j)
	addEnded(status, j, counts)
	addUnassigned(status, j)
	return status, nil
}

// addUnassigned counts the tasks that were released by one holder and are not assigned to another yet. A task of a
// cancelled job may be counted by none of the shards that have held it or by several, so every task of such a job that
// is neither queued nor running and has not ended otherwise counts as cancelled.
func addUnassigned(status *siskinv1.WorkStatus, j *job) {
	if !j.cancelled {
		status.Queued += int32(j.unassigned().size())
		return
	}
	if j.isService() {
		return
	}
	ended := status.Succeeded + status.Failed + status.Unknown
	status.Cancelled = max(0, status.GetSpec().GetCount()-ended-status.Queued-status.Running)
}

// addEnded counts ended tasks: durable ones, those not durable yet, and cancelled ones. The caller holds mu.
func addEnded(status *siskinv1.WorkStatus, j *job, local scheduler.Counts) {
	for _, state := range j.ended {
		addState(status, state, 1)
	}
	for _, state := range j.unlogged {
		addState(status, state, 1)
	}
	addState(status, siskinv1.TaskState_TASK_STATE_CANCELLED, local.Cancelled)
}

func addState(status *siskinv1.WorkStatus, state siskinv1.TaskState, n int) {
	switch state {
	case siskinv1.TaskState_TASK_STATE_SUCCEEDED:
		status.Succeeded += int32(n)
	case siskinv1.TaskState_TASK_STATE_FAILED:
		status.Failed += int32(n)
	case siskinv1.TaskState_TASK_STATE_CANCELLED:
		status.Cancelled += int32(n)
	case siskinv1.TaskState_TASK_STATE_UNKNOWN:
		status.Unknown += int32(n)
	}
}

// List returns the jobs of a team in the order of their identifiers; an empty team lists all.
func (o *Owner) List(request *siskinv1.ListWorkRequest) []*siskinv1.WorkStatus {
	o.mu.Lock()
	defer o.mu.Unlock()
	ids := make([]string, 0, len(o.state.jobs))
	for id, j := range o.state.jobs {
		if j.home && (request.GetTeam() == "" || j.accepted.GetTeam() == request.GetTeam()) && id > request.GetAfterId() {
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

// Cancel makes the cancellation of a job durable. Queued tasks never start; running ones are stopped.
func (o *Owner) Cancel(ctx context.Context, request *siskinv1.CancelWorkRequest) (*siskinv1.WorkStatus, error) {
	if !o.mayAct() {
		return nil, refusal.New(refusal.ShardUnavailable, "shard %q is changing its owner", o.shard)
	}
	o.mu.Lock()
	j, ok := o.state.jobs[request.GetId()]
	found := ok && j.home && j.accepted.GetTeam() == request.GetTeam()
	cancelled := found && j.cancelled
	o.mu.Unlock()
	if !found {
		return nil, refusal.New(refusal.NotFound, "work %q does not exist", request.GetId())
	}
	if !cancelled {
		if err := o.append(ctx, cancelRecord(request.GetId())); err != nil {
			return nil, refuseAppend(err)
		}
	}
	return o.Get(request.GetId())
}

// forgetEnded removes jobs whose tasks ended longer ago than jobRetention, and logs the final states of failed gang
// jobs.
func (o *Owner) forgetEnded(ctx context.Context) {
	var records []*siskinv1.Record
	o.mu.Lock()
	now := o.options.Clock.Now()
	for id, j := range o.state.jobs {
		if !o.hasEnded(j) {
			j.endedAt = time.Time{}
			records = append(records, o.gangRecords(j)...)
			continue
		}
		if j.endedAt.IsZero() {
			j.endedAt = now
		}
		if now.Sub(j.endedAt) > jobRetention {
			records = append(records, &siskinv1.Record{Change: &siskinv1.Record_JobForgotten{
				JobForgotten: &siskinv1.JobForgotten{Id: id},
			}})
		}
	}
	o.mu.Unlock()
	_ = o.append(ctx, records...)
}

// hasEnded reports whether no task of a job runs or can still start. The caller holds mu.
func (o *Owner) hasEnded(j *job) bool {
	if j.allEnded() {
		return true
	}
	if !j.cancelled {
		return false
	}
	counts, err := o.cell.Counts(j.accepted.GetId())
	return err == nil && counts.Running == 0 && !o.remoteRunning(j)
}

package owner

import (
	"time"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/resource"
	"siskinstack.example/siskinstack/scheduler"
)

// schedulerJob converts a job to the scheduler's type, without its ready-by time.
func schedulerJob(j *job, now scheduler.Time) scheduler.Job {
	spec := j.spec()
	out := scheduler.Job{
		ID:            j.accepted.GetId(),
		Team:          j.accepted.GetTeam(),
		Queue:         spec.GetQueue(),
		Kind:          scheduler.Kind(spec.GetKind()),
		Urgency:       scheduler.Urgency(spec.GetUrgency()),
		Each:          resource.FromProto(spec.GetEach()),
		Indexes:       j.openIndexes(),
		DeclaredRun:   time.Duration(spec.GetDeclaredRunMs()) * time.Millisecond,
		Accepted:      now,
		Checkpoint:    spec.GetCheckpointable(),
		AtMostOnce:    spec.GetAtMostOnce(),
		SameRack:      spec.GetSameRack(),
		MaxAttempts:   spec.GetMaxAttempts(),
		UpdateVersion: spec.GetUpdateVersion(),
		OldAttempts:   j.oldAttempts(),
	}
	if out.AtMostOnce {
		out.MaxAttempts = 1
	}
	return out
}

func stateOf(outcome scheduler.Outcome) siskinv1.TaskState {
	switch outcome {
	case scheduler.Succeeded:
		return siskinv1.TaskState_TASK_STATE_SUCCEEDED
	case scheduler.Failed:
		return siskinv1.TaskState_TASK_STATE_FAILED
	case scheduler.Cancelled:
		return siskinv1.TaskState_TASK_STATE_CANCELLED
	default:
		return siskinv1.TaskState_TASK_STATE_UNKNOWN
	}
}

// outcomeOfPhase returns the outcome of an attempt that a worker reports as ended.
func outcomeOfPhase(phase infra.TaskPhase, atMostOnce bool) scheduler.Outcome {
	switch {
	case phase == infra.PhaseSucceeded:
		return scheduler.Succeeded
	case phase == infra.PhaseFailed:
		return scheduler.Failed
	case atMostOnce:
		return scheduler.Unknown
	default:
		return scheduler.Stopped
	}
}

func taskID(ref infra.TaskRef) scheduler.TaskID {
	return scheduler.TaskID{Job: ref.Job, Index: ref.Index}
}

func endedRecord(job string, index, attempt int32, state siskinv1.TaskState, message string) *siskinv1.Record {
	return &siskinv1.Record{Change: &siskinv1.Record_TaskEnded{TaskEnded: &siskinv1.TaskEnded{
		Job: job, Index: index, Attempt: attempt, State: state, Message: message,
	}}}
}

func cancelRecord(id string) *siskinv1.Record {
	return &siskinv1.Record{Change: &siskinv1.Record_JobCancelled{JobCancelled: &siskinv1.JobCancelled{Id: id}}}
}

func workerUsedRecord(worker string) *siskinv1.Record {
	return &siskinv1.Record{Change: &siskinv1.Record_WorkerUsed{WorkerUsed: &siskinv1.WorkerUsed{Worker: worker}}}
}

func partRecord(id, holder string, version int64, set indexSet, copied *siskinv1.JobAccepted) *siskinv1.Record {
	return &siskinv1.Record{Change: &siskinv1.Record_PartChanged{PartChanged: &siskinv1.PartChanged{
		Job: id, Holder: holder, PlanVersion: version, Ranges: set.proto(), JobCopy: copied,
	}}}
}

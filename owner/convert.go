package owner

import (
	"time"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/platform"
	"siskinstack.example/siskinstack/resource"
	"siskinstack.example/siskinstack/scheduler"
)

func coreJob(job *siskinv1.JobAccepted, now scheduler.Time) scheduler.Job {
	spec := job.GetSpec()
	indexes := make([]int32, spec.GetCount())
	for i := range indexes {
		indexes[i] = int32(i)
	}
	return scheduler.Job{
		ID:            job.GetId(),
		Team:          job.GetTeam(),
		Queue:         spec.GetQueue(),
		Kind:          scheduler.Kind(spec.GetKind()),
		Urgency:       scheduler.Urgency(spec.GetUrgency()),
		Each:          resource.FromProto(spec.GetEach()),
		Indexes:       indexes,
		DeclaredRun:   time.Duration(spec.GetDeclaredRunMs()) * time.Millisecond,
		Accepted:      now,
		Checkpoint:    spec.GetCheckpointable(),
		AtMostOnce:    spec.GetAtMostOnce(),
		SameRack:      spec.GetSameRack(),
		MaxAttempts:   spec.GetMaxAttempts(),
		UpdateVersion: spec.GetUpdateVersion(),
	}
}

func outcomeOf(state siskinv1.TaskState) scheduler.Outcome {
	switch state {
	case siskinv1.TaskState_TASK_STATE_SUCCEEDED:
		return scheduler.Succeeded
	case siskinv1.TaskState_TASK_STATE_FAILED:
		return scheduler.Failed
	case siskinv1.TaskState_TASK_STATE_CANCELLED:
		return scheduler.Cancelled
	default:
		return scheduler.Unknown
	}
}

func outcomeOfPhase(phase platform.TaskPhase) scheduler.Outcome {
	switch phase {
	case platform.PhaseSucceeded:
		return scheduler.Succeeded
	case platform.PhaseFailed:
		return scheduler.Failed
	default:
		return scheduler.Stopped
	}
}

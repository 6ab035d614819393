// Package scheduler is the scheduling core of one shard. It has no clock, network or random source of its own: events
// are method calls, and Plan returns what to start, stop and throttle. A Cell is not safe for concurrent use; its owner
// calls it from one goroutine or under one lock.
package scheduler

import (
	"time"

	"siskinstack.example/siskinstack/resource"
)

// Kind selects the placement policy of a job.
type Kind int

// The kinds of jobs.
const (
	Service Kind = iota + 1
	Batch
	// Gang jobs start all their tasks together or not at all.
	Gang
)

// Urgency orders the work of one team.
type Urgency int

// The urgencies, most urgent first.
const (
	Urgent Urgency = iota + 1
	Normal
	CanWait
)

// Time is monotonic time since an origin that the caller chooses.
type Time = time.Duration

// TaskID names one task of a job.
type TaskID struct {
	Job   string
	Index int32
}

// Job describes a job and the tasks of it that this shard holds.
type Job struct {
	ID            string
	Team          string
	Queue         string
	Kind          Kind
	Urgency       Urgency
	Each          resource.Vector
	Indexes       []int32
	DeclaredRun   time.Duration
	ReadyBy       Time // 0 if there is none
	Accepted      Time
	Checkpoint    bool
	AtMostOnce    bool
	SameRack      bool
	MaxAttempts   int32
	UpdateVersion int64
	// FirstAttempt is the highest attempt that earlier owners of the tasks have used.
	FirstAttempt int32
	// OldAttempts is the highest attempt of tasks that may run an earlier version of the service.
	OldAttempts int32
}

// Worker is a VM that runs tasks.
type Worker struct {
	Name     string
	Zone     string
	Rack     string
	Capacity resource.Vector
	// Leaving workers get no new tasks, and their movable tasks are moved to other workers.
	Leaving bool
}

// Team is a team with the limit that applies in this shard.
type Team struct {
	Name  string
	Share int64
	// Limit is the part of the team's ceiling that is assigned to this shard.
	Limit resource.Vector
	// Ceiling is what the team may run in the whole fleet. Work that exceeds the limit, but not the ceiling, waits until
	// more of the ceiling has moved to this shard. If it is zero, only the limit applies.
	Ceiling resource.Vector
}

// maxRunning returns what the team may run here if its whole ceiling is moved to this shard.
func (t Team) maxRunning() resource.Vector { return t.Limit.Max(t.Ceiling) }

// Outcome is how a task ended.
type Outcome int

// The outcomes of tasks.
const (
	Succeeded Outcome = iota + 1
	Failed
	// Stopped tasks go back to the queue unless their job was cancelled.
	Stopped
	// Lost tasks ran on a worker that is gone and whose lease has certainly expired.
	Lost
	// Unknown tasks may have run, at least in part, and are never started again.
	Unknown
	Cancelled
)

// Start is an order to start one task. Its allocation is reserved until StartFailed or Ended.
type Start struct {
	Task       TaskID
	Attempt    int32
	Worker     string
	Allocation resource.Vector
	Team       string
}

// Stop is an order to stop one running task.
type Stop struct {
	Task       TaskID
	Attempt    int32
	Worker     string
	Checkpoint bool
	Reason     StopReason
}

// StopReason is the reason to stop a task.
type StopReason string

// The reasons to stop a task.
const (
	StopCancelled      StopReason = "cancelled"
	StopPreempted      StopReason = "preempted"
	StopDraining       StopReason = "draining"
	StopCeiling        StopReason = "over_ceiling"
	StopReplaced       StopReason = "replaced"
	StopGang           StopReason = "gang_incomplete"
	StopOverAllocation StopReason = "over_room"
)

// Plan holds the orders of one scheduling pass.
type Plan struct {
	Starts    []Start
	Stops     []Stop
	Throttles []Throttle
}

// WaitReason is the reason why a task waits.
type WaitReason string

// The reasons to wait.
const (
	WaitNone        WaitReason = ""
	WaitNoCapacity  WaitReason = "no_room"
	WaitCeiling     WaitReason = "team_ceiling"
	WaitShare       WaitReason = "other_teams_owed"
	WaitDraining    WaitReason = "zone_draining"
	WaitTooLarge    WaitReason = "larger_than_any_worker"
	WaitGangTooBig  WaitReason = "gang_larger_than_shard"
	WaitOverCeiling WaitReason = "larger_than_ceiling"
	WaitHeld        WaitReason = "previous_run_not_ended"
	WaitUnknownTeam WaitReason = "unknown_team"
	WaitStarting    WaitReason = "next_pass"
	WaitReturning   WaitReason = "zone_returning"
	WaitOtherWorker WaitReason = "failed_where_room_is"
)

// Waiting explains why a job's tasks wait and what would have to change.
type Waiting struct {
	Reason WaitReason
	Remedy string
}

// Counts is the number of a job's tasks in each state.
type Counts struct {
	Queued    int
	Running   int
	Succeeded int
	Failed    int
	Cancelled int
	Unknown   int
}

package infra

import (
	"context"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"siskinstack.example/siskinstack/resource"
)

// Errors of workers. Any other error means that the outcome of the call is not known.
var (
	ErrStaleEpoch           = eris.New("worker has seen a higher epoch of the shard")
	ErrInsufficientCapacity = eris.New("worker has insufficient capacity for the task")
	ErrWorkerNotFound       = eris.New("worker does not exist")
	ErrStaleAttempt         = eris.New("worker has seen a later attempt of the task")
)

// TaskRef names one attempt of one task.
type TaskRef struct {
	Job     string `json:"job"`
	Index   int32  `json:"index"`
	Attempt int32  `json:"attempt"`
}

// String returns the name of the task and its attempt.
func (r TaskRef) String() string { return fmt.Sprintf("%s/%d#%d", r.Job, r.Index, r.Attempt) }

// Authority is the shard and epoch under which a call to a worker is made. Workers reject epochs lower than the highest
// that they have seen for the shard.
type Authority struct {
	Shard string `json:"shard"`
	Epoch int64  `json:"epoch"`
}

// StartRequest starts a task under a lease. Repeating it for the same attempt has no further effect, even after the
// task has ended and the worker has discarded its record.
type StartRequest struct {
	Authority
	Worker         string          `json:"worker"`
	Task           TaskRef         `json:"task"`
	Team           string          `json:"team"`
	Resources      resource.Vector `json:"room"`
	Lease          time.Duration   `json:"lease"`
	Command        []string        `json:"command"`
	Checkpointable bool            `json:"checkpointable"`
	AtMostOnce     bool            `json:"at_most_once"`
}

// RenewRequest extends the leases of all tasks that the shard has on a worker, and requests their state.
type RenewRequest struct {
	Authority
	Worker string `json:"worker"`
	// Lease is the new duration of the leases; 0 requests the report without extending them.
	Lease time.Duration `json:"lease"`
	// Acknowledged lists ended tasks whose outcome is durable; the worker discards them.
	Acknowledged []TaskRef `json:"acknowledged"`
}

// StopRequest ends a task after its grace time. The worker rejects a start of the same or an earlier attempt that
// arrives after the stop, even if it did not know the attempt.
type StopRequest struct {
	Authority
	Worker string        `json:"worker"`
	Task   TaskRef       `json:"task"`
	Grace  time.Duration `json:"grace"`
	// Checkpoint saves the state of a checkpointable task first.
	Checkpoint bool `json:"checkpoint"`
}

// ThrottleRequest limits the CPU usage of a task.
type ThrottleRequest struct {
	Authority
	Worker   string  `json:"worker"`
	Task     TaskRef `json:"task"`
	MilliCPU int64   `json:"milli_cpu"`
}

// TaskPhase is the state of a task as its worker knows it.
type TaskPhase string

// The phases of a task on a worker.
const (
	PhaseRunning   TaskPhase = "running"
	PhaseSucceeded TaskPhase = "succeeded"
	PhaseFailed    TaskPhase = "failed"
	// PhaseStopped is the final phase of a task that was stopped or whose lease expired.
	PhaseStopped TaskPhase = "stopped"
)

// TaskReport is the state of a task on a worker.
type TaskReport struct {
	Task      TaskRef         `json:"task"`
	Team      string          `json:"team"`
	Resources resource.Vector `json:"room"`
	Phase     TaskPhase       `json:"phase"`
	// Used is the usage that was measured UsageLag ago.
	Used     resource.Vector `json:"used"`
	UsageLag time.Duration   `json:"usage_lag"`
	Message  string          `json:"message,omitempty"`
	// RunFor is how long the task has run.
	RunFor time.Duration `json:"run_for"`
}

// WorkerReport lists the tasks that a shard has on a worker, including ended tasks that are not yet acknowledged.
type WorkerReport struct {
	Worker   string          `json:"worker"`
	Capacity resource.Vector `json:"room"`
	Tasks    []TaskReport    `json:"tasks"`
}

// Workers is the platform's interface to workers.
type Workers interface {
	Start(ctx context.Context, request StartRequest) error
	Renew(ctx context.Context, request RenewRequest) (WorkerReport, error)
	Stop(ctx context.Context, request StopRequest) error
	Checkpoint(ctx context.Context, request StopRequest) error
	Throttle(ctx context.Context, request ThrottleRequest) error
}

package scheduler

import (
	"fmt"

	"github.com/rotisserie/eris"
)

// Errors of the scheduling core.
var (
	ErrDuplicateJob = eris.New("job is already known")
	ErrUnknownJob   = eris.New("job is not known")
	ErrQueueFull    = eris.New("queue of the shard is full")
	ErrNotEnded     = eris.New("job has not ended")
	ErrCannotAdopt  = eris.New("task cannot be adopted")
	ErrStaleStart   = eris.New("start is no longer valid")
	ErrBadJob       = eris.New("job is malformed")
)

// QueueFullError reports the size and the limit of the queue. It matches ErrQueueFull.
type QueueFullError struct {
	Queued, Limit, Tasks int
}

// Error returns a message with the size, the limit and the number of rejected tasks.
func (e *QueueFullError) Error() string {
	return fmt.Sprintf("%v: %d tasks wait, the limit is %d, %d more were submitted", ErrQueueFull, e.Queued, e.Limit, e.Tasks)
}

// Is reports whether target is ErrQueueFull.
func (e *QueueFullError) Is(target error) bool { return target == ErrQueueFull }

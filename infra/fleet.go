package infra

import (
	"context"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"siskinstack.example/siskinstack/resource"
)

// Errors of orders to fleet workers and of calls to the advisor. ErrNotSent and all of these prove that the order has
// not been and will not be executed; after any other error that is unknown.
var (
	// ErrFenced means that the worker has seen a higher epoch.
	ErrFenced = eris.New("worker follows a newer controller")
	// ErrStaleRun means that the worker has ended or stopped this run or a later one.
	ErrStaleRun = eris.New("run is not newer than one that ended on the worker")
	// ErrOrderLeaseExpired means that the lease of the order had expired on the worker's clock.
	ErrOrderLeaseExpired = eris.New("lease of the order has expired")
	// ErrWorkerFull means that the task exceeds the free capacity of the worker.
	ErrWorkerFull = eris.New("worker has insufficient capacity for the task")
	// ErrTicketInvalid means that the worker does not accept the ticket of the start.
	ErrTicketInvalid = eris.New("ticket is not valid on the worker")
	// ErrWorkerUnhealthy means that the worker declines all orders for now.
	ErrWorkerUnhealthy = eris.New("worker declines orders")
	// ErrWorkerMismatch means that the worker at the address has another ID than the order names.
	ErrWorkerMismatch = eris.New("another worker answers at the address")
	// ErrOrderInvalid means that the worker rejects the order as invalid.
	ErrOrderInvalid = eris.New("worker rejects the order as invalid")
	// ErrNotPermitted means that the permission to send the order had ended, which says nothing about the worker. It is also
	// ErrNotSent.
	ErrNotPermitted = fmt.Errorf("%w: permission to send it has ended", ErrNotSent)
	// ErrAdvisorBusy means that too many calls are waiting at the advisor.
	ErrAdvisorBusy = eris.New("advisor has too many waiting calls")
)

// ErrConnectionClosed means that the worker closed the connection after an order was sent, and did not answer. It may have
// executed the order.
var ErrConnectionClosed = eris.New("worker closed the connection without an answer")

// FleetWorker is the state that a worker last reported.
type FleetWorker struct {
	ID          string
	Incarnation int64
	Service     string
	Address     string
	Zone        string
	// Labels are the kind of the worker and, as the last label, its rack.
	Labels   []string
	Capacity resource.Vector
	Draining bool
	// DrainRemaining is the least time until a draining worker leaves.
	DrainRemaining time.Duration
}

// StartOrder tells a worker to run a task.
type StartOrder struct {
	Task    string
	Run     int32
	Payload string
	// LeaseUntilMs is the end of the worker's lease on the worker's own clock.
	LeaseUntilMs int64
	Epoch        int64
	Checkpoint   string
	Ticket       string
}

// StopOrder tells a worker to stop a run, and to reject a start of it that arrives later.
type StopOrder struct {
	Task  string
	Run   int32
	Epoch int64
}

// RenewOrder extends the lease of all runs on a worker and requests a report of them.
type RenewOrder struct {
	// LeaseUntilMs is on the worker's own clock; 0 extends nothing.
	LeaseUntilMs int64
	Epoch        int64
	// Acknowledged is the number up to which the worker may discard its ended runs.
	Acknowledged int64
	// Wait is how long the worker delays the response while no task ends.
	Wait time.Duration
}

// ActiveRun is a run on a worker that has not ended.
type ActiveRun struct {
	Task       string
	Run        int32
	Checkpoint string
	// Percent is the share of the work that is done, or 100 for a long-running task that is operating.
	Percent int32
}

// Outcome is how a run ended.
type Outcome int

// Outcomes of runs.
const (
	OutcomeUnknown Outcome = iota
	OutcomeSucceeded
	OutcomeFailed
	OutcomeStopped
	// OutcomeExpired means that the lease expired.
	OutcomeExpired
	// OutcomeGangBroken means that another member of the gang ended.
	OutcomeGangBroken
	// OutcomeGangIncomplete means that the other members of the gang did not start in time.
	OutcomeGangIncomplete
)

// EndedRun is a run that ended on a worker.
type EndedRun struct {
	// Number increases with every ended run of the worker; RenewOrder.Acknowledged refers to it.
	Number     int64
	Task       string
	Run        int32
	Outcome    Outcome
	Checkpoint string
}

// RunReport is the response to a renewal.
type RunReport struct {
	Incarnation int64
	ClockMs     int64
	Active      []ActiveRun
	Ended       []EndedRun
	// Incomplete is true if some rows could not be read. A run that is not listed may then still be active.
	Incomplete bool
	// MoreEnds is true if the worker may have further ends, which it lists once these are acknowledged. A run that is not
	// listed may then be one of them.
	MoreEnds bool
}

// Fleet sends orders to workers. The first result of Start and Stop is the worker's clock in milliseconds, 0 if the
// response carries none.
type Fleet interface {
	Start(ctx context.Context, worker FleetWorker, order StartOrder) (int64, error)
	Stop(ctx context.Context, worker FleetWorker, order StopOrder) (int64, error)
	Renew(ctx context.Context, worker FleetWorker, order RenewOrder) (RunReport, error)
}

// Ticket permits the tasks of one step to run on one worker.
type Ticket struct {
	Worker string
	Ticket string
}

// Advice says which of the named workers may run a step.
type Advice struct {
	Tickets []Ticket
	// Valid is how long the tickets are valid.
	Valid time.Duration
}

// Advisor reports which workers a queue's policy allows for a step.
type Advisor interface {
	Advise(ctx context.Context, step string, workers []string) (Advice, error)
}

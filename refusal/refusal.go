// Package refusal defines the reasons for which the system refuses work. Callers, the command line and the counters
// share them. Each reason states whether it means that nothing has run.
package refusal

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
)

// Reason is the stable identifier of a kind of refusal.
type Reason string

// The reasons. A reason with notRun set in properties is only used when nothing can have run.
const (
	BadRequest         Reason = "bad_request"
	BodyTooLarge       Reason = "body_too_large"
	KeyMissing         Reason = "key_missing"
	KeyUnknown         Reason = "key_unknown"
	KeyWithdrawn       Reason = "key_withdrawn"
	KeyWrongTeam       Reason = "key_wrong_team"
	KeyUnverifiable    Reason = "key_unverifiable"
	NotPermitted       Reason = "not_permitted"
	NotFound           Reason = "not_found"
	Conflict           Reason = "conflict"
	RequestKeyReused   Reason = "request_key_reused"
	QueueFull          Reason = "queue_full"
	TeamLimit          Reason = "team_limit"
	Overloaded         Reason = "overloaded"
	NoEndpoint         Reason = "no_endpoint"
	DeadlineTooShort   Reason = "deadline_too_short"
	ShardUnavailable   Reason = "shard_unavailable"
	StoreUnavailable   Reason = "store_unavailable"
	Leaving            Reason = "leaving"
	InProgress         Reason = "in_progress"
	OutcomeUnknown     Reason = "outcome_unknown"
	DeadlineExceeded   Reason = "deadline_exceeded"
	EndpointFailed     Reason = "endpoint_failed"
	AcceptanceUnknown  Reason = "acceptance_unknown"
	InternalError      Reason = "internal_error"
	CannotRunInAnyZone Reason = "cannot_run"
	// CutOff means that the machine reaches neither the store nor the controller, and has sent nothing.
	CutOff Reason = "cut_off"
	// CancelledBefore means that the job was cancelled before it was accepted.
	CancelledBefore Reason = "cancelled_before"
	// ForecastTooLate means that the job would start when its result is of no use any more.
	ForecastTooLate Reason = "forecast_too_late"
	// JobTooLarge means that the store cannot hold the job or its progress.
	JobTooLarge Reason = "job_too_large"
)

// reasonProperties holds the HTTP status of a reason and whether the reason means that nothing has run.
type reasonProperties struct {
	status int
	notRun bool
}

var properties = map[Reason]reasonProperties{
	BadRequest:         {http.StatusBadRequest, true},
	BodyTooLarge:       {http.StatusRequestEntityTooLarge, true},
	KeyMissing:         {http.StatusUnauthorized, true},
	KeyUnknown:         {http.StatusUnauthorized, true},
	KeyWithdrawn:       {http.StatusUnauthorized, true},
	KeyWrongTeam:       {http.StatusForbidden, true},
	KeyUnverifiable:    {http.StatusServiceUnavailable, true},
	NotPermitted:       {http.StatusForbidden, true},
	NotFound:           {http.StatusNotFound, true},
	Conflict:           {http.StatusConflict, true},
	RequestKeyReused:   {http.StatusConflict, true},
	QueueFull:          {http.StatusTooManyRequests, true},
	TeamLimit:          {http.StatusTooManyRequests, true},
	Overloaded:         {http.StatusTooManyRequests, true},
	NoEndpoint:         {http.StatusServiceUnavailable, true},
	DeadlineTooShort:   {http.StatusGatewayTimeout, true},
	ShardUnavailable:   {http.StatusServiceUnavailable, true},
	StoreUnavailable:   {http.StatusServiceUnavailable, true},
	Leaving:            {http.StatusServiceUnavailable, true},
	InProgress:         {http.StatusConflict, false},
	OutcomeUnknown:     {http.StatusConflict, false},
	DeadlineExceeded:   {http.StatusGatewayTimeout, false},
	EndpointFailed:     {http.StatusBadGateway, false},
	AcceptanceUnknown:  {http.StatusServiceUnavailable, false},
	InternalError:      {http.StatusInternalServerError, false},
	CannotRunInAnyZone: {http.StatusUnprocessableEntity, true},
	CutOff:             {http.StatusServiceUnavailable, true},
	CancelledBefore:    {http.StatusGone, true},
	ForecastTooLate:    {http.StatusTooManyRequests, true},
	JobTooLarge:        {http.StatusRequestEntityTooLarge, true},
}

// Reasons returns every reason, in no particular order.
func Reasons() []Reason {
	all := make([]Reason, 0, len(properties))
	for reason := range properties {
		all = append(all, reason)
	}
	return all
}

// NotRun reports whether the reason means that nothing has run.
func (r Reason) NotRun() bool { return properties[r].notRun }

// Status returns the HTTP status of the reason.
func (r Reason) Status() int {
	if p, ok := properties[r]; ok {
		return p.status
	}
	return http.StatusInternalServerError
}

// Error is a refusal as an error value.
type Error struct {
	Reason     Reason
	Message    string
	RetryAfter time.Duration
	// MayHaveRun is true if something may have run although the reason alone means that nothing has.
	MayHaveRun bool
}

// New returns a refusal with a message formatted as by fmt.Sprintf.
func New(reason Reason, format string, args ...any) *Error {
	return &Error{Reason: reason, Message: fmt.Sprintf(format, args...)}
}

// Error returns the reason and the message.
func (e *Error) Error() string { return string(e.Reason) + ": " + e.Message }

// NotRun reports whether nothing has run.
func (e *Error) NotRun() bool { return e.Reason.NotRun() && !e.MayHaveRun }

// Proto converts e to a message for another VM.
func (e *Error) Proto() *siskinv1.Refused {
	return &siskinv1.Refused{
		Reason:       string(e.Reason),
		Message:      e.Message,
		NotRun:       e.NotRun(),
		RetryAfterMs: e.RetryAfter.Milliseconds(),
	}
}

// FromProto converts the message of a refusal from another VM; nil stays nil.
func FromProto(r *siskinv1.Refused) *Error {
	if r == nil {
		return nil
	}
	return &Error{
		Reason:     Reason(r.GetReason()),
		Message:    r.GetMessage(),
		RetryAfter: time.Duration(r.GetRetryAfterMs()) * time.Millisecond,
		MayHaveRun: !r.GetNotRun(),
	}
}

// From returns the refusal that err is or wraps. Any other error becomes InternalError, which does not mean that
// nothing has run.
func From(err error) *Error {
	var refused *Error
	if errors.As(err, &refused) {
		return refused
	}
	return New(InternalError, "%v", err)
}

// Package storeclient wraps every call to the platform's store. It bounds the calls in rate, number and time, orders
// them by priority, stops calling a store that is down except for lease calls and probes, and counts calls and results.
package storeclient

import (
	"context"
	"errors"

	"github.com/rotisserie/eris"

	"siskinstack.example/siskinstack/infra"
)

// Kind is the purpose of a call. A lower kind has priority over a higher one.
type Kind int

// Kinds of calls, in order of priority.
const (
	KindLease Kind = iota
	KindLog
	KindClaim
	KindConfig
	KindAllowance
	KindSnapshot
	KindPurge
	kindCount
)

var kindNames = [kindCount]string{"lease", "log", "claim", "config", "allowance", "snapshot", "purge"}

// String returns the name of the kind as a metric label.
func (k Kind) String() string {
	if k < 0 || k >= kindCount {
		return "unknown"
	}
	return kindNames[k]
}

// ErrDown is the reason of a call that was refused while the store is down. Its error always matches infra.ErrNotSent
// too.
var ErrDown = eris.New("store is down")

// class is the rate budget that a call counts against.
type class int

const (
	classRead class = iota
	classWrite
	classCount
)

// result is the outcome of a call as a metric label.
type result string

const (
	resultOK       result = "ok"
	resultRefused  result = "refused"   // a typed error response of the store
	resultNotSent  result = "not_sent"  // had no effect
	resultUnknown  result = "unknown"   // may have taken effect
	resultCanceled result = "cancelled" // the caller's context ended; may have taken effect
)

var storeErrors = []error{
	infra.ErrNotFound, infra.ErrConflict, infra.ErrLeaseExpired, infra.ErrCompacted, infra.ErrTooLarge,
}

// resultOf classifies an error. callerDone reports that the caller's own context has ended.
func resultOf(err error, callerDone bool) result {
	if err == nil {
		return resultOK
	}
	for _, storeErr := range storeErrors {
		if errors.Is(err, storeErr) {
			return resultRefused
		}
	}
	if errors.Is(err, infra.ErrNotSent) {
		return resultNotSent
	}
	if callerDone {
		return resultCanceled
	}
	return resultUnknown
}

// notSentError wraps a reason and matches infra.ErrNotSent.
type notSentError struct{ reason error }

func (e *notSentError) Error() string { return infra.ErrNotSent.Error() + ": " + e.reason.Error() }

func (e *notSentError) Is(target error) bool { return target == infra.ErrNotSent }

func (e *notSentError) Unwrap() error { return e.reason }

func notSent(reason error) error { return &notSentError{reason: reason} }

// contextReason returns the error of ctx, or DeadlineExceeded if admission failed for another reason.
func contextReason(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	return context.DeadlineExceeded
}

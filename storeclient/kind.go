// Package storeclient is the path of every call to the platform's store. It bounds the calls in rate, number and time,
// orders them by priority, stops calling a store that is down, and counts what was sent and what came back.
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

// String returns the name of the kind as it appears in counters.
func (k Kind) String() string {
	if k < 0 || k >= kindCount {
		return "unknown"
	}
	return kindNames[k]
}

// ErrDown is the reason of a call that was refused while the store is down. It always comes with infra.ErrNotSent.
var ErrDown = eris.New("store is down")

// class separates the two budgets of the store.
type class int

const (
	classRead class = iota
	classWrite
	classCount
)

// result names the outcome of a call in counters.
type result string

const (
	resultOK       result = "ok"
	resultRefused  result = "refused"   // a typed answer of the store other than success
	resultNotSent  result = "not_sent"  // certainly without effect
	resultUnknown  result = "unknown"   // may have taken effect
	resultCanceled result = "cancelled" // the caller gave up; may have taken effect
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

// notSentError carries a reason and is infra.ErrNotSent.
type notSentError struct{ reason error }

func (e *notSentError) Error() string { return infra.ErrNotSent.Error() + ": " + e.reason.Error() }

func (e *notSentError) Is(target error) bool { return target == infra.ErrNotSent }

func (e *notSentError) Unwrap() error { return e.reason }

func notSent(reason error) error { return &notSentError{reason: reason} }

// contextReason returns why a wait ended.
func contextReason(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	return context.DeadlineExceeded
}

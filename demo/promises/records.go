// Package promises checks the invariants that the system promises, from what the stand-ins and the callers recorded.
// Every check is a pure function of the records.
package promises

import (
	"time"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/resource"
	"siskinstack.example/siskinstack/standin"
)

// Outcome is what a caller knows after one attempt.
type Outcome string

// The outcomes of an attempt.
const (
	// Answered is a complete answer, or an accepted submission.
	Answered Outcome = "answered"
	// RefusedNotRun is a refusal that says that nothing has run.
	RefusedNotRun Outcome = "refused_not_run"
	Refused       Outcome = "refused"
	// NotSent is an attempt that found no open connection.
	NotSent Outcome = "not_sent"
	// Unknown is an attempt without a complete answer.
	Unknown Outcome = "unknown"
)

// Attempt is one call of a caller to one entry VM.
type Attempt struct {
	VM         string
	Sent, Done time.Time
	Outcome    Outcome
	// RequestID is the identifier that the entry VM gave; empty if it gave none.
	RequestID string
	Reason    string
	Status    int
	// Response is the body of the answer, or the identifier of accepted work.
	Response string
}

// Request is one request of a caller with all its attempts. Body is unique to the request.
type Request struct {
	Body       string
	Expected   string
	Idempotent bool
	RequestKey string
	Attempts   []Attempt
}

// Work is one submission with all its attempts. Tag is unique to it and part of the command of its tasks.
type Work struct {
	Tag        string
	Team       string
	Kind       siskinv1.WorkKind
	Count      int32
	AtMostOnce bool
	Attempts   []Attempt
	// Final is the state at the end; nil if no entry VM knows the work.
	Final *siskinv1.WorkStatus
}

// Credential says what is wrong with the key of a call.
type Credential string

// The kinds of keys that must not be accepted.
const (
	Withdrawn Credential = "withdrawn"
	WrongTeam Credential = "wrong team"
	NoKey     Credential = "no key"
	UnknownID Credential = "unknown key"
)

// KeyCheck is one call with a key that must not be accepted.
type KeyCheck struct {
	Credential Credential
	VM         string
	// Sent is when the call left; WithdrawnAt is when the withdrawal was answered.
	Sent        time.Time
	WithdrawnAt time.Time
	Outcome     Outcome
}

// Drain is one time during which a zone was out of service.
type Drain struct {
	Zone                string
	Drained, ReturnedAt time.Time
}

// Leaving is an endpoint that began to leave.
type Leaving struct {
	Endpoint string
	At       time.Time
}

// Stop is a planned stop of an entry VM.
type Stop struct {
	VM         string
	Begun, End time.Time
}

// SignOff is a bundle version that was accepted.
type SignOff struct {
	Version int64
	At      time.Time
}

// VersionSample is the bundle version that an entry VM had in force when it was asked.
type VersionSample struct {
	VM      string
	At      time.Time
	Version int64
}

// Records is everything that was seen.
type Records struct {
	// Ended is when the records were taken.
	Ended    time.Time
	Fleet    []infra.VM
	Ceilings map[string]resource.Vector

	TaskRuns        []standin.TaskRun
	RequestRuns     []standin.RequestRun
	RequestRefusals []standin.RequestRefusal

	Requests       []Request
	Work           []Work
	KeyChecks      []KeyCheck
	Drains         []Drain
	Leaving        []Leaving
	Stops          []Stop
	SignOffs       []SignOff
	VersionSamples []VersionSample
	// Killed lists the entry VMs that were ended without notice, with the time.
	Killed map[string]time.Time
}

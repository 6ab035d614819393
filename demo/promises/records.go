// Package promises checks the guarantees of the system against the records of the stand-ins and the callers. Every
// check is a pure function of the records.
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
	// Answered is a complete response, or an accepted submission.
	Answered Outcome = "answered"
	// RefusedNotRun is a refusal that states that nothing has run.
	RefusedNotRun Outcome = "refused_not_run"
	// Refused is a refusal after which something may have run.
	Refused Outcome = "refused"
	// NotSent is an attempt without a connection to the entry VM.
	NotSent Outcome = "not_sent"
	// Unknown is an attempt without a complete response.
	Unknown Outcome = "unknown"
)

// Attempt is one call of a caller to one entry VM.
type Attempt struct {
	VM         string
	Sent, Done time.Time
	Outcome    Outcome
	// RequestID is the identifier that the entry VM assigned; empty if it returned none.
	RequestID string
	Reason    string
	Status    int
	// Response is the body of the response, or the identifier of accepted work.
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
	// Final is the last known state; nil if no entry VM returned one.
	Final *siskinv1.WorkStatus
}

// Credential says what is wrong with the key of a call.
type Credential string

// The kinds of credentials that must be refused.
const (
	Withdrawn Credential = "withdrawn"
	WrongTeam Credential = "wrong team"
	NoKey     Credential = "no key"
	UnknownID Credential = "unknown key"
)

// KeyCheck is one call with a key that must be refused.
type KeyCheck struct {
	Credential Credential
	VM         string
	// Sent is when the call was sent; WithdrawnAt is when the withdrawal was confirmed.
	Sent        time.Time
	WithdrawnAt time.Time
	Outcome     Outcome
}

// Drain is one period during which a zone was out of service.
type Drain struct {
	Zone                string
	Drained, ReturnedAt time.Time
}

// Leaving is an endpoint that began to leave.
type Leaving struct {
	Endpoint string
	At       time.Time
}

// Stop is one planned stop of an entry VM.
type Stop struct {
	VM         string
	Begun, End time.Time
}

// SignOff is a bundle version whose sign-off was accepted.
type SignOff struct {
	Version int64
	At      time.Time
}

// VersionSample is the bundle version that an entry VM reported as in force. At is when the call was sent.
type VersionSample struct {
	VM      string
	At      time.Time
	Version int64
}

// Records holds all events recorded during a run.
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
	// Killed lists the entry VMs that were killed without notice, with the time.
	Killed map[string]time.Time
}

package apiclient

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"siskinstack.example/siskinstack/refusal"
)

// Refusal is an answer by which an entry VM declines a call.
type Refusal struct {
	Status    int
	RequestID string
	Reason    refusal.Reason
	Message   string
	// NotRun is true if nothing has run.
	NotRun     bool
	RetryAfter time.Duration
}

// Error returns the reason, the message and the request identifier.
func (r *Refusal) Error() string {
	return fmt.Sprintf("refused: %s: %s (request %s, not run: %t)", r.Reason, r.Message, r.RequestID, r.NotRun)
}

// temporaryReasons are reasons that another entry VM, or the same one later, may not have.
var temporaryReasons = []refusal.Reason{
	refusal.KeyUnverifiable, refusal.Overloaded, refusal.NoEndpoint, refusal.ShardUnavailable,
	refusal.StoreUnavailable, refusal.Leaving,
}

// Temporary reports whether the same call may succeed at another entry VM or later.
func (r *Refusal) Temporary() bool { return slices.Contains(temporaryReasons, r.Reason) }

// TransportError is a call without a complete answer.
type TransportError struct {
	Server string
	// Sent is true if the call may have reached the server, so that its outcome is not known.
	Sent  bool
	Cause error
}

// Error returns what is known of the outcome, and the cause.
func (e *TransportError) Error() string {
	outcome := "not sent"
	if e.Sent {
		outcome = "outcome unknown"
	}
	return fmt.Sprintf("call to %s: %s: %v", e.Server, outcome, e.Cause)
}

// Unwrap returns the cause.
func (e *TransportError) Unwrap() error { return e.Cause }

// StatusError is an answer outside the API, for example of an older entry VM that does not have the route.
type StatusError struct {
	Status int
	Text   string
}

// Error returns the status and the beginning of the body.
func (e *StatusError) Error() string {
	return fmt.Sprintf("server answered %d %s: %s", e.Status, http.StatusText(e.Status), e.Text)
}

// refusalOf returns the refusal that an answer carries; nil if it carries none.
func refusalOf(got answer) error {
	if got.status < http.StatusBadRequest {
		return nil
	}
	var body struct {
		RequestID    string `json:"request_id"`
		Reason       string `json:"reason"`
		Message      string `json:"message"`
		NotRun       bool   `json:"not_run"`
		RetryAfterMs int64  `json:"retry_after_ms"`
	}
	if json.Unmarshal(got.body, &body) != nil || body.Reason == "" {
		return nil
	}
	// An endpoint's own error may look alike, but only the entry VM names the request both ways.
	if body.RequestID == "" || body.RequestID != got.requestID {
		return nil
	}
	return &Refusal{
		Status: got.status, RequestID: body.RequestID, Reason: refusal.Reason(body.Reason), Message: body.Message,
		NotRun: body.NotRun, RetryAfter: time.Duration(body.RetryAfterMs) * time.Millisecond,
	}
}

// maxErrorText bounds the text of a StatusError.
const maxErrorText = 200

// expect turns an answer with an unexpected status into an error.
func expect(got answer) error {
	if got.status < http.StatusMultipleChoices {
		return nil
	}
	return &StatusError{Status: got.status, Text: string(got.body[:min(len(got.body), maxErrorText)])}
}

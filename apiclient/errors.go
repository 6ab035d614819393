package apiclient

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"siskinstack.example/siskinstack/refusal"
)

// Refusal is the response of an entry VM that refuses a call.
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

// temporaryReasons are reasons that may not apply at another entry VM, or at the same one later.
var temporaryReasons = []refusal.Reason{
	refusal.KeyUnverifiable, refusal.Overloaded, refusal.NoEndpoint, refusal.ShardUnavailable,
	refusal.StoreUnavailable, refusal.Leaving,
}

// Temporary reports whether the same call may succeed at another entry VM or later.
func (r *Refusal) Temporary() bool { return slices.Contains(temporaryReasons, r.Reason) }

// TransportError reports a call without a complete response.
type TransportError struct {
	Server string
	// Sent is true if the call may have reached the server, so that its outcome is not known.
	Sent  bool
	Cause error
}

// Error returns the server, what is known of the outcome, and the cause.
func (e *TransportError) Error() string {
	outcome := "not sent"
	if e.Sent {
		outcome = "outcome unknown"
	}
	return fmt.Sprintf("call to %s: %s: %v", e.Server, outcome, e.Cause)
}

// Unwrap returns the cause.
func (e *TransportError) Unwrap() error { return e.Cause }

// StatusError is an error response outside the API, for example of an older entry VM that does not have the route.
type StatusError struct {
	Status int
	Text   string
}

// Error returns the status and the beginning of the body.
func (e *StatusError) Error() string {
	return fmt.Sprintf("server responded with status %d %s: %s", e.Status, http.StatusText(e.Status), e.Text)
}

// refusalOf returns the refusal that a response carries; nil if it carries none.
func refusalOf(resp response) error {
	if resp.status < http.StatusBadRequest {
		return nil
	}
	var body struct {
		RequestID    string `json:"request_id"`
		Reason       string `json:"reason"`
		Message      string `json:"message"`
		NotRun       bool   `json:"not_run"`
		RetryAfterMs int64  `json:"retry_after_ms"`
	}
	if json.Unmarshal(resp.body, &body) != nil || body.Reason == "" {
		return nil
	}
	// An endpoint's own error may have the same fields, but only an entry VM names the request in both header and body.
	if body.RequestID == "" || body.RequestID != resp.requestID {
		return nil
	}
	return &Refusal{
		Status: resp.status, RequestID: body.RequestID, Reason: refusal.Reason(body.Reason), Message: body.Message,
		NotRun: body.NotRun, RetryAfter: time.Duration(body.RetryAfterMs) * time.Millisecond,
	}
}

// maxErrorText bounds the text of a StatusError.
const maxErrorText = 200

// checkStatus returns a StatusError for a response whose status is not a success.
func checkStatus(resp response) error {
	if resp.status < http.StatusMultipleChoices {
		return nil
	}
	return &StatusError{Status: resp.status, Text: string(resp.body[:min(len(resp.body), maxErrorText)])}
}

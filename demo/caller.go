package demo

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"siskinstack.example/siskinstack/apiclient"
	"siskinstack.example/siskinstack/demo/promises"
	"siskinstack.example/siskinstack/refusal"
)

const (
	// callTimeout bounds one attempt of a caller.
	callTimeout = 4 * time.Second
	// maxAttempts bounds the attempts of a caller for one request.
	maxAttempts = 8
	// retryDelay is the time between two attempts.
	retryDelay = 60 * time.Millisecond
)

// delayedTransport adds the network delay between the site's clients and the entry VMs.
type delayedTransport struct {
	http.RoundTripper
	delay time.Duration
}

// RoundTrip sends a request after the delay.
func (t delayedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	if !pause(request.Context(), t.delay) {
		return nil, request.Context().Err()
	}
	return t.RoundTripper.RoundTrip(request)
}

// clients holds one client for each entry VM and key, so that the entry VM of every attempt is known.
type clients struct {
	transport http.RoundTripper

	mu      sync.Mutex // guards byVMKey
	byVMKey map[[2]string]*apiclient.Client
}

func newClients(delay time.Duration) *clients {
	return &clients{
		transport: delayedTransport{apiclient.NewTransport(nil), delay}, byVMKey: map[[2]string]*apiclient.Client{},
	}
}

func (c *clients) get(vm *entryVM, key string) (*apiclient.Client, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	id := [2]string{vm.name(), key}
	if client, ok := c.byVMKey[id]; ok {
		return client, nil
	}
	client, err := apiclient.New(apiclient.Options{
		Servers: []string{vm.settings.GetListen().GetCallers()}, Key: key, Transport: c.transport,
	})
	if err == nil {
		c.byVMKey[id] = client
	}
	return client, err
}

// attempt makes one call to an entry VM and returns its record.
func attempt(ctx context.Context, vm *entryVM, call func(context.Context) (response, error)) (promises.Attempt, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	record := promises.Attempt{VM: vm.name(), Sent: time.Now()}
	resp, err := call(ctx)
	record.Done = time.Now()
	record.RequestID, record.Status, record.Response = resp.requestID, resp.status, resp.text
	record.Outcome = outcomeOf(err)
	var refused *apiclient.Refusal
	if errors.As(err, &refused) {
		record.RequestID, record.Status, record.Reason = refused.RequestID, refused.Status, string(refused.Reason)
	}
	return record, err
}

// response is the part of a response that the checks compare.
type response struct {
	requestID string
	status    int
	text      string
}

func outcomeOf(err error) promises.Outcome {
	if err == nil {
		return promises.Answered
	}
	var refused *apiclient.Refusal
	if errors.As(err, &refused) {
		if refused.NotRun {
			return promises.RefusedNotRun
		}
		return promises.Refused
	}
	var transport *apiclient.TransportError
	if errors.As(err, &transport) && !transport.Sent {
		return promises.NotSent
	}
	return promises.Unknown
}

// mayRepeat reports whether a caller may send a call again after an attempt.
func mayRepeat(record promises.Attempt, repeatable bool) bool {
	switch record.Outcome {
	case promises.NotSent:
		return true
	case promises.RefusedNotRun:
		refused := apiclient.Refusal{Reason: refusal.Reason(record.Reason)}
		return refused.Temporary()
	case promises.Refused:
		// outcome_unknown is final for a request key: repeated calls are refused with the same reason.
		return repeatable && record.Reason != string(refusal.OutcomeUnknown)
	case promises.Unknown:
		return repeatable
	default:
		return false
	}
}

var errNoVM = errors.New("no entry VM is live")

// attempts calls through one live VM after the other until the outcome is final, at most maxAttempts times. first
// selects the first VM.
func (r *run) attempts(
	ctx context.Context, first int, repeatable bool, call func(context.Context, *entryVM) (response, error),
) ([]promises.Attempt, error) {
	var records []promises.Attempt
	var lastErr error
	for i := range maxAttempts {
		live := r.cluster.live()
		if len(live) == 0 {
			return records, errNoVM
		}
		vm := live[(first+i)%len(live)]
		one, err := attempt(ctx, vm, func(ctx context.Context) (response, error) { return call(ctx, vm) })
		records, lastErr = append(records, one), err
		if !mayRepeat(one, repeatable) || !pause(ctx, retryDelay) {
			break
		}
	}
	return records, lastErr
}

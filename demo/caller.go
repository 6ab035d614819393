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
	// retryPause is the pause between two attempts.
	retryPause = 60 * time.Millisecond
)

// delayedTransport is as far from the entry VMs as the site's clients are.
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

// clients holds one client for each entry VM and key, so that every attempt has a known way.
type clients struct {
	transport http.RoundTripper

	mu  sync.Mutex // guards all
	all map[[2]string]*apiclient.Client
}

func newClients(delay time.Duration) *clients {
	return &clients{
		transport: delayedTransport{apiclient.NewTransport(nil), delay}, all: map[[2]string]*apiclient.Client{},
	}
}

func (c *clients) of(vm *entryVM, key string) (*apiclient.Client, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	id := [2]string{vm.name(), key}
	if client, ok := c.all[id]; ok {
		return client, nil
	}
	client, err := apiclient.New(apiclient.Options{
		Servers: []string{vm.settings.GetListen().GetCallers()}, Key: key, Transport: c.transport,
	})
	if err == nil {
		c.all[id] = client
	}
	return client, err
}

// attempt makes one call and records it.
func attempt(ctx context.Context, vm *entryVM, call func(context.Context) (answer, error)) (promises.Attempt, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	made := promises.Attempt{VM: vm.name(), Sent: time.Now()}
	got, err := call(ctx)
	made.Done = time.Now()
	made.RequestID, made.Status, made.Response = got.requestID, got.status, got.text
	made.Outcome = outcomeOf(err)
	var refused *apiclient.Refusal
	if errors.As(err, &refused) {
		made.RequestID, made.Status, made.Reason = refused.RequestID, refused.Status, string(refused.Reason)
	}
	return made, err
}

// answer is what a caller compares.
type answer struct {
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

// mayRepeat reports whether a caller may send again after an attempt.
func mayRepeat(made promises.Attempt, repeatable bool) bool {
	switch made.Outcome {
	case promises.NotSent:
		return true
	case promises.RefusedNotRun:
		refused := apiclient.Refusal{Reason: refusal.Reason(made.Reason)}
		return refused.Temporary()
	case promises.Refused:
		return repeatable && made.Reason != string(refusal.OutcomeUnknown)
	case promises.Unknown:
		return repeatable
	default:
		return false
	}
}

var errNoVM = errors.New("no entry VM is live")

// attempts calls through one live VM after the other until the outcome is final. first selects the VM to begin with.
func (r *run) attempts(
	ctx context.Context, first int, repeatable bool, call func(context.Context, *entryVM) (answer, error),
) ([]promises.Attempt, error) {
	var made []promises.Attempt
	var last error
	for i := range maxAttempts {
		live := r.cluster.live()
		if len(live) == 0 {
			return made, errNoVM
		}
		vm := live[(first+i)%len(live)]
		one, err := attempt(ctx, vm, func(ctx context.Context) (answer, error) { return call(ctx, vm) })
		made, last = append(made, one), err
		if !mayRepeat(one, repeatable) || !pause(ctx, retryPause) {
			break
		}
	}
	return made, last
}

package demo

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"siskinstack.example/siskinstack/apiclient"
	"siskinstack.example/siskinstack/demo/promises"
	"siskinstack.example/siskinstack/standin"
)

const (
	requestCallers  = 8
	requestInterval = 20 * time.Millisecond
	// responseSpread makes responses of one endpoint arrive out of order.
	responseSpread = 40 * time.Millisecond
	// spreadEvery selects every third VM of the fleet, if it is an endpoint, for responseSpread.
	spreadEvery = 3

	fastRequestTime = 15 * time.Millisecond
	slowRequestTime = 400 * time.Millisecond

	kindPreview = "preview"
	kindBooking = "booking"
	kindReindex = "reindex"
	kindSlow    = "slow"
)

// requestTime returns how long an endpoint takes for a request.
func requestTime(_ string, body []byte) time.Duration {
	if strings.HasPrefix(string(body), kindSlow) {
		return slowRequestTime
	}
	return fastRequestTime
}

// stepRequests waits for the first response, then starts callers that send requests of every kind until the load ends.
func (r *run) stepRequests(ctx context.Context) (string, error) {
	for i, vm := range r.cluster.platform.Fleet {
		if vm.Service != "" && i%spreadEvery == 0 {
			r.cluster.platform.Endpoints.SetFaults(vm.Name, standin.EndpointFaults{Jitter: responseSpread})
		}
	}
	if err := r.waitForResponse(ctx); err != nil {
		return "", err
	}
	var callers []func(context.Context)
	for i := range requestCallers {
		callers = append(callers, func(ctx context.Context) { r.sendRequests(ctx, i) })
	}
	r.load = append(r.load, startBackground(ctx, callers...))
	return fmt.Sprintf("%d callers send requests", requestCallers), nil
}

// firstResponseLimit bounds the time until a VM knows the service of a bundle in force and its endpoints.
const firstResponseLimit = 3 * time.Second

// waitForResponse sends requests until one is answered. It distinguishes a missing route from a failing one.
func (r *run) waitForResponse(ctx context.Context) error {
	var last promises.Attempt
	err := waitFor(ctx, firstResponseLimit, "a first answer", func() bool {
		request := r.sendOne(ctx, 0, kindPreview)
		last = request.Attempts[len(request.Attempts)-1]
		return last.Outcome == promises.Answered || routeMissing(last)
	})
	switch {
	case routeMissing(last):
		return &NotAvailable{Route: "POST /v1/services/{service}/requests"}
	case err != nil:
		return fmt.Errorf("%w; the last request was %s %s", err, last.Outcome, last.Reason)
	}
	return nil
}

// routeMissing reports whether the entry VM does not have the route: it then responds with 404 without a reason.
func routeMissing(attempt promises.Attempt) bool {
	return attempt.Status == http.StatusNotFound && attempt.Reason == ""
}

func (r *run) sendRequests(ctx context.Context, caller int) {
	kinds := []string{kindPreview, kindBooking, kindSlow, kindReindex}
	for i := caller; ctx.Err() == nil; i++ {
		// The context is not cancelled with the load, so that its end interrupts no request.
		r.sendOne(context.WithoutCancel(ctx), i, kinds[i%len(kinds)])
		pause(ctx, requestInterval)
	}
}

// sendOne sends one request and records it. Answered bookings, which have a request key, are sent again through another
// VM.
func (r *run) sendOne(ctx context.Context, first int, kind string) promises.Request {
	body := r.uniqueName(kind)
	request := promises.Request{
		Body: body, Expected: "done " + body, Idempotent: kind == kindPreview || kind == kindSlow,
	}
	if kind == kindBooking {
		request.RequestKey = body
	}
	team := r.cluster.site.Teams[0].Name
	send := func(ctx context.Context, vm *entryVM) (response, error) {
		return r.sendThrough(ctx, vm, r.key(team), request)
	}
	repeatable := request.Idempotent || request.RequestKey != ""
	request.Attempts, _ = r.attempts(ctx, first, repeatable, send)
	if last := request.Attempts[len(request.Attempts)-1]; kind == kindBooking && last.Outcome == promises.Answered {
		again, _ := r.attempts(ctx, first+1, repeatable, send)
		request.Attempts = append(request.Attempts, again...)
	}
	r.recorder.request(request)
	return request
}

// errNoRoute is the error for an entry VM that does not forward requests.
var errNoRoute = errors.New("route is missing")

func (r *run) sendThrough(ctx context.Context, vm *entryVM, key string, request promises.Request) (response, error) {
	client, err := r.clients.get(vm, key)
	if err != nil {
		return response{}, err
	}
	reply, err := client.Send(ctx, apiclient.Request{
		Service: r.cluster.site.Service, Body: []byte(request.Body), ContentType: "text/plain",
		Idempotent: request.Idempotent, RequestKey: request.RequestKey,
	})
	resp := response{requestID: reply.RequestID, status: reply.Status, text: string(reply.Body)}
	if err == nil && reply.Status == http.StatusNotFound && reply.RequestID == "" {
		return resp, errNoRoute
	}
	return resp, err
}

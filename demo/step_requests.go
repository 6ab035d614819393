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
	requestCallers = 8
	requestPause   = 20 * time.Millisecond
	// answerSpread makes answers of one endpoint overtake each other.
	answerSpread = 40 * time.Millisecond
	// spreadEvery selects the endpoints with spread answers.
	spreadEvery = 3

	quickWork = 15 * time.Millisecond
	slowWork  = 400 * time.Millisecond

	kindPreview = "preview"
	kindBooking = "booking"
	kindReindex = "reindex"
	kindSlow    = "slow"
)

// requestWork is how long an endpoint takes for a request.
func requestWork(_ string, body []byte) time.Duration {
	if strings.HasPrefix(string(body), kindSlow) {
		return slowWork
	}
	return quickWork
}

// stepRequests starts callers that send requests of every kind until the end, and waits for the first answers.
func (r *run) stepRequests(ctx context.Context) (string, error) {
	for i, vm := range r.cluster.platform.Fleet {
		if vm.Service != "" && i%spreadEvery == 0 {
			r.cluster.platform.Endpoints.SetFaults(vm.Name, standin.EndpointFaults{Jitter: answerSpread})
		}
	}
	if err := r.firstAnswer(ctx); err != nil {
		return "", err
	}
	var callers []func(context.Context)
	for i := range requestCallers {
		callers = append(callers, func(ctx context.Context) { r.sendRequests(ctx, i) })
	}
	r.load = append(r.load, startBackground(ctx, callers...))
	return fmt.Sprintf("%d callers send requests", requestCallers), nil
}

// firstLimit is how long a VM may take to know the service of a bundle in force and its endpoints.
const firstLimit = 3 * time.Second

// firstAnswer sends requests until one is answered, and tells a missing route from a failing one.
func (r *run) firstAnswer(ctx context.Context) error {
	var last promises.Attempt
	err := waitFor(ctx, firstLimit, "a first answer", func() bool {
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

// routeMissing reports whether the entry VM does not have the route at all: it gives no reason.
func routeMissing(made promises.Attempt) bool {
	return made.Status == http.StatusNotFound && made.Reason == ""
}

func (r *run) sendRequests(ctx context.Context, caller int) {
	kinds := []string{kindPreview, kindBooking, kindSlow, kindReindex}
	for i := caller; ctx.Err() == nil; i++ {
		// A request is always followed to its end, so that ending the load cuts nothing off.
		r.sendOne(context.WithoutCancel(ctx), i, kinds[i%len(kinds)])
		pause(ctx, requestPause)
	}
}

// sendOne sends one request and records it. Bookings have a request key and are sent again through another VM.
func (r *run) sendOne(ctx context.Context, first int, kind string) promises.Request {
	body := r.next(kind)
	request := promises.Request{
		Body: body, Expected: "done " + body, Idempotent: kind == kindPreview || kind == kindSlow,
	}
	if kind == kindBooking {
		request.RequestKey = body
	}
	team := r.cluster.site.Teams[0].Name
	send := func(ctx context.Context, vm *entryVM) (answer, error) {
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

// errNoRoute is the answer of an entry VM that does not forward requests.
var errNoRoute = errors.New("route is missing")

func (r *run) sendThrough(ctx context.Context, vm *entryVM, key string, request promises.Request) (answer, error) {
	client, err := r.clients.of(vm, key)
	if err != nil {
		return answer{}, err
	}
	got, err := client.Send(ctx, apiclient.Request{
		Service: r.cluster.site.Service, Body: []byte(request.Body), ContentType: "text/plain",
		Idempotent: request.Idempotent, RequestKey: request.RequestKey,
	})
	shown := answer{requestID: got.RequestID, status: got.Status, text: string(got.Body)}
	if err == nil && got.Status == http.StatusNotFound && got.RequestID == "" {
		return shown, errNoRoute
	}
	return shown, err
}

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
			r.cluster.platform.Endpoints.SetFaults(vm.Name, standin.EndpointFaults{Spread: answerSpread})
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

// firstAnswer sends one request, to tell a missing route from a failing one.
func (r *run) firstAnswer(ctx context.Context) error {
	request := r.sendOne(ctx, 0, kindPreview)
	last := request.Attempts[len(request.Attempts)-1]
	if last.Outcome == promises.Answered {
		return nil
	}
	if last.Status == http.StatusNotFound {
		return &NotAvailable{Route: "POST /v1/services/{service}/requests"}
	}
	return fmt.Errorf("first request: %s %s", last.Outcome, last.Reason)
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

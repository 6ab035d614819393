package sitetest

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"sync"
	"time"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/apiclient"
	"siskinstack.example/siskinstack/demo/promises"
	"siskinstack.example/siskinstack/refusal"
)

const (
	callTimeout     = 2 * time.Second
	maxAttempts     = 8
	retryInterval   = 60 * time.Millisecond
	requestInterval = 25 * time.Millisecond
	submitInterval  = 200 * time.Millisecond
	// maxSubmissions bounds the concurrent submissions. It exceeds the number that a shard without an owner blocks during
	// one case, so that the other shards still get work.
	maxSubmissions = 24
	callers        = 4

	quickWork = 10 * time.Millisecond
	slowWork  = 300 * time.Millisecond

	kindPreview = "preview"
	kindBooking = "booking"
	kindReindex = "reindex"
	kindSlow    = "slow"
)

// requestWork returns how long an endpoint works on a request.
func requestWork(_ string, body []byte) time.Duration {
	if strings.HasPrefix(string(body), kindSlow) {
		return slowWork
	}
	return quickWork
}

// clients holds one client for each entry VM and key.
type clients struct {
	transport *http.Transport

	mu  sync.Mutex // guards all
	all map[[2]string]*apiclient.Client
}

func newClients() *clients {
	return &clients{transport: apiclient.NewTransport(nil), all: map[[2]string]*apiclient.Client{}}
}

func (c *clients) close() { c.transport.CloseIdleConnections() }

// client returns a client that calls one VM with one key.
func (c *cluster) client(vm *entryVM, key string) *apiclient.Client {
	c.clients.mu.Lock()
	defer c.clients.mu.Unlock()
	id := [2]string{vm.name, key}
	if client, ok := c.clients.all[id]; ok {
		return client
	}
	client, err := apiclient.New(apiclient.Options{
		Servers: []string{vm.settings.GetListen().GetCallers()}, Key: key, Transport: c.clients.transport,
	})
	if err != nil {
		panic(err)
	}
	c.clients.all[id] = client
	return client
}

func (c *cluster) key(team string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.keys[team].Key
}

// answer is the part of a response that the checks compare.
type answer struct {
	requestID string
	status    int
	text      string
}

// attempt makes one call and records it.
func attempt(ctx context.Context, vm *entryVM, call func(context.Context) (answer, error)) (promises.Attempt, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	made := promises.Attempt{VM: vm.name, Sent: time.Now()}
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

// mayRetry reports whether a caller may retry after an attempt. A call that is not retryable must not run twice; it is
// retried only if it certainly did not run.
func mayRetry(made promises.Attempt, retryable bool) bool {
	switch made.Outcome {
	case promises.NotSent:
		return true
	case promises.RefusedNotRun:
		refused := apiclient.Refusal{Reason: refusal.Reason(made.Reason)}
		return refused.Temporary()
	case promises.Refused:
		return retryable && made.Reason != string(refusal.OutcomeUnknown)
	case promises.Unknown:
		return retryable
	default:
		return false
	}
}

var errNoVM = errors.New("no entry VM is live")

// attempts calls one VM after the other until the outcome is final, at most maxAttempts times.
func (c *cluster) attempts(
	ctx context.Context, first int, retryable bool, call func(context.Context, *entryVM) (answer, error),
) ([]promises.Attempt, error) {
	var made []promises.Attempt
	last := errNoVM
	for i := range maxAttempts {
		live := c.live()
		if len(live) == 0 {
			return made, errNoVM
		}
		vm := live[(first+i)%len(live)]
		var one promises.Attempt
		one, last = attempt(ctx, vm, func(ctx context.Context) (answer, error) { return call(ctx, vm) })
		made = append(made, one)
		if !mayRetry(one, retryable) {
			break
		}
		time.Sleep(retryInterval)
	}
	return made, last
}

// load runs the callers of a site.
type load struct {
	cancel context.CancelFunc
	tasks  sync.WaitGroup
}

func (l *load) run(tasks ...func(context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	previous := l.cancel
	l.cancel = func() {
		if previous != nil {
			previous()
		}
		cancel()
	}
	for _, task := range tasks {
		l.tasks.Go(func() { task(ctx) })
	}
}

// stop stops the callers and waits until each has completed its last call.
func (l *load) stop() {
	if l.cancel != nil {
		l.cancel()
	}
	l.tasks.Wait()
}

// startLoad starts callers that send requests and submit work of every kind.
func (c *cluster) startLoad() {
	service := batch(3, 2, "serve", "-")
	service.Kind = siskinv1.WorkKind_WORK_KIND_SERVICE
	_, _ = c.submit(0, "bookings", service)
	for i := range callers {
		c.load.run(func(ctx context.Context) { c.sendRequests(ctx, i) })
	}
	c.load.run(c.submitWork)
	for _, vm := range c.vms {
		c.load.run(func(ctx context.Context) { c.watchVersion(ctx, vm) })
	}
}

func batch(count int32, cores int64, command ...string) *siskinv1.WorkSpec {
	return &siskinv1.WorkSpec{
		Kind: siskinv1.WorkKind_WORK_KIND_BATCH, Count: count, Command: command,
		Each: &siskinv1.Resources{MilliCpu: cores * core, MemoryBytes: cores * gib},
	}
}

// submitWork submits batch, gang and at-most-once work. Some tasks are long enough to run during the failures.
func (c *cluster) submitWork(ctx context.Context) {
	var submissions sync.WaitGroup
	defer submissions.Wait()
	slots := make(chan struct{}, maxSubmissions)
	for i := 0; ctx.Err() == nil; i++ {
		spec := batch(3, 1, "sleep", "300ms")
		switch i % 4 {
		case 1:
			spec.Kind, spec.Count = siskinv1.WorkKind_WORK_KIND_GANG, 4
		case 2:
			spec.AtMostOnce = !c.options.noAtMostOnce
		case 3:
			spec.Command = []string{"sleep", "3s"}
			spec.Checkpointable = true
		}
		slots <- struct{}{}
		submissions.Go(func() {
			defer func() { <-slots }()
			_, _ = c.submit(i, c.site.Teams[i%len(c.site.Teams)].Name, spec)
		})
		time.Sleep(submitInterval)
	}
}

// submit submits work through one VM, retries through others where that is safe, and then submits it once more with the
// same request key.
func (c *cluster) submit(first int, team string, spec *siskinv1.WorkSpec) (*promises.Work, error) {
	work := &promises.Work{
		Tag: c.records.uniqueName("work"), Team: team, Kind: spec.GetKind(), Count: spec.GetCount(),
		AtMostOnce: spec.GetAtMostOnce(),
	}
	spec.Name, spec.Queue = work.Tag, team
	spec.Command = append(spec.GetCommand(), work.Tag)
	send := func(ctx context.Context, vm *entryVM) (answer, error) {
		submitted, err := c.client(vm, c.key(team)).Submit(ctx, spec, work.Tag)
		return answer{text: submitted.ID}, err
	}
	var err error
	work.Attempts, err = c.attempts(context.Background(), first, true, send)
	if err == nil {
		again, _ := c.attempts(context.Background(), first+1, true, send)
		work.Attempts = append(work.Attempts, again...)
	}
	c.records.addWork(work)
	return work, err
}

func (c *cluster) sendRequests(ctx context.Context, caller int) {
	kinds := []string{kindPreview, kindBooking, kindSlow, kindReindex}
	for i := caller; ctx.Err() == nil; i++ {
		c.sendOne(i, kinds[i%len(kinds)])
		time.Sleep(requestInterval)
	}
}

// sendOne sends one request and records it. Bookings have a request key and are repeated through another VM. Reindex
// requests are neither idempotent nor keyed.
func (c *cluster) sendOne(first int, kind string) promises.Request {
	body := c.records.uniqueName(kind)
	request := promises.Request{
		Body: body, Expected: "done " + body, Idempotent: kind == kindPreview || kind == kindSlow,
	}
	if kind == kindBooking {
		request.RequestKey = body
	}
	send := func(ctx context.Context, vm *entryVM) (answer, error) { return c.sendThrough(ctx, vm, request) }
	retryable := request.Idempotent || request.RequestKey != ""
	request.Attempts, _ = c.attempts(context.Background(), first, retryable, send)
	if kind == kindBooking {
		again, _ := c.attempts(context.Background(), first+1, retryable, send)
		request.Attempts = append(request.Attempts, again...)
	}
	c.records.update(func(r *promises.Records) { r.Requests = append(r.Requests, request) })
	return request
}

func probeRequest(body string) promises.Request {
	return promises.Request{Body: body, Expected: "done " + body, Idempotent: true}
}

func (c *cluster) sendThrough(ctx context.Context, vm *entryVM, request promises.Request) (answer, error) {
	key := c.key("bookings")
	if c.options.openToAll {
		key = ""
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	got, err := c.client(vm, key).Send(ctx, apiclient.Request{
		Service: c.site.Service, Body: []byte(request.Body), ContentType: "text/plain",
		Idempotent: request.Idempotent, RequestKey: request.RequestKey,
	})
	return answer{requestID: got.RequestID, status: got.Status, text: string(got.Body)}, err
}

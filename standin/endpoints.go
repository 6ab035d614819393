package standin

import (
	"context"
	"sync"
	"time"

	"siskinstack.example/siskinstack/clock"
	"siskinstack.example/siskinstack/platform"
)

// RequestRun is one run of a request at an endpoint.
type RequestRun struct {
	Endpoint   string
	From       string
	RequestID  string
	Body       string
	Idempotent bool
	Started    time.Time
	Ended      time.Time
	// Cut is true if the caller went away before the answer was complete.
	Cut bool
	// AfterLeaving is how long after the endpoint began to leave the request arrived; 0 before.
	AfterLeaving time.Duration
}

// EndpointOptions is the behaviour of the endpoints.
type EndpointOptions struct {
	Slots       int
	Connections int
	// Work is how long a request takes.
	Work func(endpoint string, body []byte) time.Duration
}

// Endpoints is a set of endpoints with a fixed number of slots each.
type Endpoints struct {
	clock   clock.Clock
	options EndpointOptions

	mu        sync.Mutex // guards all fields below
	endpoints map[string]*endpoint
	runs      []*RequestRun
}

type endpoint struct {
	inFlight map[string]int
	total    int
	peak     int
	leaving  time.Time
}

// NewEndpoints returns endpoints for the VMs with the endpoint role.
func NewEndpoints(c clock.Clock, vms []platform.VM, options EndpointOptions) *Endpoints {
	e := &Endpoints{clock: c, options: options, endpoints: map[string]*endpoint{}}
	for _, vm := range vms {
		if vm.Role == platform.RoleEndpoint {
			e.endpoints[vm.Name] = &endpoint{inFlight: map[string]int{}}
		}
	}
	return e
}

// SetLeaving makes an endpoint refuse new requests.
func (e *Endpoints) SetLeaving(name string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.endpoints[name].leaving = e.clock.Now()
}

// Runs returns a copy of all runs recorded so far.
func (e *Endpoints) Runs() []RequestRun {
	e.mu.Lock()
	defer e.mu.Unlock()
	runs := make([]RequestRun, len(e.runs))
	for i, run := range e.runs {
		runs[i] = *run
	}
	return runs
}

// Running returns how many requests are in flight at all endpoints.
func (e *Endpoints) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	running := 0
	for _, ep := range e.endpoints {
		running += ep.total
	}
	return running
}

// Peak returns the most requests that an endpoint has had in flight at once.
func (e *Endpoints) Peak(name string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.endpoints[name].peak
}

// Call runs one request.
func (e *Endpoints) Call(ctx context.Context, request platform.EndpointRequest) (platform.EndpointAnswer, error) {
	run, err := e.begin(request)
	if err != nil {
		return platform.EndpointAnswer{}, err
	}
	cut := e.clock.Sleep(ctx, e.options.Work(request.Endpoint, request.Body))
	e.finish(request, run, cut != nil)
	if cut != nil {
		return platform.EndpointAnswer{}, cut
	}
	return platform.EndpointAnswer{
		RequestID:   request.RequestID,
		Status:      200,
		Body:        append([]byte("done "), request.Body...),
		ContentType: request.ContentType,
	}, nil
}

func (e *Endpoints) begin(request platform.EndpointRequest) (*RequestRun, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	ep, ok := e.endpoints[request.Endpoint]
	if !ok {
		return nil, platform.ErrNotSent
	}
	if !ep.leaving.IsZero() {
		return nil, platform.ErrEndpointLeaving
	}
	if ep.total >= e.options.Slots {
		return nil, platform.ErrEndpointBusy
	}
	ep.total++
	ep.peak = max(ep.peak, ep.total)
	ep.inFlight[request.From]++
	run := &RequestRun{
		Endpoint: request.Endpoint, From: request.From, RequestID: request.RequestID,
		Body: string(request.Body), Idempotent: request.Idempotent, Started: e.clock.Now(),
	}
	e.runs = append(e.runs, run)
	return run, nil
}

func (e *Endpoints) finish(request platform.EndpointRequest, run *RequestRun, cut bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	ep := e.endpoints[request.Endpoint]
	ep.total--
	ep.inFlight[request.From]--
	run.Ended = e.clock.Now()
	run.Cut = cut
}

// Load returns what an endpoint has in flight.
func (e *Endpoints) Load(_ context.Context, name, _ string) (platform.EndpointLoad, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	ep, ok := e.endpoints[name]
	if !ok {
		return platform.EndpointLoad{}, platform.ErrNotSent
	}
	load := platform.EndpointLoad{InFlight: map[string]int{}, Leaving: !ep.leaving.IsZero()}
	for from, n := range ep.inFlight {
		load.InFlight[from] = n
	}
	return load, nil
}

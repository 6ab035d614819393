package standin

import (
	"context"
	"hash/fnv"
	"sync"
	"time"

	"siskinstack.example/siskinstack/clock"
	"siskinstack.example/siskinstack/infra"
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
	// Canceled is true if the caller canceled before the response was complete.
	Canceled bool
}

// RequestRefusal is one request that an endpoint refused without running it.
type RequestRefusal struct {
	Endpoint  string
	From      string
	RequestID string
	At        time.Time
	// Reason is infra.ErrEndpointBusy or infra.ErrEndpointLeaving.
	Reason error
	// AfterLeaving is the time from SetLeaving to the request; 0 if the endpoint was not leaving.
	AfterLeaving time.Duration
}

// EndpointOptions configures the endpoints.
type EndpointOptions struct {
	// Slots is the number of requests that an endpoint runs at once.
	Slots int
	// Connections bounds the open connections of an endpoint; 0 sets no limit.
	Connections int
	// RequestDuration is how long a request takes.
	RequestDuration func(endpoint string, body []byte) time.Duration
}

// EndpointFaults are the faults injected into one endpoint.
type EndpointFaults struct {
	// Down makes every call fail before it reaches the endpoint.
	Down bool
	// Delay is added to every response.
	Delay time.Duration
	// Jitter adds a delay between 0 and Jitter, different for each request, so that responses arrive out of order.
	Jitter time.Duration
	// LoseResponses runs the next n requests and then fails their calls.
	LoseResponses int
	// MismatchResponses returns the next n responses with the identifier of another request.
	MismatchResponses int
}

// Endpoints is a set of endpoints with a fixed number of slots each.
type Endpoints struct {
	clock   clock.Clock
	options EndpointOptions

	mu        sync.Mutex // guards all fields below
	endpoints map[string]*endpoint
	runs      []*RequestRun
	refusals  []RequestRefusal
}

type endpoint struct {
	inFlight map[string]int
	total    int
	peak     int
	leaving  time.Time // time of SetLeaving; zero if the endpoint is not leaving
	faults   EndpointFaults

	connections     int
	peakConnections int
}

// NewEndpoints returns endpoints for the VMs with the endpoint role.
func NewEndpoints(c clock.Clock, vms []infra.VM, options EndpointOptions) *Endpoints {
	e := &Endpoints{clock: c, options: options, endpoints: map[string]*endpoint{}}
	for _, vm := range vms {
		if vm.Role == infra.RoleEndpoint {
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

// SetFaults replaces the faults of an endpoint.
func (e *Endpoints) SetFaults(name string, faults EndpointFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.endpoints[name].faults = faults
}

// Connect counts a new connection to an endpoint. It returns false if the endpoint takes no more.
func (e *Endpoints) Connect(name string) (disconnect func(), ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	ep := e.endpoints[name]
	if e.options.Connections > 0 && ep.connections >= e.options.Connections {
		return nil, false
	}
	ep.connections++
	ep.peakConnections = max(ep.peakConnections, ep.connections)
	var once sync.Once
	return func() {
		once.Do(func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			ep.connections--
		})
	}, true
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

// Refusals returns a copy of all refusals recorded so far.
func (e *Endpoints) Refusals() []RequestRefusal {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]RequestRefusal(nil), e.refusals...)
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

// PeakInFlight returns the most requests that an endpoint has had in flight at once.
func (e *Endpoints) PeakInFlight(name string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.endpoints[name].peak
}

// PeakConnections returns the most connections that an endpoint has had at once.
func (e *Endpoints) PeakConnections(name string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.endpoints[name].peakConnections
}

// Call runs one request.
func (e *Endpoints) Call(ctx context.Context, request infra.EndpointRequest) (infra.EndpointResponse, error) {
	run, faults, err := e.begin(request)
	if err != nil {
		return infra.EndpointResponse{}, err
	}
	wait := e.options.RequestDuration(request.Endpoint, request.Body) + faults.Delay + jitter(request.RequestID, faults.Jitter)
	canceled := e.clock.Sleep(ctx, wait)
	e.finish(request, run, canceled != nil)
	if canceled != nil {
		return infra.EndpointResponse{}, canceled
	}
	if faults.LoseResponses > 0 {
		return infra.EndpointResponse{}, errResponseLost
	}
	response := infra.EndpointResponse{
		RequestID:   request.RequestID,
		Status:      200,
		Body:        append([]byte("done "), request.Body...),
		ContentType: request.ContentType,
	}
	if faults.MismatchResponses > 0 {
		response.RequestID += "-other"
	}
	return response, nil
}

// jitter returns a delay below limit that depends only on the request.
func jitter(requestID string, limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(requestID))
	return time.Duration(hash.Sum64() % uint64(limit))
}

// begin occupies a slot. It returns the faults that apply to the response.
func (e *Endpoints) begin(request infra.EndpointRequest) (*RequestRun, EndpointFaults, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	ep, ok := e.endpoints[request.Endpoint]
	if !ok || ep.faults.Down {
		return nil, EndpointFaults{}, infra.ErrNotSent
	}
	if !ep.leaving.IsZero() {
		return nil, EndpointFaults{}, e.refuse(request, ep, infra.ErrEndpointLeaving)
	}
	if ep.total >= e.options.Slots {
		return nil, EndpointFaults{}, e.refuse(request, ep, infra.ErrEndpointBusy)
	}
	ep.total++
	ep.peak = max(ep.peak, ep.total)
	ep.inFlight[request.From]++
	run := &RequestRun{
		Endpoint: request.Endpoint, From: request.From, RequestID: request.RequestID,
		Body: string(request.Body), Idempotent: request.Idempotent, Started: e.clock.Now(),
	}
	e.runs = append(e.runs, run)
	faults := ep.faults
	ep.faults.LoseResponses = max(0, faults.LoseResponses-1)
	ep.faults.MismatchResponses = max(0, faults.MismatchResponses-1)
	return run, faults, nil
}

// refuse records a refusal. The caller holds mu.
func (e *Endpoints) refuse(request infra.EndpointRequest, ep *endpoint, reason error) error {
	refusal := RequestRefusal{
		Endpoint: request.Endpoint, From: request.From, RequestID: request.RequestID,
		At: e.clock.Now(), Reason: reason,
	}
	if !ep.leaving.IsZero() {
		refusal.AfterLeaving = refusal.At.Sub(ep.leaving)
	}
	e.refusals = append(e.refusals, refusal)
	return reason
}

func (e *Endpoints) finish(request infra.EndpointRequest, run *RequestRun, canceled bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	ep := e.endpoints[request.Endpoint]
	ep.total--
	ep.inFlight[request.From]--
	run.Ended = e.clock.Now()
	run.Canceled = canceled
}

// Load returns how many requests an endpoint has in flight for each caller.
func (e *Endpoints) Load(_ context.Context, name, _ string) (infra.EndpointLoad, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	ep, ok := e.endpoints[name]
	if !ok || ep.faults.Down {
		return infra.EndpointLoad{}, infra.ErrNotSent
	}
	load := infra.EndpointLoad{InFlight: map[string]int{}, Leaving: !ep.leaving.IsZero()}
	for from, n := range ep.inFlight {
		load.InFlight[from] = n
	}
	return load, nil
}

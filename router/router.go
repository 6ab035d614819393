// Package router is the request path of one entry VM: it selects endpoints, keeps within the VM's allowance of their
// slots, queues and sheds requests, retries those that may be retried and forwards to other zones.
package router

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/clock"
	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/retrybudget"
)

// EntryVM is one configured entry VM.
type EntryVM struct {
	Name string
	Zone string
}

// Peers calls other entry VMs.
type Peers interface {
	Forward(ctx context.Context, vm string, request *siskinv1.ForwardRequest) (*siskinv1.ForwardResponse, error)
	LendSlots(ctx context.Context, vm string, request *siskinv1.LendSlotsRequest) (*siskinv1.LendSlotsResponse, error)
}

// Options configures a Router.
type Options struct {
	VM   string
	Zone string
	// Incarnation distinguishes this process from earlier ones of the same VM.
	Incarnation int64
	// EntryVMs are all configured entry VMs, this one included.
	EntryVMs  []EntryVM
	Endpoints infra.Endpoints
	VMs       infra.VMList
	Clock     clock.Clock
	// Services returns the services of the bundle in force.
	Services func() []*siskinv1.Service
	// Peers is nil if there is only this VM.
	Peers Peers
	// Alive reports whether an entry VM is up; nil means that all are.
	Alive func(vm string) bool
	// Registry is where the metrics are registered; nil leaves them unregistered.
	Registry prometheus.Registerer
	// Tracer creates the spans; with nil there are none.
	Tracer trace.TracerProvider
	// Seed is the seed of the random number generators.
	Seed uint64
}

// Router sends requests to the endpoints of services.
type Router struct {
	options Options
	zoneVMs []string
	from    string
	metrics *metrics
	tracer  trace.Tracer

	mu       sync.Mutex // guards the fields below
	random   *rand.Rand
	pools    map[string]*pool
	services map[string]*siskinv1.Service
	// remote holds, by service, the other zones with endpoints that are not leaving.
	remote map[string][]string
	// loadQueries holds the endpoints with a load query in flight: each gets one at a time, so that queries to a slow
	// endpoint do not pile up.
	loadQueries map[string]bool
}

// New returns a router that knows no endpoints until Run or RefreshList is called.
func New(options Options) *Router {
	if options.Tracer == nil {
		options.Tracer = noop.NewTracerProvider()
	}
	r := &Router{
		options:     options,
		from:        options.VM + incarnationSeparator + strconv.FormatInt(options.Incarnation, 10),
		metrics:     newMetrics(options.Registry),
		tracer:      options.Tracer.Tracer("siskinstack/router"),
		random:      rand.New(rand.NewPCG(options.Seed, 1)),
		pools:       map[string]*pool{},
		services:    map[string]*siskinv1.Service{},
		remote:      map[string][]string{},
		loadQueries: map[string]bool{},
	}
	for _, vm := range options.EntryVMs {
		if vm.Zone == options.Zone {
			r.zoneVMs = append(r.zoneVMs, vm.Name)
		}
	}
	if options.Registry != nil {
		options.Registry.MustRegister(newCollector(r))
	}
	return r
}

// pool returns the pool of a service of the bundle.
func (r *Router) pool(service string) (*pool, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p, ok := r.pools[service]
	return p, ok
}

func (r *Router) allPools() []*pool {
	r.mu.Lock()
	defer r.mu.Unlock()
	pools := make([]*pool, 0, len(r.pools))
	for _, p := range r.pools {
		pools = append(pools, p)
	}
	return pools
}

// configure applies the services of the bundle.
func (r *Router) configure() {
	services := r.options.Services()
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.services)
	for _, service := range services {
		name := service.GetName()
		r.services[name] = service
		if r.pools[name] == nil {
			r.pools[name] = r.newPool(name)
		}
		r.pools[name].configure(service)
	}
	// A service that is no longer in the bundle gets no new requests; its pool is deleted once it is idle.
	for name, p := range r.pools {
		if r.services[name] == nil && p.idle() {
			delete(r.pools, name)
		}
	}
}

func (r *Router) newPool(service string) *pool {
	return &pool{
		service: service, vm: r.options.VM, zoneVMs: r.zoneVMs, clock: r.options.Clock,
		budget: retrybudget.New(retrybudget.DefaultRatio, retrybudget.DefaultBurst),
		random: rand.New(rand.NewPCG(r.options.Seed, 2)), selectEndpoint: powerOfTwoChoices,
	}
}

// idle reports whether nothing is in flight, waiting or lent.
func (p *pool) idle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.endpoints {
		if e.slots.inFlight+e.slots.lingering+len(e.slots.lent) > 0 {
			return false
		}
	}
	return len(p.waiting.items) == 0
}

// service returns the configuration of a service.
func (r *Router) service(name string) (*siskinv1.Service, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	service, ok := r.services[name]
	return service, ok
}

func (r *Router) alive(vm string) bool {
	return r.options.Alive == nil || r.options.Alive(vm)
}

func (r *Router) randomVM(vms []string) string {
	if len(vms) == 0 {
		return ""
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return vms[r.random.IntN(len(vms))]
}

// remoteZones returns the other zones that have endpoints for a service.
func (r *Router) remoteZones(service string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.remote[service]
}

// defaultTimeout applies to services that set no timeout.
const defaultTimeout = 30 * time.Second

// Timeout returns the longest time that a request to a service may take, and false if there is no such service.
func (r *Router) Timeout(name string) (time.Duration, bool) {
	service, ok := r.service(name)
	if !ok {
		return 0, false
	}
	if ms := service.GetTimeoutMs(); ms > 0 {
		return time.Duration(ms) * time.Millisecond, true
	}
	return defaultTimeout, true
}

package router

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/clock"
	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/refusal"
	"siskinstack.example/siskinstack/retrybudget"
)

// Defaults for services that set no limit.
const (
	defaultSlots       = 8
	defaultConnections = 60
	defaultMaxWaiting  = 256
)

// pool is the state of one service at this VM: its endpoints in the zone and the requests that wait for a slot.
type pool struct {
	service string
	vm      string
	// zoneVMs are the configured entry VMs of the zone.
	zoneVMs []string
	clock   clock.Clock
	budget  *retrybudget.Budget

	mu             sync.Mutex // guards all fields below
	slots          int
	connections    int
	endpoints      []*endpoint
	waiting        waitQueue
	random         *rand.Rand
	selectEndpoint selector
	// candidates is the buffer that pick reuses.
	candidates      []*endpoint
	lastLoanRequest time.Time
}

// configure applies the limits of the service. VMs apply a change at different times; meanwhile their allowances add up
// to no more than the larger of the old and the new number of slots.
func (p *pool) configure(service *siskinv1.Service) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.slots = positiveOrDefault(service.GetSlots(), defaultSlots)
	p.connections = positiveOrDefault(service.GetConnections(), defaultConnections)
	p.waiting.limit = positiveOrDefault(service.GetMaxWaiting(), defaultMaxWaiting)
	for _, e := range p.endpoints {
		e.connections = Allowance(p.connections, e.name, p.zoneVMs, p.vm)
		e.slots.allowance = Allowance(p.slots, e.name, p.zoneVMs, p.vm)
	}
}

func positiveOrDefault(value int32, fallback int) int {
	if value > 0 {
		return int(value)
	}
	return fallback
}

// updateEndpoints replaces the endpoints of the zone by those that the platform lists.
func (p *pool) updateEndpoints(vms []infra.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := map[string]*endpoint{}
	for _, e := range p.endpoints {
		known[e.name] = e
	}
	p.endpoints = p.endpoints[:0]
	for _, vm := range vms {
		e, ok := known[vm.Name]
		if !ok {
			e = p.newEndpoint(vm)
		}
		delete(known, vm.Name)
		e.update(vm)
		p.endpoints = append(p.endpoints, e)
	}
	for _, e := range known {
		// The list may omit an endpoint for a while; its calls in flight keep their slots.
		e.leavingInList = true
		if e.slots.inFlight+e.slots.lingering > 0 {
			p.endpoints = append(p.endpoints, e)
		}
	}
	p.dispatch()
}

func (p *pool) newEndpoint(vm infra.VM) *endpoint {
	return &endpoint{
		name:        vm.Name,
		address:     vm.Address,
		connections: Allowance(p.connections, vm.Name, p.zoneVMs, p.vm),
		slots:       newSlots(Allowance(p.slots, vm.Name, p.zoneVMs, p.vm), p.clock.Now()),
		calls:       map[uint64]time.Time{},
	}
}

// hasUsableEndpoint reports whether the zone has an endpoint that is neither leaving nor ejected.
func (p *pool) hasUsableEndpoint() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	return slices.ContainsFunc(p.endpoints, func(e *endpoint) bool { return e.usable(now) })
}

// acquiredSlot is a slot of an endpoint that one call occupies.
type acquiredSlot struct {
	endpoint *endpoint
	name     string
	address  string
	call     uint64
}

// acquire takes a slot of an endpoint, preferably not of the one named avoid, and waits for one if necessary.
func (p *pool) acquire(ctx context.Context, request Request, avoid string) (acquiredSlot, error) {
	p.mu.Lock()
	// Ejections and backoffs may have ended since the last tick; waiting requests are served first.
	p.dispatch()
	if e := p.pick(avoid); e != nil {
		defer p.mu.Unlock()
		return p.acquireFrom(e), nil
	}
	w := &waiter{urgency: request.Urgency, deadline: request.Deadline, index: -1, ready: make(chan struct{})}
	shed := p.waiting.push(w)
	if shed != nil && shed != w {
		shed.shed = true
		close(shed.ready)
	}
	p.mu.Unlock()
	if shed == w {
		return acquiredSlot{}, p.overloaded()
	}
	return p.await(ctx, w)
}

func (p *pool) overloaded() error {
	refused := refusal.New(refusal.Overloaded, "too many requests wait for service %q", p.service)
	refused.RetryAfter = shedRetryAfter
	return refused
}

func (p *pool) await(ctx context.Context, w *waiter) (acquiredSlot, error) {
	select {
	case <-w.ready:
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.waiting.remove(w) {
		return acquiredSlot{}, refusal.New(refusal.DeadlineTooShort, "no endpoint of service %q had a free slot in time", p.service)
	}
	if w.shed {
		return acquiredSlot{}, p.overloaded()
	}
	e := w.granted
	return acquiredSlot{endpoint: e, name: e.name, address: e.address, call: w.sequence}, nil
}

// acquireFrom starts a call. The caller holds mu.
func (p *pool) acquireFrom(e *endpoint) acquiredSlot {
	return acquiredSlot{endpoint: e, name: e.name, address: e.address, call: e.beginCall(p.clock.Now())}
}

// release ends a call and grants its slot to a waiting request.
func (p *pool) release(slot acquiredSlot, result outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	slot.endpoint.endCall(slot.call, result, p.clock.Now())
	p.dispatch()
}

// dispatch grants free slots in the order of the queue. The caller holds mu.
func (p *pool) dispatch() {
	for len(p.waiting.items) > 0 {
		e := p.pick("")
		if e == nil {
			return
		}
		w := p.waiting.pop()
		w.granted = e
		w.sequence = e.beginCall(p.clock.Now())
		close(w.ready)
	}
}

// pick returns an endpoint with a free slot, preferably not the one named avoid, or nil. The caller holds mu.
func (p *pool) pick(avoid string) *endpoint {
	now := p.clock.Now()
	p.candidates = p.candidates[:0]
	var avoided *endpoint
	for _, e := range p.endpoints {
		switch {
		case e.availableSlots(now) <= 0:
		case e.name == avoid:
			avoided = e
		default:
			p.candidates = append(p.candidates, e)
		}
	}
	if len(p.candidates) == 0 {
		return avoided
	}
	return p.selectEndpoint(p.random, p.candidates)
}

// observe applies the load that an endpoint reports.
func (p *pool) observe(name string, o observation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	o.vm = p.vm
	o.allowances = map[string]int{}
	for _, vm := range p.zoneVMs {
		o.allowances[vm] = Allowance(p.slots, name, p.zoneVMs, vm)
	}
	if e := p.find(name); e != nil {
		e.observe(o)
	}
	p.dispatch()
}

// recordUnreachable counts a load query that could not be sent as a failure. It does not prolong a current ejection.
func (p *pool) recordUnreachable(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	if e := p.find(name); e != nil && !e.health.ejected(now) {
		e.health.failed(now)
	}
}

// find returns the endpoint with the given name, or nil. The caller holds mu.
func (p *pool) find(name string) *endpoint {
	for _, e := range p.endpoints {
		if e.name == name {
			return e
		}
	}
	return nil
}

// target is the name and address that a load query needs.
type target struct{ name, address string }

func (p *pool) targets() []target {
	p.mu.Lock()
	defer p.mu.Unlock()
	targets := make([]target, 0, len(p.endpoints))
	for _, e := range p.endpoints {
		targets = append(targets, target{e.name, e.address})
	}
	return targets
}

// tick grants waiting requests the slots that became available when an ejection or a busy backoff ended.
func (p *pool) tick() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dispatch()
}

package router

import (
	"context"
	"slices"
	"time"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
)

const (
	// loanRequestInterval is the shortest time between two loan requests for one service.
	loanRequestInterval = 200 * time.Millisecond
	// loanTimeout bounds one loan request. maxLoan bounds the loan itself.
	loanTimeout = 500 * time.Millisecond
)

// ServeLendSlots serves a loan request of a VM of the same zone that has requests waiting.
func (r *Router) ServeLendSlots(_ context.Context, request *siskinv1.LendSlotsRequest) (*siskinv1.LendSlotsResponse, error) {
	answer := &siskinv1.LendSlotsResponse{}
	if request.GetVm() == r.options.VM || !slices.Contains(r.zoneVMs, request.GetVm()) {
		return answer, nil
	}
	duration := min(time.Duration(request.GetDurationMs())*time.Millisecond, maxLoan)
	for _, p := range r.allPools() {
		if n := p.lend(request.GetEndpoint(), request.GetVm(), int(request.GetSlots()), duration); n > 0 {
			answer.Slots = int32(n)
			answer.DurationMs = duration.Milliseconds()
			r.metrics.lent.Add(float64(n))
		}
	}
	return answer, nil
}

// lend lends slots of the endpoint with the given name, unless requests of this VM wait for them.
func (p *pool) lend(name, vm string, wanted int, duration time.Duration) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.find(name)
	if e == nil || len(p.waiting.items) > 0 || duration <= 2*loanMargin {
		return 0
	}
	return e.slots.lend(vm, wanted, duration, p.clock.Now())
}

// loanRequest asks another VM for slots of an endpoint.
type loanRequest struct {
	endpoint string
	slots    int
	sentAt   time.Time
}

// nextLoanRequest returns the loan request to send, if requests wait and loanRequestInterval has passed since the last.
func (p *pool) nextLoanRequest() (loanRequest, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	if len(p.waiting.items) == 0 || now.Sub(p.lastLoanRequest) < loanRequestInterval {
		return loanRequest{}, false
	}
	var usable []string
	for _, e := range p.endpoints {
		// More slots do not help at an endpoint in slow start or in its busy backoff.
		if e.usable(now) && e.slots.mayBorrow() && e.health.slowStartLimit == 0 && !now.Before(e.health.busyUntil) {
			usable = append(usable, e.name)
		}
	}
	if len(usable) == 0 {
		return loanRequest{}, false
	}
	p.lastLoanRequest = now
	return loanRequest{endpoint: usable[p.random.IntN(len(usable))], slots: len(p.waiting.items), sentAt: now}, true
}

func (p *pool) borrow(request loanRequest, vm string, answer *siskinv1.LendSlotsResponse) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.find(request.endpoint)
	if e == nil {
		return
	}
	duration := min(maxLoan, time.Duration(answer.GetDurationMs())*time.Millisecond)
	e.slots.borrow(vm, int(answer.GetSlots()), duration, request.sentAt)
	p.dispatch()
}

// borrowSlots sends the loan request to one other VM of the zone, chosen at random.
func (r *Router) borrowSlots(ctx context.Context, p *pool, request loanRequest) {
	lender := r.randomVM(r.liveZonePeers())
	if lender == "" || r.options.Peers == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, loanTimeout)
	defer cancel()
	answer, err := r.options.Peers.LendSlots(ctx, lender, &siskinv1.LendSlotsRequest{
		Vm: r.options.VM, Endpoint: request.endpoint, Slots: int32(request.slots), DurationMs: maxLoan.Milliseconds(),
	})
	if err != nil || answer.GetSlots() <= 0 {
		return
	}
	r.metrics.borrowed.Add(float64(answer.GetSlots()))
	p.borrow(request, lender, answer)
}

func (r *Router) liveZonePeers() []string {
	var peers []string
	for _, vm := range r.zoneVMs {
		if vm != r.options.VM && r.alive(vm) {
			peers = append(peers, vm)
		}
	}
	return peers
}

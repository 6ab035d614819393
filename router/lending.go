package router

import (
	"context"
	"slices"
	"time"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
)

const (
	// loanRequestInterval bounds the questions for slots of one service.
	loanRequestInterval = 200 * time.Millisecond
	loanTimeout         = 500 * time.Millisecond
)

// ServeLendSlots answers a VM of the same zone that has requests waiting.
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

// lend gives slots away unless own requests wait for them.
func (p *pool) lend(name, vm string, wanted int, duration time.Duration) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.find(name)
	if e == nil || len(p.waiting.items) > 0 || duration <= 2*loanMargin {
		return 0
	}
	return e.slots.lend(vm, wanted, duration, p.clock.Now())
}

// loanRequest is one request for a loan.
type loanRequest struct {
	endpoint string
	slots    int
	sentAt   time.Time
}

// nextLoanRequest returns what to ask for if requests wait and the last question is long enough ago.
func (p *pool) nextLoanRequest() (loanRequest, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	if len(p.waiting.items) == 0 || now.Sub(p.lastLoanRequest) < loanRequestInterval {
		return loanRequest{}, false
	}
	var usable []string
	for _, e := range p.endpoints {
		// An endpoint that returns or is busy gains nothing from more slots.
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

func (p *pool) borrow(q loanRequest, vm string, answer *siskinv1.LendSlotsResponse) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.find(q.endpoint)
	if e == nil {
		return
	}
	duration := min(maxLoan, time.Duration(answer.GetDurationMs())*time.Millisecond)
	e.slots.borrow(vm, int(answer.GetSlots()), duration, q.sentAt)
	p.dispatch()
}

// borrowSlots asks one sibling for slots.
func (r *Router) borrowSlots(ctx context.Context, p *pool, q loanRequest) {
	lender := r.randomVM(r.liveZonePeers())
	if lender == "" || r.options.Peers == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, loanTimeout)
	defer cancel()
	answer, err := r.options.Peers.LendSlots(ctx, lender, &siskinv1.LendSlotsRequest{
		Vm: r.options.VM, Endpoint: q.endpoint, Slots: int32(q.slots), DurationMs: maxLoan.Milliseconds(),
	})
	if err != nil || answer.GetSlots() <= 0 {
		return
	}
	r.metrics.borrowed.Add(float64(answer.GetSlots()))
	p.borrow(q, lender, answer)
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

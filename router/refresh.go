package router

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"siskinstack.example/siskinstack/infra"
)

const (
	tickInterval = 50 * time.Millisecond
	listInterval = 500 * time.Millisecond
	listTimeout  = 2 * time.Second
	// loadInterval bounds how long it takes to detect that an endpoint without requests is leaving.
	loadInterval = time.Second
	loadTimeout  = 500 * time.Millisecond
	// maxLoadQueries bounds the concurrent load queries of one refresh.
	maxLoadQueries = 32
)

// Run keeps the endpoint table up to date until ctx ends.
func (r *Router) Run(ctx context.Context) {
	var tasks sync.WaitGroup
	defer tasks.Wait()
	tasks.Go(func() { r.runEvery(ctx, listInterval, func() { r.RefreshList(ctx) }) })
	tasks.Go(func() { r.runEvery(ctx, loadInterval, func() { r.RefreshLoad(ctx) }) })
	r.runEvery(ctx, tickInterval, func() {
		for _, p := range r.allPools() {
			p.tick()
			if request, ok := p.nextLoanRequest(); ok {
				tasks.Go(func() { r.borrowSlots(ctx, p, request) })
			}
		}
	})
}

func (r *Router) runEvery(ctx context.Context, interval time.Duration, step func()) {
	for ctx.Err() == nil {
		step()
		if r.options.Clock.Sleep(ctx, interval) != nil {
			return
		}
	}
}

// RefreshList applies the services of the bundle and the platform's VM list, and queries the load of endpoints whose
// load is not known yet. If the list cannot be read, the endpoints stay as they are.
func (r *Router) RefreshList(ctx context.Context) {
	r.configure()
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	list, err := r.options.VMs.List(ctx)
	if err != nil {
		r.metrics.listErrors.Inc()
		return
	}
	local := map[string][]infra.VM{}
	remote := map[string][]string{}
	for _, vm := range list.VMs {
		switch {
		case vm.Role != infra.RoleEndpoint:
		case vm.Zone == r.options.Zone:
			local[vm.Service] = append(local[vm.Service], vm)
		case !vm.Leaving && !slices.Contains(remote[vm.Service], vm.Zone):
			remote[vm.Service] = append(remote[vm.Service], vm.Zone)
		}
	}
	r.mu.Lock()
	r.remote = remote
	r.mu.Unlock()
	for _, p := range r.allPools() {
		p.updateEndpoints(local[p.service])
	}
	r.queryLoads(ctx, (*pool).unknownLoadTargets)
}

// RefreshLoad queries the load of all endpoints of the zone.
func (r *Router) RefreshLoad(ctx context.Context) { r.queryLoads(ctx, (*pool).targets) }

// unknownLoadTargets returns the endpoints that have not answered a load query yet. They get no requests until they do.
func (p *pool) unknownLoadTargets() []target {
	p.mu.Lock()
	defer p.mu.Unlock()
	var targets []target
	for _, e := range p.endpoints {
		if !e.slots.loadKnown {
			targets = append(targets, target{e.name, e.address})
		}
	}
	return targets
}

func (r *Router) queryLoads(ctx context.Context, choose func(*pool) []target) {
	var queries sync.WaitGroup
	permits := make(chan struct{}, maxLoadQueries)
	for _, p := range r.allPools() {
		for _, t := range choose(p) {
			if !r.beginLoadQuery(t.name) {
				continue
			}
			permits <- struct{}{}
			queries.Go(func() {
				defer func() { <-permits }()
				defer r.endLoadQuery(t.name)
				r.queryLoad(ctx, p, t)
			})
		}
	}
	queries.Wait()
}

func (r *Router) beginLoadQuery(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.loadQueries[name] {
		return false
	}
	r.loadQueries[name] = true
	return true
}

func (r *Router) endLoadQuery(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.loadQueries, name)
}

func (r *Router) queryLoad(ctx context.Context, p *pool, t target) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	sentAt := r.options.Clock.Now()
	load, err := r.options.Endpoints.Load(ctx, t.name, t.address)
	if err != nil {
		r.metrics.loadErrors.Inc()
		if errors.Is(err, infra.ErrNotSent) && ctx.Err() == nil {
			p.recordUnreachable(t.name)
		}
		return
	}
	p.observe(t.name, observation{load: load, sentAt: sentAt, from: r.from})
}

package storeclient

import (
	"context"
	"math"
	"sync"
	"time"

	"siskinstack.example/siskinstack/clock"
)

const (
	// maxWaiting bounds the calls that wait for admission, over all kinds.
	maxWaiting = 4096
	// minDispatchWait keeps the dispatcher from spinning on rounding errors of the token count.
	minDispatchWait = time.Millisecond
)

// gate admits calls by rate and number, higher priority first.
type gate struct {
	clock      clock.Clock
	rate       [classCount]float64
	burst      [classCount]float64
	maxLimit   float64
	minBetween time.Duration // shortest time between two reductions of limit

	mu       sync.Mutex // guards all fields below
	tokens   [classCount]float64
	refilled time.Time
	limit    float64 // adaptive bound of calls in flight
	reduced  time.Time
	inFlight int
	waiting  [kindCount][]*waiter
	waiters  int
	running  bool // a dispatcher goroutine exists
}

type waiter struct {
	class   class
	slot    bool
	granted chan struct{}
}

func newGate(o Options) *gate {
	g := &gate{
		clock: o.Clock, maxLimit: float64(o.MaxConcurrent), limit: float64(o.MaxConcurrent),
		minBetween: o.CallTimeout, refilled: o.Clock.Now(),
	}
	g.rate = [classCount]float64{o.ReadsPerSecond, o.WritesPerSecond}
	for c := range g.burst {
		g.burst[c] = math.Max(1, g.rate[c]*burstSeconds)
		g.tokens[c] = g.burst[c]
	}
	return g
}

// enter waits for admission. Lease calls never wait: their tokens are taken as debt that later calls pay, because a
// late renewal costs the VM all its shards. slot is false for watches, which stay open on purpose.
func (g *gate) enter(ctx, life context.Context, kind Kind, c class, slot bool) bool {
	g.mu.Lock()
	g.refill()
	if kind == KindLease {
		g.tokens[c]--
		g.mu.Unlock()
		return true
	}
	w := &waiter{class: c, slot: slot, granted: make(chan struct{})}
	if g.waiters >= maxWaiting {
		g.mu.Unlock()
		return false
	}
	g.waiting[kind] = append(g.waiting[kind], w)
	g.waiters++
	wait := g.dispatch()
	if wait > 0 && !g.running {
		g.running = true
		go g.run(life, wait)
	}
	g.mu.Unlock()
	select {
	case <-w.granted:
		return true
	case <-ctx.Done():
	case <-life.Done():
	}
	return !g.withdraw(kind, w)
}

// withdraw removes a waiter and reports whether it was still waiting.
func (g *gate) withdraw(kind Kind, w *waiter) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, other := range g.waiting[kind] {
		if other == w {
			g.waiting[kind] = append(g.waiting[kind][:i], g.waiting[kind][i+1:]...)
			g.waiters--
			return true
		}
	}
	return false
}

// leave ends a call.
func (g *gate) leave(kind Kind, slot bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if slot && kind != KindLease {
		g.inFlight--
	}
	g.refill()
	g.dispatch()
}

// adapt raises the bound by about one per round of answers and halves it on failures, so that load returns gradually
// after an outage.
func (g *gate) adapt(answered bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if answered {
		g.limit = math.Min(g.maxLimit, g.limit+1/g.limit)
		return
	}
	now := g.clock.Now()
	if now.Sub(g.reduced) >= g.minBetween {
		g.limit = math.Max(1, g.limit/2)
		g.reduced = now
	}
}

// run dispatches as tokens arrive, until nobody waits.
func (g *gate) run(life context.Context, wait time.Duration) {
	for {
		err := g.clock.Sleep(life, wait)
		g.mu.Lock()
		g.refill()
		wait = g.dispatch()
		if err != nil || wait == 0 {
			g.running = false
			g.mu.Unlock()
			return
		}
		g.mu.Unlock()
	}
}

func (g *gate) refill() {
	now := g.clock.Now()
	seconds := now.Sub(g.refilled).Seconds()
	g.refilled = now
	for c := range g.tokens {
		g.tokens[c] = math.Min(g.burst[c], g.tokens[c]+seconds*g.rate[c])
	}
}

// dispatch admits waiters in order of priority and returns how long to wait for the next token, or 0 if nobody waits
// for one. A class without tokens does not hold up the other class. The caller holds mu.
func (g *gate) dispatch() time.Duration {
	var next time.Duration
	var exhausted [classCount]bool
	for kind := range g.waiting {
		kept := g.waiting[kind][:0]
		for _, w := range g.waiting[kind] {
			if !exhausted[w.class] && g.tokens[w.class] < 1 {
				exhausted[w.class] = true
				next = earlier(next, g.untilToken(w.class))
			}
			if exhausted[w.class] || w.slot && float64(g.inFlight+1) > math.Max(1, g.limit) {
				kept = append(kept, w)
				continue
			}
			g.admit(w)
		}
		g.waiting[kind] = kept
	}
	return next
}

func (g *gate) admit(w *waiter) {
	g.tokens[w.class]--
	g.waiters--
	if w.slot {
		g.inFlight++
	}
	close(w.granted)
}

func (g *gate) untilToken(c class) time.Duration {
	missing := 1 - g.tokens[c]
	return max(minDispatchWait, time.Duration(missing/g.rate[c]*float64(time.Second)))
}

func earlier(a, b time.Duration) time.Duration {
	if a == 0 {
		return b
	}
	return min(a, b)
}

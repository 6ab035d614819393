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
	// minDispatchWait prevents the dispatcher from busy-waiting because of rounding errors of the token count.
	minDispatchWait = time.Millisecond
)

// limiter admits calls by token bucket and number in flight, higher priority first.
type limiter struct {
	clock      clock.Clock
	rate       [classCount]float64
	burst      [classCount]float64
	maxLimit   float64
	minBetween time.Duration // shortest time between two reductions of limit

	mu       sync.Mutex // guards all fields below
	tokens   [classCount]float64
	refilled time.Time
	limit    float64   // adaptive bound of calls in flight
	reduced  time.Time // when limit was last reduced
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

func newLimiter(o Options) *limiter {
	l := &limiter{
		clock: o.Clock, maxLimit: float64(o.MaxConcurrent), limit: float64(o.MaxConcurrent),
		minBetween: o.CallTimeout, refilled: o.Clock.Now(),
	}
	l.rate = [classCount]float64{o.ReadsPerSecond, o.WritesPerSecond}
	for c := range l.burst {
		l.burst[c] = math.Max(1, l.rate[c]*burstSeconds)
		l.tokens[c] = l.burst[c]
	}
	return l
}

// acquire waits for admission and reports whether the call is admitted. Lease calls never wait, because a late renewal
// makes the VM lose all its shards: they may make the token count negative, which delays later calls. slot is false for
// watches, which do not count as calls in flight because they stay open on purpose.
func (l *limiter) acquire(ctx, baseCtx context.Context, kind Kind, c class, slot bool) bool {
	l.mu.Lock()
	l.refill()
	if kind == KindLease {
		l.tokens[c]--
		l.mu.Unlock()
		return true
	}
	w := &waiter{class: c, slot: slot, granted: make(chan struct{})}
	if l.waiters >= maxWaiting {
		l.mu.Unlock()
		return false
	}
	l.waiting[kind] = append(l.waiting[kind], w)
	l.waiters++
	wait := l.dispatch()
	if wait > 0 && !l.running {
		l.running = true
		go l.run(baseCtx, wait)
	}
	l.mu.Unlock()
	select {
	case <-w.granted:
		return true
	case <-ctx.Done():
	case <-baseCtx.Done():
	}
	return !l.withdraw(kind, w)
}

// withdraw removes a waiter and reports whether it had not been admitted yet.
func (l *limiter) withdraw(kind Kind, w *waiter) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, other := range l.waiting[kind] {
		if other == w {
			l.waiting[kind] = append(l.waiting[kind][:i], l.waiting[kind][i+1:]...)
			l.waiters--
			return true
		}
	}
	return false
}

// release returns the slot of an ended call and admits waiters.
func (l *limiter) release(kind Kind, slot bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if slot && kind != KindLease {
		l.inFlight--
	}
	l.refill()
	l.dispatch()
}

// adapt raises the bound of calls in flight by 1/limit on each response and halves it on failures, at most once per
// minBetween, so that load returns gradually after an outage.
func (l *limiter) adapt(responded bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if responded {
		l.limit = math.Min(l.maxLimit, l.limit+1/l.limit)
		return
	}
	now := l.clock.Now()
	if now.Sub(l.reduced) >= l.minBetween {
		l.limit = math.Max(1, l.limit/2)
		l.reduced = now
	}
}

// run dispatches as tokens become available, until no call waits for one.
func (l *limiter) run(baseCtx context.Context, wait time.Duration) {
	for {
		err := l.clock.Sleep(baseCtx, wait)
		l.mu.Lock()
		l.refill()
		wait = l.dispatch()
		if err != nil || wait == 0 {
			l.running = false
			l.mu.Unlock()
			return
		}
		l.mu.Unlock()
	}
}

func (l *limiter) refill() {
	now := l.clock.Now()
	seconds := now.Sub(l.refilled).Seconds()
	l.refilled = now
	for c := range l.tokens {
		l.tokens[c] = math.Min(l.burst[c], l.tokens[c]+seconds*l.rate[c])
	}
}

// dispatch admits waiters in order of priority and returns how long to wait for the next token, or 0 if no call waits
// for one. A class without tokens does not block the other class. The caller holds mu.
func (l *limiter) dispatch() time.Duration {
	var next time.Duration
	var exhausted [classCount]bool
	for kind := range l.waiting {
		kept := l.waiting[kind][:0]
		for _, w := range l.waiting[kind] {
			if !exhausted[w.class] && l.tokens[w.class] < 1 {
				exhausted[w.class] = true
				next = earlier(next, l.untilToken(w.class))
			}
			if exhausted[w.class] || w.slot && float64(l.inFlight+1) > math.Max(1, l.limit) {
				kept = append(kept, w)
				continue
			}
			l.admit(w)
		}
		l.waiting[kind] = kept
	}
	return next
}

func (l *limiter) admit(w *waiter) {
	l.tokens[w.class]--
	l.waiters--
	if w.slot {
		l.inFlight++
	}
	close(w.granted)
}

func (l *limiter) untilToken(c class) time.Duration {
	missing := 1 - l.tokens[c]
	return max(minDispatchWait, time.Duration(missing/l.rate[c]*float64(time.Second)))
}

func earlier(a, b time.Duration) time.Duration {
	if a == 0 {
		return b
	}
	return min(a, b)
}

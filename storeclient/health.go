package storeclient

import (
	"sync"
	"time"

	"siskinstack.example/siskinstack/clock"
)

// Condition is the health of the store as seen by the client.
type Condition int

// Conditions of the store.
const (
	Healthy Condition = iota
	// Slow means that the store responds, but late.
	Slow
	// Down means that calls have failed without a response for a while.
	Down
)

// String returns the name of the condition.
func (c Condition) String() string { return [...]string{"healthy", "slow", "down"}[c] }

// State is the health of the store as seen by this VM.
type State struct {
	Condition Condition
	// LastResponse is the time of the last response on the client's clock; zero before the first one.
	LastResponse time.Time
}

const (
	// downFailures and downAfter must both be reached before the store counts as down, so that one lost response or
	// a short pause of this process does not open the circuit.
	downFailures = 3
	downAfter    = 500 * time.Millisecond
	// slowLatency is the average latency from which the store counts as slow: 20 times its usual response time.
	slowLatency = 100 * time.Millisecond
	// latencyWeight is the weight of a new sample in the moving average.
	latencyWeight = 0.2
	// probeMinimum and probeMaximum bound the backoff between two probes of a store that is down.
	probeMinimum = 100 * time.Millisecond
	probeMaximum = 2 * time.Second
)

// health derives the condition of the store from the results of calls.
type health struct {
	clock clock.Clock

	mu           sync.Mutex // guards all fields below
	lastResponse time.Time
	firstFailure time.Time // first failure since the last response
	failures     int
	latency      time.Duration
	backoff      *Backoff
	nextProbe    time.Time
}

func newHealth(c clock.Clock, random func() float64) *health {
	return &health{clock: c, backoff: NewBackoff(probeMinimum, probeMaximum, random)}
}

// responded records a response. measured is false for watches, whose latency is not sampled because they wait on
// purpose.
func (h *health) responded(latency time.Duration, measured bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastResponse = h.clock.Now()
	h.failures = 0
	h.backoff.Reset()
	if measured {
		h.sample(latency)
	}
}

// failed records a call without a response.
func (h *health) failed(latency time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	if h.failures == 0 {
		h.firstFailure = now.Add(-latency)
	}
	h.failures++
	h.sample(latency)
	if h.down(now) {
		h.nextProbe = now.Add(h.backoff.Next())
	}
}

func (h *health) sample(latency time.Duration) {
	h.latency += time.Duration(latencyWeight * float64(latency-h.latency))
}

// down reports whether the store counts as down. The caller holds mu.
func (h *health) down(now time.Time) bool {
	return h.failures >= downFailures && now.Sub(h.firstFailure) >= downAfter
}

// admit reports whether a call may be sent. While the store is down, it admits lease calls and one other call per
// backoff interval as a probe.
func (h *health) admit(kind Kind) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	if !h.down(now) || kind == KindLease {
		return true
	}
	if now.Before(h.nextProbe) {
		return false
	}
	h.nextProbe = now.Add(h.backoff.Next())
	return true
}

func (h *health) state() State {
	h.mu.Lock()
	defer h.mu.Unlock()
	state := State{LastResponse: h.lastResponse}
	switch {
	case h.down(h.clock.Now()):
		state.Condition = Down
	case h.latency >= slowLatency:
		state.Condition = Slow
	}
	return state
}

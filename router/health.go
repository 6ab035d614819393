package router

import "time"

const (
	// failuresToEject is above 1 so that a single lost connection does not eject an endpoint.
	failuresToEject = 3
	// The first ejection lasts baseEjectionTime, each further one twice as long, up to maxEjectionTime. The end of slow
	// start resets the duration.
	baseEjectionTime = time.Second
	maxEjectionTime  = 30 * time.Second
	// busyBackoff is how long an endpoint gets no requests after it refused one because it had no free slot.
	busyBackoff = 50 * time.Millisecond
)

// health limits the calls of an endpoint after failures: none while it is ejected, then slow start with one call, and
// twice as many after each success until the limit reaches the VM's allowance and is removed. During slow start, one
// failure ejects the endpoint again.
type health struct {
	failures     int
	ejections    int
	ejectedUntil time.Time
	// slowStartLimit bounds the calls in flight after an ejection; 0 means no limit.
	slowStartLimit int
	busyUntil      time.Time
}

func (h *health) failed(now time.Time) {
	h.failures++
	if h.failures < failuresToEject && h.slowStartLimit == 0 {
		return
	}
	duration := min(maxEjectionTime, baseEjectionTime<<min(h.ejections, 5))
	h.ejections++
	h.failures = 0
	h.ejectedUntil = now.Add(duration)
	h.slowStartLimit = 1
}

func (h *health) succeeded(allowance int) {
	h.failures = 0
	if h.slowStartLimit == 0 {
		return
	}
	h.slowStartLimit *= 2
	if h.slowStartLimit >= allowance {
		h.slowStartLimit, h.ejections = 0, 0
	}
}

func (h *health) busy(now time.Time) { h.busyUntil = now.Add(busyBackoff) }

func (h *health) ejected(now time.Time) bool { return now.Before(h.ejectedUntil) }

// allowedCalls returns how many more calls may start while inFlight calls are running, at most free.
func (h *health) allowedCalls(free, inFlight int, now time.Time) int {
	if h.ejected(now) || now.Before(h.busyUntil) {
		return 0
	}
	if h.slowStartLimit == 0 {
		return free
	}
	return min(free, h.slowStartLimit-inFlight)
}

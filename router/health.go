package router

import "time"

const (
	// failuresToEject tolerates single lost connections.
	failuresToEject  = 3
	baseEjectionTime = time.Second
	maxEjectionTime  = 30 * time.Second
	// busyBackoff keeps requests from an endpoint that has just refused one for want of slots.
	busyBackoff = 50 * time.Millisecond
)

// health decides how many calls an endpoint may get on account of failed ones: none while ejected, then one, and twice
// as many after each success until the limit is lifted.
type health struct {
	failures     int
	ejections    int
	ejectedUntil time.Time
	// slowStartLimit on calls in flight while the endpoint returns; 0 sets none.
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

func (h *health) succeeded(slots int) {
	h.failures = 0
	if h.slowStartLimit == 0 {
		return
	}
	h.slowStartLimit *= 2
	if h.slowStartLimit >= slots {
		h.slowStartLimit, h.ejections = 0, 0
	}
}

func (h *health) busy(now time.Time) { h.busyUntil = now.Add(busyBackoff) }

func (h *health) ejected(now time.Time) bool { return now.Before(h.ejectedUntil) }

// allowedCalls returns how many more calls may start with inFlight running, at most free.
func (h *health) allowedCalls(free, inFlight int, now time.Time) int {
	if h.ejected(now) || now.Before(h.busyUntil) {
		return 0
	}
	if h.slowStartLimit == 0 {
		return free
	}
	return min(free, h.slowStartLimit-inFlight)
}

package router

import "time"

const (
	// failuresToEject tolerates single lost connections.
	failuresToEject = 3
	firstEjection   = time.Second
	longestEjection = 30 * time.Second
	// busyPause keeps requests from an endpoint that has just refused one for want of slots.
	busyPause = 50 * time.Millisecond
)

// health decides how many calls an endpoint may get on account of failed ones: none while ejected, then one, and twice
// as many after each success until the limit is lifted.
type health struct {
	failures     int
	ejections    int
	ejectedUntil time.Time
	// limit on calls in flight while the endpoint returns; 0 sets none.
	limit     int
	busyUntil time.Time
}

func (h *health) failed(now time.Time) {
	h.failures++
	if h.failures < failuresToEject && h.limit == 0 {
		return
	}
	pause := min(longestEjection, firstEjection<<min(h.ejections, 5))
	h.ejections++
	h.failures = 0
	h.ejectedUntil = now.Add(pause)
	h.limit = 1
}

func (h *health) succeeded(slots int) {
	h.failures = 0
	if h.limit == 0 {
		return
	}
	h.limit *= 2
	if h.limit >= slots {
		h.limit, h.ejections = 0, 0
	}
}

func (h *health) busy(now time.Time) { h.busyUntil = now.Add(busyPause) }

func (h *health) ejected(now time.Time) bool { return now.Before(h.ejectedUntil) }

// room returns how many more calls may start with inFlight running, at most free.
func (h *health) room(free, inFlight int, now time.Time) int {
	if h.ejected(now) || now.Before(h.busyUntil) {
		return 0
	}
	if h.limit == 0 {
		return free
	}
	return min(free, h.limit-inFlight)
}

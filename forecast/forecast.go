// Package forecast estimates when a job that arrives now would start, from the jobs that wait before it and from the starts
// of the last seconds. It does no I/O and reads no clock.
package forecast

import (
	"math"
	"time"
)

const (
	// rateMargin is the factor on the measured rate of starts, which may grow while a job waits.
	rateMargin = 1.5
	// seenFactor bounds a wait by a multiple of the longest one that was seen. In the first moments of a burst only the number
	// of waiting jobs is high, and the rate at which they will start is not known yet.
	seenFactor = 2
	// deviations is the number of standard deviations between the measured number of starts and its bounds.
	deviations = 2
	// maxWait is a wait without an end in sight.
	maxWait = 10 * time.Minute
)

// Class is the work of a queue within or beyond its teams' rates. The work of a class is served alike.
type Class struct {
	Queue  string
	Excess bool
}

// Waiting describes the jobs of a class that wait for their first start and are still of use.
type Waiting struct {
	Class Class
	Jobs  int
	// OldestWait is how long the oldest of them has waited.
	OldestWait time.Duration
}

// Wait is the forecast for a class. It counts until the turn of a job that arrives now. Lower is the bound if starts come
// faster than was measured, Upper the one if they come slower.
type Wait struct {
	Class
	Lower, Upper time.Duration
}

// Compute returns the waits of the classes of which jobs wait.
//
// The turn of a job comes when as many jobs of its class have started as wait before it. Work of other classes needs no
// account of its own: what it takes is missing in the measured rate. The order within a class may prefer the job, but then
// one that came before it is passed over, so that no more jobs of the class can start in time if it is accepted.
func (m *Measurements) Compute(now time.Time, classes []Waiting) []Wait {
	m.advance(now)
	waits := make([]Wait, 0, len(classes))
	for _, c := range classes {
		w := Wait{Class: c.Class}
		if last, most := m.starts(c.Class); m.isSteady() {
			w.Lower = min(turn(c.Jobs, rateMargin*(float64(most)+spread(most)+1)), seenFactor*c.OldestWait, maxWait)
			w.Upper = max(w.Lower, turn(c.Jobs, max(1, float64(last)-spread(last))))
		}
		waits = append(waits, w)
	}
	return waits
}

// spread returns how far the number of starts in another window may be from a measured one.
func spread(starts int) float64 { return deviations * math.Sqrt(float64(starts)) }

// turn returns the time in which a number of jobs start, given how many start within a window.
func turn(jobs int, startsPerWindow float64) time.Duration {
	return time.Duration(min(float64(jobs)/startsPerWindow*window.Seconds(), maxWait.Seconds()) * float64(time.Second))
}

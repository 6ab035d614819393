package clock

import (
	"context"
	"sync"
	"time"
)

// Stepping is a fake clock for single-threaded tests: Sleep advances the clock instead of waiting. Its rate is its speed
// relative to the shared timeline, so that tests can use several clocks that drift apart.
type Stepping struct {
	timeline *TimeLine
	rate     float64
	base     time.Time
}

// TimeLine is the true time, shared by several Stepping clocks.
type TimeLine struct {
	mu      sync.Mutex // guards elapsed
	elapsed time.Duration
}

// Advance advances the true time by d.
func (l *TimeLine) Advance(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.elapsed += d
}

// Elapsed returns the true time since the start of the timeline.
func (l *TimeLine) Elapsed() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.elapsed
}

// NewStepping returns a clock that reads base at the start of the timeline and runs at rate.
func NewStepping(timeline *TimeLine, base time.Time, rate float64) *Stepping {
	return &Stepping{timeline: timeline, rate: rate, base: base}
}

// Now returns the current time of this clock.
func (s *Stepping) Now() time.Time {
	return s.base.Add(time.Duration(float64(s.timeline.Elapsed()) * s.rate))
}

// Sleep advances the timeline until this clock has advanced by d.
func (s *Stepping) Sleep(ctx context.Context, d time.Duration) error {
	if ctx.Err() == nil && d > 0 {
		s.timeline.Advance(time.Duration(float64(d) / s.rate))
	}
	return ctx.Err()
}

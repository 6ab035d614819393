package clock

import (
	"context"
	"sync"
	"time"
)

// Stepping is a fake clock for single-threaded tests: Sleep moves the clock instead of waiting. Rate is the speed of
// this clock relative to the shared time line, so that several clocks with different rates can be compared.
type Stepping struct {
	line *TimeLine
	rate float64
	base time.Time
}

// TimeLine is the true time that several Stepping clocks share.
type TimeLine struct {
	mu      sync.Mutex // guards elapsed
	elapsed time.Duration
}

// Advance moves the true time by d.
func (l *TimeLine) Advance(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.elapsed += d
}

// Elapsed returns the true time since the start of the line.
func (l *TimeLine) Elapsed() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.elapsed
}

// NewStepping returns a clock that shows base at the start of the line and runs at rate.
func NewStepping(line *TimeLine, base time.Time, rate float64) *Stepping {
	return &Stepping{line: line, rate: rate, base: base}
}

// Now returns the time that this clock shows.
func (s *Stepping) Now() time.Time {
	return s.base.Add(time.Duration(float64(s.line.Elapsed()) * s.rate))
}

// Sleep moves the line until this clock has advanced by d.
func (s *Stepping) Sleep(ctx context.Context, d time.Duration) error {
	if ctx.Err() == nil && d > 0 {
		s.line.Advance(time.Duration(float64(d) / s.rate))
	}
	return ctx.Err()
}

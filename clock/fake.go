package clock

import (
	"context"
	"sync"
	"time"
)

// Fake is a clock that moves only when a test advances it.
type Fake struct {
	mu       sync.Mutex // guards now and sleepers
	now      time.Time
	sleepers []*sleeper
}

type sleeper struct {
	until time.Time
	wake  chan struct{}
}

// NewFake returns a fake clock that starts at start.
func NewFake(start time.Time) *Fake {
	return &Fake{now: start}
}

// Now returns the time that the fake clock shows.
func (f *Fake) Now() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// Sleep waits until the clock has been advanced by d.
func (f *Fake) Sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	f.mu.Lock()
	s := &sleeper{until: f.now.Add(d), wake: make(chan struct{})}
	f.sleepers = append(f.sleepers, s)
	f.mu.Unlock()
	select {
	case <-s.wake:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Advance moves the clock by d and wakes the sleepers whose time has come.
func (f *Fake) Advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = f.now.Add(d)
	kept := f.sleepers[:0]
	for _, s := range f.sleepers {
		if s.until.After(f.now) {
			kept = append(kept, s)
			continue
		}
		close(s.wake)
	}
	f.sleepers = kept
}

// Sleepers returns how many goroutines wait on the clock.
func (f *Fake) Sleepers() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.sleepers)
}

package clock

import (
	"context"
	"sync"
	"time"
)

// Fake is a clock that advances only when a test calls Advance.
type Fake struct {
	mu      sync.Mutex // guards now and waiters
	now     time.Time
	waiters []*waiter
}

type waiter struct {
	until time.Time
	done  chan struct{}
}

// NewFake returns a fake clock that starts at start.
func NewFake(start time.Time) *Fake {
	return &Fake{now: start}
}

// Now returns the current time of the fake clock.
func (f *Fake) Now() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// Sleep waits until the clock has been advanced by d or ctx is done.
func (f *Fake) Sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	f.mu.Lock()
	w := &waiter{until: f.now.Add(d), done: make(chan struct{})}
	f.waiters = append(f.waiters, w)
	f.mu.Unlock()
	select {
	case <-w.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Advance advances the clock by d and releases the waiters that are due.
func (f *Fake) Advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = f.now.Add(d)
	remaining := f.waiters[:0]
	for _, w := range f.waiters {
		if w.until.After(f.now) {
			remaining = append(remaining, w)
			continue
		}
		close(w.done)
	}
	f.waiters = remaining
}

// Waiters returns the number of Sleep calls that are not due yet, including those whose ctx is already done.
func (f *Fake) Waiters() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.waiters)
}

// Package clock supplies time to components, so that tests can control it.
package clock

import (
	"context"
	"time"
)

// Clock is a source of monotonic time.
type Clock interface {
	// Now returns the current time. Changes of the system's wall clock do not affect the difference of two results.
	Now() time.Time
	// Sleep waits for d or until ctx is done, and returns the error of ctx in that case.
	Sleep(ctx context.Context, d time.Duration) error
}

// Real is the system clock.
type Real struct{}

// Now returns time.Now.
func (Real) Now() time.Time { return time.Now() }

// Sleep waits for d or until ctx is done.
func (Real) Sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

package clock

import (
	"context"
	"time"
)

// WithTimeout returns a context that is done after d on c. With a clock other than Real, the context reports Canceled
// instead of DeadlineExceeded on expiry. With Stepping, it does not expire.
func WithTimeout(ctx context.Context, c Clock, d time.Duration) (context.Context, context.CancelFunc) {
	switch c.(type) {
	case Real:
		return context.WithTimeout(ctx, d)
	case *Stepping:
		return context.WithCancel(ctx)
	}
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		_ = c.Sleep(ctx, d)
		cancel()
	}()
	return ctx, cancel
}

package clock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Boot is a clock that also runs while the machine is suspended. The steady clock of the runtime stands still then, so
// a right that ends by time would outlive its end.
type Boot struct{}

// Now returns the time since the machine started, as a time without a calendar meaning.
func (Boot) Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every supported kernel has the clock; without it no right could be judged.
		panic(err)
	}
	return time.Unix(ts.Unix())
}

// Sleep waits for d or until ctx ends.
func (Boot) Sleep(ctx context.Context, d time.Duration) error { return Real{}.Sleep(ctx, d) }

package clock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Boot is a clock that also runs while the machine is suspended. The monotonic clock of the Go runtime stops then, so a
// lease or another time-limited right measured with it would be used after its expiry.
type Boot struct{}

// Now returns the time since the machine booted, as an offset from the Unix epoch without calendar meaning.
func (Boot) Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every supported kernel has this clock; without it the validity of leases could not be checked.
		panic(err)
	}
	return time.Unix(ts.Unix())
}

// Sleep waits for d or until ctx is done.
func (Boot) Sleep(ctx context.Context, d time.Duration) error { return Real{}.Sleep(ctx, d) }

package clock

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Boot is a clock that also runs while the machine is suspended. The monotonic clock of the Go runtime stops then, so a
// lease or another time-limited right measured with it would be used after its expiry.
type Boot struct{}

// Now returns the time since the machine booted, as an offset from the Unix epoch without calendar meaning.
func (Boot) Now() time.Time { return bootClock.now() }

// Sleep waits for d or until ctx is done.
func (Boot) Sleep(ctx context.Context, d time.Duration) error { return Real{}.Sleep(ctx, d) }

const (
	// maxReadingAge is how long a reading of the boot clock is used.
	maxReadingAge = 100 * time.Millisecond
	// suspendTolerance is how far the wall clock may run ahead of, or behind, the monotonic clock within maxReadingAge. More
	// means that the machine was suspended or the wall clock was set. It exceeds the drift of clocks that are adjusted.
	suspendTolerance = time.Millisecond
	// maxReadingTime is the longest duration of a reading that is used again. A longer one was interrupted, and it is not known
	// when the clock was read.
	maxReadingTime = time.Millisecond
)

// bootClock is the boot clock of the process.
var bootClock = newReadings()

// instant is a time by two clocks of the process, neither of which is read with a system call.
type instant struct {
	wall time.Duration
	// monotonic stops while the machine is suspended; wall goes on.
	monotonic time.Duration
}

// reading is a reading of the boot clock.
type reading struct {
	at   instant
	boot time.Time
}

// readings extrapolates readings of the boot clock, each of which takes a system call, by the monotonic clock. A controller
// asks for the time some ten thousand times a second.
type readings struct {
	clocks func() instant
	read   func() time.Time
	last   atomic.Pointer[reading]
}

func newReadings() *readings {
	started := time.Now()
	return &readings{
		clocks: func() instant {
			now := time.Now()
			return instant{wall: time.Duration(now.UnixNano()), monotonic: now.Sub(started)}
		},
		read: readBootClock,
	}
}

func readBootClock() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every supported kernel has this clock; without it the validity of leases could not be checked.
		panic(err)
	}
	return time.Unix(ts.Unix())
}

func (r *readings) now() time.Time {
	now := r.clocks()
	if last := r.last.Load(); last != nil {
		elapsed := now.monotonic - last.at.monotonic
		ahead := now.wall - last.at.wall - elapsed
		if elapsed >= 0 && elapsed < maxReadingAge && ahead.Abs() < suspendTolerance {
			return last.boot.Add(elapsed)
		}
	}
	boot := r.read()
	after := r.clocks()
	if after.monotonic-now.monotonic < maxReadingTime && after.wall-now.wall < maxReadingTime {
		r.last.Store(&reading{at: after, boot: boot})
	}
	return boot
}

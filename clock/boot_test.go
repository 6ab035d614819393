package clock

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// fakeClocks are the clocks of a machine that can be suspended.
type fakeClocks struct {
	instant
	boot  time.Duration
	reads int
	// readTime is how long a reading of the boot clock takes, before the clock is read.
	readTime time.Duration
}

func (f *fakeClocks) run(d time.Duration) {
	f.wall, f.monotonic, f.boot = f.wall+d, f.monotonic+d, f.boot+d
}

func (f *fakeClocks) suspend(d time.Duration) { f.wall, f.boot = f.wall+d, f.boot+d }

func (f *fakeClocks) readings() *readings {
	return &readings{clocks: func() instant { return f.instant }, read: func() time.Time {
		f.reads++
		f.run(f.readTime)
		return time.Unix(0, int64(f.boot))
	}}
}

// Guards against a right that is used after its expiry because the machine was suspended between two readings.
func TestSuspensionIsNoticedAtOnce(t *testing.T) {
	f := &fakeClocks{}
	r := f.readings()
	for range 100 {
		r.now()
		f.run(7 * time.Millisecond)
		f.suspend(1500 * time.Microsecond)
		assert.Equal(t, r.now(), time.Unix(0, int64(f.boot)))
		f.suspend(3 * time.Second)
		assert.Equal(t, r.now(), time.Unix(0, int64(f.boot)))
	}
}

// Guards against a clock that jumps when the wall clock is set, or that falls behind over time.
func TestBootClockIgnoresTheWallClock(t *testing.T) {
	f := &fakeClocks{}
	r := f.readings()
	for i := range 1000 {
		f.run(time.Millisecond)
		if i%10 == 0 {
			f.wall += time.Duration(i-500) * time.Second
		}
		f.boot += time.Microsecond // the monotonic clock is slow by one in a thousand
		late := time.Unix(0, int64(f.boot)).Sub(r.now())
		assert.Assert(t, late.Abs() <= suspendTolerance, "%v", late)
	}
}

// Guards against a system call for each question for the time.
func TestReadingsAreUsedAgain(t *testing.T) {
	f := &fakeClocks{}
	r := f.readings()
	for range 1000 {
		f.run(100 * time.Microsecond)
		r.now()
	}
	assert.Assert(t, f.reads <= 2, "%d readings in 100 ms", f.reads)
}

// Guards against a reading that was interrupted and puts all later times wrong by as much.
func TestInterruptedReadingIsNotUsedAgain(t *testing.T) {
	f := &fakeClocks{readTime: 50 * time.Millisecond}
	r := f.readings()
	r.now()
	f.readTime = 0
	f.run(time.Millisecond)
	assert.Equal(t, r.now(), time.Unix(0, int64(f.boot)))
	assert.Equal(t, f.reads, 2)
}

// Guards against a clock that differs from the system's.
func TestBootClockFollowsTheSystem(t *testing.T) {
	for range 200 {
		before := readBootClock()
		now := Boot{}.Now()
		after := readBootClock()
		assert.Assert(t, now.Sub(before) > -5*time.Millisecond && after.Sub(now) > -5*time.Millisecond)
		time.Sleep(time.Millisecond)
	}
}

func BenchmarkBootNow(b *testing.B) {
	b.Run("extrapolated", func(b *testing.B) {
		for b.Loop() {
			Boot{}.Now()
		}
	})
	b.Run("system call", func(b *testing.B) {
		for b.Loop() {
			readBootClock()
		}
	})
}

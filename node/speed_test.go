package node

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"
)

// Guards against a controller that stays on a machine which has become several times slower. Such a controller lowered
// the benchmark score of the simulated day trouble-3 of deployment kvarali-salt-grown from 0.66 to 0.53.
func TestSlowMachineHasLowerRelativeSpeed(t *testing.T) {
	const baseline, slow = 100 * time.Microsecond, 500 * time.Microsecond
	s := newSpeedMonitor(logr.Discard())
	relativeSpeed := func() float64 { f, _ := s.relativeSpeed(); return f }
	record := func(measured ...time.Duration) {
		for _, took := range measured {
			s.record(took)
		}
	}
	for range minSpeedSamples {
		record(baseline)
	}
	record(time.Nanosecond) // an outlier does not change the baseline
	_, changed := s.relativeSpeed()
	record(slow, slow)
	assert.Equal(t, relativeSpeed(), 1.0, "two slow measurements")
	record(baseline, slow, slow)
	assert.Equal(t, relativeSpeed(), 1.0, "an interrupted sequence")
	record(slow)
	assert.Equal(t, relativeSpeed(), 0.2)
	select {
	case <-changed:
	default:
		t.Fatal("the change was not signalled")
	}
	record(2*baseline, 2*baseline, 2*baseline, 2*baseline)
	assert.Equal(t, relativeSpeed(), 0.2, "no change between the thresholds")
	record(baseline, baseline, baseline)
	assert.Equal(t, relativeSpeed(), 1.0)
}

// Guards against a slow machine that acquires the leadership as early as one at its usual speed, and against an unbounded
// wait.
func TestSlowMachineWaitsLongerToAcquire(t *testing.T) {
	settings := Settings{Cores: 0.8, LinkMbps: 100}
	assert.Assert(t, settings.acquireDelay(0.2) > 3*settings.acquireDelay(1))
	assert.Equal(t, settings.acquireDelay(0.0001), maxAcquireDelay)
}

package node

import (
	"context"
	"crypto/sha256"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
)

const (
	// speedInterval is the time between two measurements of the machine's speed; each takes a few tenths of a millisecond.
	speedInterval = 200 * time.Millisecond
	// speedRepeats is how often a measurement repeats its work. The fastest repetition counts, which excludes pauses of the
	// process.
	speedRepeats = 3
	// speedWorkBytes is how many bytes are hashed in each repetition, about a tenth of a millisecond of work.
	speedWorkBytes = 1 << 16
	// speedSamples is how many recent measurements the baseline is taken from, minSpeedSamples the least number of them.
	// The baseline is the first quartile of the durations, so that it is stable while the machine is slow for less than
	// three quarters of the time, and single outliers do not count.
	speedSamples    = 300
	minSpeedSamples = 8
	baselineDivisor = 4
	// From slowThreshold times the baseline duration on, a machine counts as slow, and up to normalThreshold times it counts
	// as normal again. Between the two nothing changes.
	slowThreshold   = 3.0
	normalThreshold = 1.5
	// speedConsecutive is how many consecutive measurements must agree before the machine counts as slow, or as normal
	// again.
	speedConsecutive = 3
)

// speedMonitor measures the CPU speed of this machine. A machine on an overcommitted host may become several times slower
// with no other symptom; as the controller it would delay all starts.
type speedMonitor struct {
	measure func() time.Duration
	log     logr.Logger

	mu sync.Mutex // guards the fields below
	// samples is a ring buffer of the last measurements; oldest is the index of the oldest once it is full.
	samples     []time.Duration
	oldest      int
	slow        bool
	consecutive int
	ratio       float64
	changed     chan struct{}
}

func newSpeedMonitor(log logr.Logger) *speedMonitor {
	return &speedMonitor{measure: measureWork, log: log, ratio: 1, changed: make(chan struct{})}
}

// measureWork returns how long a fixed amount of work takes.
func measureWork() time.Duration {
	var buffer [speedWorkBytes]byte
	best := time.Duration(0)
	for i := range speedRepeats {
		began := time.Now()
		sum := sha256.Sum256(buffer[:])
		buffer[0] = sum[0]
		if took := time.Since(began); i == 0 || took < best {
			best = took
		}
	}
	return best
}

// run measures at intervals until ctx is done.
func (s *speedMonitor) run(ctx context.Context) {
	ticker := time.NewTicker(speedInterval)
	defer ticker.Stop()
	for {
		s.record(s.measure())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// record adds a measurement and updates the state.
func (s *speedMonitor) record(took time.Duration) {
	if took <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	baseline := s.baseline()
	s.addSample(took)
	if baseline == 0 {
		return
	}
	ratio := float64(took) / float64(baseline)
	differs := !s.slow && ratio >= slowThreshold || s.slow && ratio <= normalThreshold
	if !differs {
		s.consecutive = 0
		return
	}
	s.consecutive++
	if s.consecutive < speedConsecutive {
		return
	}
	s.slow, s.consecutive, s.ratio = !s.slow, 0, 1
	if s.slow {
		s.ratio = ratio
	}
	s.log.Info("speed of the machine changed", "slow", s.slow, "ratio", ratio)
	close(s.changed)
	s.changed = make(chan struct{})
}

// baseline returns how long the work usually takes, or 0 if there are too few samples. The caller holds mu.
func (s *speedMonitor) baseline() time.Duration {
	if len(s.samples) < minSpeedSamples {
		return 0
	}
	sorted := slices.Sorted(slices.Values(s.samples))
	return sorted[len(sorted)/baselineDivisor]
}

func (s *speedMonitor) addSample(took time.Duration) {
	if len(s.samples) < speedSamples {
		s.samples = append(s.samples, took)
		return
	}
	s.samples[s.oldest] = took
	s.oldest = (s.oldest + 1) % speedSamples
}

// relativeSpeed returns the machine's speed as a fraction of its usual speed, and a channel that is closed when it
// changes. The speed is 1 unless the machine counts as slow; then it is the one measured when that began.
func (s *speedMonitor) relativeSpeed() (float64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return 1 / s.ratio, s.changed
}

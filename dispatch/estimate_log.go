package dispatch

import (
	"math"
	"time"
)

// estimateLogInterval is the time between two log entries of what is learned.
const estimateLogInterval = 30 * time.Second

// logEstimates logs from time to time what is known about each queue and how many workers are in each class of speed.
func (s *State) logEstimates(now time.Time) {
	e := s.estimates
	if e == nil || now.Before(e.nextLog) {
		return
	}
	first := e.nextLog.IsZero()
	e.nextLog = now.Add(estimateLogInterval)
	if first {
		s.log.Decision("run times learned anew", "")
		return
	}
	for _, q := range e.runTimes.Figures() {
		s.log.Decision("run times", "", "queue", q.Queue, "runs", int(q.Runs), "ratio", hundredths(q.Ratio),
			"slope", hundredths(q.Slope), "spread", hundredths(q.Spread), "within", q.Within, "beyond", q.Beyond)
	}
	var classes [fastest - slowest + 1]int
	for _, w := range s.workers {
		if w.Listed {
			classes[s.speedClass(w)-slowest]++
		}
	}
	s.log.Decision("worker speeds", "", "slow", classes[0], "usual", classes[1], "fast", classes[2], "observed", e.speeds.Workers())
}

func hundredths(v float64) float64 { return math.Round(v*100) / 100 }

// PredictionsBeyond returns the number of runs since the last call that took longer than the bound that 19 in 20 are predicted
// to keep.
func (s *State) PredictionsBeyond() int64 {
	if s.estimates == nil {
		return 0
	}
	before := s.estimates.beyond
	s.estimates.beyond = 0
	for _, q := range s.estimates.runTimes.Figures() {
		s.estimates.beyond += q.Beyond
	}
	return max(s.estimates.beyond-before, 0)
}

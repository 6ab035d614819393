package dispatch

import (
	"time"
)

// predictionKept is how long the predicted times of a job are used before they are computed again.
const predictionKept = 5 * time.Second

// predict sets the remaining times and the deadlines of a job by the predicted run times instead of the caller's estimates,
// if those of its queue are known. The latency objective depends on the longest chain of work on a worker of usual speed;
// the caller's estimate of that work may be off by nine tenths. Advice is no work: it is part of the remaining time, not
// of the objective.
func (s *State) predict(j *Job) {
	if s.estimates == nil || s.planUnixMs < j.predictUnixMs {
		return
	}
	j.predictUnixMs = s.planUnixMs + predictionKept.Milliseconds()
	queue := j.Record.GetQueue().GetName()
	if !s.estimates.runTimes.IsKnown(queue) {
		return
	}
	steps := j.Record.GetSteps()
	workMs := make([]float64, len(steps))
	for i, spec := range steps {
		workMs[i] = float64(spec.GetEstimateMs())
		if isMeasured(spec) {
			mean, _ := s.estimates.runTimes.Predict(queue, time.Duration(spec.GetEstimateMs())*time.Millisecond)
			workMs[i] = float64(mean) / float64(time.Millisecond)
		}
	}
	work, rest := newChainOf(j.Record, workMs, false), newChainOf(j.Record, workMs, true)
	for _, o := range j.occurrences {
		o.deadlineUnixMs = o.dueUnixMs + work.objective().Milliseconds()
		for i, step := range o.steps {
			step.remainingMs = rest.remaining[i]
		}
	}
}

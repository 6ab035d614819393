package estimate

import (
	"math"
	"slices"
	"time"
)

const (
	// runTimeHalfLife is the time after which an observation of a queue counts half, and maxRuns the number of runs that
	// count at most, so that a queue whose tasks change is followed within some hundred runs.
	runTimeHalfLife = 5 * time.Minute
	maxRuns         = 1000
	// minRuns is the number of runs from which a queue's predictions are used. Ten runs of a step have one estimate, so
	// these are about five steps.
	minRuns = 50
	// slopePriorRuns and slopePriorVariance make the predicted time proportional to the estimate as long as the estimates
	// vary by less than about a tenth, which shows nothing about their worth.
	slopePriorRuns     = 20
	slopePriorVariance = 0.01
	// maxRatio bounds the ratio of a run time to its estimate in logarithms, a factor of 16. Callers whose estimates are off
	// by 0.9 of their value state up to ten times too little.
	maxRatio = 2.8
	// maxDeviations bounds an observation of a known queue by standard deviations from its prediction. One run moves the
	// prediction by at most this divided by the number of runs.
	maxDeviations = 3
	// minDeviation is the standard deviation that is assumed at least, in logarithms.
	minDeviation = 0.1
	// upperDeviations makes the upper bound one that 19 in 20 runs keep.
	upperDeviations = 1.645
	// maxQueues bounds the memory.
	maxQueues = 256
)

// RunTimes holds the relation of the callers' estimates to the run times for each queue. The zero value is not usable; see
// NewRunTimes.
type RunTimes struct {
	queues map[string]*queueTimes
}

// queueTimes is a decayed linear regression of the logarithm of the run time (y) on that of the estimate (x).
type queueTimes struct {
	at                         time.Time
	runs, meanX, meanY         float64
	varianceX, varianceY, covY float64
	// within and beyond count the confident predictions that the runs kept and exceeded.
	within, beyond int64
}

// QueueFigures describes what is known about a queue.
type QueueFigures struct {
	Queue string
	// Runs is the decayed number of runs, Ratio the typical run time divided by its estimate, Slope how far the time follows
	// the estimate from 0 to 1, and Spread the standard deviation of the logarithms around the prediction.
	Runs, Ratio, Slope, Spread float64
	// Within and Beyond count the runs up to the predicted bound and above it.
	Within, Beyond int64
}

// NewRunTimes returns an empty set of relations.
func NewRunTimes() *RunTimes { return &RunTimes{queues: map[string]*queueTimes{}} }

// Observe records the estimate and the time of a run on a worker of speed 1. Times that are not positive have no effect.
func (r *RunTimes) Observe(queue string, estimate, took time.Duration, now time.Time) {
	if estimate <= 0 || took <= 0 {
		return
	}
	q := r.queues[queue]
	if q == nil {
		r.makeRoom()
		q = &queueTimes{at: now}
		r.queues[queue] = q
	}
	x := math.Log(float64(estimate))
	y := x + min(max(math.Log(float64(took))-x, -maxRatio), maxRatio)
	q.runs = min(q.runs*decay(now.Sub(q.at), runTimeHalfLife), maxRuns)
	q.at = maxTime(q.at, now)
	if q.runs >= minRuns {
		predicted, spread := q.line(x), q.spread()
		if y > predicted+upperDeviations*spread {
			q.beyond++
		} else {
			q.within++
		}
		y = min(max(y, predicted-maxDeviations*spread), predicted+maxDeviations*spread)
	}
	q.add(x, y)
}

// add updates the means and the variances, which are those of a decayed sample.
func (q *queueTimes) add(x, y float64) {
	q.runs++
	part := 1 / q.runs
	dx, dy := x-q.meanX, y-q.meanY
	q.meanX += part * dx
	q.meanY += part * dy
	q.varianceX += part * (dx*(x-q.meanX) - q.varianceX)
	q.varianceY += part * (dy*(y-q.meanY) - q.varianceY)
	q.covY += part * (dx*(y-q.meanY) - q.covY)
}

// slope returns how far the run time follows the estimate.
func (q *queueTimes) slope() float64 {
	prior := slopePriorRuns * slopePriorVariance
	slope := (q.covY*q.runs + prior) / (q.varianceX*q.runs + prior)
	return min(max(slope, 0), 1)
}

// line returns the predicted logarithm of a run time.
func (q *queueTimes) line(x float64) float64 { return q.meanY + q.slope()*(x-q.meanX) }

// spread returns the standard deviation around the prediction.
func (q *queueTimes) spread() float64 {
	b := q.slope()
	return math.Sqrt(max(q.varianceY-2*b*q.covY+b*b*q.varianceX, minDeviation*minDeviation))
}

// Predict returns the mean run time on a worker of speed 1 for a caller's estimate, and a bound that 19 in 20 runs keep. For
// a queue with few observations both are the estimate.
func (r *RunTimes) Predict(queue string, estimate time.Duration) (mean, upper time.Duration) {
	q := r.queues[queue]
	if q == nil || q.runs < minRuns || estimate <= 0 {
		return estimate, estimate
	}
	x, spread := math.Log(float64(estimate)), q.spread()
	line := q.line(x)
	bounded := func(y float64) time.Duration { return time.Duration(math.Exp(min(max(y, x-maxRatio), x+maxRatio))) }
	// The mean of a lognormal distribution exceeds its median by half the variance.
	return bounded(line + spread*spread/2), bounded(line + upperDeviations*spread)
}

// IsKnown reports whether predictions for a queue are based on observations.
func (r *RunTimes) IsKnown(queue string) bool {
	q := r.queues[queue]
	return q != nil && q.runs >= minRuns
}

// Figures returns what is known about each queue, in the order of their names.
func (r *RunTimes) Figures() []QueueFigures {
	var all []QueueFigures
	for name, q := range r.queues {
		all = append(all, QueueFigures{
			Queue: name, Runs: q.runs, Ratio: math.Exp(q.meanY - q.meanX), Slope: q.slope(), Spread: q.spread(),
			Within: q.within, Beyond: q.beyond,
		})
	}
	slices.SortFunc(all, func(a, b QueueFigures) int {
		if a.Queue < b.Queue {
			return -1
		}
		return 1
	})
	return all
}

// makeRoom forgets the queue that was observed longest ago if there is no room for another one.
func (r *RunTimes) makeRoom() {
	if len(r.queues) < maxQueues {
		return
	}
	oldest := ""
	for name, q := range r.queues {
		if oldest == "" || q.at.Before(r.queues[oldest].at) || q.at.Equal(r.queues[oldest].at) && name < oldest {
			oldest = name
		}
	}
	delete(r.queues, oldest)
}

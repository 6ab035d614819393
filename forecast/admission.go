package forecast

import "time"

// certainFactor is the wider margin for work within its team's rate, which the team was promised.
const certainFactor = 2

// Demand is what the decision about a job depends on.
type Demand struct {
	// UsefulFor is the time in which the result is of use; 0 if it is of use at any time.
	UsefulFor time.Duration
	// BeyondRate is true if the job is beyond its team's rate, AboveShare if its team runs more than its share.
	BeyondRate, AboveShare bool
}

// IsBeyondRate reports whether a job is beyond its team's rate in jobs a second, given when the team's budget covered a further
// job, in relation to the time of the forecast, the age of the forecast, and the number of jobs of the team that this machine has
// accepted since. Jobs that other machines have accepted since are not known and only make the true answer more certain.
func IsBeyondRate(withinRateIn, age time.Duration, rate float64, accepted int) bool {
	return rate > 0 && rate*(age-withinRateIn).Seconds() < float64(accepted)
}

// IsTooLate reports whether a job with a forecast wait would certainly start when its result is of no use any more.
func (d Demand) IsTooLate(w Wait) bool {
	switch {
	case d.UsefulFor <= 0:
		return false
	case d.BeyondRate:
		return w.Lower > d.UsefulFor
	default:
		return d.AboveShare && w.Lower > certainFactor*d.UsefulFor
	}
}

// RetryAfter returns when a refused caller should return: after the forecast wait, extended by up to a half so that the
// callers who were refused at one time do not return together. The hash is that of the job's identifier.
func RetryAfter(w Wait, hash uint64) time.Duration {
	wait := min(max(w.Lower, minRetry), maxRetry)
	return wait + wait*time.Duration(hash%1000)/2000
}

// minRetry and maxRetry bound the time after which a refused caller should return. The state of a fleet is not known for
// longer than its measurements go back.
const (
	minRetry = time.Second
	maxRetry = 8 * time.Second
)

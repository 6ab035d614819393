package gateway

import "time"

const (
	// sentRetention is how long it is remembered that a write for a job was sent. Callers repeat a job within seconds.
	sentRetention = 10 * time.Minute
	// maxSentJobs bounds the remembered jobs: 60 a second for sentRetention, the load of a whole deployment.
	maxSentJobs = 36_000
)

// sentJobs remembers the jobs for which this machine has sent a write that is not known to be without effect. A refusal
// cannot say that such a job never runs.
type sentJobs struct {
	jobs map[string]*sentJob
	// order holds the jobs in the order of their writes.
	order []string
	// fullUntil is the time until which every job counts as sent, because one had to be forgotten.
	fullUntil time.Time
}

type sentJob struct {
	// attempts is the number of attempts under way.
	attempts int
	// mayTakeEffect is true if a write of an ended attempt may have taken effect, or may still do so.
	mayTakeEffect bool
	at            time.Time
}

func newSentJobs() sentJobs { return sentJobs{jobs: map[string]*sentJob{}} }

// begin records an attempt that may send a write.
func (s *sentJobs) begin(job string, now time.Time) {
	s.expire(now)
	entry := s.jobs[job]
	if entry == nil {
		entry = &sentJob{}
		s.jobs[job] = entry
		s.order = append(s.order, job)
	}
	entry.attempts++
	entry.at = now
}

// end records the end of an attempt. With withoutEffect, the attempt's writes have not taken effect and never will.
func (s *sentJobs) end(job string, withoutEffect bool) {
	entry := s.jobs[job]
	if entry == nil {
		return
	}
	entry.attempts--
	entry.mayTakeEffect = entry.mayTakeEffect || !withoutEffect
}

// mayTakeEffect reports whether a write of an attempt may have taken effect or may still do so.
func (s *sentJobs) mayTakeEffect(job string, now time.Time) bool {
	if now.Before(s.fullUntil) {
		return true
	}
	entry := s.jobs[job]
	return entry != nil && (entry.mayTakeEffect || entry.attempts > 0)
}

// expire forgets jobs without an attempt under way after sentRetention, or sooner if there are too many.
func (s *sentJobs) expire(now time.Time) {
	for len(s.order) > 0 {
		job := s.order[0]
		entry := s.jobs[job]
		done := entry.attempts == 0 && (!entry.mayTakeEffect || now.Sub(entry.at) >= sentRetention)
		switch {
		case done:
			delete(s.jobs, job)
		case len(s.order) >= maxSentJobs:
			s.fullUntil = now.Add(sentRetention)
			delete(s.jobs, job)
		default:
			return
		}
		s.order = s.order[1:]
	}
}

package gateway

import "time"

const (
	// cutOffAfter is how long all calls to the store stay without an answer before the machine may count as cut off. In its
	// slow periods the store answers within a quarter second.
	cutOffAfter = time.Second
	// probeAfter is the same time from which the controller is asked, so that its answer or silence is known at cutOffAfter.
	probeAfter = 400 * time.Millisecond
	// slowAnswer is the longest time of an answer of the store in its slow periods. A call that its caller ended sooner does
	// not show that the store is silent.
	slowAnswer = 250 * time.Millisecond
)

// contactState decides whether the machine is cut off from the store and from the controller. It holds no clock: callers
// pass the time of each event, and do not go back in time.
type contactState struct {
	// underWay is the number of calls to the store without a result, except watches, which the store may hold open.
	underWay int
	// silentSince is when the first call was sent that has had no answer since the last answer to any call; zero if there
	// is none.
	silentSince time.Time
	// unanswered is true if a call has ended without an answer since the last answer.
	unanswered bool
	// reachedAt and failedAt are when the controller was last reached, and last not reached or not known.
	reachedAt, failedAt time.Time
}

// storeCalled records that a call was sent to the store.
func (s *contactState) storeCalled(now time.Time) {
	s.underWay++
	if s.silentSince.IsZero() {
		s.silentSince = now
	}
}

// callEnded records that a call that storeCalled recorded has ended.
func (s *contactState) callEnded() {
	s.underWay--
	if s.underWay == 0 && !s.unanswered {
		s.silentSince = time.Time{}
	}
}

// storeAnswered records an answer or a refusal of the store.
func (s *contactState) storeAnswered(now time.Time) {
	s.unanswered, s.silentSince = false, time.Time{}
	if s.underWay > 0 {
		s.silentSince = now
	}
}

// storeSilent records that a call that was sent at a time has ended without an answer. An answer to another call since
// then is newer evidence.
func (s *contactState) storeSilent(sent time.Time) {
	s.unanswered = true
	if s.silentSince.IsZero() {
		s.silentSince = sent
	}
}

// controllerAnswered and controllerFailed record the result of a call that the controller answers without the store.
// controllerFailed also records that no controller is known that could be asked.
func (s *contactState) controllerAnswered(now time.Time) { s.reachedAt = now }

func (s *contactState) controllerFailed(now time.Time) { s.failedAt = now }

// silence returns how long the store has left all calls unanswered; 0 if it has answered the last call, or if no call was
// made.
func (s *contactState) silence(now time.Time) time.Duration {
	if s.silentSince.IsZero() {
		return 0
	}
	return now.Sub(s.silentSince)
}

// shouldAskController reports whether the store has been silent for long enough to ask the controller.
func (s *contactState) shouldAskController(now time.Time) bool { return s.silence(now) >= probeAfter }

// isCutOff reports whether the machine reaches neither the store nor the controller. A failed call to the controller
// counts if it ended in the store's silence and no later one was answered.
func (s *contactState) isCutOff(now time.Time) bool {
	controllerSilent := !s.failedAt.Before(s.silentSince) && s.failedAt.After(s.reachedAt)
	return s.unanswered && s.silence(now) >= cutOffAfter && controllerSilent
}

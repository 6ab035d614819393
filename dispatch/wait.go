package dispatch

import "time"

const (
	// retryDelayMin is the first pause of a step that found no worker; it doubles up to retryDelayMaxUrgent for the most urgent queues
	// and retryDelayMaxOther for all others. With hundreds of waiting steps a look at each of them in every plan would use more
	// than a core.
	retryDelayMin       = 12 * time.Millisecond
	retryDelayMaxUrgent = 100 * time.Millisecond
	retryDelayMaxOther  = 300 * time.Millisecond
)

// rest sets when a step is looked at again.
func (step *Step) backOff(now time.Time, progressed bool, priority int32) {
	if step.waiting == 0 {
		step.reservedSince = time.Time{}
	}
	if progressed || step.waiting == 0 {
		step.retryDelay, step.nextTry = 0, time.Time{}
		return
	}
	most := retryDelayMaxOther
	if priority == 0 {
		most = retryDelayMaxUrgent
	}
	step.retryDelay = min(max(2*step.retryDelay, retryDelayMin), most)
	step.nextTry = now.Add(step.retryDelay)
}

// waitLogPause is the least time between two lines about one step. Under load its reason may change with every plan.
const waitLogPause = time.Second

// WaitReason says why tasks of a step have no worker.
type WaitReason string

const (
	// WaitsForCeiling tasks would bring their team above its ceiling.
	WaitsForCeiling WaitReason = "team_ceiling"
	// WaitsForAdvice tasks wait for a machine through which the advisor can be asked.
	WaitsForAdvice WaitReason = "advice"
	// WaitsForAllowed tasks have no room on the workers that the advisor allows.
	WaitsForAllowed WaitReason = "room_on_allowed_workers"
	// WaitsForWorker tasks suit no worker: by service, label or evacuated zone.
	WaitsForWorker WaitReason = "no_suitable_worker"
	// WaitsForReturn tasks suit only workers that drain, are suspended or do not answer.
	WaitsForReturn WaitReason = "workers_not_available"
	// WaitsForRoom tasks find no room.
	WaitsForRoom WaitReason = "room"
	// WaitsForGangRoom tasks of a gang find no room for all of them at once.
	WaitsForGangRoom WaitReason = "room_for_gang"
)

// logWait logs why a step waits, if that has changed. A step whose tasks have all been placed starts anew.
func (s *State) logWait(step *Step, progressed bool, slots AdviceSlots, now time.Time) {
	if step.waiting == 0 {
		step.loggedReason = ""
	}
	// A call for advice under way is the usual course of a step.
	if progressed || step.waiting == 0 || step.advice.inFlight {
		return
	}
	if now.Before(step.nextWaitLog) {
		return
	}
	reason := s.waitReason(step, slots, now)
	if reason == step.loggedReason {
		return
	}
	step.loggedReason, step.nextWaitLog = reason, now.Add(waitLogPause)
	s.log.Waits(step.job.Record.GetId(), step.name, reason, step.waiting)
}

// waitReason works out why a step that is ready has waiting tasks.
func (s *State) waitReason(step *Step, slots AdviceSlots, now time.Time) WaitReason {
	if !s.mayStartOne(step) {
		return WaitsForCeiling
	}
	suitable, available := false, false
	for _, w := range s.workers {
		if w.Listed && s.isSuitable(step, w) {
			suitable = true
			available = available || w.isSchedulable(now)
		}
	}
	policy := s.queue(step.job).GetAdvice()
	switch {
	case !suitable:
		return WaitsForWorker
	case !available:
		return WaitsForReturn
	case policy != nil && (now.Before(step.advice.retryAt) || !slots.available(policy)):
		return WaitsForAdvice
	case policy != nil:
		return WaitsForAllowed
	case step.spec.GetGang():
		return WaitsForGangRoom
	default:
		return WaitsForRoom
	}
}

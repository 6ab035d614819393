package dispatch

import "time"

const (
	// retryDelayMin is the first delay of a step that found no worker. It doubles up to retryDelayMaxUrgent for queues
	// of priority 0 and retryDelayMaxOther for all others. With hundreds of waiting steps, trying each of them in every
	// plan would use more than one core.
	retryDelayMin       = 12 * time.Millisecond
	retryDelayMaxUrgent = 100 * time.Millisecond
	retryDelayMaxOther  = 300 * time.Millisecond
)

// backOff sets when placement of a step is tried again.
func (step *Step) backOff(now time.Time, progressed bool, priority int32) {
	if step.waiting == 0 {
		step.reservedSince = time.Time{}
	}
	if progressed || step.waiting == 0 {
		step.retryDelay, step.nextTry = 0, time.Time{}
		return
	}
	limit := retryDelayMaxOther
	if priority == 0 {
		limit = retryDelayMaxUrgent
	}
	step.retryDelay = min(max(2*step.retryDelay, retryDelayMin), limit)
	step.nextTry = now.Add(step.retryDelay)
}

// waitLogInterval is the minimum time between two searches for the reason why a step waits. A search may visit all
// workers, and under load the reason may change with every plan.
const waitLogInterval = time.Second

// WaitReason is why tasks of a step have no worker.
type WaitReason string

const (
	// WaitsForCeiling means that one more task would bring the team above its ceiling.
	WaitsForCeiling WaitReason = "team_ceiling"
	// WaitsForAdvice means that no advice slot is free, or that the delay after a failed advice call has not passed.
	WaitsForAdvice WaitReason = "advice"
	// WaitsForAllowed means that no worker that the advisor allows can take one more task.
	WaitsForAllowed WaitReason = "room_on_allowed_workers"
	// WaitsForWorker means that no worker has the service and required label outside evacuated zones.
	WaitsForWorker WaitReason = "no_suitable_worker"
	// WaitsForAvailable means that all suitable workers are draining, cordoned, suspended, at their trial limit or
	// unreachable.
	WaitsForAvailable WaitReason = "workers_not_available"
	// WaitsForCapacity means that no available worker can take one more task: they lack free capacity, or are excluded
	// by the step's limit per worker or by other tasks on them.
	WaitsForCapacity WaitReason = "room"
	// WaitsForOrders means that the controller has as many start orders under way as it can send. Work beyond its team's rate,
	// and work that cannot be in time any more, waits first.
	WaitsForOrders WaitReason = "start_orders"
	// WaitsForOthersAdvice means that the step is late or held by its team's ceiling, and others wait for a call for advice.
	WaitsForOthersAdvice WaitReason = "advice_deferred"
	// WaitsForGangCapacity means that the available workers cannot take all tasks of a gang at once.
	WaitsForGangCapacity WaitReason = "room_for_gang"
)

// logWait logs why a step waits if the reason has changed. Placing all tasks of the step resets the logged reason.
func (s *State) logWait(p *placement, progressed bool, slots AdviceSlots) {
	step, now := p.step, p.now
	if step.waiting == 0 {
		step.loggedReason = ""
	}
	// An advice call in flight is the normal case and not worth a log line.
	if progressed || step.waiting == 0 || step.advice.inFlight {
		return
	}
	if !now.Before(step.nextWaitLog) {
		s.logWaitReason(step, now, s.waitReason(p, slots))
	}
}

// logWaitReason logs why a step waits, unless another reason was logged within waitLogInterval or the reason is the same.
func (s *State) logWaitReason(step *Step, now time.Time, reason WaitReason) {
	if now.Before(step.nextWaitLog) {
		return
	}
	step.nextWaitLog = now.Add(waitLogInterval)
	if reason == step.loggedReason {
		return
	}
	step.loggedReason = reason
	s.log.Waits(step.job.Record.GetId(), step.name, reason, step.waiting)
}

// waitReason determines why a ready step has waiting tasks.
func (s *State) waitReason(p *placement, slots AdviceSlots) WaitReason {
	step, now := p.step, p.now
	if !s.mayStartOne(step) {
		return WaitsForCeiling
	}
	suitable, available := false, false
	for _, w := range s.workers {
		if w.Listed && s.isSuitable(p, w) {
			suitable = true
			if available = w.isSchedulable(now); available {
				break
			}
		}
	}
	policy := p.queue.GetAdvice()
	switch {
	case !suitable:
		return WaitsForWorker
	case !available:
		return WaitsForAvailable
	case step.advice.deferred:
		return WaitsForOthersAdvice
	case policy != nil && (now.Before(step.advice.retryAt) || !slots.available(policy)):
		return WaitsForAdvice
	case policy != nil:
		return WaitsForAllowed
	case step.spec.GetGang():
		return WaitsForGangCapacity
	default:
		return WaitsForCapacity
	}
}

package dispatch

import (
	"cmp"
	"slices"
	"time"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/infra"
)

const (
	// maxWorkersPerCall is the largest number of workers in one advice call.
	maxWorkersPerCall = 100
	// minWorkersPerCall is the smallest number of workers to ask about, so that a small step finds an allowed one.
	minWorkersPerCall = 6
	// initialAllowedRatio is the assumed fraction of allowed workers until a queue's first advice arrives.
	initialAllowedRatio = 0.5
	// allowedRatioWeight is the weight of one answer in the moving average of the allowed fraction.
	allowedRatioWeight = 0.2
	// headroomFactor asks about more workers than are needed on average, because the allowed fraction varies.
	headroomFactor = 1.3
	// ticketMargin is subtracted from the validity of tickets to cover the latency from the advisor and to the worker.
	ticketMargin = 300 * time.Millisecond
	// adviceRetryDelay is the delay after a failed advice call.
	adviceRetryDelay = 100 * time.Millisecond
)

// advice caches which workers the advisor allows for a step. The set of allowed workers of a step does not change; only
// the tickets expire.
type advice struct {
	tickets map[string]ticket
	// asked holds the workers asked about so far and whether each is allowed.
	asked    map[string]bool
	inFlight bool
	retryAt  time.Time
}

type ticket struct {
	text        string
	incarnation int64
	validUntil  time.Time
}

// isValid reports whether the ticket can be used for a start on the worker now.
func (k ticket) isValid(w *Worker, now time.Time) bool {
	return k.incarnation == w.Info.Incarnation && now.Before(k.validUntil)
}

// quickDecision is the longest decision time of the advisor for which a queue may use the reserved slots.
const quickDecision = 100 * time.Millisecond

// AdviceSlots counts the advice calls that may be sent now. Some are reserved for queues with quick decisions, so that
// these do not wait behind slow ones.
type AdviceSlots struct {
	Free int
	// ReservedForQuick is how many of the free slots only quick decisions may use.
	ReservedForQuick int
}

func isQuick(policy *siskinv1.AdvicePolicy) bool {
	return policy.GetDecideMs() <= float64(quickDecision/time.Millisecond)
}

func (a *AdviceSlots) available(policy *siskinv1.AdvicePolicy) bool {
	if isQuick(policy) {
		return a.Free > 0
	}
	return a.Free > a.ReservedForQuick
}

func (a *AdviceSlots) acquire(policy *siskinv1.AdvicePolicy) {
	a.Free--
	if isQuick(policy) && a.ReservedForQuick > 0 {
		a.ReservedForQuick--
	}
}

// AdviceRequest asks which workers may run a step.
type AdviceRequest struct {
	step         *Step
	Step         string
	Job          string
	Workers      []string
	incarnations map[string]int64
	// Cost is how long the advisor is expected to take for its decision.
	Cost time.Duration
}

// wantAdvice returns a request if a step has waiting tasks and there are workers without a valid ticket to ask about.
func (s *State) wantAdvice(r ranked, now time.Time, slots *AdviceSlots) *AdviceRequest {
	step := r.step
	policy := s.queue(step.job).GetAdvice()
	if policy == nil || step.waiting == 0 || step.advice.inFlight || now.Before(step.advice.retryAt) {
		return nil
	}
	if !step.urgent && !s.mayStartOne(step) {
		return nil
	}
	if !slots.available(policy) {
		// The step asks once another step's call has been answered.
		return nil
	}
	toAsk := s.workersToAsk(step, now, s.withFreeCPU, s.fits)
	if len(toAsk) == 0 && s.mayPreempt(r) {
		toAsk = s.workersToAsk(step, now, s.schedulable, s.couldFit)
	}
	if len(toAsk) == 0 {
		return nil
	}
	slots.acquire(policy)
	request := &AdviceRequest{step: step, Step: step.name, Job: step.job.Record.GetId(), incarnations: map[string]int64{}}
	for _, w := range toAsk {
		request.Workers = append(request.Workers, w.Info.ID)
		request.incarnations[w.Info.ID] = w.Info.Incarnation
	}
	ms := policy.GetDecideMs() + policy.GetPerWorkerMs()*float64(len(toAsk))
	request.Cost = time.Duration(ms * float64(time.Millisecond))
	step.advice.inFlight = true
	return request
}

// workersToAsk returns suitable workers without a valid ticket, those known to be allowed first, and enough of them
// that the expected number of allowed ones can take the waiting tasks.
func (s *State) workersToAsk(
	step *Step, now time.Time, workers []*Worker, fits func(*Step, *Worker, time.Time) bool,
) []*Worker {
	missing := float64(step.waiting) * headroomFactor
	var known, notAsked []*Worker
	for _, w := range workers {
		if k, ok := step.advice.tickets[w.Info.ID]; ok && k.isValid(w, now) {
			continue
		}
		allowed, asked := step.advice.asked[w.Info.ID]
		if asked && !allowed || !fits(step, w, now) {
			continue
		}
		if asked {
			known = append(known, w)
		} else {
			notAsked = append(notAsked, w)
		}
	}
	byScore := func(a, b *Worker) int {
		return cmp.Or(cmp.Compare(s.askScore(step, a), s.askScore(step, b)), cmp.Compare(a.Info.ID, b.Info.ID))
	}
	slices.SortFunc(known, byScore)
	slices.SortFunc(notAsked, byScore)
	var toAsk []*Worker
	for _, w := range known {
		if missing <= 0 || len(toAsk) >= maxWorkersPerCall {
			return toAsk
		}
		toAsk = append(toAsk, w)
		missing -= float64(s.fittingTasks(step, w))
	}
	allowedRatio := s.allowedRatio(step)
	for _, w := range notAsked {
		if missing <= 0 && len(toAsk) >= minWorkersPerCall || len(toAsk) >= maxWorkersPerCall {
			break
		}
		toAsk = append(toAsk, w)
		missing -= float64(s.fittingTasks(step, w)) * allowedRatio
	}
	return toAsk
}

// askScore orders workers by free CPU, the most first; those in the preferred rack or home zone precede all others.
func (s *State) askScore(step *Step, w *Worker) int64 {
	score := -w.free().MilliCPU
	if rack := step.spec.GetPreferredRack(); rack != "" && !w.hasLabel(rack) {
		score += remotePenalty
	}
	return score + s.zonePenalty(step, w)
}

// fittingTasks returns how many waiting tasks of a step fit on a worker.
func (s *State) fittingTasks(step *Step, w *Worker) int64 {
	need, free := allocation(step.spec), w.free()
	n := int64(step.waiting)
	if limit := int64(step.spec.GetMaxPerWorker()); limit > 0 {
		n = min(n, limit)
	}
	for _, pair := range [][2]int64{
		{need.MilliCPU, free.MilliCPU}, {need.MemoryBytes, free.MemoryBytes}, {need.Accelerators, free.Accelerators},
	} {
		if pair[0] > 0 {
			n = min(n, pair[1]/pair[0])
		}
	}
	return max(n, 0)
}

// allowedRatio returns the expected fraction of workers that the advice of a step's queue allows.
func (s *State) allowedRatio(step *Step) float64 {
	if learned, ok := s.allowedRatios[step.job.Record.GetQueue().GetName()]; ok {
		return max(learned, 1.0/maxWorkersPerCall)
	}
	return initialAllowedRatio
}

// Advised applies the answer to a request for advice.
func (s *State) Advised(r *AdviceRequest, answer infra.Advice, err error, now time.Time) {
	step := r.step
	step.advice.inFlight = false
	step.retryDelay, step.nextTry = 0, time.Time{}
	if err != nil {
		step.advice.retryAt = now.Add(adviceRetryDelay)
		s.log.Decision("no advice", r.Job, "step", r.Step, "workers", len(r.Workers), "reason", err.Error())
		return
	}
	if step.advice.asked == nil {
		step.advice.asked, step.advice.tickets = map[string]bool{}, map[string]ticket{}
	}
	newlyAsked := 0
	for _, id := range r.Workers {
		if _, asked := step.advice.asked[id]; !asked {
			step.advice.asked[id] = false
			newlyAsked++
		}
	}
	allowed := 0
	for _, k := range answer.Tickets {
		if !step.advice.asked[k.Worker] {
			allowed++
		}
		step.advice.asked[k.Worker] = true
		step.advice.tickets[k.Worker] = ticket{
			text: k.Ticket, incarnation: r.incarnations[k.Worker], validUntil: now.Add(answer.Valid - ticketMargin),
		}
	}
	if newlyAsked > 0 {
		queue := step.job.Record.GetQueue().GetName()
		old := s.allowedRatio(step)
		s.allowedRatios[queue] = old + allowedRatioWeight*(float64(allowed)/float64(newlyAsked)-old)
	}
	s.log.Decision("advised", r.Job, "step", r.Step, "workers", len(r.Workers), "allowed", len(answer.Tickets))
}

// ticketFor returns the task's ticket for its worker, or "" if it has none.
func (t *Task) ticketFor() string { return t.step.advice.tickets[t.WorkerID()].text }

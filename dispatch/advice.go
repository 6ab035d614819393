package dispatch

import (
	"cmp"
	"maps"
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
	// deferred is true if the step got no call in the last plan because others waited for one.
	deferred bool
	// readyAt is when the step was first ready; granted is true once it got a ticket.
	readyAt time.Time
	granted bool
}

type ticket struct {
	text        string
	incarnation int64
	validUntil  time.Time
	// grant counts the unused tickets of the answer, or is nil once this one was used.
	grant *adviceGrant
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
	// Lines are the queues of calls through each usable machine if the advisor's time is planned as a budget. Free is not used
	// then, and ReservedForQuick is the reserved number of the Machines that are known.
	Lines    []AdviceLine
	Machines int
}

func isQuick(policy *siskinv1.AdvicePolicy) bool {
	return policy.GetDecideMs() <= float64(quickDecision/time.Millisecond)
}

func (a *AdviceSlots) available(policy *siskinv1.AdvicePolicy) bool {
	if a.Lines != nil {
		return a.lineFor(isQuick(policy), leastCost(policy)) != nil
	}
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
	// Machine is the machine through which to call the advisor, if the slots have lines. Ahead is the expected time of the
	// calls ahead of this one.
	Machine string
	Ahead   time.Duration
	// claims is the free capacity that the call is expected to bring tasks to; quick is true if the decision is quick.
	claims []claim
	quick  bool
}

// wantAdvice returns a request if a step has waiting tasks and there are workers without a valid ticket to ask about.
func (s *State) wantAdvice(r ranked, p *placement, slots *AdviceSlots) *AdviceRequest {
	step, policy := p.step, p.queue.GetAdvice()
	if policy == nil || step.waiting == 0 || step.advice.inFlight || p.now.Before(step.advice.retryAt) {
		return nil
	}
	if !step.urgent && !s.mayStartOne(step) {
		return nil
	}
	step.advice.deferred = s.defersAdvice(r, p.now)
	if step.advice.deferred {
		return nil
	}
	if !slots.available(policy) {
		// The step asks once another step's call has been answered.
		s.noteScarceAdvice(r, p.now)
		return nil
	}
	toAsk, claims := s.freeWorkersToAsk(p)
	if len(toAsk) == 0 && s.mayPreempt(r) {
		toAsk = s.workersToAsk(p, 0, s.couldFit)
	}
	if len(toAsk) == 0 {
		return nil
	}
	if slots.Lines == nil {
		slots.acquire(policy)
		return s.newAdviceRequest(p, toAsk, claims)
	}
	line := slots.lineFor(isQuick(policy), callCost(policy, len(toAsk)))
	if line == nil {
		s.noteScarceAdvice(r, p.now)
		return nil
	}
	request := s.newAdviceRequest(p, toAsk, claims)
	slots.send(request, line)
	return request
}

// freeWorkersToAsk returns the workers with free capacity to ask about, and the claims of the call.
func (s *State) freeWorkersToAsk(p *placement) ([]*Worker, []claim) {
	if s.limits.Features.AdviceBudget {
		return s.budgetedWorkers(p)
	}
	return s.workersToAsk(p, p.need.MilliCPU, s.fits), nil
}

func (s *State) newAdviceRequest(p *placement, toAsk []*Worker, claims []claim) *AdviceRequest {
	step, policy := p.step, p.queue.GetAdvice()
	request := &AdviceRequest{
		step: step, Step: step.name, Job: step.job.Record.GetId(), incarnations: map[string]int64{}, claims: claims,
		quick: isQuick(policy),
	}
	for _, w := range toAsk {
		request.Workers = append(request.Workers, w.Info.ID)
		request.incarnations[w.Info.ID] = w.Info.Incarnation
	}
	request.Cost = callCost(policy, len(toAsk))
	step.advice.inFlight = true
	s.claimRoom(request, 1)
	s.noteCall(request)
	return request
}

// workersToAsk returns suitable workers without a valid ticket, those known to be allowed first, and enough of them
// that the expected number of allowed ones can take the waiting tasks. Workers that are not known yet are asked about in
// the order of their free CPU, the most first, down to milliCPU.
func (s *State) workersToAsk(p *placement, milliCPU int64, fits func(*placement, *Worker) bool) []*Worker {
	list := &askList{placement: p, fits: fits, missing: float64(p.step.waiting) * headroomFactor, allowedRatio: s.allowedRatio(p.step)}
	for _, w := range s.allowedWithoutTicket(p, fits) {
		if list.missing <= 0 || len(list.workers) >= maxWorkersPerCall {
			return list.workers
		}
		list.add(w, 1)
	}
	preferred := p.step.spec.GetPreferredRack()
	if preferred != "" {
		near := slices.SortedFunc(maps.Keys(s.index.byLabel[preferred]), compareMostFree)
		for _, w := range near {
			list.consider(w)
		}
	}
	if s.considerBySpeed(list, milliCPU) {
		return list.workers
	}
	for _, zones := range p.zones {
		for bucket := lastBucket; bucket >= bucketOf(milliCPU) && !list.isComplete(); bucket-- {
			for _, z := range zones {
				for _, w := range z.buckets[bucket] {
					if preferred == "" || !w.hasLabel(preferred) {
						list.consider(w)
					}
				}
			}
		}
	}
	return list.workers
}

// askList collects the workers of one request for advice.
type askList struct {
	placement *placement
	fits      func(*placement, *Worker) bool
	workers   []*Worker
	// missing is the number of waiting tasks less those that the workers are expected to take; allowedRatio is the
	// expected fraction of workers that the advisor allows.
	missing, allowedRatio float64
}

func (l *askList) isComplete() bool {
	return l.missing <= 0 && len(l.workers) >= minWorkersPerCall || len(l.workers) >= maxWorkersPerCall
}

// consider adds a worker that was not asked about yet.
func (l *askList) consider(w *Worker) {
	if l.isComplete() {
		return
	}
	if _, asked := l.placement.step.advice.asked[w.Info.ID]; !asked && l.fits(l.placement, w) {
		l.add(w, l.allowedRatio)
	}
}

func (l *askList) add(w *Worker, allowedRatio float64) {
	l.workers = append(l.workers, w)
	l.missing -= float64(l.placement.fittingTasks(w)) * allowedRatio
}

// allowedWithoutTicket returns the workers that the advisor allowed earlier, and whose ticket is no longer valid: those
// in the preferred rack or home zone first, and of these the ones with the most free CPU.
func (s *State) allowedWithoutTicket(p *placement, fits func(*placement, *Worker) bool) []*Worker {
	var known []*Worker
	for id, allowed := range p.step.advice.asked {
		w := s.workers[id]
		if allowed && w != nil && !p.step.advice.tickets[id].isValid(w, p.now) && fits(p, w) {
			known = append(known, w)
		}
	}
	slices.SortFunc(known, func(a, b *Worker) int {
		return cmp.Or(cmp.Compare(p.distance(a), p.distance(b)), compareMostFree(a, b))
	})
	return known
}

func compareMostFree(a, b *Worker) int {
	return cmp.Or(cmp.Compare(b.free().MilliCPU, a.free().MilliCPU), cmp.Compare(a.Info.ID, b.Info.ID))
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
	s.claimRoom(r, -1)
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
	validUntil := now.Add(answer.Valid - ticketMargin)
	grant := s.noteTickets(step, len(answer.Tickets), validUntil, now)
	allowed := 0
	for _, k := range answer.Tickets {
		if !step.advice.asked[k.Worker] {
			allowed++
		}
		step.advice.asked[k.Worker] = true
		step.advice.tickets[k.Worker] = ticket{
			text: k.Ticket, incarnation: r.incarnations[k.Worker], validUntil: validUntil, grant: grant,
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

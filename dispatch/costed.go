package dispatch

import (
	"math"
	"time"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/resource"
)

// adviceCall is the newest call for advice of a step.
type adviceCall struct {
	request *AdviceRequest
	// due is when the answer is expected.
	due time.Time
	// served is true if a task of the step was placed since the call was sent. futile is true if none was between the call before
	// and this one: other work takes the capacity first, so further calls are not expected to serve any.
	served, futile bool
}

// expectedRoom is free capacity of a worker that a step expects to use.
type expectedRoom struct {
	worker *Worker
	amount resource.Vector
}

// claimMargin is the free capacity that a step must find for each task that it expects to start once it has advice, as a multiple
// of what the task takes: other work takes some of it before the answer arrives.
const claimMargin = 2

// adviseThenPreempt requests advice for the waiting tasks of a step, and stops less urgent tasks for those that the answer is not
// expected to serve in time.
func (s *State) adviseThenPreempt(r ranked, p *placement, slots *AdviceSlots) *AdviceRequest {
	step := r.step
	request := s.wantAdvice(r, p, slots)
	if request != nil {
		futile := step.call.request != nil && !step.call.served
		step.call = adviceCall{request: request, due: p.now.Add(request.Cost), futile: futile}
	}
	step.expected = step.expected[:0]
	waiting := step.waiting - s.waitingSuspects(step)
	if waiting == 0 || !step.urgent {
		return request
	}
	allowed := min(s.underCeiling(step), waiting)
	served := s.servedByAdvice(p, allowed)
	if p.now.Before(step.preemptAfter) {
		return request
	}
	if allowed < waiting {
		s.reclaimCeilingCosted(step, p.now)
	}
	s.preemptCosted(p, allowed-served)
	return request
}

// servedByAdvice returns how many waiting tasks of a step a call for advice is expected to serve in time: one that is under way,
// or the next one if the step waits for a slot. It claims the capacity, so that other steps of the plan do not expect it too.
func (s *State) servedByAdvice(p *placement, waiting int) int {
	step, policy := p.step, p.queue.GetAdvice()
	if policy == nil || step.call.futile {
		return 0
	}
	if step.advice.inFlight {
		if step.call.request == nil || s.wouldMiss(step, step.call.due.Sub(p.now)) {
			return 0
		}
		workers := make([]*Worker, 0, len(step.call.request.Workers))
		for _, id := range step.call.request.Workers {
			if w := s.workers[id]; w != nil {
				workers = append(workers, w)
			}
		}
		return s.claim(p, workers, waiting)
	}
	// The slot that the step waits for is free after about the time of another call.
	wait := time.Duration(2 * adviceMs(policy, minWorkersPerCall) * float64(time.Millisecond))
	if s.wouldMiss(step, wait) {
		return 0
	}
	return s.claim(p, s.workersToAsk(p, p.need.MilliCPU, s.fits), waiting)
}

// wouldMiss reports whether an occurrence would miss its objective if the step started after a delay. The estimate contains the
// time of one call for advice.
func (s *State) wouldMiss(step *Step, delay time.Duration) bool {
	o := step.occurrence
	if o.deadlineUnixMs <= o.dueUnixMs {
		return false // the queue has no objective
	}
	return float64(s.planUnixMs+delay.Milliseconds())+step.remainingMs > float64(o.deadlineUnixMs)
}

func adviceMs(policy *siskinv1.AdvicePolicy, workers int) float64 {
	if policy == nil {
		return 0
	}
	return policy.GetDecideMs() + policy.GetPerWorkerMs()*float64(workers)
}

// claim returns how many tasks of a step the workers are expected to take once the advisor has answered, and reserves that much
// of their free capacity for the rest of the plan.
func (s *State) claim(p *placement, workers []*Worker, waiting int) int {
	expected := 0.0
	for _, w := range workers {
		if expected >= float64(waiting) {
			break
		}
		free := w.free().Sub(s.claimed[w])
		if !s.fits(p, w) || !p.need.Fits(free) {
			continue
		}
		ratio := s.allowedRatio(p.step)
		if allowed, asked := p.step.advice.asked[w.Info.ID]; asked && allowed {
			ratio = 1
		}
		// A worker takes at most one task in this estimate if the step limits its tasks per worker.
		n := math.Inf(1)
		if p.step.spec.GetMaxPerWorker() > 0 {
			n = 1
		}
		n = min(n, float64(fitting(p.need, free)), (float64(waiting)-expected)*claimMargin/ratio)
		expected += n * ratio / claimMargin
		room := expectedRoom{w, scaled(p.need, n*ratio)}
		p.step.expected = append(p.step.expected, room)
		s.claimed[w] = s.claimed[w].Add(room.amount)
	}
	return int(math.Round(expected))
}

// claimExpected reserves what a step expected when it was last tried, in a plan in which it is not tried.
func (s *State) claimExpected(step *Step) {
	for _, room := range step.expected {
		s.claimed[room.worker] = s.claimed[room.worker].Add(room.amount)
	}
}

// fitting returns how many times an amount fits into free capacity; at least one dimension of the amount is positive.
func fitting(need, free resource.Vector) int64 {
	n := int64(math.MaxInt32)
	for _, pair := range [][2]int64{
		{need.MilliCPU, free.MilliCPU}, {need.MemoryBytes, free.MemoryBytes}, {need.Accelerators, free.Accelerators},
	} {
		if pair[0] > 0 {
			n = min(n, pair[1]/pair[0])
		}
	}
	return max(n, 0)
}

func scaled(v resource.Vector, factor float64) resource.Vector {
	by := func(amount int64) int64 { return int64(float64(amount) * factor) }
	return resource.Vector{MilliCPU: by(v.MilliCPU), MemoryBytes: by(v.MemoryBytes), Accelerators: by(v.Accelerators)}
}

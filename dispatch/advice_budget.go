package dispatch

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
)

const (
	// perWorkerShare is the fraction of the fixed time of a call for advice that the time per worker reaches at least. A call
	// that names few workers costs almost as much as one that names many, and the step soon needs another one.
	perWorkerShare = 0.5
	// slowPerWorkerShare is the same for slow calls. Workers that fill up a slow call take as long as several quick calls, and
	// most of their tickets lapse.
	slowPerWorkerShare = 0.1
	// slowHeadroom is the headroom factor of slow calls: others take more of the capacity while the advisor decides.
	slowHeadroom = 2
	// candidatesPerWorker bounds the candidates of a call, and lookedAtPerWorker the workers that its search looks at, as
	// multiples of the least number of workers that it names. Without the bounds a plan took 4 times as long as without the part.
	candidatesPerWorker = 2
	lookedAtPerWorker   = 4
	// minRoom is the number of tasks that have to fit beside those of the calls under way. All waiting steps would otherwise
	// ask about the same few workers.
	minRoom = 0.5
	// scarceFor is how long work that cannot use advice well gets no call after another step found no machine for one. A step
	// tries again within retryDelayMaxOther.
	scarceFor = retryDelayMaxOther
)

// adviceBudget is what the state holds to plan the advisor's time.
type adviceBudget struct {
	// claims is the CPU of each worker that calls under way are expected to bring tasks to, in thousandths of a core;
	// quickClaims is the part of quick calls.
	claims, quickClaims map[*Worker]float64
	// scarceAt is when a step that is not deferred last found no machine for its call.
	scarceAt time.Time
	figures  adviceFigures
}

// defersAdvice reports whether a step gets no call for advice because others wait for one: its result is late, or its
// team's ceiling holds it.
func (s *State) defersAdvice(r ranked, now time.Time) bool {
	return s.limits.Features.AdviceBudget && now.Sub(s.budget.scarceAt) < scarceFor && s.isDeferrable(r)
}

func (s *State) isDeferrable(r ranked) bool { return r.rank.late || !s.mayStartOne(r.step) }

// noteScarceAdvice records that there was no machine for a call of a step.
func (s *State) noteScarceAdvice(r ranked, now time.Time) {
	if s.limits.Features.AdviceBudget && !s.isDeferrable(r) {
		s.budget.scarceAt = now
	}
}

// minWorkersFor returns the least number of workers that a call for advice names, if there are as many.
func minWorkersFor(policy *siskinv1.AdvicePolicy) int { return workersForShare(policy, perWorkerShare) }

// workersForShare returns the number of workers whose time is a fraction of the fixed time of a call.
func workersForShare(policy *siskinv1.AdvicePolicy, share float64) int {
	if policy.GetPerWorkerMs() <= 0 {
		return maxWorkersPerCall
	}
	n := math.Ceil(share * policy.GetDecideMs() / policy.GetPerWorkerMs())
	return int(min(max(n, minWorkersPerCall), maxWorkersPerCall))
}

// askCandidate is a worker that a call for advice may name.
type askCandidate struct {
	worker *Worker
	// room is the number of tasks that fit, less those that calls under way are expected to bring. allowed is the
	// probability that the advisor allows the worker.
	room, allowed float64
	// group orders the candidates: those that are known to be allowed first, then near ones. Within a group the lowest rank
	// comes first, which stands for the preferred speed, then the highest key. The key is random, so that waiting steps do not all name the same workers, and tends to be higher the more
	// room there is.
	group, rank int
	key         float64
}

// claim is the CPU of a worker that a call is expected to bring tasks to.
type claim struct {
	worker   *Worker
	milliCPU float64
}

// claimRoom adds the claims of a request, or removes them if sign is -1.
func (s *State) claimRoom(r *AdviceRequest, sign float64) {
	for _, c := range r.claims {
		addClaim(s.budget.claims, c.worker, sign*c.milliCPU)
		if r.quick {
			addClaim(s.budget.quickClaims, c.worker, sign*c.milliCPU)
		}
	}
}

func addClaim(claims map[*Worker]float64, w *Worker, milliCPU float64) {
	claims[w] += milliCPU
	if claims[w] < 1 {
		delete(claims, w)
	}
}

// adviceSearch finds the workers that a call for advice names, by the price of the call.
type adviceSearch struct {
	*placement
	state  *State
	policy *siskinv1.AdvicePolicy
	// allowedRatio is the expected fraction of allowed workers among those not asked about yet.
	allowedRatio float64
	// random is seeded with the name of the step and the time of the plan: plans are repeatable, and a step that tries again
	// looks at other workers.
	random     rand.PCG
	candidates []askCandidate
	// rank is that of the candidates that are searched for now; bySpeed limits them to a class of speed.
	rank, class int
	bySpeed     bool
	// lookedAt counts the workers that were looked at.
	lookedAt int
	// starts is the number of tasks that all candidates are expected to take.
	starts float64
}

// budgetedWorkers returns the workers that a call for a step names, and the claims of the call. It returns none while the
// free capacity is too little for the price of the call.
func (s *State) budgetedWorkers(p *placement) ([]*Worker, []claim) {
	search := &adviceSearch{
		placement: p, state: s, policy: p.queue.GetAdvice(), allowedRatio: s.allowedRatio(p.step),
	}
	search.random.Seed(xxhash.Sum64String(p.step.name), uint64(p.now.UnixNano()))
	bucket := bucketOf(p.need.MilliCPU)
	search.findRoom(bucket, candidatesPerWorker*minWorkersFor(search.policy))
	if search.starts < minRoom*search.allowedRatio {
		return nil, nil
	}
	return search.take()
}

// findRoom adds the candidates on which a task fits, from a bucket of the index upwards. If the step prefers workers by their
// speed, those of the preferred class come first, and within a class those that others do not fill before the advice arrives.
func (a *adviceSearch) findRoom(from, enough int) {
	if a.speed == anySpeed {
		a.find(from, lastBucket, true, enough)
		return
	}
	a.bySpeed = true
	roomy := max(from, bucketOf(roomyTasks*a.need.MilliCPU))
	for _, zones := range a.zones {
		for _, buckets := range [][2]int{{roomy, lastBucket}, {from, roomy - 1}} {
			for _, class := range classOrders[a.speed] {
				a.class = class
				a.findIn(zones, buckets[0], buckets[1], true, enough)
				a.rank++
			}
		}
	}
	a.bySpeed = false
}

// find adds the candidates of some buckets of the index; with room, only those on which a task fits. The search ends at a
// number of candidates, and begins at a random worker of each bucket, so that steps differ.
func (a *adviceSearch) find(from, to int, withRoom bool, enough int) {
	for _, zones := range a.zones {
		a.findIn(zones, from, to, withRoom, enough)
	}
}

func (a *adviceSearch) findIn(zones []*zoneIndex, from, to int, withRoom bool, enough int) {
	most := lookedAtPerWorker * minWorkersFor(a.policy)
	for i := to; i >= from; i-- {
		for _, z := range zones {
			bucket := z.buckets[i]
			if len(bucket) == 0 {
				continue
			}
			first := int(a.random.Uint64() % uint64(len(bucket)))
			for k := range bucket {
				if a.lookedAt >= most || len(a.candidates) >= enough {
					return
				}
				w := bucket[(first+k)%len(bucket)]
				if a.bySpeed && a.state.speedClass(w) != a.class {
					continue
				}
				a.lookedAt++
				a.consider(w, withRoom)
			}
		}
	}
}

func (a *adviceSearch) sort() {
	slices.SortFunc(a.candidates, func(a, b askCandidate) int {
		return cmp.Or(cmp.Compare(a.group, b.group), cmp.Compare(a.rank, b.rank), cmp.Compare(b.key, a.key))
	})
}

// consider adds a worker to the candidates if the step can use advice about it.
func (a *adviceSearch) consider(w *Worker, withRoom bool) {
	step := a.step
	c := askCandidate{worker: w, allowed: 1, room: a.roomOn(w), rank: a.rank}
	if c.room > 0 != withRoom {
		return
	}
	allowed, asked := step.advice.asked[w.Info.ID]
	if asked && (!allowed || step.advice.tickets[w.Info.ID].isValid(w, a.now)) {
		return
	}
	if !w.isSchedulable(a.now) || !a.state.isSuitable(a.placement, w) || !isCompatible(step, w) {
		return
	}
	if !asked {
		c.allowed = a.allowedRatio
		c.group++
	}
	c.group *= 2
	if a.distance(w) > 0 {
		c.group++
	}
	c.key = float64(a.random.Uint64()) * max(c.room, 1)
	a.candidates = append(a.candidates, c)
	a.starts += c.room * c.allowed
}

// roomOn returns the number of tasks that fit on a worker, less those that calls under way are expected to bring.
func (a *adviceSearch) roomOn(w *Worker) float64 {
	free := w.free()
	if !a.need.Fits(free) {
		return 0
	}
	claims := a.state.budget.claims
	if isQuick(a.policy) {
		claims = a.state.budget.quickClaims
	}
	room := max(0, float64(a.fittingIn(free))-claims[w]/float64(max(a.need.MilliCPU, 1)))
	if room > 0 && !a.state.fits(a.placement, w) {
		return 0
	}
	return room
}

// take returns the first candidates, as many as the waiting tasks need. If these are fewer than the price of a quick call
// suggests, it adds workers on which no task fits now; the set of allowed workers of a step does not change.
func (a *adviceSearch) take() (workers []*Worker, claims []claim) {
	a.sort()
	headroom, least := float64(headroomFactor), minWorkersFor(a.policy)
	if !isQuick(a.policy) {
		headroom, least = slowHeadroom, workersForShare(a.policy, slowPerWorkerShare)
	}
	missing := float64(a.step.waiting) * headroom
	for _, c := range a.candidates {
		if missing <= 0 && len(workers) >= least || len(workers) >= maxWorkersPerCall {
			return workers, claims
		}
		if missing > 0 {
			starts := min(c.room*c.allowed, missing/headroom)
			claims = append(claims, claim{c.worker, starts * float64(a.need.MilliCPU)})
			missing -= c.room * c.allowed
		}
		workers = append(workers, c.worker)
	}
	if len(workers) >= least {
		return workers, claims
	}
	a.candidates, a.lookedAt = a.candidates[:0], 0
	a.find(0, lastBucket, false, candidatesPerWorker*(least-len(workers)))
	a.sort()
	for _, c := range a.candidates {
		if len(workers) >= least {
			break
		}
		workers = append(workers, c.worker)
	}
	return workers, claims
}

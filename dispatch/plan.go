package dispatch

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/resource"
)

const (
	// lateFactor is the multiple of the latency objective after which the result of an occurrence has no value to its
	// user.
	lateFactor = 3
	// stopRetryDelay is the delay before a failed stop order is repeated, stopRepeatDelay that before an answered one
	// is repeated because the worker still lists the run.
	stopRetryDelay  = 200 * time.Millisecond
	stopRepeatDelay = 2 * time.Second
)

// Plan holds the stops to order and the advice to request now.
type Plan struct {
	Stops  []*Task
	Advice []*AdviceRequest
}

// class is the part of a rank that precedes shares and deadlines; the lowest is planned first.
type class struct {
	late, excess bool
	priority     int32
}

// rank orders the steps within a plan; the lowest is planned first.
type rank struct {
	class
	deadline int64
	name     string
}

func (r rank) compare(o rank) int {
	return cmp.Or(
		compareBool(r.late, o.late), compareBool(r.excess, o.excess), cmp.Compare(r.priority, o.priority),
		cmp.Compare(r.deadline, o.deadline), strings.Compare(r.name, o.name),
	)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

type ranked struct {
	rank rank
	step *Step
}

// Plan places waiting tasks, and returns the stops to order and the advice to request. Placed tasks are ordered after
// the commit that records their workers.
func (s *State) Plan(now time.Time, unixMs int64, slots AdviceSlots) Plan {
	var plan Plan
	if s.policy == nil {
		// Without a policy, the ceilings and the evacuated zones are unknown, so nothing may start.
		s.planStops(&plan, now)
		return plan
	}
	s.evict()
	steps := s.readySteps(unixMs)
	s.collectWorkers(steps, now)
	s.setShares(steps)
	clear(s.reserved)
	for from := 0; from < len(steps); {
		to := from + 1
		for to < len(steps) && steps[from].rank.class == steps[to].rank.class {
			to++
		}
		s.planSteps(steps[from:to], now, &slots, &plan)
		from = to
	}
	s.planStops(&plan, now)
	return plan
}

// planStep places the waiting tasks of a step; for those left it preempts others or requests advice.
func (s *State) planStep(r ranked, now time.Time, slots *AdviceSlots, plan *Plan) {
	if now.Before(r.step.nextTry) {
		return
	}
	waiting := r.step.waiting
	s.placeStep(r.step, now)
	s.preempt(r, now)
	request := s.wantAdvice(r, now, slots)
	if request != nil {
		plan.Advice = append(plan.Advice, request)
	}
	progressed := request != nil || r.step.waiting < waiting
	s.logWait(r.step, progressed, *slots, now)
	r.step.backOff(now, progressed, r.rank.priority)
}

// collectWorkers sets schedulable to the workers that may get tasks, withFreeCPU to those of them with enough CPU for
// the smallest waiting task, and zoneFreeCPU to the free CPU of the latter by zone, without evacuated zones.
func (s *State) collectWorkers(steps []ranked, now time.Time) {
	s.schedulable, s.withFreeCPU = s.schedulable[:0], s.withFreeCPU[:0]
	clear(s.zoneFreeCPU)
	least := int64(math.MaxInt64)
	for _, r := range steps {
		least = min(least, allocation(r.step.spec).MilliCPU)
	}
	for _, w := range s.workers {
		if !w.isSchedulable(now) {
			continue
		}
		s.schedulable = append(s.schedulable, w)
		if w.free().MilliCPU >= least {
			s.withFreeCPU = append(s.withFreeCPU, w)
			if !s.evacuated[w.Info.Zone] {
				s.zoneFreeCPU[w.Info.Zone] += w.free().MilliCPU
			}
		}
	}
}

func (s *State) planStops(plan *Plan, now time.Time) {
	for _, w := range s.workers {
		for t := range w.tasks {
			due := now.After(t.stopAfter)
			if t.stop && !t.stopping && t.phase != phasePlanned && due && w.reachable {
				t.stopping = true
				plan.Stops = append(plan.Stops, t)
			}
		}
	}
}

// readySteps returns the steps with tasks that may start, sorted by rank.
func (s *State) readySteps(unixMs int64) []ranked {
	var steps []ranked
	for step := range s.frontier {
		if step.waiting == 0 || step.job.Ended() || step.job.setAside || !step.unblocked() {
			delete(s.frontier, step)
			continue
		}
		if !step.due(unixMs) {
			continue
		}
		steps = append(steps, ranked{s.rankOf(step, unixMs), step})
	}
	slices.SortFunc(steps, func(a, b ranked) int { return a.rank.compare(b.rank) })
	return steps
}

func (s *State) rankOf(step *Step, unixMs int64) rank {
	o := step.occurrence
	span := o.deadlineUnixMs - o.dueUnixMs
	return rank{
		class: class{
			late:   !step.spec.GetLongRunning() && unixMs > o.dueUnixMs+lateFactor*span,
			excess: step.job.excess, priority: s.queue(step.job).GetPriority(),
		},
		deadline: o.deadlineUnixMs, name: step.name,
	}
}

// placeStep places as many waiting tasks of a step as possible; of a gang, all or none.
func (s *State) placeStep(step *Step, now time.Time) {
	if step.spec.GetGang() {
		s.placeGang(step, now)
		return
	}
	for i := range step.tasks {
		t := &step.tasks[i]
		if !t.isWaiting() {
			continue
		}
		w := s.choose(step, t, nil, now)
		if w == nil {
			if t.avoid == "" {
				return
			}
			continue
		}
		s.assign(t, w)
	}
}

// placeGang places all tasks of a gang or none. It waits until no member of the gang has a worker.
func (s *State) placeGang(step *Step, now time.Time) {
	if step.waiting < len(step.tasks) {
		return
	}
	for _, rack := range s.gangRacks(step) {
		if s.tryGang(step, rack, now) {
			return
		}
	}
}

// gangRacks returns the racks to try in turn for a gang that runs faster within one rack, then "" for all racks.
func (s *State) gangRacks(step *Step) []string {
	var racks []string
	if step.spec.GetSameRack() {
		seen := map[string]bool{}
		for _, w := range s.workers {
			if !seen[w.rack()] && w.rack() != "" {
				seen[w.rack()] = true
				racks = append(racks, w.rack())
			}
		}
		slices.Sort(racks)
	}
	return append(racks, "")
}

// tryGang places all tasks of a gang on workers of one rack, or of any rack if rack is "". It reports false and places
// none if they do not fit. All members get the same run number and resume from the same checkpoint.
func (s *State) tryGang(step *Step, rack string, now time.Time) bool {
	run := int32(0)
	placed := 0
	for i := range step.tasks {
		t := &step.tasks[i]
		w := s.choose(step, t, func(w *Worker) bool { return rack == "" || w.rack() == rack }, now)
		if w == nil {
			break
		}
		s.place(t, w)
		placed++
	}
	if placed < len(step.tasks) {
		for i := range placed {
			s.unplace(&step.tasks[i])
		}
		return false
	}
	for i := range step.tasks {
		run = max(run, step.tasks[i].run)
	}
	for i := range step.tasks {
		t := &step.tasks[i]
		t.run, t.checkpoint = run, step.checkpoint
		s.planRun(t)
	}
	return true
}

// unplace undoes place for a task whose worker got no order yet.
func (s *State) unplace(t *Task) {
	w := t.worker
	w.remove(t)
	t.worker = nil
	t.step.waiting++
	s.frontier[t.step] = struct{}{}
	t.step.job.placed--
	use := s.team(t.step.job.Record.GetTeam())
	use.running = use.running.Sub(declaredResources(t.step.spec))
}

// assign places a task on a worker and plans its run.
func (s *State) assign(t *Task, w *Worker) {
	s.place(t, w)
	s.planRun(t)
}

// planRun numbers the run of a placed task and adds its start to the job's next commit.
func (s *State) planRun(t *Task) {
	t.run++
	t.phase = phasePlanned
	t.incarnation = t.worker.Info.Incarnation
	if t.worker.onTrial {
		t.worker.trialStarts++
	}
	j := t.step.job
	j.orders = append(j.orders, t)
	s.markDirty(j)
}

// choose returns the worker for a task, or nil. It prefers workers in the preferred rack or the step's home zone, and
// among these the lowest score. For tasks that are not spread over workers this is the best fit, the one with the least
// free CPU, so that other workers keep enough free CPU for large tasks.
func (s *State) choose(step *Step, t *Task, only func(*Worker) bool, now time.Time) *Worker {
	if !s.mayStartOne(step) {
		return nil
	}
	var best *Worker
	var bestScore int64
	for _, w := range s.candidates(step, now) {
		if only != nil && !only(w) || !s.fits(step, w, now) || w.Info.ID == t.avoid && now.Before(t.avoidUntil) {
			continue
		}
		score := s.score(step, w)
		if best == nil || score < bestScore || score == bestScore && w.Info.ID < best.Info.ID {
			best, bestScore = w, score
		}
	}
	return best
}

// candidates returns the workers that a step may use now: all schedulable ones, or those with a valid ticket if the
// queue uses advice.
func (s *State) candidates(step *Step, now time.Time) []*Worker {
	var workers []*Worker
	if s.queue(step.job).GetAdvice() == nil {
		return s.schedulable
	}
	for id, ticket := range step.advice.tickets {
		if w := s.workers[id]; w != nil && ticket.isValid(w, now) {
			workers = append(workers, w)
		}
	}
	return workers
}

const (
	// remotePenalty ranks all workers outside the preferred rack last; it exceeds the milli-CPU of any worker.
	remotePenalty = 1 << 40
	// spreadPenalty spreads tasks with a latency objective, and backfill tasks, over workers.
	spreadPenalty = 1 << 20
)

// score rates a worker on which a task fits; the lowest score is chosen.
func (s *State) score(step *Step, w *Worker) int64 {
	score := w.free().MilliCPU
	switch {
	case step.spec.GetBackfill():
		score = -(w.free().MilliCPU - w.backfillCPU) + int64(w.backfillTasks)*spreadPenalty
	case step.spec.GetLatencyObjectiveMs() > 0:
		score = int64(w.latencyTasks) * spreadPenalty
	}
	if rack := step.spec.GetPreferredRack(); rack != "" && !w.hasLabel(rack) {
		score += remotePenalty
	}
	return score + s.zonePenalty(step, w)
}

// fits reports whether one task of a step may start on a worker.
func (s *State) fits(step *Step, w *Worker, now time.Time) bool {
	return w.isSchedulable(now) && s.isSuitable(step, w) && allocation(step.spec).Fits(w.free()) &&
		s.underWorkerLimit(step, w) && isCompatible(step, w)
}

// isSuitable reports whether a worker matches a step's service and required label, and is in no evacuated zone.
func (s *State) isSuitable(step *Step, w *Worker) bool {
	return w.Info.Service == s.queue(step.job).GetService() && !s.evacuated[w.Info.Zone] &&
		w.hasLabel(step.spec.GetRequiredLabel())
}

// isCompatible reports whether a worker can take a step without mixing backfill tasks and tasks with a latency
// objective.
func isCompatible(step *Step, w *Worker) bool {
	if step.spec.GetBackfill() {
		return w.latencyTasks == 0
	}
	return step.spec.GetLatencyObjectiveMs() == 0 || w.backfillTasks == 0
}

// underWorkerLimit reports whether the step's limit per worker allows one more of its tasks on a worker.
func (s *State) underWorkerLimit(step *Step, w *Worker) bool {
	limit := step.spec.GetMaxPerWorker()
	if limit <= 0 {
		return true
	}
	n := int32(0)
	for t := range w.tasks {
		if t.step == step {
			n++
		}
	}
	return n < limit
}

// allocation returns what a task of a step takes from a worker's capacity. Backfill tasks take no CPU.
func allocation(spec *siskinv1.WorkflowStep) resource.Vector {
	amount := declaredResources(spec)
	if spec.GetBackfill() {
		amount.MilliCPU = 0
	}
	return amount
}

package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
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
	Stops       []*Task
	OrphanStops []OrphanStop
	Advice      []*AdviceRequest
}

// class is the part of a rank that precedes shares and deadlines; the lowest is planned first. Work that is late is of no use
// to its user any more, excess is beyond its team's rate, and missed can probably not be in time. That is a guess, so it
// orders only work of the same priority. Long-running tasks that were interrupted come before all: there are few, and their
// users notice each second that they are down.
type class struct {
	interrupted  bool
	late, excess bool
	priority     int32
	missed       bool
}

// rank orders the steps within a plan; the lowest is planned first.
type rank struct {
	class
	deadline int64
	name     string
}

func (r rank) compare(o rank) int {
	return cmp.Or(
		compareBool(o.interrupted, r.interrupted), compareBool(r.late, o.late), compareBool(r.excess, o.excess), cmp.Compare(r.priority, o.priority),
		compareBool(r.missed, o.missed),
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
	s.planTime, s.planUnixMs = now, unixMs
	slots.Lines = slices.Clone(slots.Lines)
	s.usage.advance(now)
	s.pendingOrders = s.countPendingOrders(now)
	s.clearSuspects()
	s.logEstimates(now)
	if s.policy == nil {
		// Without a policy, the ceilings and the evacuated zones are unknown, so nothing may start.
		s.planStops(&plan, now)
		return plan
	}
	s.evict()
	steps := s.readySteps(now, unixMs)
	s.setOpenZones()
	s.setShares()
	s.setShortRoom()
	clear(s.reserved)
	clear(s.claimed)
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
		s.claimExpected(r.step)
		return
	}
	if s.pendingOrders >= r.maxPendingOrders() {
		s.logWaitReason(r.step, now, WaitsForOrders)
		if r.yields() {
			r.step.backOff(now, false, r.rank.priority)
			s.retrySoon(r, now, slots)
		}
		s.usage.waits(r.rank.class, usedOrders)
		return
	}
	waiting := r.step.waiting
	p := s.newPlacement(r.step, now)
	p.maxPendingOrders, p.lowest = r.maxPendingOrders(), r.rank.late || r.rank.excess
	s.placeStep(p)
	request := s.makeRoom(r, p, slots)
	if request != nil {
		plan.Advice = append(plan.Advice, request)
		s.usage.add(r.step.job.Record.GetTeam(), usedAdvice, request.Cost.Seconds())
	}
	s.noteShortage(r, p, slots)
	progressed := request != nil || r.step.waiting < waiting
	s.logWait(p, progressed, *slots)
	r.step.backOff(now, progressed, r.rank.priority)
	s.retrySoon(r, now, slots)
}

// makeRoom preempts others for the waiting tasks of a step that has placed what it can, and returns its request for advice.
func (s *State) makeRoom(r ranked, p *placement, slots *AdviceSlots) *AdviceRequest {
	if s.limits.Features.CostedStops {
		return s.adviseThenPreempt(r, p, slots)
	}
	s.preempt(p)
	return s.wantAdvice(r, p, slots)
}

// setOpenZones sets openZones for the current plan.
func (s *State) setOpenZones() {
	s.openZones = s.openZones[:0]
	for _, z := range s.index.zones {
		if !s.evacuated[z.name] {
			s.openZones = append(s.openZones, z)
		}
	}
}

func (s *State) planStops(plan *Plan, now time.Time) {
	for t := range s.stops {
		if !t.stopping && t.phase != phasePlanned && now.After(t.stopAfter) && t.worker.reachable {
			t.stopping, t.stopOrderedAt = true, now
			plan.Stops = append(plan.Stops, t)
		}
	}
	s.planOrphanStops(plan, now)
}

// readySteps returns the steps with tasks that may start, sorted by rank, without those that are not to be tried yet and
// reserve nothing.
func (s *State) readySteps(now time.Time, unixMs int64) []ranked {
	var steps []ranked
	clear(s.waitingTeams)
	for step := range s.frontier {
		if step.waiting == 0 || step.job.Ended() || step.job.setAside || !step.unblocked() {
			delete(s.frontier, step)
			continue
		}
		if !step.due(unixMs) {
			continue
		}
		s.noteReady(step, now)
		s.waitingTeams[step.job.Record.GetTeam()] = struct{}{}
		if now.Before(step.nextTry) && (step.job.excess || s.queue(step.job).GetPriority() > 0) {
			// Only urgent steps reserve part of a ceiling while they wait.
			continue
		}
		steps = append(steps, ranked{s.rankOf(step, unixMs), step})
	}
	slices.SortFunc(steps, func(a, b ranked) int { return a.rank.compare(b.rank) })
	return steps
}

// isInterrupted reports whether tasks of a long-running step wait that have run before.
func (step *Step) isInterrupted() bool {
	if !step.spec.GetLongRunning() {
		return false
	}
	for i := range step.tasks {
		if t := &step.tasks[i]; t.isWaiting() && t.run > 0 {
			return true
		}
	}
	return false
}

func (s *State) rankOf(step *Step, unixMs int64) rank {
	s.predict(step.job)
	o := step.occurrence
	span := o.deadlineUnixMs - o.dueUnixMs
	return rank{
		class: class{
			interrupted: step.isInterrupted(),
			late:        !step.spec.GetLongRunning() && unixMs > o.dueUnixMs+lateFactor*span,
			excess:      step.job.excess, missed: !step.spec.GetLongRunning() && step.isMissed(unixMs),
			priority: s.queue(step.job).GetPriority(),
		},
		deadline: o.deadlineUnixMs, name: step.name,
	}
}

// placeStep places as many waiting tasks of a step as possible; of a gang, all or none.
func (s *State) placeStep(p *placement) {
	if p.step.spec.GetGang() {
		s.placeGang(p)
		return
	}
	for i := range p.step.tasks {
		t := &p.step.tasks[i]
		if !t.isWaiting() || p.now.Before(t.notBefore) {
			continue
		}
		w := s.choose(p, t, "")
		if w == nil {
			if t.avoid == "" && !t.isSuspect() {
				return
			}
			continue
		}
		s.assign(t, w)
		if p.lowest {
			s.unanswered[t] = p.now
		}
		if s.pendingOrders >= p.maxPendingOrders {
			return
		}
	}
}

// placeGang places all tasks of a gang or none. It waits until no member of the gang has a worker.
func (s *State) placeGang(p *placement) {
	if p.step.waiting < len(p.step.tasks) || p.now.Before(p.step.tasks[0].notBefore) {
		return
	}
	p.step.forgetAvoided(p.now)
	if s.tryGangOnRacks(p) || len(p.step.avoided) < workersToBlameTask {
		return
	}
	// The gang is more likely at fault than so many workers, so that it does not wait for others.
	clear(p.step.avoided)
	s.tryGangOnRacks(p)
}

// tryGangOnRacks places all tasks of a gang on the first racks that can take them, and reports whether some can.
func (s *State) tryGangOnRacks(p *placement) bool {
	for _, rack := range s.gangRacks(p.step) {
		if s.tryGang(p, rack) {
			return true
		}
	}
	return false
}

// gangRacks returns the racks to try in turn for a gang that runs faster within one rack, then "" for all racks.
func (s *State) gangRacks(step *Step) []string {
	var racks []string
	if step.spec.GetSameRack() {
		racks = slices.Sorted(maps.Keys(s.index.racks))
	}
	return append(racks, "")
}

// tryGang places all tasks of a gang on workers of one rack, or of any rack if rack is "". It reports false and places
// none if they do not fit. All members get the same run number and resume from the same checkpoint.
func (s *State) tryGang(p *placement, rack string) bool {
	step := p.step
	if !s.hasCapacityForAll(p, rack) {
		return false
	}
	run := int32(0)
	placed := 0
	for i := range step.tasks {
		t := &step.tasks[i]
		w := s.choose(p, t, rack)
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
	s.usage.runs(t.step.job.Record.GetTeam(), declaredResources(t.step.spec).Scale(-1))
	delete(use.tasks, t)
}

// assign places a task on a worker and plans its run.
func (s *State) assign(t *Task, w *Worker) {
	s.place(t, w)
	t.step.call.served = true
	s.planRun(t)
}

// planRun numbers the run of a placed task and adds its start to the job's next commit.
func (s *State) planRun(t *Task) {
	t.run++
	t.phase, t.plannedUnixMs = phasePlanned, s.planUnixMs
	s.beginProbe(t)
	t.incarnation = t.worker.Info.Incarnation
	t.worker.health.begin(t, s.planTime)
	s.pendingOrders++
	s.noteStart(t)
	s.noteTicketUse(t)
	j := t.step.job
	s.usage.add(j.Record.GetTeam(), usedOrders, 1)
	j.orders = append(j.orders, t)
	s.markDirty(j)
}

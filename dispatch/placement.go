package dispatch

import (
	"time"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/resource"
)

// placement holds what the search for workers for the tasks of one step needs in one plan.
type placement struct {
	step  *Step
	now   time.Time
	queue *siskinv1.QueuePolicy
	// need is what one task takes from a worker's capacity.
	need resource.Vector
	// zones are the zones to search in turn: the home zone of the step, then all others together.
	zones [][]*zoneIndex
	home  *zoneIndex
	// ticketed are the workers with a valid ticket, if the queue uses advice.
	ticketed []*Worker
	// probe is true for a gang that may have crashed workers; all members start on quiet workers.
	probe bool
	// lowest is true for work that is late or beyond its team's rate.
	lowest bool
	// maxPendingOrders is the number of pending start orders from which the step gets no further starts.
	maxPendingOrders int
	// speed is which workers the tasks prefer by their speed.
	speed speedPreference
}

func (s *State) newPlacement(step *Step, now time.Time) *placement {
	p := &placement{step: step, now: now, queue: s.queue(step.job), need: allocation(step.spec), home: s.home(step)}
	p.speed = s.speedPreference(p)
	p.probe = step.spec.GetGang() && s.isProbed(&step.tasks[0])
	if p.home == nil {
		p.zones = [][]*zoneIndex{s.openZones}
	} else {
		others := make([]*zoneIndex, 0, len(s.openZones))
		for _, z := range s.openZones {
			if z != p.home {
				others = append(others, z)
			}
		}
		p.zones = [][]*zoneIndex{{p.home}, others}
	}
	if p.isAdvised() {
		for id, ticket := range step.advice.tickets {
			if w := s.workers[id]; w != nil && ticket.isValid(w, now) {
				p.ticketed = append(p.ticketed, w)
			}
		}
	}
	return p
}

// isAdvised reports whether the tasks may run only on workers with a ticket.
func (p *placement) isAdvised() bool { return p.queue.GetAdvice() != nil }

// choose returns the worker for a task, or nil; with a rack, only one in that rack. It prefers workers in the preferred
// rack or the step's home zone, and among these the lowest score. For tasks that are not spread over workers this is the
// best fit, the one with the least free CPU, so that other workers keep enough free CPU for large tasks.
func (s *State) choose(p *placement, t *Task, rack string) *Worker {
	if !s.mayStartOne(p.step) {
		return nil
	}
	if s.isProbed(t) && !p.step.spec.GetGang() {
		return s.chooseForProbe(p, t)
	}
	search := &bestWorker{state: s, placement: p, task: t, rack: rack}
	preferred := p.step.spec.GetPreferredRack()
	switch {
	case p.isAdvised():
		for _, w := range p.ticketed {
			search.consider(w)
		}
	case rack != "":
		search.considerLabelled(rack)
	case preferred != "":
		search.considerLabelled(preferred)
	}
	if search.worker != nil || p.isAdvised() || rack != "" {
		return search.worker
	}
	for _, zones := range p.zones {
		search.considerZones(zones)
		if search.worker != nil {
			return search.worker
		}
	}
	return nil
}

// bestWorker finds the worker with the lowest score on which a task fits.
type bestWorker struct {
	state     *State
	placement *placement
	task      *Task
	rack      string
	worker    *Worker
	score     int64
}

func (b *bestWorker) consider(w *Worker) {
	p, t := b.placement, b.task
	if !b.state.fits(p, w) || t.avoids(w, p.now) || b.rack != "" && w.rack() != b.rack {
		return
	}
	score := b.state.score(p, w)
	if b.worker == nil || score < b.score || score == b.score && w.Info.ID < b.worker.Info.ID {
		b.worker, b.score = w, score
	}
}

// considerZones considers the workers of some zones from the first bucket with enough CPU upwards. For tasks that are not
// spread it ends at the first bucket with a worker of the preferred speed.
func (b *bestWorker) considerZones(zones []*zoneIndex) {
	spread := isSpread(b.placement.step.spec)
	for bucket := bucketOf(b.placement.need.MilliCPU); bucket <= lastBucket; bucket++ {
		for _, z := range zones {
			for _, w := range z.buckets[bucket] {
				b.consider(w)
			}
		}
		if b.worker != nil && !spread && b.state.speedScore(b.placement, b.worker) == 0 {
			return
		}
	}
}

func (b *bestWorker) considerLabelled(label string) {
	for w := range b.state.index.byLabel[label] {
		b.consider(w)
	}
}

const (
	// remotePenalty ranks all workers outside the preferred rack last; it exceeds the milli-CPU of any worker.
	remotePenalty = 1 << 40
	// homePenalty ranks workers outside a step's home zone after those in it. It exceeds the milli-CPU of any worker and
	// is less than the penalty for a rack other than the preferred one.
	homePenalty = 1 << 30
	// spreadPenalty spreads tasks with a latency objective, and backfill tasks, over workers.
	spreadPenalty = 1 << 20
)

// isSpread reports whether the tasks of a step are spread over workers instead of filling the fullest ones.
func isSpread(spec *siskinv1.WorkflowStep) bool {
	return spec.GetBackfill() || spec.GetLatencyObjectiveMs() > 0
}

// score rates a worker on which a task fits; the lowest score is chosen.
func (s *State) score(p *placement, w *Worker) int64 {
	score := w.free().MilliCPU
	switch {
	case p.step.spec.GetBackfill():
		score = -(w.free().MilliCPU - w.backfillCPU) + int64(w.backfillTasks)*spreadPenalty
	case p.step.spec.GetLatencyObjectiveMs() > 0:
		score = int64(w.latencyTasks) * spreadPenalty
	}
	return score + p.distance(w) + s.speedScore(p, w)
}

// distance returns the score penalty of a worker outside the preferred rack or the home zone, else 0.
func (p *placement) distance(w *Worker) int64 {
	if rack := p.step.spec.GetPreferredRack(); rack != "" && !w.hasLabel(rack) {
		return remotePenalty
	}
	if p.home != nil && w.Info.Zone != p.home.name {
		return homePenalty
	}
	return 0
}

// fits reports whether one task of a step may start on a worker.
func (s *State) fits(p *placement, w *Worker) bool {
	return p.need.Fits(w.free()) && w.isSchedulable(p.now) && s.isSuitable(p, w) && underWorkerLimit(p.step, w) &&
		isCompatible(p.step, w) && (!p.probe || w.isQuietFor(p.step, p.now))
}

// isSuitable reports whether a worker matches a step's service and required label, and is in no evacuated zone.
func (s *State) isSuitable(p *placement, w *Worker) bool {
	return w.Info.Service == p.queue.GetService() && !s.evacuated[w.Info.Zone] && w.hasLabel(p.step.spec.GetRequiredLabel())
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
func underWorkerLimit(step *Step, w *Worker) bool {
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

// hasCapacityForAll reports whether the workers of a rack, or of any rack if rack is "", may take all tasks of a step,
// before each task is placed in turn.
func (s *State) hasCapacityForAll(p *placement, rack string) bool {
	missing := int64(p.step.waiting)
	count := func(w *Worker) {
		if missing > 0 && (rack == "" || w.rack() == rack) && s.fits(p, w) && !p.step.tasks[0].avoids(w, p.now) {
			missing -= p.fittingTasks(w)
		}
	}
	switch {
	case p.isAdvised():
		for _, w := range p.ticketed {
			count(w)
		}
	case rack != "":
		for w := range s.index.byLabel[rack] {
			count(w)
		}
	default:
		for _, z := range s.openZones {
			for _, bucket := range z.buckets[bucketOf(p.need.MilliCPU):] {
				for _, w := range bucket {
					count(w)
				}
			}
		}
	}
	return missing <= 0
}

// fittingTasks returns how many waiting tasks of a step fit on a worker.
func (p *placement) fittingTasks(w *Worker) int64 { return p.fittingIn(w.free()) }

func (p *placement) fittingIn(free resource.Vector) int64 {
	n := int64(p.step.waiting)
	if limit := int64(p.step.spec.GetMaxPerWorker()); limit > 0 {
		n = min(n, limit)
	}
	for _, pair := range [][2]int64{
		{p.need.MilliCPU, free.MilliCPU}, {p.need.MemoryBytes, free.MemoryBytes}, {p.need.Accelerators, free.Accelerators},
	} {
		if pair[0] > 0 {
			n = min(n, pair[1]/pair[0])
		}
	}
	return max(n, 0)
}

package dispatch

import (
	"math"
	"time"
)

const (
	// speedClassStep is the ratio of the speeds of adjacent classes. Sound machines of a fleet differ by 1.25 to 1.3 from
	// kind to kind; within a kind the learned speeds differ by less than half of that.
	speedClassStep = 1.25
	slowest        = -1
	fastest        = 1
	// minSpeedConfidence is the confidence from which a worker has another class than the middle one. The speed of its kind
	// is then based on as many runs as the prior.
	minSpeedConfidence = 0.5
	// roomyTasks is the number of tasks for which a worker has free CPU so that it is named before faster ones. Others may
	// take the CPU of a fuller one before the advice arrives, and urgent steps then stop tasks on the few they have tickets for.
	roomyTasks = 4
	// speedClassKept is how long a worker's class is used before it is computed again.
	speedClassKept = time.Second
	// speedPenalty ranks workers of the next class of speed after those of the preferred one. It exceeds the milli-CPU of any
	// worker, and twice that is less than the penalty for another zone than the home zone.
	speedPenalty = 1 << 28
	// urgentMemory is the time without urgent work after which patient work uses fast workers like all others.
	urgentMemory = 5 * time.Second
	// slowFactor is how much longer the rest of an occurrence takes on slow workers than on the middle ones.
	slowFactor = speedClassStep
)

// speedPreference is which workers the tasks of a step prefer by their speed.
type speedPreference int8

const (
	anySpeed speedPreference = iota
	// preferFast is for urgent work.
	preferFast
	// avoidFast is for patient work that is in time on a slow worker as well, while there is urgent work.
	avoidFast
)

// classOrders are the orders in which advice is asked for the workers of each class.
var classOrders = [...][]int{preferFast: {fastest, 0, slowest}, avoidFast: {0, slowest, fastest}}

// workerSpeedClass is a worker's class of speed and how long it is used.
type workerSpeedClass struct {
	class int
	until time.Time
}

// speedClass returns the class of a worker's speed: 0 for the usual speed of the fleet, 1 for fast and -1 for slow workers.
// Noise of the measurements hardly changes it. It is 0 if speeds are not learned.
func (s *State) speedClass(w *Worker) int {
	if s.estimates == nil {
		return 0
	}
	if c := &w.speed; !s.planTime.Before(c.until) {
		speed, confidence := s.estimates.speeds.Speed(w.Info.ID, w.Info.Incarnation, w.kind(), s.planTime)
		c.class, c.until = 0, s.planTime.Add(speedClassKept)
		if confidence >= minSpeedConfidence {
			c.class = int(min(max(math.Round(math.Log(speed)/math.Log(speedClassStep)), slowest), fastest))
		}
	}
	return w.speed.class
}

// speedPreference returns which workers a step prefers by their speed.
func (s *State) speedPreference(p *placement) speedPreference {
	if s.estimates == nil || isSpread(p.step.spec) || p.step.spec.GetLongRunning() {
		return anySpeed
	}
	step := p.step
	switch priority := p.queue.GetPriority(); {
	case priority == 0:
		s.estimates.urgentAt = p.now
		return preferFast
	case priority == 1 || p.now.Sub(s.estimates.urgentAt) > urgentMemory:
		return anySpeed
	default:
		needed := int64(missedMargin * slowFactor * step.remainingMs)
		if step.occurrence.deadlineUnixMs > step.occurrence.dueUnixMs && s.planUnixMs+needed > step.occurrence.deadlineUnixMs {
			return anySpeed
		}
		return avoidFast
	}
}

// speedScore returns the score penalty of a worker for its speed.
func (s *State) speedScore(p *placement, w *Worker) int64 {
	switch p.speed {
	case preferFast:
		return int64(fastest-s.speedClass(w)) * speedPenalty
	case avoidFast:
		return int64(max(s.speedClass(w), 0)) * speedPenalty
	default:
		return 0
	}
}

// considerBySpeed asks about the workers of the preferred classes of speed first, in the home zone before the others. It
// reports whether the list is final.
func (s *State) considerBySpeed(list *askList, milliCPU int64) bool {
	p := list.placement
	if p.speed == anySpeed {
		return false
	}
	preferred := p.step.spec.GetPreferredRack()
	consider := func(zones []*zoneIndex, class, from, to int) {
		for bucket := from; bucket >= to && !list.isComplete(); bucket-- {
			for _, z := range zones {
				for _, w := range z.buckets[bucket] {
					if s.speedClass(w) == class && (preferred == "" || !w.hasLabel(preferred)) {
						list.consider(w)
					}
				}
			}
		}
	}
	roomy := bucketOf(roomyTasks * p.need.MilliCPU)
	for _, zones := range p.zones {
		for _, class := range classOrders[p.speed] {
			consider(zones, class, lastBucket, roomy)
		}
		for _, class := range classOrders[p.speed] {
			consider(zones, class, roomy-1, bucketOf(milliCPU))
		}
	}
	return true
}

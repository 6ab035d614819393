// Package estimate learns from ended runs how fast workers are and how long the tasks of a queue take. It does no I/O and
// reads no clock: time is an argument. Its memory is bounded. Its types are not safe for concurrent use.
package estimate

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// speedHalfLife is the time after which an observation of a worker counts half. A machine that becomes slow, for
	// example because a neighbour takes its cores, is known within minutes.
	speedHalfLife = 3 * time.Minute
	// priorRuns is the number of runs that the mean of a worker's kind counts as. The logarithms of run times within a step
	// vary by 0.31, and the speeds within a kind by about 0.09, which gives (0.31/0.09)², about 12.
	priorRuns = 12
	// shareRuns is the number of runs from which a worker counts fully in the mean of its kind and of the fleet, so that
	// one that reports many runs has no greater part in it than the others.
	shareRuns = 8
	// kindPriorRuns is the number of runs that the mean of the fleet counts as in that of a kind: two workers.
	kindPriorRuns = 2 * shareRuns
	// maxRelative bounds what one observation says about a worker, and thereby all speeds, in logarithms: a factor of 3.
	maxRelative = 1.1
	// maxWorkers and maxKinds bound the memory. A worker takes about 200 bytes.
	maxWorkers = 8192
	maxKinds   = 256
	// speedKept is the time after which a worker without observations is forgotten, an hour. Its observations count for a
	// millionth then. Without it workers that were replaced would stay in the means of their kind and of the fleet.
	speedKept = 20 * speedHalfLife
)

// Speeds holds the speed of each worker relative to the fleet. The zero value is not usable; see NewSpeeds.
type Speeds struct {
	workers map[string]*workerSpeed
	kinds   map[string]*total
	fleet   total
	// nextSweep is when workers without recent observations are forgotten again.
	nextSweep time.Time
}

// workerSpeed is what the runs of one incarnation of a worker show.
type workerSpeed struct {
	incarnation int64
	kind        string
	// hasKind is false if there was no room for another kind: the worker then counts in the mean of the fleet only.
	hasKind bool
	at      time.Time
	// runs is the decayed number of observed runs, mean the mean logarithm of their relative speed.
	runs, mean float64
	// counted and countedSum are the worker's part in the totals of its kind and of the fleet.
	counted, countedSum float64
}

// total is a sum over workers, each of which counts for at most shareRuns runs.
type total struct {
	runs, sum float64
	workers   int
}

func (t *total) add(runs, sum float64, workers int) {
	t.runs, t.sum, t.workers = t.runs+runs, t.sum+sum, t.workers+workers
	if t.workers == 0 {
		*t = total{} // drops rounding errors
	}
}

// NewSpeeds returns an empty set of speeds.
func NewSpeeds() *Speeds {
	return &Speeds{workers: map[string]*workerSpeed{}, kinds: map[string]*total{}}
}

// Workers returns the number of workers with observations.
func (s *Speeds) Workers() int { return len(s.workers) }

// Observe records that a worker ran as fast as relative says: the typical time of such a run on a worker of speed 1 divided
// by the time of this one. Runs is the number of runs that the observation stands for. An observation without a positive,
// finite value has no effect.
func (s *Speeds) Observe(worker string, incarnation int64, kind string, relative, runs float64, now time.Time) {
	if !isPositive(relative) || !isPositive(runs) {
		return
	}
	s.sweep(now)
	w := s.workers[worker]
	if w != nil && (w.incarnation != incarnation || w.kind != kind) {
		s.forget(worker, w)
		w = nil
	}
	if w == nil {
		s.makeRoom()
		hasKind := s.kinds[kind] != nil || len(s.kinds) < maxKinds
		w = &workerSpeed{incarnation: incarnation, kind: kind, hasKind: hasKind, at: now}
		s.workers[worker] = w
		s.addTo(w, 0, 0, 1)
	}
	value := min(max(math.Log(relative), -maxRelative), maxRelative)
	w.runs *= decay(now.Sub(w.at), speedHalfLife)
	w.at = maxTime(w.at, now)
	w.runs += runs
	w.mean += runs / w.runs * (value - w.mean)
	counted := min(w.runs, shareRuns)
	s.addTo(w, counted-w.counted, counted*w.mean-w.countedSum, 0)
	w.counted, w.countedSum = counted, counted*w.mean
}

// Speed returns the speed of a worker relative to the mean of the fleet, and the confidence in it from 0 to 1. A worker
// without observations of its incarnation has the speed of its kind.
func (s *Speeds) Speed(worker string, incarnation int64, kind string, now time.Time) (speed, confidence float64) {
	fleet := s.fleetMean()
	value, runs := fleet, 0.0
	if k := s.kinds[kind]; k != nil {
		value, runs = (k.sum+kindPriorRuns*fleet)/(k.runs+kindPriorRuns), k.runs
	}
	if w := s.workers[worker]; w != nil && w.incarnation == incarnation && w.kind == kind {
		own := w.runs * decay(now.Sub(w.at), speedHalfLife)
		value = (own*w.mean + priorRuns*value) / (own + priorRuns)
		runs = max(runs, own)
	}
	return math.Exp(value - fleet), runs / (runs + priorRuns)
}

func (s *Speeds) fleetMean() float64 { return s.fleet.sum / max(s.fleet.runs, shareRuns) }

// addTo adds a change of a worker's part to the totals.
func (s *Speeds) addTo(w *workerSpeed, runs, sum float64, workers int) {
	s.fleet.add(runs, sum, workers)
	if !w.hasKind {
		return
	}
	k := s.kinds[w.kind]
	if k == nil {
		k = &total{}
		s.kinds[w.kind] = k
	}
	k.add(runs, sum, workers)
	if k.workers == 0 {
		delete(s.kinds, w.kind)
	}
}

func (s *Speeds) forget(worker string, w *workerSpeed) {
	delete(s.workers, worker)
	s.addTo(w, -w.counted, -w.countedSum, -1)
}

// sweep forgets the workers that have not been observed for speedKept, at most once in a half-life.
func (s *Speeds) sweep(now time.Time) {
	if now.Before(s.nextSweep) {
		return
	}
	s.nextSweep = now.Add(speedHalfLife)
	for id, w := range s.workers {
		if now.Sub(w.at) > speedKept {
			s.forget(id, w)
		}
	}
}

// makeRoom forgets the quarter of the workers that were observed longest ago if there is no room for another one.
func (s *Speeds) makeRoom() {
	if len(s.workers) < maxWorkers {
		return
	}
	ids := make([]string, 0, len(s.workers))
	for id := range s.workers {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b string) int {
		return cmp.Or(s.workers[a].at.Compare(s.workers[b].at), cmp.Compare(a, b))
	})
	for _, id := range ids[:len(ids)/4] {
		s.forget(id, s.workers[id])
	}
}

// decay returns what is left of a weight after a time.
func decay(passed, halfLife time.Duration) float64 {
	return math.Exp2(-float64(max(passed, 0)) / float64(halfLife))
}

func isPositive(v float64) bool { return v > 0 && !math.IsInf(v, 1) }

func maxTime(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

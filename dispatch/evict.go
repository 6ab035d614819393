package dispatch

import (
	"time"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
)

// Cordon sets or clears the cordon of a worker whose machine is due for maintenance. A cordoned worker gets no new
// tasks, and its tasks that can move are stopped. It reports whether the worker is known.
func (s *State) Cordon(id string, cordoned bool) bool {
	w := s.workers[id]
	if w == nil {
		return false
	}
	w.cordoned = cordoned
	s.index.update(w)
	return true
}

// IsEmpty reports whether a worker has no tasks. With forced, it ignores tasks that maintenance may end: those that are
// neither long-running nor members of a gang. Unknown workers are empty.
func (s *State) IsEmpty(id string, forced bool) bool {
	w := s.workers[id]
	if w == nil {
		return true
	}
	for t := range w.tasks {
		if !forced || t.step.spec.GetLongRunning() || t.step.spec.GetGang() {
			return false
		}
	}
	return true
}

// evict stops movable tasks on draining and cordoned workers. Tasks that still run on a worker when it leaves are lost,
// and are only started elsewhere after its lease has ended.
func (s *State) evict() {
	for w := range s.index.departing {
		if !w.reachable {
			continue
		}
		for t := range w.tasks {
			if s.mayEvict(w, t) {
				s.requestStop(t, "worker is being drained")
			}
		}
	}
}

// mayEvict reports whether a task on a draining or cordoned worker should be stopped now.
func (s *State) mayEvict(w *Worker, t *Task) bool {
	spec := t.step.spec
	switch {
	case t.phase != phaseActive || t.stop || t.done || spec.GetGang():
		return false
	case spec.GetLongRunning():
		return w.Info.Draining || t.step.mayInterrupt()
	case !spec.GetCheckpointing():
		return false
	default:
		return w.cordoned || remaining(spec, t.percent) > w.Info.DrainRemaining
	}
}

// mayInterrupt reports whether max_unavailable lets the system stop one more task of a long-running step.
func (step *Step) mayInterrupt() bool {
	limit := step.spec.GetMaxUnavailable()
	if limit <= 0 {
		return true
	}
	unavailable := int32(0)
	for i := range step.tasks {
		t := &step.tasks[i]
		if t.worker == nil || t.stop || t.percent < fullPercent {
			unavailable++
		}
	}
	return unavailable < limit
}

// remaining returns the rest of a task's estimated run time.
func remaining(spec *siskinv1.WorkflowStep, percent int32) time.Duration {
	return time.Duration(spec.GetEstimateMs()) * time.Millisecond * time.Duration(fullPercent-percent) / fullPercent
}

package dispatch

import (
	"time"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
)

// Cordon keeps new tasks from a worker whose machine is to be maintained, and has those stopped that can go on elsewhere.
// It reports whether the worker is known.
func (s *State) Cordon(id string, cordoned bool) bool {
	w := s.workers[id]
	if w == nil {
		return false
	}
	w.cordoned = cordoned
	return true
}

// IsEmpty reports whether nothing runs on a worker, or only tasks that its maintenance may end when forced is true: those
// that are neither long-running nor members of a gang. Unknown workers are empty.
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

// evict stops the tasks that can go on elsewhere on workers that are leaving or about to be maintained. What a worker runs
// when it leaves is lost until its lease has ended.
func (s *State) evict() {
	for _, w := range s.workers {
		if !w.reachable || !w.cordoned && !w.Info.Draining {
			continue
		}
		for t := range w.tasks {
			if s.mayEvict(w, t) {
				t.requestStop("worker is to be emptied")
			}
		}
	}
}

// mayEvict reports whether a task on a worker that is to be emptied should be stopped now.
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

// mayInterrupt reports whether one more task of a long-running step may be unavailable because of the system.
func (step *Step) mayInterrupt() bool {
	most := step.spec.GetMaxUnavailable()
	if most <= 0 {
		return true
	}
	away := int32(0)
	for i := range step.tasks {
		t := &step.tasks[i]
		if t.worker == nil || t.stop || t.percent < fullPercent {
			away++
		}
	}
	return away < most
}

// remaining returns the declared time that is left of a task.
func remaining(spec *siskinv1.WorkflowStep, percent int32) time.Duration {
	return time.Duration(spec.GetEstimateMs()) * time.Millisecond * time.Duration(fullPercent-percent) / fullPercent
}

package dispatch

import (
	"fmt"
	"runtime/debug"
)

// contain runs a decision about one job. If it panics, the job is set aside: it gets no further starts, and the other
// jobs go on. Otherwise one record in the store would end this controller and every later one.
func (s *State) contain(j *Job, decide func()) {
	defer func() {
		if cause := recover(); cause != nil {
			s.setAside(j, fmt.Sprint(cause))
		}
	}()
	decide()
}

// setAside excludes a job from further starts. Its runs go on and may end.
func (s *State) setAside(j *Job, cause string) {
	j.setAside = true
	s.log.Decision("job set aside", j.Record.GetId(), "cause", cause, "stack", string(debug.Stack()))
	for _, o := range j.occurrences {
		for _, step := range o.steps {
			delete(s.frontier, step)
		}
	}
}

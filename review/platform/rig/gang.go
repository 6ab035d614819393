package rig

import (
	"strconv"
	"strings"
	"time"
)

// gangWait is how long a member waits for the others.
const gangWait = 3 * time.Second

// gang is one run of a gang. Its tasks work from the moment when all of them are present.
type gang struct {
	size    int
	present map[string]bool
	begun   time.Time
	broken  bool
}

// gangName returns the name of a gang's run: that of its step and the number of the run.
func gangName(task string, run int64) string {
	return task[:strings.LastIndexByte(task, '.')] + "/" + strconv.FormatInt(run, 10)
}

// join adds a member to its gang. Tasks without a gang are ignored.
func (s *Site) join(task string, run int64) {
	size := s.GangOf(task)
	if size == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	name := gangName(task, run)
	g := s.gangs[name]
	if g == nil {
		g = &gang{size: size, present: map[string]bool{}}
		s.gangs[name] = g
	}
	g.present[task] = true
	if len(g.present) == g.size && g.begun.IsZero() {
		g.begun = time.Now()
	}
}

// leave breaks the gang of a run that has ended otherwise than done.
func (s *Site) leave(task string, run int64, how string) {
	if s.GangOf(task) == 0 || how == "done" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if g := s.gangs[gangName(task, run)]; g != nil {
		g.broken = true
	}
}

// gangEnd returns how a member has ended because of its gang, or "".
func (s *Site) gangEnd(a *run) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.gangs[gangName(a.task, a.run)]
	switch {
	case g == nil:
		return ""
	case g.broken:
		return "broken"
	case g.begun.IsZero() && time.Since(a.started) > gangWait:
		return "alone"
	case !g.begun.IsZero() && a.work.Lasts > 0 && time.Since(g.begun) >= a.work.Lasts:
		return a.work.How
	default:
		return ""
	}
}

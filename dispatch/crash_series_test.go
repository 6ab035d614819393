package dispatch

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"siskinstack.example/siskinstack/infra"
)

// crashSeries plays short and long jobs on workers of which most restart under their IDs again and again.
type crashSeries struct {
	*fixture
	jobs  int
	begun map[string]time.Time
}

// play submits work for a time and returns the number of starts.
func (s *crashSeries) play(d time.Duration) int {
	const every, longEvery, shortTask, longTask = 200 * time.Millisecond, 2, 600 * time.Millisecond, 12 * time.Second
	first, next := len(s.started), s.now
	for end := s.now.Add(d); s.now.Before(end); {
		if !s.now.Before(next) {
			next = next.Add(every)
			s.jobs++
			s.state.AddJob(job(fmt.Sprintf("short%d", s.jobs), step(4, 1000)), nil)
			if s.jobs%longEvery == 0 {
				s.state.AddJob(job(fmt.Sprintf("long%d", s.jobs), step(1, 2000)), nil)
			}
		}
		known := len(s.started)
		s.step()
		for _, order := range s.started[known:] {
			s.begun[order.Task] = s.now
		}
		for _, w := range s.workers {
			for task, run := range s.running[w] {
				takes := shortTask
				if strings.HasPrefix(task, "long") {
					takes = longTask
				}
				worked := s.now.Sub(s.begun[task])
				if worked >= takes {
					s.end(w, task, infra.OutcomeSucceeded)
					continue
				}
				run.Percent = int32(fullPercent * worked / takes)
				s.running[w][task] = run
			}
		}
	}
	return len(s.started) - first
}

// restart ends workers with all their runs. They are back under their IDs at once.
func (s *crashSeries) restart(workers []*Worker) {
	for _, w := range workers {
		s.running[w], s.ended[w], s.numbers[w] = map[string]infra.ActiveRun{}, nil, 0
		report := infra.RunReport{Incarnation: w.Info.Incarnation + 1, ClockMs: 1}
		s.state.ApplyReport(w, report, s.now, s.now, s.unixMs())
		s.publish(w)
	}
}

// Guards against a fleet that hardly starts anything after a series of crashes of most workers, because the tasks that ran there
// reserve the workers.
func TestStartsAreBackSoonAfterASeriesOfCrashes(t *testing.T) {
	const workers, crashes, between, settled = 24, 8, 4 * time.Second, time.Second
	s := &crashSeries{fixture: newFixture(t, workers), begun: map[string]time.Time{}}
	s.play(between)
	before := s.play(between)
	for n := range crashes {
		s.restart(slices.Concat(s.workers[n:], s.workers[:n])[:workers*6/10])
		s.play(between)
	}
	s.restart(s.workers[:workers*6/10])
	s.play(settled)
	after := s.play(between)
	t.Logf("starts in %s: %d before, %d from %s after the last crash on", between, before, after, settled)
	assert.Assert(t, after*10 >= before*9)
}

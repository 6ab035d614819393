package main

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"siskinstack.example/siskinstack/review/platform/rig"
)

const (
	crashRunners = 24
	// crashAge is how long a run lasts until its runner crashes, downTime how long the runner is down.
	crashAge = 3 * time.Second
	downTime = 2 * time.Second

	// The gang has one member on each of its runners. Twice, gangCrashes of these crash at the same time.
	gangTasks   = 12
	gangCPU     = 40_000
	gangTime    = 6 * time.Second
	gangEvents  = 2
	gangCrashes = 3

	// The runner of the first lasting task crashes taskCrashes times.
	serviceTasks = 4
	taskCrashes  = 4
	// returnTime is the time after the last crash at which a task has to run again: the 6 s of the rule, and calm before.
	returnTime = 20 * time.Second
)

var errNotStarted = errors.New("a job was not started")

// crashes runs a gang and a job whose tasks last, while runners crash under them.
func crashes(s *rig.Site, trouble bool) (verdict, error) {
	const gang, lasting = "00000000000000c1", "00000000000000c2"
	s.GangOf = func(task string) int {
		if strings.HasPrefix(task, gang) {
			return gangTasks
		}
		return 0
	}
	s.WorkOf = func(task string, _ int64) rig.Work {
		if strings.HasPrefix(task, gang) {
			return rig.Work{Lasts: gangTime, How: "done"}
		}
		return rig.Work{}
	}
	if err := deploy(s, crashRunners); err != nil {
		return verdict{}, err
	}
	gangState, err := crashGang(s, gang, trouble)
	if err != nil {
		return verdict{}, err
	}
	running, err := crashLasting(s, lasting, trouble)
	if err != nil {
		return verdict{}, err
	}
	lastingState, _ := s.Client(s.Nodes[0]).State(lasting)
	failed := 0
	for _, e := range s.Events() {
		if e.Kind == "end" && e.How == "failed" {
			failed++
		}
	}
	what := fmt.Sprintf("gang shown as %s, lasting job as %s, %d of its %d tasks run; %d runs ended failed", gangState, lastingState, running,
		serviceTasks, failed)
	return verdict{broken: failed == 0 && (gangState == "failed" || lastingState == "failed") || running < serviceTasks, what: what}, nil
}

// crashGang plays the part of the gang, and returns the state that is shown of it in the end.
func crashGang(s *rig.Site, job string, trouble bool) (string, error) {
	client := s.Client(s.Nodes[0])
	if client.Submit(job, rig.Step{Count: gangTasks, CPU: gangCPU, MemMB: 8192, EstimateMs: gangTime.Milliseconds(), Gang: true}) != http.StatusOK {
		return "", errNotAccepted
	}
	for range gangEvents {
		if !s.Await(readyLimit, func() bool { return activeTasks(s, job) == gangTasks }) {
			return "", errNotStarted
		}
		if !trouble {
			break
		}
		time.Sleep(crashAge)
		for _, r := range spread(runnersOf(s, job), gangCrashes) {
			crash(s, r)
		}
	}
	state := ""
	s.Await(returnTime, func() bool {
		time.Sleep(time.Second)
		state, _ = client.State(job)
		return state == "completed" || state == "failed"
	})
	return state, nil
}

// crashLasting plays the part of the job whose tasks last, and returns how many of them run in the end.
func crashLasting(s *rig.Site, job string, trouble bool) (int, error) {
	if s.Client(s.Nodes[0]).Submit(job, rig.Step{Count: serviceTasks, CPU: 8000, MemMB: 4096, LongRunning: true}) != http.StatusOK {
		return 0, errNotAccepted
	}
	for range taskCrashes {
		first := job + ".0.0.0"
		if !s.Await(readyLimit, func() bool { return len(runnersOf(s, first)) > 0 }) {
			return 0, errNotStarted
		}
		time.Sleep(crashAge)
		if trouble {
			for _, r := range runnersOf(s, first) {
				crash(s, r)
			}
		}
	}
	time.Sleep(returnTime)
	return activeTasks(s, job), nil
}

// crash ends a runner, which comes back after downTime.
func crash(s *rig.Site, r *rig.Runner) {
	r.Crash()
	time.AfterFunc(downTime, func() {
		if err := r.Restart(); err != nil {
			s.Record("runner %s does not come back: %v", r, err)
		}
	})
}

// runnersOf returns the runners of the tasks whose names begin with a prefix.
func runnersOf(s *rig.Site, prefix string) []*rig.Runner {
	var runners []*rig.Runner
	for _, r := range s.Runners {
		if slices.ContainsFunc(r.Active(), func(task string) bool { return strings.HasPrefix(task, prefix) }) {
			runners = append(runners, r)
		}
	}
	return runners
}

// spread returns n of the runners, at most two of a zone.
func spread(runners []*rig.Runner, n int) []*rig.Runner {
	var chosen []*rig.Runner
	zones := map[string]int{}
	for _, r := range runners {
		if len(chosen) < n && zones[r.Zone] < 2 {
			zones[r.Zone]++
			chosen = append(chosen, r)
		}
	}
	return chosen
}

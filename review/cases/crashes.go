package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"siskinstack.example/siskinstack/review/rig"
)

const (
	serviceTasks = 4
	// crashCount runners crash one after the other, each crashAge after it was told to start the task, and is down for
	// downTime.
	crashCount = 4
	crashAge   = 3 * time.Second
	downTime   = 2 * time.Second
	// returnTime is the time after the last crash at which the task has to run again: the 6 s of the rule, and the calm
	// time before.
	returnTime = 20 * time.Second
)

// crashes runs a job whose tasks last. The runner of its first task crashes, again and again.
func crashes(s *rig.Site, trouble bool) (verdict, error) {
	const job = "00000000000000c1"
	s.WorkOf = func(string, int64) rig.Work { return rig.Work{} }
	if err := deploy(s); err != nil {
		return verdict{}, err
	}
	client := s.Client(s.Nodes[0])
	if client.Submit(job, rig.Step{Count: serviceTasks, CPU: 8000, MemMB: 4096, LongRunning: true}) != http.StatusOK {
		return verdict{}, errNotAccepted
	}
	for range crashCount {
		if !s.Await(readyLimit, func() bool { return runnerOf(s, job+".0.0.0") != nil }) {
			return verdict{}, errors.New("the task was not started")
		}
		time.Sleep(crashAge)
		if r := runnerOf(s, job+".0.0.0"); trouble && r != nil {
			r.Crash()
			time.AfterFunc(downTime, func() {
				if err := r.Restart(); err != nil {
					s.Record("runner %s does not come back: %v", r, err)
				}
			})
		}
	}
	time.Sleep(returnTime)
	state, _ := client.State(job)
	failedEnds := 0
	for _, e := range s.Events() {
		if e.Kind == "end" && e.How == "failed" && strings.HasPrefix(e.Task, job) {
			failedEnds++
		}
	}
	running := activeTasks(s, job)
	s.Record("%d of %d tasks run, the job is shown as %s, %d runs ended failed", running, serviceTasks, state, failedEnds)
	return verdict{
		broken: state == "failed" && failedEnds == 0 || running < serviceTasks,
		what:   fmt.Sprintf("job shown as %s after %d ends failed; %d of %d lasting tasks run", state, failedEnds, running, serviceTasks),
	}, nil
}

// runnerOf returns the runner on which a task runs, or nil.
func runnerOf(s *rig.Site, task string) *rig.Runner {
	for _, r := range s.Runners {
		for _, active := range r.Active() {
			if active == task {
				return r
			}
		}
	}
	return nil
}

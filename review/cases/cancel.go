package main

import (
	"fmt"
	"net/http"
	"time"

	"siskinstack.example/siskinstack/review/platform/rig"
)

const (
	// lateBy is when the store carries out a write that it did not answer; the pages say 1 to 6 s later.
	lateBy = 5500 * time.Millisecond
	// patience is how long the client waits for the answer to its job before it leaves.
	patience = 400 * time.Millisecond
	// cancelBound is the time after the acknowledgement of a cancelling from which no task may start.
	cancelBound = 3 * time.Second
)

// cancelled hands a job in while the store leaves a write unanswered and carries it out later. The client leaves without
// an answer and cancels the job.
func cancelled(s *rig.Site, trouble bool) (verdict, error) {
	const job = "00000000000000e1"
	if err := deploy(s, runnerCount); err != nil {
		return verdict{}, err
	}
	node := s.Nodes[0]
	if s.Leader() == node {
		node = s.Nodes[1]
	}
	client := s.Client(node)
	if trouble {
		s.Store.LoseNextWrite("in/job/", lateBy)
	}
	client.Patience = patience
	submitted := client.Submit(job, rig.Step{Count: 1, CPU: 4600, MemMB: 8500, EstimateMs: 1000})
	client.Patience = 0
	time.Sleep(100 * time.Millisecond)
	status := client.Cancel(job)
	acknowledged := s.Now()
	if status/100 != 2 && status != http.StatusGone {
		return verdict{what: "the cancelling was not acknowledged"}, nil
	}
	time.Sleep(lateBy + 6*time.Second)
	state, status := client.State(job)
	var late []string
	for _, e := range s.Events() {
		if e.Kind == "start" && e.At > acknowledged+cancelBound {
			late = append(late, fmt.Sprintf("%s run %d starts %.3f s after the acknowledgement", e.Task, e.Run, (e.At-acknowledged).Seconds()))
		}
	}
	s.Record("submission answered %d, cancelling acknowledged at %.3f s, shown at the end as %q (%d); late starts: %v",
		submitted, acknowledged.Seconds(), state, status, late)
	return verdict{broken: len(late) > 0, what: fmt.Sprintf("%d starts later than %v after the acknowledged cancelling", len(late), cancelBound)}, nil
}

package main

import (
	"time"
)

func init() { cases["8"] = playLoop }

const (
	// crashes is how often the runner crashes, upFor and downFor are its times between.
	crashes = 10
	upFor   = 4500 * time.Millisecond
	downFor = time.Second
)

// playLoop crashes one runner again and again, the only one with the label that a job requires. The job's task never fails.
func playLoop(s *stage, trouble bool) bool {
	zones := []string{"zone-a", "zone-b", "zone-c"}
	places := []place{
		{id: "i-1", zone: "zone-a", kind: "a", rack: "r1", milliCPU: 64000}, {id: "i-2", zone: "zone-b", kind: "a", rack: "r1", milliCPU: 64000},
		{id: "i-3", zone: "zone-c", kind: "a", rack: "r2", milliCPU: 64000}, {id: "i-4", zone: "zone-a", kind: "a", rack: "r2", milliCPU: 64000},
		{id: "i-5", zone: "zone-b", kind: "a", rack: "r3", milliCPU: 64000}, {id: "i-6", zone: "zone-c", kind: "a", rack: "r3", milliCPU: 64000},
		{id: "i-7", zone: "zone-a", kind: "b", rack: "r4", milliCPU: 64000}, {id: "i-8", zone: "zone-b", kind: "a", rack: "r4", milliCPU: 64000},
	}
	s.build(zones, places)
	const job = "00000000000000d1"
	s.submit(s.nodes[0], job, "work 6000", step{Count: 1, CPU: 4000, MemMB: 1000, EstimateMs: 6000, Requirements: "b"})
	s.await("task is at work", 15*time.Second, func() bool { return s.activeOf(job) == 1 })
	if trouble {
		r := s.runner("i-7")
		for range crashes {
			time.Sleep(upFor)
			r.crash()
			time.Sleep(downFor)
			r.start()
			s.record("runner is back", "runner", r.id, "state", s.state(s.nodes[0], job))
		}
	}
	s.holdsWithin(30*time.Second, func() bool {
		state := s.state(s.nodes[0], job)
		return state == "completed" || state == "failed"
	})
	state, failed := s.state(s.nodes[0], job), 0
	for _, run := range s.runsOf(job) {
		if run.how == "failed" {
			failed++
		}
	}
	s.record("shown", "job", job, "state", state, "runs", len(s.runsOf(job)), "ends-failed", failed)
	if state != "completed" && state != "failed" {
		fatal("the job is %s", state)
	}
	// The queue allows three attempts, and only ends 'failed' count as attempts.
	return state == "failed" && failed < 3
}

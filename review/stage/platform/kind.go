package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["10"] = playKind }

const (
	// crashed is how many of the 48 runners crash at once; the site file's largest share of srv_crash is 0.14.
	crashed = 6
	// rounds is how often that happens, each time to other runners.
	rounds = 3
)

// playKind crashes some runners at once, which come back under the same ids and addresses, but as runners of another kind.
// A job requires the label of the kind that they had.
func playKind(s *stage, trouble bool) bool {
	zones := []string{"zone-a", "zone-b", "zone-c"}
	var places []place
	for i := range 48 {
		kind := "a"
		if i%2 == 1 {
			kind = "b"
		}
		places = append(places, place{
			id: fmt.Sprintf("i-%02d", i), zone: zones[i%3], kind: kind, rack: fmt.Sprintf("r%d", i/8), milliCPU: 64000,
		})
	}
	s.build(zones, places)
	// The job fills the 24 runners of kind a; more of its tasks wait.
	const job = "00000000000000f1"
	s.submit(s.nodes[0], job, "work 60000", step{Count: 120, CPU: 16000, MemMB: 1000, EstimateMs: 60000, Requirements: "a"})
	s.await("runners of kind a are full", 20*time.Second, func() bool { return s.activeOf(job) == 96 })
	time.Sleep(2 * time.Second)
	kind := "a"
	if trouble {
		kind = "b"
	}
	for round := range rounds {
		s.restartAs(places, round, kind)
		time.Sleep(4 * time.Second)
	}
	kinds, broken := map[string]string{}, false
	for _, r := range s.runners {
		kinds[r.id] = r.kind
	}
	for _, run := range s.runsOf(job) {
		if kinds[run.runner] == "b" && run.how != "lost" {
			s.record("ROUTE", "task", run.task, "run", run.run, "runner", run.runner, "requires", "a", "kind", "b")
			broken = true
		}
	}
	return broken
}

// restartAs crashes runners of kind a at once and lets them come back after a second as runners of a kind.
func (s *stage) restartAs(places []place, round int, kind string) {
	var crash []*runner
	for _, p := range places {
		if p.kind == "a" {
			crash = append(crash, s.runner(p.id))
		}
	}
	crash = crash[round*crashed : (round+1)*crashed]
	var wait sync.WaitGroup
	for i, r := range crash {
		wait.Go(func() {
			r.crash()
			time.Sleep(time.Second + time.Duration(i)*20*time.Millisecond)
			r.mu.Lock()
			r.kind = kind
			r.mu.Unlock()
			s.record("back", "runner", r.id, "kind", kind)
			r.start()
		})
	}
	wait.Wait()
}

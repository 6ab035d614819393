package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["7"] = playLarge }

const (
	// largeStep is the number of tasks of each step of the large job; the node accepts steps of up to 10,000.
	largeStep  = 10_000
	smallStep  = 1_000
	largeSteps = 3
	// taskMs is the work of a task of the large job.
	taskMs = 30_000
	// settled is the time after which a small job has to be completed; it takes 0.3 s.
	settled = 20 * time.Second
	// idleLimit is how long nothing of the large job may run; the rule says 3 s.
	idleLimit = 10 * time.Second
)

// playLarge hands in one job of many small tasks, beside small jobs. Without trouble, the job has a tenth of the tasks.
func playLarge(s *stage, trouble bool) bool {
	quiet = true
	zones := []string{"zone-a", "zone-b", "zone-c"}
	var places []place
	for i := range 48 {
		places = append(places, place{
			id: fmt.Sprintf("i-%010x", 0x62b11cb140+i), zone: zones[i%3], kind: "a", rack: fmt.Sprintf("r%d", i/8), milliCPU: 64000,
		})
	}
	s.build(zones, places)
	s.submit(s.nodes[0], "00000000000000b1", "work 300", step{Count: 1, CPU: 1000, MemMB: 100, EstimateMs: 300})
	s.await("first job completed", 15*time.Second, func() bool { return s.state(s.nodes[0], "00000000000000b1") == "completed" })
	const job = "00000000000000b2"
	one := step{Count: smallStep, CPU: 40, MemMB: 4, EstimateMs: taskMs, Checkpointing: true}
	if trouble {
		one.Count = largeStep
	}
	s.submit(s.nodes[1], job, fmt.Sprintf("work %d", taskMs), one, one, one)
	total := largeSteps * one.Count
	small := map[string]time.Time{}
	idle := time.Now()
	for began := time.Now(); time.Since(began) < 85*time.Second; {
		s.submitSmall(small)
		time.Sleep(200 * time.Millisecond)
		if len(small)%5 != 0 {
			continue
		}
		active, done := s.activeOf(job), s.doneOf(job)
		state := s.state(s.nodes[0], job)
		s.record("large job", "state", state, "active", active, "done", done, "of", total, "writes-refused", s.refusedWrites())
		if active > 0 || done == total {
			idle = time.Now()
		}
		if state == "completed" && time.Since(began) > settled+10*time.Second {
			break
		}
		// Each task of the large job is of a step without 'after', so its turn has come. The fleet has room for 76,800.
		if time.Since(idle) > idleLimit {
			s.record("LOST", "job", job, "state", state, "not-begun", total-done, "idle-ms", time.Since(idle).Milliseconds())
			s.unfinished(small)
			return true
		}
	}
	return s.unfinished(small) > 0
}

// submitSmall hands in one more job of two short tasks.
func (s *stage) submitSmall(small map[string]time.Time) {
	id := fmt.Sprintf("%016x", 0xc000+len(small))
	status, _ := s.call(http.MethodPost, s.nodes[len(small)%3], prefix+id, map[string]any{
		"spec": "work 300", "steps": []step{{Count: 2, CPU: 1000, MemMB: 100, EstimateMs: 300}},
	})
	if status == http.StatusOK {
		small[id] = time.Now()
	}
}

// unfinished returns how many small jobs should be completed and are not.
func (s *stage) unfinished(small map[string]time.Time) int {
	n := 0
	for id, at := range small {
		if state := s.state(s.nodes[0], id); time.Since(at) > settled && state != "completed" {
			s.record("LOST", "job", id, "state", state, "age-ms", time.Since(at).Milliseconds(), "done", s.doneOf(id), "of", 2)
			n++
		}
	}
	s.record("small jobs", "accepted", len(small), "not-completed", n)
	return n
}

// doneOf returns the number of tasks of a job that have ended as done.
func (s *stage) doneOf(job string) int {
	done := map[string]bool{}
	for _, run := range s.runsOf(job) {
		if run.how == "done" {
			done[run.task] = true
		}
	}
	return len(done)
}

func (s *stage) refusedWrites() int {
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	return s.store.refused
}

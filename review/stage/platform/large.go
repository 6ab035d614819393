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
	taskMs = 20_000
	// trafficFor is how long small jobs are handed in. Jobs are asked for finish after that, the bound finish_s.
	trafficFor = 26 * time.Second
	finish     = 14 * time.Second
	// idleFor is more than the 3 s of the rule.
	idleFor = 4 * time.Second
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
	go s.recordCounts()
	small := map[string]time.Time{}
	for began := time.Now(); time.Since(began) < trafficFor; time.Sleep(200 * time.Millisecond) {
		s.submitSmall(small)
		if len(small)%5 == 0 {
			s.recordLarge(job, total)
		}
	}
	s.record("end of the traffic")
	time.Sleep(finish)
	idle := s.isIdle(job, total)
	return s.unfinished(small) > 0 || idle
}

func (s *stage) recordLarge(job string, total int) (state string, active, done int) {
	state, active, done = s.state(s.nodes[0], job), s.activeOf(job), s.doneOf(job)
	s.record("large job", "state", state, "active", active, "done", done, "of", total, "writes-refused", s.refusedWrites())
	return state, active, done
}

// isIdle reports whether for idleFor nothing of the large job runs although it has tasks that are not done. The turn of each
// has come, as its steps have no 'after'; the tenant has no cap; all 3,072 cores are free unless runs are recorded.
func (s *stage) isIdle(job string, total int) bool {
	for began := time.Now(); time.Since(began) < idleFor; time.Sleep(250 * time.Millisecond) {
		state, active, done := s.recordLarge(job, total)
		if active > 0 || done == total || state == "completed" {
			return false
		}
	}
	s.record("LOST", "job", job, "not-done", total-s.doneOf(job), "idle-for", idleFor)
	return true
}

// submitSmall hands in one more job of two short tasks.
func (s *stage) submitSmall(small map[string]time.Time) {
	id := fmt.Sprintf("%016x", 0xc000+len(small))
	status, _ := s.call(http.MethodPost, s.nodes[len(small)%3], prefix+id, map[string]any{
		"spec": "work 300", "steps": []step{{Count: 2, CPU: 1000, MemMB: 100, EstimateMs: 300}},
	})
	s.record("submit", "job", id, "status", status)
	if status == http.StatusOK {
		small[id] = time.Now()
	}
}

// unfinished returns how many small jobs should be completed and are not.
func (s *stage) unfinished(small map[string]time.Time) int {
	n := 0
	for id, at := range small {
		if state := s.state(s.nodes[0], id); state != "completed" {
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

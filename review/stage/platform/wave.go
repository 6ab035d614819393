package main

import (
	"strings"
	"sync"
	"time"
)

func init() { cases["9"] = playWave }

// playWave kills the node that carries out a wave right after it has written to the store which machines it takes down.
// Then a job of tasks that last is handed in, of which one may be unavailable.
func playWave(s *stage, trouble bool) bool {
	zones := []string{"zone-a", "zone-b", "zone-c"}
	places := []place{
		{id: "i-1", zone: "zone-a", kind: "a", rack: "r1", milliCPU: 64000}, {id: "i-2", zone: "zone-b", kind: "a", rack: "r1", milliCPU: 64000},
		{id: "i-3", zone: "zone-c", kind: "a", rack: "r2", milliCPU: 64000}, {id: "i-4", zone: "zone-a", kind: "a", rack: "r2", milliCPU: 64000},
	}
	s.build(zones, places)
	s.submit(s.nodes[0], "00000000000000e1", "work 300", step{Count: 1, CPU: 1000, MemMB: 100, EstimateMs: 300})
	s.await("first job completed", 15*time.Second, func() bool { return s.state(s.nodes[0], "00000000000000e1") == "completed" })
	const job = "00000000000000e2"
	var mu sync.Mutex
	away, broken := map[string]time.Time{}, false
	s.cloud.upkeeps = func(machine string) {
		mu.Lock()
		defer mu.Unlock()
		broken = s.countAway(job, machine, away) || broken
	}
	var leader *node
	writes, recorded := 0, make(chan struct{})
	s.store.written = func(n int, keys []string) {
		if !strings.Contains(strings.Join(keys, " "), "status/wave/") {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		// The first write shows that the wave runs, the second one precedes the first orders.
		if writes++; writes == 2 {
			leader = s.nodes[n]
			s.record("wave recorded", "node", leader.name)
			if trouble {
				leader.kill()
				leader.awaitEnd()
			}
			close(recorded)
		}
	}
	s.store.put("op/wave/1", map[string]any{"wave": 1, "machines": []string{"m-i-1", "m-i-2"}, "durationS": 30.0, "cap": 2})
	s.await("wave recorded", 20*time.Second, func() bool {
		select {
		case <-recorded:
			return true
		default:
			return false
		}
	})
	client := s.nodes[(leader.index+1)%3]
	// By then the leadership has passed on; the next orders for machines are due three seconds after that.
	time.Sleep(1500 * time.Millisecond)
	s.submit(client, job, "serve", step{Count: 4, CPU: 4000, MemMB: 1000, LongRunning: true, TargetMs: 100, MaxUnavailable: 1})
	if trouble {
		leader.start()
	}
	s.holdsWithin(20*time.Second, func() bool {
		status, ok := s.store.get("status/wave/1")
		return ok && strings.Contains(string(status.Value), "completed")
	})
	time.Sleep(2 * time.Second)
	status, _ := s.store.get("status/wave/1")
	s.record("wave", "status", string(status.Value))
	mu.Lock()
	defer mu.Unlock()
	return broken
}

// noticed is the time after which a task that is not at work counts as away for any cause.
const noticed = 4500 * time.Millisecond

func isAtWork(r span) bool { return r.ended.IsZero() && time.Since(r.begun) >= startup }

// isAway reports whether a task is away: ended by an upkeep and not at work since, or not at work for noticed.
func isAway(r span, orderedAt time.Time) bool {
	if isAtWork(r) {
		return false
	}
	return !orderedAt.IsZero() || !r.ended.IsZero() && time.Since(r.ended) >= noticed
}

// countAway records the tasks of a job that an upkeep ends, and reports whether it ends one that is at work while another
// one of its step is away.
func (s *stage) countAway(job, machine string, away map[string]time.Time) bool {
	broken := false
	latest := map[string]span{}
	for _, run := range s.runsOf(job) {
		latest[run.task] = run
	}
	for task, run := range latest {
		if "m-"+run.runner != machine || !isAtWork(run) {
			continue
		}
		others := 0
		for other, r := range latest {
			if other != task && isAway(r, away[other]) {
				others++
			}
		}
		s.record("upkeep ends a task at work", "machine", machine, "task", task, "run", run.run, "others-away", others)
		if others >= 1 {
			s.record("AVAIL", "task", task, "machine", machine, "others-away", others, "max-unavailable", 1)
			broken = true
		}
		away[task] = time.Now()
	}
	return broken
}

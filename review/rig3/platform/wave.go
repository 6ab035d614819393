package main

import (
	"context"
	"fmt"
	"time"
)

// playWave requests the upkeep of four of 32 machines, each the only one that may run a service whose step lets one task be
// unavailable at a time. While the machines are being emptied, their runners crash and come back as other runners.
func playWave(ctx context.Context, r *record, trouble bool) (bool, error) {
	const others, special, tasks, startup = 28, 4, 3, 100 * time.Millisecond
	s, err := newSite(ctx, r, func(string) task { return task{work: startup, lasts: true} })
	if err != nil {
		return false, err
	}
	defer s.close()
	for i := range others {
		if _, err := s.fleet.add(fmt.Sprintf("i-%02d", i), "zone-"+string(rune('a'+i/10)), "a", fmt.Sprintf("r-%d", i/8)); err != nil {
			return false, err
		}
	}
	var crashing []*runner
	var machines []string
	for i := range special {
		w, err := s.fleet.add(fmt.Sprintf("i-s%d", i), "zone-c", fmt.Sprintf("b%d", i), "r-9")
		if err != nil {
			return false, err
		}
		crashing, machines = append(crashing, w), append(machines, w.machine)
	}
	atOnce := 0
	s.cloud.onUpkeep = func(w *runner, _ int64) {
		working := w.atWork(startup)
		r.line("the upkeep of %s ends %d tasks, %d of them at work; 1 may be unavailable", w.machine, len(w.current.active), working)
		atOnce = max(atOnce, working)
	}
	if err := startNodes(s, queue{"service", 1, 2}); err != nil {
		return false, err
	}
	for i := range special {
		if err := s.submit(fmt.Sprintf("/service/%016x", 0xc0000+i), job{"spec", []step{{
			Count: tasks, CPU: 10000, MemMb: 4096, EstimateMs: 1000, LongRunning: true, Requirements: fmt.Sprintf("b%d", i), MaxUnavailable: 1,
		}}}); err != nil {
			return false, err
		}
	}
	time.Sleep(3 * time.Second)
	if err := s.put("op/wave/1", map[string]any{"wave": 1, "machines": machines, "durationS": 20, "cap": special}); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	if trouble {
		for i, w := range crashing {
			w.crash()
			time.AfterFunc(4*time.Second+time.Duration(i)*100*time.Millisecond, w.restart)
		}
	}
	time.Sleep(14 * time.Second)
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	return atOnce > 1, nil
}

// atWork returns how many runs have been at work for some time. The caller holds the fleet's mu.
func (r *runner) atWork(startup time.Duration) int {
	n := 0
	for _, x := range r.current.active {
		if !x.working.IsZero() && time.Since(x.working) >= startup {
			n++
		}
	}
	return n
}

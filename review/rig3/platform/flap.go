package main

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"
)

// playFlap lets one of ten runners go down and up while it is the only one with room for a job. No run of the job ends as failed.
func playFlap(ctx context.Context, r *record, trouble bool) (bool, error) {
	const runners, period, flapping = 10, 1400 * time.Millisecond, 6500 * time.Millisecond
	const services, id = "00000000000b0000", "00000000000b0001"
	s, err := newSite(ctx, r, func(name string) task {
		if strings.HasPrefix(name, services) {
			return task{work: 300 * time.Millisecond, lasts: true}
		}
		return task{work: 5 * time.Second}
	})
	if err != nil {
		return false, err
	}
	defer s.close()
	for i := range runners {
		if _, err := s.fleet.add(fmt.Sprintf("i-%02d", i), "zone-"+string(rune('a'+i/8)), "a", fmt.Sprintf("r-%d", i/8)); err != nil {
			return false, err
		}
	}
	if err := startNodes(s, queue{"stitch", 2, 2}); err != nil {
		return false, err
	}
	if err := s.submit("/stitch/"+services, job{"spec", []step{{Count: runners - 1, CPU: 60000, MemMb: 4096, EstimateMs: 1000, LongRunning: true}}}); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	free := s.fleet.idle()
	if len(free) != 1 {
		return false, errors.New("not one runner is idle")
	}
	if err := s.submit("/stitch/"+id, job{"spec", []step{{Count: 1, CPU: 10000, MemMb: 4096, EstimateMs: 4000}}}); err != nil {
		return false, err
	}
	if trouble {
		time.Sleep(period / 2)
		for end := time.Now().Add(flapping); time.Now().Before(end); {
			free[0].crash()
			time.Sleep(period / 2)
			free[0].restart()
			time.Sleep(period / 2)
		}
	}
	state := s.awaitEnd("/stitch/"+id, 40*time.Second)
	_, most := s.fleet.failedRuns(id)
	r.line("job %s is shown as %s; %d of its runs ended as failed", id, state, most)
	return state == "failed" && most == 0, nil
}

// idle returns the runners without runs.
func (f *fleet) idle() []*runner {
	f.mu.Lock()
	defer f.mu.Unlock()
	var idle []*runner
	for _, r := range f.runners {
		if len(r.current.active) == 0 {
			idle = append(idle, r)
		}
	}
	return idle
}

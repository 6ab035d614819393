package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"
)

var errNotReady = errors.New("the machines are not ready, or the job was not accepted")

// startNodes starts a machine in each of three zones, after the first configuration, and waits until they serve.
func startNodes(s *site, queues ...queue) error {
	if err := s.configure(1, queues...); err != nil {
		return err
	}
	for _, zone := range []string{"a", "b", "c"} {
		if _, err := s.addNode("edge-"+zone+"-1", "zone-"+zone, s.platform.StoreAddress); err != nil {
			return err
		}
	}
	if !s.ready(10 * time.Second) {
		return errNotReady
	}
	time.Sleep(time.Second)
	return nil
}

// submit hands a job in until it is accepted.
func (s *site) submit(path string, body any) error {
	const attempts = 5
	for i := range attempts {
		if status, _ := s.call(s.nodes[i%len(s.nodes)], http.MethodPost, path, body); status == http.StatusOK {
			return nil
		}
		time.Sleep(time.Second)
	}
	return errNotReady
}

// awaitEnd asks for the state of a job until it has ended or the limit is over.
func (s *site) awaitEnd(path string, limit time.Duration) string {
	end, state := time.Now().Add(limit), ""
	for i := 0; time.Now().Before(end); i++ {
		state = s.state(s.nodes[i%len(s.nodes)], path)
		if state == "completed" || state == "failed" || state == "cancelled" {
			return state
		}
		time.Sleep(500 * time.Millisecond)
	}
	return state
}

type step struct {
	Count       int   `json:"count"`
	CPU         int   `json:"cpu"`
	MemMb       int   `json:"memMb"`
	EstimateMs  int   `json:"estimateMs"`
	After       []int `json:"after,omitempty"`
	Gang        bool  `json:"gang,omitempty"`
	LongRunning bool  `json:"longRunning,omitempty"`
	// Requirements is a label.
	Requirements   string `json:"requirements,omitempty"`
	MaxUnavailable int    `json:"maxUnavailable,omitempty"`
}

type job struct {
	Spec  string `json:"spec"`
	Steps []step `json:"steps"`
}

// playGang hands in gangs while two of 24 runners fail all that they start. A gang fails its attempt once for each run, however many
// of its members fail in it; it may be shown as failed after maxAttempts failed runs.
func playGang(ctx context.Context, r *record, trouble bool) (bool, error) {
	const runners, members, maxAttempts, bad, jobs, failing = 24, 4, 2, 2, 3, 6500 * time.Millisecond
	s, err := newSite(ctx, r, func(string) task { return task{work: 1500 * time.Millisecond, gang: members} })
	if err != nil {
		return false, err
	}
	defer s.close()
	for i := range runners {
		_, err := s.fleet.add(fmt.Sprintf("i-%02d", i), "zone-"+string(rune('a'+i/8)), "a", fmt.Sprintf("r-%d", i/8))
		if err != nil {
			return false, err
		}
	}
	if err := startNodes(s, queue{"stitch", 2, maxAttempts}); err != nil {
		return false, err
	}
	if trouble {
		s.fleet.fail(bad, failing)
	}
	broken := false
	for i := range jobs {
		id := fmt.Sprintf("%016x", 0xa0000+i)
		if err := s.submit("/stitch/"+id, job{"spec", []step{{Count: members, CPU: 30000, MemMb: 4096, EstimateMs: 1500, Gang: true}}}); err != nil {
			return false, err
		}
		state := s.awaitEnd("/stitch/"+id, 15*time.Second)
		runs, most := s.fleet.failedRuns(id)
		r.line("job %s is shown as %s; %d runs of the gang failed, no task failed more than %d times; %d attempts are allowed", id, state,
			runs, most, maxAttempts)
		broken = broken || state == "failed" && runs < maxAttempts
		if !trouble && state != "completed" {
			return false, fmt.Errorf("job %s is shown as %s", id, state)
		}
	}
	return broken, nil
}

// fail lets the first runners fail all that they start for some time.
func (f *fleet) fail(runners int, limit time.Duration) {
	set := func(fails bool) {
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, r := range f.runners[:runners] {
			r.fails = fails
		}
		f.record.line("the first %d runners fail all that they start: %v", runners, fails)
	}
	set(true)
	time.AfterFunc(limit, func() { set(false) })
}

// failedRuns returns in how many runs of a job's gang a member has failed, and how often the task has failed that failed most.
func (f *fleet) failedRuns(id string) (runs, most int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, n := range f.failed {
		if strings.HasPrefix(name, id+".") {
			most = max(most, n)
		}
	}
	return len(f.failedGangs[id]), most
}

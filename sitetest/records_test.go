package sitetest

import (
	"fmt"
	"sync"
	"time"

	"siskinstack.example/siskinstack/demo/promises"
	"siskinstack.example/siskinstack/resource"
	"siskinstack.example/siskinstack/standin"
)

// recorder collects the results of the calls of callers and operators.
type recorder struct {
	mu      sync.Mutex // guards all fields below
	serial  int
	records promises.Records
	work    []*promises.Work
	// lastAccepted is the longest time from a withdrawal to a call that was sent later and accepted.
	lastAccepted time.Duration
}

// uniqueName returns a name that is unique within the site.
func (r *recorder) uniqueName(kind string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.serial++
	return fmt.Sprintf("%s-%d", kind, r.serial)
}

func (r *recorder) update(change func(*promises.Records)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.records)
}

func (r *recorder) addWork(work *promises.Work) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.work = append(r.work, work)
}

// accepted returns the accepted work by identifier.
func (r *recorder) accepted() map[string]*promises.Work {
	r.mu.Lock()
	defer r.mu.Unlock()
	found := map[string]*promises.Work{}
	for _, work := range r.work {
		for _, attempt := range work.Attempts {
			if attempt.Outcome == promises.Answered {
				found[attempt.Response] = work
			}
		}
	}
	return found
}

// collect returns all records, including those of the stand-ins.
func (r *recorder) collect(c *cluster) promises.Records {
	r.mu.Lock()
	defer r.mu.Unlock()
	records := r.records
	records.Fleet = c.platform.Fleet
	records.Ceilings = map[string]resource.Vector{}
	for _, team := range c.site.Bundle(1).GetTeams() {
		records.Ceilings[team.GetName()] = resource.FromProto(team.GetCeiling())
	}
	records.TaskRuns = c.platform.Workers.Runs()
	records.RequestRuns = c.platform.Endpoints.Runs()
	records.RequestRefusals = c.platform.Endpoints.Refusals()
	records.Ended = time.Now()
	for _, work := range r.work {
		records.Work = append(records.Work, *work)
	}
	return records
}

// clipRuns returns the runs between two times, cut to that period.
func clipRuns(runs []standin.TaskRun, from, until time.Time) []standin.TaskRun {
	var clipped []standin.TaskRun
	for _, run := range runs {
		if !run.Started.Before(until) || (!run.Ended.IsZero() && !run.Ended.After(from)) {
			continue
		}
		if run.Started.Before(from) {
			run.Started = from
		}
		if run.Ended.IsZero() || run.Ended.After(until) {
			run.Ended = until
		}
		clipped = append(clipped, run)
	}
	return clipped
}

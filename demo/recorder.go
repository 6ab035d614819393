package demo

import (
	"context"
	"slices"
	"sync"
	"time"

	"siskinstack.example/siskinstack/demo/promises"
	"siskinstack.example/siskinstack/resource"
)

// recorder collects the events that callers and operators observed.
type recorder struct {
	mu      sync.Mutex // guards records and work
	records promises.Records
	work    []*promises.Work
}

func (r *recorder) request(request promises.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records.Requests = append(r.records.Requests, request)
}

func (r *recorder) submission(work *promises.Work) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.work = append(r.work, work)
}

func (r *recorder) update(change func(*promises.Records)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.records)
}

// accepted returns the accepted work by its identifier.
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

// take returns all records, including those of the stand-ins.
func (r *recorder) take(c *cluster) promises.Records {
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

// background is a set of goroutines that are stopped together.
type background struct {
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

func startBackground(ctx context.Context, functions ...func(context.Context)) *background {
	ctx, cancel := context.WithCancel(ctx)
	b := &background{cancel: cancel}
	for _, function := range slices.Clone(functions) {
		b.goroutines.Go(func() { function(ctx) })
	}
	return b
}

// stop cancels the goroutines and waits until they have ended.
func (b *background) stop() {
	b.cancel()
	b.goroutines.Wait()
}

package sitetest

import (
	"context"
	"slices"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/demo/promises"
)

// finishLimit is how long accepted work may take to end after healing: tasks whose worker may still run them wait for
// the lease of 20 s and its margin.
const finishLimit = 45 * time.Second

// siteSlots bounds the sites that run at once: a site uses little processor time, and waits for leases most of its life.
var siteSlots = make(chan struct{}, 14)

// alwaysShown lists the promises that every case must put to the test.
var alwaysShown = []promises.ID{
	promises.WorkerCapacity, promises.SingleRun, promises.Ceiling, promises.Responses, promises.AtMostOnce, promises.Bundle,
	promises.Accepted,
}

// failure is one case: what fails while the site is under load.
type failure struct {
	name    string
	options cellOptions
	// shows lists further promises that the case must put to the test.
	shows []promises.ID
	fail  func(*cell)
}

// runFailures runs each case on a site of its own and checks all promises afterwards.
func runFailures(t *testing.T, cases []failure) {
	t.Helper()
	for _, test := range cases {
		t.Run(strings.ReplaceAll(test.name, " ", "_"), func(t *testing.T) {
			t.Parallel()
			siteSlots <- struct{}{}
			defer func() { <-siteSlots }()
			c := startCell(t, test.options)
			defer c.close()
			c.startLoad()
			during(time.Second)
			test.fail(c)
			c.finish(append(slices.Clone(alwaysShown), test.shows...))
		})
	}
}

// finish heals everything, follows all accepted work to its end and checks the promises.
func (c *cell) finish(shown []promises.ID) {
	c.heal()
	during(time.Second)
	c.load.stop()
	healed := time.Now()
	open := c.followAccepted()
	c.t.Logf("measured: work ended %s after healing", time.Since(healed).Round(time.Millisecond))
	for _, id := range open {
		c.t.Errorf("work %s has not ended %s after healing: %v", id, finishLimit, c.records.accepted()[id].Final)
		for _, run := range c.platform.Workers.Runs() {
			if run.Task.Job == id {
				c.t.Logf("run of %s on %s: %+v", run.Task, run.Worker, run)
			}
		}
	}
	for _, verdict := range promises.Check(c.records.take(c)) {
		switch {
		case !verdict.Held:
			c.t.Errorf("promise %s is broken: %s\n%s", verdict.ID, verdict.Detail, strings.Join(verdict.Violations, "\n"))
		case slices.Contains(shown, verdict.ID) && !verdict.Verified():
			c.t.Errorf("promise %s was not put to the test: %s", verdict.ID, verdict.Detail)
		}
	}
	if c.records.lastAccepted > 0 {
		c.t.Logf("measured: last call with a withdrawn key accepted %s after the withdrawal", c.records.lastAccepted)
	}
}

// followAccepted waits for the end of all accepted work and returns what has not ended.
func (c *cell) followAccepted() []string {
	accepted := c.records.accepted()
	until := time.Now().Add(finishLimit)
	for {
		var open []string
		var mu sync.Mutex // guards open
		var looks sync.WaitGroup
		slots := make(chan struct{}, 8)
		for id, work := range accepted {
			if settled(work) {
				continue
			}
			looks.Go(func() {
				slots <- struct{}{}
				defer func() { <-slots }()
				c.look(id, work)
				if !settled(work) {
					mu.Lock()
					defer mu.Unlock()
					open = append(open, id)
				}
			})
		}
		looks.Wait()
		if len(open) == 0 || time.Now().After(until) {
			sort.Strings(open)
			return open
		}
		time.Sleep(4 * pollPause)
	}
}

// look reads the state of work through any live VM.
func (c *cell) look(id string, work *promises.Work) {
	var status *siskinv1.WorkStatus
	_, err := c.attempts(context.Background(), 0, true, func(ctx context.Context, vm *entryVM) (answer, error) {
		var err error
		status, err = c.client(vm, c.key(work.Team)).Work(ctx, id)
		return answer{text: id}, err
	})
	if err == nil {
		work.Final = status
	}
}

// settled reports whether work needs no more waiting for.
func settled(work *promises.Work) bool {
	if work.Final == nil {
		return false
	}
	if work.Kind == siskinv1.WorkKind_WORK_KIND_SERVICE {
		return work.Final.GetRunning() >= work.Count
	}
	return work.Final.GetQueued()+work.Final.GetRunning() == 0
}

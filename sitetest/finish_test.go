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

// finishLimit is how long accepted work may take to end after all failures are removed: tasks that a worker may still
// run wait for the lease of 20 s and its margin.
const finishLimit = 45 * time.Second

// siteSlots bounds the sites that run at once. A site uses little processor time; it mostly waits for leases.
var siteSlots = make(chan struct{}, 14)

// alwaysCovered lists the guarantees that every case must exercise.
var alwaysCovered = []promises.ID{
	promises.WorkerCapacity, promises.SingleRun, promises.Ceiling, promises.Responses, promises.AtMostOnce, promises.Bundle,
	promises.Accepted,
}

// failure is one test case: a failure of a site under load.
type failure struct {
	name    string
	options clusterOptions
	// covers lists further guarantees that the case must exercise.
	covers []promises.ID
	fail   func(*cluster)
}

// runFailures runs each case on a site of its own and then checks all guarantees.
func runFailures(t *testing.T, cases []failure) {
	t.Helper()
	for _, test := range cases {
		t.Run(strings.ReplaceAll(test.name, " ", "_"), func(t *testing.T) {
			t.Parallel()
			siteSlots <- struct{}{}
			defer func() { <-siteSlots }()
			c := startCluster(t, test.options)
			defer c.close()
			c.startLoad()
			sleep(time.Second)
			test.fail(c)
			c.finish(append(slices.Clone(alwaysCovered), test.covers...))
		})
	}
}

// finish removes all failures, waits until all accepted work has ended and checks the guarantees.
func (c *cluster) finish(covered []promises.ID) {
	c.heal()
	sleep(time.Second)
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
	for _, verdict := range promises.Check(c.records.collect(c)) {
		switch {
		case !verdict.Held:
			c.t.Errorf("guarantee %s is violated: %s\n%s", verdict.ID, verdict.Detail, strings.Join(verdict.Violations, "\n"))
		case slices.Contains(covered, verdict.ID) && !verdict.Verified():
			c.t.Errorf("guarantee %s was not exercised: %s", verdict.ID, verdict.Detail)
		}
	}
	if c.records.lastAccepted > 0 {
		c.t.Logf("measured: last call with a withdrawn key accepted %s after the withdrawal", c.records.lastAccepted)
	}
}

// followAccepted waits until all accepted work has ended and returns the work that has not ended by finishLimit.
func (c *cluster) followAccepted() []string {
	accepted := c.records.accepted()
	until := time.Now().Add(finishLimit)
	for {
		var open []string
		var mu sync.Mutex // guards open
		var polls sync.WaitGroup
		slots := make(chan struct{}, 8)
		for id, work := range accepted {
			if settled(work) {
				continue
			}
			polls.Go(func() {
				slots <- struct{}{}
				defer func() { <-slots }()
				c.pollWork(id, work)
				if !settled(work) {
					mu.Lock()
					defer mu.Unlock()
					open = append(open, id)
				}
			})
		}
		polls.Wait()
		if len(open) == 0 || time.Now().After(until) {
			sort.Strings(open)
			return open
		}
		time.Sleep(4 * pollInterval)
	}
}

// pollWork reads the state of work through any running VM.
func (c *cluster) pollWork(id string, work *promises.Work) {
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

// settled reports whether work has reached its final state, as far as it is known. A service has reached it when all its
// tasks run.
func settled(work *promises.Work) bool {
	if work.Final == nil {
		return false
	}
	if work.Kind == siskinv1.WorkKind_WORK_KIND_SERVICE {
		return work.Final.GetRunning() >= work.Count
	}
	return work.Final.GetQueued()+work.Final.GetRunning() == 0
}

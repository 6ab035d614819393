package controller

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/clock"
	"siskinstack.example/siskinstack/dispatch"
	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/policy"
	"siskinstack.example/siskinstack/resource"
)

func machineOf(name, worker string, up bool) infra.Machine {
	return infra.Machine{Name: name, Pool: "s", Worker: worker, Up: up}
}

// Guards against a worker that is taken for ended although it was only cut off, is too new for the listing, or is on
// machines that the platform does not list, and against one whose end is not noticed.
func TestWorkersEndWhenTheirMachineNoLongerRunsThem(t *testing.T) {
	workers := map[string]infra.FleetWorker{"a": {ID: "a", Service: "s"}, "b": {ID: "b", Service: "s"}}
	both := []infra.Machine{machineOf("m1", "a", true), machineOf("m2", "b", true)}
	for _, c := range []struct {
		name     string
		listings [][]infra.Machine
		want     []string
	}{
		{"running", [][]infra.Machine{both, both}, nil},
		{"machine down", [][]infra.Machine{both, {machineOf("m1", "", false), both[1]}}, []string{"a"}},
		{"machine down, worker still named", [][]infra.Machine{both, {machineOf("m1", "a", false), both[1]}}, []string{"a"}},
		{"machine runs another worker", [][]infra.Machine{both, {machineOf("m1", "c", true), both[1]}}, []string{"a"}},
		{"machine not listed", [][]infra.Machine{both, {both[1]}}, nil},
		{"never listed, once", [][]infra.Machine{{both[1]}}, nil},
		{"never listed, twice", [][]infra.Machine{{both[1]}, {both[1]}}, []string{"a"}},
		{"listed late", [][]infra.Machine{{both[1]}, both}, nil},
		{"other service", [][]infra.Machine{{{Name: "m9", Pool: "other", Worker: "z", Up: true}}, nil, nil}, nil},
		{"nothing listed", [][]infra.Machine{nil, nil}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			watch := newMachineWatch()
			var ended []string
			for _, listing := range c.listings {
				ended, _ = watch.observe(listing, workers)
			}
			slices.Sort(ended)
			assert.DeepEqual(t, ended, c.want)
		})
	}
}

// fakeMachines lists one machine, which is down from a moment on.
type fakeMachines struct {
	infra.Machines
	mu   sync.Mutex // guards down
	down bool
	// read is called after the machine was read, if it is down.
	read func()
}

func (f *fakeMachines) List(context.Context) ([]infra.Machine, error) {
	f.mu.Lock()
	down := f.down
	f.mu.Unlock()
	if down && f.read != nil {
		f.read()
	}
	return []infra.Machine{machineOf("m", "w", !down)}, nil
}

func (f *fakeMachines) end() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = true
}

// machinesTerm is a term that follows the machines, with one worker and tasks that are ordered there.
type machinesTerm struct {
	*term
	worker *dispatch.Worker
	orders []*dispatch.Task
}

func followTestMachines(t *testing.T, machines *fakeMachines) *machinesTerm {
	c := newTerm(Options{Clock: clock.Real{}, Log: logr.Discard(), Metrics: NewMetrics(nil), Machines: machines,
		Bounds: Bounds{LeaseMax: 6 * time.Second}}, leadershipOf(t))
	queue := &siskinv1.QueuePolicy{Name: "q", Service: "s"}
	now := c.now()
	c.mu.Lock()
	c.state.SetPolicy(policy.New(1, []policy.Queue{{Host: "h", Prefix: "/", Policy: queue}}, nil, nil, policy.Limits{}))
	w, _ := c.state.SetWorker(infra.FleetWorker{ID: "w", Incarnation: 1, Service: "s", Capacity: resource.Vector{MilliCPU: 64_000}})
	c.state.ApplyReport(w, infra.RunReport{Incarnation: 1}, now, now, 0)
	c.state.RenewSent(w, now.Add(time.Minute))
	c.state.AddJob(&siskinv1.Workflow{Id: "0000000000000001", Queue: queue, Steps: []*siskinv1.WorkflowStep{{Count: 3, MilliCpu: 1000}}}, nil)
	c.state.Plan(now, 0, dispatch.AdviceSlots{})
	orders, _ := c.state.Committed(c.state.TakeChanges(1), now)
	assert.Equal(t, w.Tasks(), 3)
	c.mu.Unlock()
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(func() {
		cancel()
		c.goroutines.Wait()
	})
	c.goroutines.Go(func() { c.followMachines(ctx) })
	return &machinesTerm{c, w, orders}
}

func (c *machinesTerm) lose() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state.RenewFailed(c.worker, c.now())
	notify(c.workerLost)
}

func (c *machinesTerm) tasks() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.worker.Tasks()
}

// awaitEnd waits until the worker is taken for ended, or for a limited time.
func (c *machinesTerm) awaitEnd() {
	ended := func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.worker.IsEnded()
	}
	for deadline := time.Now().Add(2 * machinesMaxInterval); !ended() && time.Now().Before(deadline); {
		time.Sleep(machinesMinInterval / 10)
	}
}

// Guards against tasks that wait for the lease of a worker although the platform says that it has ended, and against
// tasks that are started again although the worker was only cut off.
func TestTasksOfAnEndedWorkerDoNotWaitForItsLease(t *testing.T) {
	machines := &fakeMachines{}
	c := followTestMachines(t, machines)
	c.lose()
	time.Sleep(4 * machinesMinInterval)
	assert.Equal(t, c.tasks(), 3, "the worker still runs")
	machines.end()
	c.awaitEnd()
	assert.Equal(t, c.tasks(), 0)
}

// Guards against a task that runs twice because a listing that is older than its start says that the worker has ended.
func TestListingOlderThanAStartDoesNotEndItsRun(t *testing.T) {
	machines := &fakeMachines{}
	c := followTestMachines(t, machines)
	task := c.orders[0]
	machines.read = func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if !task.IsJobStarted() {
			c.state.Started(task, task.Run(), nil, c.now())
		}
	}
	time.Sleep(4 * machinesMinInterval)
	c.mu.Lock()
	assert.Assert(t, c.state.ConfirmOrder(task, task.Run(), c.now()))
	c.mu.Unlock()
	machines.end()
	c.lose()
	c.awaitEnd()
	assert.Equal(t, task.WorkerID(), "w", "the task starts elsewhere while its run is on the next incarnation")
}

// Guards against a task that runs twice because the start order to an ended worker got no answer, although the next incarnation
// took it.
func TestUnansweredOrderToAnEndedWorkerHoldsItsTask(t *testing.T) {
	machines := &fakeMachines{}
	c := followTestMachines(t, machines)
	task, s := c.orders[0], &workerSession{worker: c.worker, clockMs: 60_000}
	machines.read = func() {
		machines.mu.Lock()
		defer machines.mu.Unlock()
		machines.down = false
	}
	time.Sleep(4 * machinesMinInterval)
	c.mu.Lock()
	order := s.sending(c.now())
	assert.Assert(t, c.state.ConfirmOrder(task, task.Run(), order.sent))
	c.mu.Unlock()
	machines.end()
	c.lose()
	c.awaitEnd()
	c.mu.Lock()
	defer c.mu.Unlock()
	assert.Assert(t, c.worker.IsEnded())
	givenUp := order.sent.Add(orderTimeout)
	c.noteAnswer(s, order, 0, context.DeadlineExceeded, givenUp)
	c.state.Started(task, task.Run(), context.DeadlineExceeded, givenUp)
	c.state.ExpireLeases(givenUp.Add(time.Second), 0)
	assert.Equal(t, task.WorkerID(), "w", "the task starts elsewhere while its run may be on the next incarnation")
}

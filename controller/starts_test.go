package controller

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"
	"gotest.tools/v3/assert"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/clock"
	"siskinstack.example/siskinstack/dispatch"
	"siskinstack.example/siskinstack/election"
	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/policy"
	"siskinstack.example/siskinstack/resource"
	"siskinstack.example/siskinstack/standin"
)

// leadershipOf returns the leadership of a machine that has just been elected.
func leadershipOf(t *testing.T) *election.Term {
	t.Helper()
	return leadershipIn(t, standin.NewTxnStore(clock.Real{}))
}

// leadershipIn is leadershipOf with a store.
func leadershipIn(t *testing.T, store infra.TxnStore) *election.Term {
	t.Helper()
	session := election.NewSession(store, clock.Real{}, logr.Discard(), time.Minute)
	elected := make(chan *election.Term, 1)
	elector := &election.Elector{
		Store: store, Session: session, Clock: clock.Real{}, Log: logr.Discard(), Self: &siskinv1.Leadership{Machine: "m", Address: "m"},
		AcquireDelay: func() time.Duration { return 0 }, MayTakeOverEarly: func() bool { return true },
		Serve: func(ctx context.Context, term *election.Term) {
			elected <- term
			<-ctx.Done()
		},
		AwaitRefusal: func(ctx context.Context, _ *siskinv1.Leadership) error {
			<-ctx.Done()
			return ctx.Err()
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { session.Run(ctx) })
	running.Go(func() { elector.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return <-elected
}

// startsFleet answers starts with a fixed error after a delay, and records how many were under way at once.
type startsFleet struct {
	infra.Fleet
	err   error
	delay time.Duration
	// onStart is called before a start is answered, with the controller's term.
	onStart func(c *term)
	term    *term

	mu             sync.Mutex // guards the fields below
	underWay, most int
	started        map[string]int
}

func (f *startsFleet) Start(_ context.Context, _ infra.FleetWorker, order infra.StartOrder) (int64, error) {
	f.mu.Lock()
	f.underWay++
	f.most = max(f.most, f.underWay)
	f.started[order.Task]++
	f.mu.Unlock()
	time.Sleep(f.delay)
	if f.onStart != nil {
		f.onStart(f.term)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.underWay--
	return 1, f.err
}

// startTasks plans a job of the given number of tasks on one worker and sends its start orders.
func startTasks(t *testing.T, fleet *startsFleet, tasks int32) (*term, []*dispatch.Task) {
	return startTasksLogged(t, fleet, tasks, logr.Discard(), false)
}

// startTasksLogged is startTasks with a log.
func startTasksLogged(t *testing.T, fleet *startsFleet, tasks int32, log logr.Logger, jobLog bool) (*term, []*dispatch.Task) {
	fleet.started = map[string]int{}
	c := newTerm(Options{Clock: clock.Real{}, Log: log, JobLog: jobLog, Metrics: NewMetrics(nil), Fleet: fleet,
		Bounds: Bounds{LeaseMax: 6 * time.Second}}, leadershipOf(t))
	fleet.term = c
	queue := &siskinv1.QueuePolicy{Name: "q", Service: "s"}
	now := c.now()
	c.mu.Lock()
	c.state.SetPolicy(policy.New(1, []policy.Queue{{Host: "h", Prefix: "/", Policy: queue}}, nil, nil, policy.Limits{}))
	w, _ := c.state.SetWorker(infra.FleetWorker{ID: "w", Incarnation: 1, Service: "s", Capacity: resource.Vector{MilliCPU: 64_000}})
	c.state.ApplyReport(w, infra.RunReport{Incarnation: 1}, now, now, 0)
	c.sessions[w] = &workerSession{worker: w, clockMs: 1, readAt: now}
	c.state.AddJob(&siskinv1.Workflow{
		Id: "0000000000000001", Queue: queue, Steps: []*siskinv1.WorkflowStep{{Count: tasks, MilliCpu: 1000}},
	}, nil)
	c.state.Plan(now, 0, dispatch.AdviceSlots{})
	orders, _ := c.state.Committed(c.state.TakeChanges(1), now)
	assert.Equal(t, len(orders), int(tasks))
	lines := c.startLines(orders)
	for _, order := range orders {
		c.order(t.Context(), order, lines[order])
	}
	c.mu.Unlock()
	c.goroutines.Wait()
	return c, orders
}

// Guards against a connection for each start of a group on one worker; with 1,100 workers the controller's machine ran
// out of processor time on new connections.
func TestStartsOnAWorkerShareConnections(t *testing.T) {
	fleet := &startsFleet{delay: 2 * time.Millisecond}
	_, orders := startTasks(t, fleet, 20)
	assert.Equal(t, len(fleet.started), 20)
	assert.Equal(t, fleet.most, maxSenders)
	for _, order := range orders {
		assert.Assert(t, order.IsJobStarted())
	}
}

// Guards against a worker that does not answer, and to which each start of a group is sent although the ones before it
// were not answered. Those that were not sent wait for another worker at once, and not for the lease.
func TestUnansweredStartGivesUpTheNextOnes(t *testing.T) {
	fleet := &startsFleet{delay: 3 * senderPatience, err: eris.New("no answer")}
	_, orders := startTasks(t, fleet, 60)
	assert.Assert(t, len(fleet.started) <= 10*maxSenders, "%d starts were sent", len(fleet.started))
	unsent := 0
	for _, order := range orders {
		if order.WorkerID() == "" {
			unsent++
		}
	}
	assert.Equal(t, unsent, 60-len(fleet.started))
}

// Guards against a start that is not answered and holds up those behind it until its timeout.
func TestSlowStartDoesNotHoldUpTheOthers(t *testing.T) {
	fleet := &startsFleet{delay: 8 * senderPatience}
	began := time.Now()
	_, orders := startTasks(t, fleet, 12)
	assert.Assert(t, time.Since(began) < 12/maxSenders*fleet.delay, "took %v", time.Since(began))
	for _, order := range orders {
		assert.Assert(t, order.IsJobStarted())
	}
}

// Guards against a start that is sent although the job was cancelled while its order waited behind others.
func TestQueuedStartIsConfirmedBeforeItIsSent(t *testing.T) {
	fleet := &startsFleet{delay: 5 * time.Millisecond}
	fleet.onStart = func(c *term) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.state.Cancel("0000000000000001", 0)
	}
	c, orders := startTasks(t, fleet, 20)
	assert.Equal(t, len(fleet.started), maxSenders, "starts after the cancellation")
	c.mu.Lock()
	defer c.mu.Unlock()
	waiting := 0
	for _, task := range orders {
		if task.WorkerID() == "" {
			waiting++
		}
	}
	assert.Equal(t, waiting, 20-maxSenders)
}

// Guards against an order for a run that is not durable: while a sender waits for the lock, its task may be released and
// planned again, on another worker and with another run.
func TestOrderNamesTheConfirmedRun(t *testing.T) {
	c, orders := startTasks(t, &startsFleet{}, 1)
	c.mu.Lock()
	s := c.sessions[c.state.Worker("w")]
	task := orders[0]
	now := c.now()
	c.state.ApplyReport(s.worker, infra.RunReport{Incarnation: 1, Ended: []infra.EndedRun{
		{Number: 1, Task: task.ID(), Run: 1, Outcome: infra.OutcomeStopped},
	}}, now, now, 0)
	c.state.Plan(now, 0, dispatch.AdviceSlots{})
	planned, _ := c.state.Committed(c.state.TakeChanges(1), now)
	assert.Equal(t, len(planned), 1)
	s.starts, s.senders = []startOrder{{task: task, run: 1}, {task: task, run: 2}}, 1
	c.mu.Unlock()
	next, ok := c.nextStart(s)
	assert.Assert(t, ok)
	assert.Equal(t, next.run, int32(2), "the order of the earlier run is skipped")
	c.mu.Lock()
	c.state.Withdraw(task, 2)
	c.state.Plan(now, 0, dispatch.AdviceSlots{})
	c.mu.Unlock()
	assert.Equal(t, task.Run(), int32(3))
	assert.Equal(t, next.order.Run, int32(2), "the order of a run that is not durable")
}

// Package controller carries out the decisions of package dispatch while this machine is the controller. It recovers the
// state from the store, watches for new jobs and workers, makes each change durable before anything depends on it, and
// sends the orders. The next controller rebuilds all state from the store and from the workers' reports.
package controller

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/clock"
	"siskinstack.example/siskinstack/dispatch"
	"siskinstack.example/siskinstack/election"
	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/policy"
)

const (
	// maxPlanInterval is the longest time between two plans. It bounds the delay until due times and expired leases are
	// noticed.
	maxPlanInterval = 50 * time.Millisecond
	// minPlanInterval is the least time between two plans with their commits. Each commit is a priced call to the
	// store; a longer interval delays every start and every end by half of it on average.
	minPlanInterval = 20 * time.Millisecond
	// planShare bounds the part of the time that plans take: one in planShare, unless that exceeds maxPlanInterval. The cost of
	// a plan grows with the number of waiting steps.
	planShare = 10
	// storeTimeout bounds one call to the store; in its slow periods it responds within a quarter second.
	storeTimeout = time.Second
	// storeRetryDelay is the delay before a failed call is retried.
	storeRetryDelay = 50 * time.Millisecond
)

// Bounds are the limits of the deployment.
type Bounds struct {
	dispatch.Limits
	// LeaseMax is the longest lease that a worker grants.
	LeaseMax time.Duration
	// MinHolderInterval is the least time between orders of two controllers for one machine.
	MinHolderInterval time.Duration
	// MaintenanceTime is how long the maintenance of a machine takes.
	MaintenanceTime time.Duration
}

// leasePercent is the requested lease as a percentage of the longest one. After a change of controllers, tasks of a lost
// worker may wait for two leases before they are restarted, because the new controller assumes that the earlier one has
// just extended the lease; long-running tasks must run again soon after that. A shorter lease would end the tasks of
// workers that are disconnected for a few seconds.
const leasePercent = 75

// requestedLease returns the lease duration to request from workers.
func (b Bounds) requestedLease() time.Duration { return b.LeaseMax * leasePercent / 100 }

// Peers calls the advisor through other machines.
type Peers interface {
	Advise(ctx context.Context, address, step string, workers []string) (infra.Advice, error)
}

// Options configures a controller.
type Options struct {
	Store   infra.TxnStore
	Fleet   infra.Fleet
	Advisor infra.Advisor
	// Machines manages the machines of workers; nil if the platform has no such service.
	Machines infra.Machines
	// EncodeWaveStatus returns the entry that shows operators the state of a maintenance wave.
	EncodeWaveStatus func(number int64, completed bool) (key string, value []byte)
	Peers            Peers
	// Clock also advances while the machine is suspended.
	Clock  clock.Clock
	Log    logr.Logger
	Policy *policy.View
	Bounds Bounds
	// WorkersPrefix is the key prefix of the workers' entries; DecodeWorker decodes one.
	WorkersPrefix string
	DecodeWorker  func(infra.KeyValue) (infra.FleetWorker, error)
	// Machine is the name of this machine, Zone its availability zone.
	Machine string
	Zone    string
	// Cores returns the number of cores that this machine may use, scaled by its current speed; 0 if not known.
	Cores   func() float64
	Metrics *Metrics
	// JobLog replaces the log lines of the starts of a step in one plan by one line.
	JobLog bool
}

// Controller runs the controller terms of one machine, one at a time.
type Controller struct {
	options Options

	mu   sync.Mutex // guards term
	term *term
}

// New returns a controller without a term.
func New(options Options) *Controller { return &Controller{options: options} }

// Serve acts as the controller until ctx ends.
func (c *Controller) Serve(ctx context.Context, leadership *election.Term) {
	t := newTerm(c.options, leadership)
	c.setTerm(t)
	defer c.setTerm(nil)
	t.run(ctx)
}

func (c *Controller) setTerm(t *term) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.term = t
}

// current returns the term if this machine is the controller and has recovered the state, else nil.
func (c *Controller) current() *term {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.term == nil || !c.term.isRecovered() || !c.term.leadership.Valid() {
		return nil
	}
	return c.term
}

// Lookup returns the phase of a job as shown to callers. authoritative is false if this machine is not the controller or
// has not recovered the state.
func (c *Controller) Lookup(id string) (phase siskinv1.WorkflowPhase, known, authoritative bool) {
	t := c.current()
	if t == nil {
		return 0, false, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	j := t.state.Job(id)
	if j == nil {
		return 0, false, true
	}
	return j.ShownPhase(), true, true
}

// Pending returns how many jobs of a queue have not started.
func (c *Controller) Pending(queue string) (pending int, authoritative bool) {
	t := c.current()
	if t == nil {
		return 0, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state.Pending(queue), true
}

// Announced applies a job or a cancellation that the store already holds. It reports whether this machine is the
// controller; if not, or if the announcement is lost, the controller learns of the change from its watch.
func (c *Controller) Announced(request *siskinv1.AnnounceRequest) bool {
	t := c.current()
	if t == nil {
		return false
	}
	t.withLock(func() {
		if job := request.GetJob(); job.GetId() != "" {
			t.addJob(job, "announced")
		}
		if id := request.GetCancelled(); id != "" {
			t.state.Cancel(id, unixMs())
		}
	})
	return true
}

// term is one term of this machine as the controller. Its goroutines end with the context of run.
type term struct {
	Options
	leadership *election.Term
	log        logr.Logger
	wake       chan struct{}
	// workerLost wakes followMachines when a worker stops answering, workerNew when one is new.
	workerLost, workerNew chan struct{}

	goroutines sync.WaitGroup

	startedAt time.Time
	latency   commitLatency
	// soleSince is when no earlier controller renews leases or sends orders any more; recover sets it.
	soleSince time.Time

	mu        sync.Mutex // guards all fields below
	state     *dispatch.State
	recovered bool
	sessions  map[*dispatch.Worker]*workerSession
	members   map[string]*member
	heads     []*commitHead
	load      load
	// tombstones holds the known tombstones by key.
	tombstones map[string]tombstone
	// refusedEntries holds why the entries of other writers were refused, by worker identifier.
	refusedEntries map[string]string
	forecast       waitForecast
	// skipped are the jobs whose progress cannot be read. Without it, tasks that run would start again.
	skipped map[string]bool
	// parts is the number of keys besides the first that may hold progress, by job.
	parts map[string]int
}

func newTerm(options Options, leadership *election.Term) *term {
	log := options.Log.WithValues("epoch", leadership.Epoch)
	options.Fleet = containedFleet{options.Fleet}
	options.Advisor = containedAdvisor{options.Advisor}
	t := &term{
		Options: options, leadership: leadership, log: log, wake: make(chan struct{}, 1),
		workerLost: make(chan struct{}, 1), workerNew: make(chan struct{}, 1),
		sessions: map[*dispatch.Worker]*workerSession{}, members: map[string]*member{}, heads: newCommitHeads(),
		refusedEntries: map[string]string{}, tombstones: map[string]tombstone{}, skipped: map[string]bool{}, parts: map[string]int{},
	}
	limits := options.Bounds.Limits
	limits.OrderTimeout = orderTimeout + leaseSlack
	t.state = dispatch.New(limits, decisionLog{log: log, metrics: options.Metrics})
	return t
}

func (t *term) isRecovered() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.recovered
}

// triggerPlan wakes the loop for another plan.
func (t *term) triggerPlan() { notify(t.wake) }

func (t *term) now() time.Time { return t.Clock.Now() }

func unixMs() int64 { return time.Now().UnixMilli() }

func (t *term) run(ctx context.Context) {
	defer t.goroutines.Wait()
	started := t.now()
	t.startedAt = started
	intake, workers, err := t.recover(ctx)
	if err != nil {
		t.log.Info("controller failed to recover the state", "reason", err.Error())
		return
	}
	t.Metrics.recovered(t.now().Sub(started))
	t.log.Info("controller recovered", "ms", t.now().Sub(started).Milliseconds())
	t.goroutines.Go(func() { t.followIntake(ctx, intake) })
	t.goroutines.Go(func() { t.followWorkers(ctx, workers) })
	t.goroutines.Go(func() { t.expireRecords(ctx) })
	t.goroutines.Go(func() { t.logLoad(ctx) })
	if t.Bounds.Forecast {
		t.goroutines.Go(func() { t.expireTombstones(ctx) })
	}
	if t.Machines != nil {
		t.goroutines.Go(func() { t.maintain(ctx) })
		t.goroutines.Go(func() { t.followMachines(ctx) })
	}
	t.loop(ctx)
}

// loop runs planning cycles until the term ends.
func (t *term) loop(ctx context.Context) {
	timer := time.NewTimer(maxPlanInterval)
	defer timer.Stop()
	for ctx.Err() == nil {
		timer.Reset(maxPlanInterval)
		select {
		case <-ctx.Done():
			return
		case <-t.wake:
		case <-timer.C:
		}
		began := time.Now()
		t.planOnce(ctx)
		if rest := planInterval(time.Since(began)) - time.Since(began); rest > 0 {
			_ = t.Clock.Sleep(ctx, rest)
		}
	}
}

// planInterval returns the least time between the begins of two plans, given how long the last one took.
func planInterval(took time.Duration) time.Duration {
	return min(max(minPlanInterval, planShare*took), maxPlanInterval)
}

// planOnce makes one plan and starts its commits, advice calls and stop orders. It resigns if a stronger machine could be
// the controller.
func (t *term) planOnce(ctx context.Context) {
	if !t.leadership.Valid() {
		return
	}
	t.mu.Lock()
	now := t.now()
	t.state.SetPolicy(t.Policy.Current())
	t.state.SetEvacuated(t.Policy.Evacuated())
	t.state.ExpireLeases(now, unixMs())
	plan := t.state.Plan(now, unixMs(), t.adviceSlots(now))
	t.Metrics.beyond.Add(float64(t.state.PredictionsBeyond()))
	t.updateForecast(now)
	t.sendAdvice(ctx, plan.Advice)
	t.commitChanges(ctx)
	resign := t.shouldResign(now)
	t.load.planned(now, t.now())
	t.mu.Unlock()
	if resign {
		t.log.Info("a stronger machine should be the controller", "cores", t.Cores())
		t.leadership.Resign()
		return
	}
	for _, stop := range plan.Stops {
		t.goroutines.Go(func() { t.stop(ctx, stop) })
	}
	for _, stop := range plan.OrphanStops {
		t.goroutines.Go(func() { t.stopOrphan(ctx, stop) })
	}
}

// decisionLog logs and counts the decisions of package dispatch.
type decisionLog struct {
	log     logr.Logger
	metrics *Metrics
}

// Decision implements dispatch.Log.
func (d decisionLog) Decision(event, job string, values ...any) {
	d.metrics.decision(event)
	if job != "" {
		values = append([]any{"job", job}, values...)
	}
	d.log.Info(event, values...)
}

// Waits implements dispatch.Log.
func (d decisionLog) Waits(job, step string, reason dispatch.WaitReason, tasks int) {
	d.metrics.waits(reason)
	d.log.Info("waits", "job", job, "step", step, "reason", string(reason), "tasks", tasks)
}

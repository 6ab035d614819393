package node_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/clock"
	"siskinstack.example/siskinstack/controller"
	"siskinstack.example/siskinstack/dispatch"
	"siskinstack.example/siskinstack/election"
	"siskinstack.example/siskinstack/gateway"
	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/maintenance"
	"siskinstack.example/siskinstack/policy"
	"siskinstack.example/siskinstack/refusal"
	"siskinstack.example/siskinstack/resource"
	"siskinstack.example/siskinstack/standin"
)

const (
	testQueue     = "q"
	testService   = "runners"
	validKey      = "key-1"
	policyKey     = "ops/policy"
	workersPrefix = "workers/"
	maxConfigAge  = 3 * time.Second
	// advisorLatency is how long the advisor takes.
	advisorLatency = 300 * time.Millisecond
	// testCeiling is the CPU ceiling of the tests' team, in milli-CPU.
	testCeiling = 200_000
)

// policyValue is the configuration of the tests.
type policyValue struct {
	Version int64
	Keys    []string
}

func decodePolicy(value []byte) (*policy.Policy, error) {
	var v policyValue
	if err := json.Unmarshal(value, &v); err != nil {
		return nil, err
	}
	queue := &siskinv1.QueuePolicy{Name: testQueue, Service: testService, MaxAttempts: 2, SlackFactor: 1.5, TimeoutMs: 3000}
	advised := &siskinv1.QueuePolicy{
		Name: "advised", Service: testService, MaxAttempts: 2, SlackFactor: 1.5, TimeoutMs: 3000,
		Advice: &siskinv1.AdvicePolicy{DecideMs: float64(advisorLatency.Milliseconds()), ValidMs: 4000},
	}
	queues := []policy.Queue{{Host: "h", Prefix: "/q/", Policy: queue}, {Host: "h", Prefix: "/a/", Policy: advised}}
	return policy.New(v.Version, queues,
		[]policy.Team{{Name: "lab", Share: 100, Keys: v.Keys, Ceiling: resource.Vector{MilliCPU: testCeiling}}}, []policy.Service{{Name: testService}}, policy.Limits{}), nil
}

// site is an in-memory platform and the machines that share it.
type site struct {
	t     *testing.T
	store *standin.TxnStore
	fleet *standin.Fleet
	peers *localPeers
	log   *logBuffer
	// machines manages the machines of the workers; nil if the platform does not manage machines.
	machines infra.Machines
	// forecast switches admission by forecast on.
	forecast bool
	// links are the connections that are refused.
	links *refusedLinks
}

// localPeers calls the controllers of a site's machines directly.
type localPeers struct {
	store    infra.TxnStore
	mu       sync.Mutex // guards machines
	machines map[string]*controller.Controller
}

func (p *localPeers) machine(address string) (*controller.Controller, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.machines[address]; c != nil {
		return c, nil
	}
	return nil, fmt.Errorf("no machine at %q", address)
}

func (p *localPeers) Lookup(_ context.Context, address, id string) (*siskinv1.LookupWorkflowResponse, error) {
	c, err := p.machine(address)
	if err != nil {
		return nil, err
	}
	phase, known, authoritative := c.Lookup(id)
	return &siskinv1.LookupWorkflowResponse{Phase: phase, Known: known, Authoritative: authoritative}, nil
}

func (p *localPeers) Pending(_ context.Context, address, queue string) (*siskinv1.CountPendingResponse, error) {
	c, err := p.machine(address)
	if err != nil {
		return nil, err
	}
	pending, authoritative := c.Pending(queue)
	return &siskinv1.CountPendingResponse{Pending: int64(pending), Authoritative: authoritative}, nil
}

func (p *localPeers) Announce(_ context.Context, address string, request *siskinv1.AnnounceRequest) (*siskinv1.AnnounceResponse, error) {
	c, err := p.machine(address)
	if err != nil {
		return nil, err
	}
	c.Announced(request)
	return &siskinv1.AnnounceResponse{Forecast: c.Forecast()}, nil
}

// Commit and Get reach the store through another machine.
func (p *localPeers) Commit(ctx context.Context, address string, txn infra.Txn) (infra.Revision, error) {
	if _, err := p.machine(address); err != nil {
		return 0, err
	}
	return p.store.Commit(ctx, txn)
}

func (p *localPeers) Get(ctx context.Context, address, key string) (infra.KeyValue, error) {
	if _, err := p.machine(address); err != nil {
		return infra.KeyValue{}, err
	}
	return p.store.Get(ctx, key)
}

func (p *localPeers) Advise(context.Context, string, string, []string) (infra.Advice, error) {
	return infra.Advice{}, infra.ErrAdvisorBusy
}

func newSite(t *testing.T, fleetSize int, runFor time.Duration) *site {
	s := &site{
		t: t, store: standin.NewTxnStore(clock.Real{}), fleet: standin.NewFleet(runFor),
		peers: &localPeers{machines: map[string]*controller.Controller{}}, log: &logBuffer{},
	}
	s.peers.store, s.links = s.store, &refusedLinks{}
	s.setPolicy(1, validKey)
	for i := range fleetSize {
		s.put(fmt.Sprintf("%sw%d", workersPrefix, i), []byte(fmt.Sprintf("zone-%d", i%3)))
	}
	return s
}

func (s *site) put(key string, value []byte) {
	s.t.Helper()
	_, err := s.store.Commit(s.t.Context(), infra.Txn{Writes: []infra.Write{{Key: key, Value: value}}})
	assert.NilError(s.t, err)
}

func (s *site) setPolicy(version int64, keys ...string) {
	s.t.Helper()
	value, err := json.Marshal(policyValue{version, keys})
	assert.NilError(s.t, err)
	s.put(policyKey, value)
}

func decodeWorker(kv infra.KeyValue) (infra.FleetWorker, error) {
	return infra.FleetWorker{
		ID: strings.TrimPrefix(kv.Key, workersPrefix), Incarnation: 1, Service: testService, Address: kv.Key, Zone: string(kv.Value),
		Labels: []string{"a", "r1"}, Capacity: resource.Vector{MilliCPU: 8000, MemoryBytes: 8 << 30},
	}, nil
}

// machine is a node process without its listeners.
type machine struct {
	site    *site
	gateway *gateway.Gateway
	control *controller.Controller
	view    *policy.View
	stop    func()
}

// slowAdvisor allows every worker after advisorLatency.
type slowAdvisor struct{}

func (slowAdvisor) Advise(ctx context.Context, _ string, workers []string) (infra.Advice, error) {
	if err := (clock.Real{}).Sleep(ctx, advisorLatency); err != nil {
		return infra.Advice{}, err
	}
	advice := infra.Advice{Valid: 4 * time.Second}
	for _, worker := range workers {
		advice.Tickets = append(advice.Tickets, infra.Ticket{Worker: worker, Ticket: "t"})
	}
	return advice, nil
}

func (s *site) start(name string) *machine { return s.startWith(name, s.store) }

// startWith starts a machine that uses its own client of the store.
func (s *site) startWith(name string, store infra.TxnStore) *machine {
	m := &machine{site: s}
	log := s.log.logger().WithValues("machine", name)
	m.view = policy.NewView(store, clock.Real{}, log, policy.Codec{
		Prefix: "ops/", IsPolicy: func(key string) bool { return key == policyKey }, Decode: decodePolicy,
		Evacuated: func(key string) (string, bool) { return strings.CutPrefix(key, "ops/evacuate/") },
		IsWave:    func(key string) bool { return strings.HasPrefix(key, "ops/wave/") },
		DecodeWave: func(value []byte) (maintenance.Wave, error) {
			var wave maintenance.Wave
			err := json.Unmarshal(value, &wave)
			return wave, err
		},
	})
	session := election.NewSession(store, clock.Real{}, log, time.Second)
	m.control = controller.New(controller.Options{
		Store: store, Fleet: linkedFleet{s.fleet, s.links, name}, Advisor: slowAdvisor{}, Peers: s.peers, Clock: clock.Real{}, Log: log, Policy: m.view,
		Machines: s.machines, EncodeWaveStatus: func(number int64, completed bool) (string, []byte) {
			return fmt.Sprintf("shown/wave/%d", number), []byte(map[bool]string{false: "running", true: "completed"}[completed])
		},
		Bounds:        controller.Bounds{LeaseMax: 6 * time.Second, MinHolderInterval: testMinHolderInterval, MaintenanceTime: testMaintenanceTime, Limits: dispatch.Limits{StatusKept: time.Minute, Forecast: s.forecast}},
		WorkersPrefix: workersPrefix, DecodeWorker: decodeWorker, Machine: name, Cores: func() float64 { return 0 },
		Metrics: controller.NewMetrics(nil),
	})
	elector := &election.Elector{
		Store: store, Session: session, Clock: clock.Real{}, Log: log, Serve: m.control.Serve,
		AcquireDelay: func() time.Duration { return 0 },
		AwaitRefusal: func(ctx context.Context, leader *siskinv1.Leadership) error {
			return s.links.awaitRefusal(ctx, name, leader.GetMachine())
		},
		MayTakeOverEarly: func() bool { return true },
		Self:             &siskinv1.Leadership{Machine: name, Incarnation: time.Now().UnixNano(), Address: name},
	}
	var forecast func() *siskinv1.Forecast
	if s.forecast {
		forecast = m.control.Forecast
	}
	m.gateway = gateway.New(gateway.Options{
		Forecast: forecast, Machine: name, Store: store, Clock: clock.Real{}, Log: log, Policy: m.view, Local: m.control, Peers: s.peers,
		Leader: elector.Leader, MaxConfigAge: maxConfigAge, Metrics: gateway.NewMetrics(nil),
	})
	s.peers.mu.Lock()
	s.peers.machines[name] = m.control
	s.peers.mu.Unlock()
	ctx, end := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	tasks.Go(func() { m.view.Run(ctx) })
	tasks.Go(func() { session.Run(ctx) })
	tasks.Go(func() { elector.Run(ctx) })
	m.stop = sync.OnceFunc(func() {
		s.peers.mu.Lock()
		delete(s.peers.machines, name)
		s.peers.mu.Unlock()
		end()
		tasks.Wait()
	})
	s.t.Cleanup(m.stop)
	return m
}

// submit submits a job as a caller does.
func (m *machine) submit(id string, steps ...*siskinv1.WorkflowStep) error {
	return m.submitTo("/q/", id, steps...)
}

// submitTo submits a job under the path of a queue.
func (m *machine) submitTo(path, id string, steps ...*siskinv1.WorkflowStep) error {
	target, err := m.gateway.Authorize("h", path+id, validKey)
	if err != nil {
		return err
	}
	ctx, cancel := m.gateway.WithResponseTimeout(context.Background(), 3*time.Second)
	defer cancel()
	return m.gateway.Submit(ctx, &siskinv1.Workflow{
		Id: id, Team: target.Team, Queue: target.Queue, Steps: steps, AcceptedUnixMs: time.Now().UnixMilli(),
	})
}

func (m *machine) phase(id string) siskinv1.WorkflowPhase {
	m.site.t.Helper()
	phase, err := m.gateway.Phase(m.site.t.Context(), id)
	assert.NilError(m.site.t, err)
	return phase
}

func step(count int32, after ...int32) *siskinv1.WorkflowStep {
	return &siskinv1.WorkflowStep{Count: count, MilliCpu: 1000, MemoryMb: 64, EstimateMs: 500, After: after}
}

const succeeded = siskinv1.WorkflowPhase_WORKFLOW_PHASE_SUCCEEDED

// Guards against a job that is accepted on one machine and unknown to the others, or whose steps do not complete in order.
func TestJobIsServedByAllMachines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 3, 300*time.Millisecond)
		a, b := s.start("a"), s.start("b")
		time.Sleep(2 * time.Second)
		assert.NilError(t, a.submit("0000000000000001", step(4), step(2, 0)))
		assert.NilError(t, b.submit("0000000000000001", step(4), step(2, 0)), "the same job again")
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, b.phase("0000000000000001"), siskinv1.WorkflowPhase_WORKFLOW_PHASE_RUNNING)
		time.Sleep(time.Second)
		assert.Equal(t, a.phase("0000000000000001"), succeeded)
		assert.Equal(t, b.phase("0000000000000001"), succeeded)
		assert.Equal(t, len(s.fleet.Starts()), 6)
		for task, n := range s.fleet.Starts() {
			assert.Equal(t, n, 1, "starts of %s", task)
		}
	})
}

// Guards against work that is lost or done twice when the controller is replaced while tasks run.
func TestNextControllerResumesWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 3, 2*time.Second)
		a := s.start("a")
		time.Sleep(time.Second)
		b := s.start("b")
		time.Sleep(time.Second)
		assert.NilError(t, a.submit("0000000000000001", step(4), step(2, 0)))
		time.Sleep(500 * time.Millisecond)
		a.stop()
		time.Sleep(10 * time.Second)
		assert.Equal(t, b.phase("0000000000000001"), succeeded)
		for task, n := range s.fleet.Starts() {
			assert.Equal(t, n, 1, "starts of %s", task)
		}
	})
}

// Guards against a task that is started elsewhere while an unresponsive worker may still run it, and against one that is
// never restarted.
func TestUnresponsiveWorkerKeepsItsTasksForTheLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 2, time.Hour)
		a := s.start("a")
		time.Sleep(2 * time.Second)
		long := step(1)
		long.EstimateMs = time.Hour.Milliseconds() // so that the run does not count as stalled after some seconds
		assert.NilError(t, a.submit("0000000000000001", long))
		time.Sleep(200 * time.Millisecond)
		s.fleet.SetUnresponsive("w0", true)
		s.fleet.SetUnresponsive("w1", true)
		time.Sleep(4 * time.Second)
		s.fleet.SetUnresponsive("w1", false)
		time.Sleep(300 * time.Millisecond)
		assert.Equal(t, s.fleet.Starts()["0000000000000001.0.0.0"], 1)
		time.Sleep(6 * time.Second)
		assert.Assert(t, s.fleet.Starts()["0000000000000001.0.0.0"] <= 2)
	})
}

// Guards against a revoked key that is still accepted on a machine that cannot reach the store.
func TestKeyExpiresWithoutTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 1, time.Second)
		a := s.start("a")
		time.Sleep(2 * time.Second)
		s.store.SetFault(func(string, infra.Txn) standin.TxnFault { return standin.TxnRefuse })
		time.Sleep(maxConfigAge + 100*time.Millisecond)
		_, err := a.gateway.Authorize("h", "/q/0000000000000001", validKey)
		assert.Equal(t, refusal.From(err).Reason, refusal.KeyUnverifiable)
		s.store.SetFault(nil)
		s.setPolicy(2, "other")
		time.Sleep(2 * time.Second)
		_, err = a.gateway.Authorize("h", "/q/0000000000000001", validKey)
		assert.Equal(t, refusal.From(err).Reason, refusal.KeyUnknown)
	})
}

// Guards against a "not run" response to a submission that the store may still carry out, and against a wait for a store
// that refuses at once.
func TestSubmissionOutcomes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 1, time.Second)
		a := s.start("a")
		time.Sleep(2 * time.Second)
		fault := standin.TxnDrop
		s.store.SetFault(func(call string, txn infra.Txn) standin.TxnFault {
			if call == "commit" && len(txn.Writes) == 1 && strings.HasPrefix(txn.Writes[0].Key, controller.JobKey("")) {
				now := fault
				if fault == standin.TxnLoseResponse {
					fault = 0
				}
				return now
			}
			return 0
		})
		err := a.submit("0000000000000001", step(1))
		assert.Equal(t, refusal.From(err).Reason, refusal.AcceptanceUnknown)
		assert.Assert(t, !refusal.From(err).NotRun())
		fault = standin.TxnRefuse
		began := time.Now()
		err = a.submit("0000000000000002", step(1))
		assert.Equal(t, refusal.From(err).Reason, refusal.StoreUnavailable)
		assert.Assert(t, refusal.From(err).NotRun() && refusal.From(err).RetryAfter > 0)
		assert.Assert(t, time.Since(began) < 200*time.Millisecond)
		fault = standin.TxnLoseResponse
		err = a.submit("0000000000000003", step(1))
		assert.NilError(t, err, "the second attempt finds the job of the first")
	})
}

// Guards against a controller that treats a commit of unknown outcome as lost, or lets a delayed one overwrite a later
// state.
func TestCommitsWithoutResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 3, 200*time.Millisecond)
		a := s.start("a")
		time.Sleep(2 * time.Second)
		n := 0
		s.store.SetFault(func(call string, txn infra.Txn) standin.TxnFault {
			if call != "commit" || len(txn.Conditions) < 2 {
				return 0
			}
			n++
			return []standin.TxnFault{0, standin.TxnLoseResponse, standin.TxnDelay, standin.TxnDrop}[n%4]
		})
		for i := range 5 {
			assert.NilError(t, a.submit(fmt.Sprintf("%016x", i+1), step(3), step(2, 0)))
			time.Sleep(300 * time.Millisecond)
			s.store.Deliver()
		}
		time.Sleep(20 * time.Second)
		s.store.Deliver()
		s.store.SetFault(nil)
		time.Sleep(5 * time.Second)
		for i := range 5 {
			assert.Equal(t, a.phase(fmt.Sprintf("%016x", i+1)), succeeded)
		}
		for task, starts := range s.fleet.Starts() {
			assert.Equal(t, starts, 1, "starts of %s", task)
		}
	})
}

// Guards against starts that wait for the commits of other jobs while the store is slow. With one commit at a time, jobs
// of deployment kvarali-salt waited 4 s for their first start.
func TestSlowStoreDelaysAStartByTwoCommits(t *testing.T) {
	const (
		slow = 400 * time.Millisecond
		jobs = 150
	)
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 50, 10*time.Second)
		a := s.start("a")
		time.Sleep(2 * time.Second)
		s.store.SetCommitDelay(slow)
		var callers sync.WaitGroup
		for i := range jobs {
			callers.Go(func() { assert.Check(t, a.submit(fmt.Sprintf("%016x", i+1), step(1))) })
		}
		callers.Wait()
		// The first plan may contain only some of the jobs; the others then miss the first round of commits.
		time.Sleep(2*slow + 100*time.Millisecond)
		assert.Equal(t, len(s.fleet.Starts()), jobs)
	})
}

// Guards against jobs and cancellations that are missed because the store compacted its history.
func TestCompactedHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 2, 200*time.Millisecond)
		a, b := s.start("a"), s.start("b")
		time.Sleep(2 * time.Second)
		s.peers.mu.Lock()
		clear(s.peers.machines) // announcements are lost; only the watch remains
		s.peers.mu.Unlock()
		for i := range 4 {
			assert.NilError(t, []*machine{a, b}[i%2].submit(fmt.Sprintf("%016x", i+1), step(2)))
			s.store.Compact()
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(3 * time.Second)
		for i := range 4 {
			assert.Equal(t, a.phase(fmt.Sprintf("%016x", i+1)), succeeded)
		}
	})
}

// Guards against starts in an availability zone that operators have evacuated.
func TestEvacuatedZoneGetsNoTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 1, time.Second)
		a := s.start("a")
		time.Sleep(2 * time.Second)
		s.put("ops/evacuate/zone-0", []byte("{}"))
		time.Sleep(100 * time.Millisecond)
		assert.NilError(t, a.submit("0000000000000001", step(1)))
		time.Sleep(2 * time.Second)
		assert.Equal(t, len(s.fleet.Starts()), 0)
		_, err := s.store.Commit(t.Context(), infra.Txn{Removes: []string{"ops/evacuate/zone-0"}})
		assert.NilError(t, err)
		time.Sleep(3 * time.Second)
		assert.Equal(t, a.phase("0000000000000001"), succeeded)
	})
}

package owner

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"
	"go.opentelemetry.io/otel/trace/noop"
	"gotest.tools/v3/assert"

	"siskinstack.example/siskinstack/allowance"
	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/clock"
	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/ownership"
	"siskinstack.example/siskinstack/resource"
	"siskinstack.example/siskinstack/sharding"
	"siskinstack.example/siskinstack/standin"
	_ "siskinstack.example/siskinstack/testseed"
)

// testFleet is a small fleet inside a synctest bubble: time is fake and advances when all goroutines are blocked.
type testFleet struct {
	t       *testing.T
	store   *standin.Store
	workers *standin.Workers
	vms     *standin.VMList
	set     *Set
	epoch   int64
	runFor  time.Duration
	used    resource.Vector // usage that each task reports; zero reports none

	mu       sync.Mutex // guards fresh and draining
	fresh    bool
	draining map[string]bool
	limit    resource.Vector
	zones    []string
}

const testTeam = "lab"

// newTestFleet starts a fleet with workers of 8 cores each in every zone.
func newTestFleet(t *testing.T, workersPerZone int, zones ...string) *testFleet {
	s := &testFleet{
		t: t, fresh: true, draining: map[string]bool{}, zones: zones, set: NewSet(), epoch: 100, runFor: time.Minute,
		limit: resource.Vector{MilliCPU: 1 << 30, MemoryBytes: 1 << 50, Accelerators: 8},
	}
	var vms []infra.VM
	for _, zone := range zones {
		for i := range workersPerZone {
			vms = append(vms, infra.VM{
				Name: fmt.Sprintf("%s-w%d", zone, i), Role: infra.RoleWorker, Zone: zone, Rack: fmt.Sprintf("r%d", i/4),
				Capacity: resource.Vector{MilliCPU: 8000, MemoryBytes: 64 << 30},
			})
		}
	}
	s.store = standin.NewStore(clock.Real{})
	s.vms = standin.NewVMList(clock.Real{}, time.Second, vms)
	s.workers = standin.NewWorkers(clock.Real{}, vms, func(infra.StartRequest) standin.TaskPlan {
		return standin.TaskPlan{RunFor: s.runFor, Used: s.used}
	})
	return s
}

func (s *testFleet) Fresh() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fresh
}

func (s *testFleet) Draining(zone string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining[zone]
}

func (s *testFleet) drain(zone string, draining bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining[zone] = draining
}

func (s *testFleet) Teams() []*siskinv1.Team {
	return []*siskinv1.Team{{Name: testTeam, Share: 1}}
}

func (s *testFleet) Shards() []ownership.Shard {
	var shards []ownership.Shard
	for _, zone := range s.zones {
		shards = append(shards, ownership.Shard{Name: sharding.Name(zone, 0), Zone: zone})
	}
	return shards
}

func (s *testFleet) SetDemand(string, string, resource.Vector)          {}
func (s *testFleet) SetGang(string, string, allowance.Gang)             {}
func (s *testFleet) UsedElsewhere(string) map[string]resource.Vector    { return nil }
func (s *testFleet) WaitingElsewhere(string) map[string]resource.Vector { return nil }
func (s *testFleet) EntryAlive(string) bool                             { return true }
func (s *testFleet) Capacity() resource.Vector                          { return resource.Vector{} }

func (s *testFleet) Loads() []*siskinv1.ShardLoad {
	var loads []*siskinv1.ShardLoad
	for _, o := range s.set.All() {
		load, _ := o.Load()
		loads = append(loads, load)
	}
	return loads
}

// runningOwner is an owner whose Run executes in the synctest bubble.
type runningOwner struct {
	*Owner
	stop  context.CancelFunc
	ended chan struct{}
}

// open takes over a shard with a higher epoch than any earlier owner.
func (s *testFleet) open(zone string, validFor time.Duration) *runningOwner {
	s.t.Helper()
	s.epoch++
	right := ownership.NewRight(clock.Real{}, sharding.Name(zone, 0), s.epoch, time.Now().Add(validFor))
	o, err := Open(context.Background(), Options{
		Right: right, Store: s.store, Workers: s.workers, VMs: s.vms, Clock: clock.Real{}, Logger: logr.Discard(),
		Tracer: noop.NewTracerProvider().Tracer(""), Metrics: NewMetrics(prometheus.NewRegistry()),
		Config: s, Demand: s, Fleet: s, Parts: s.set, VM: "vm", Zone: zone, Writer: fmt.Sprintf("vm-%d", s.epoch),
	})
	assert.NilError(s.t, err)
	o.SetLimit(testTeam, s.limit)
	ctx, cancel := context.WithCancel(context.Background())
	r := &runningOwner{Owner: o, stop: cancel, ended: make(chan struct{})}
	s.set.Add(o)
	go func() {
		defer close(r.ended)
		o.Run(ctx)
		s.set.Remove(o)
	}()
	s.t.Cleanup(r.kill)
	return r
}

// kill stops an owner without a handover.
func (r *runningOwner) kill() {
	r.stop()
	<-r.ended
}

func batch(count int32, atMostOnce bool) *siskinv1.WorkSpec {
	return &siskinv1.WorkSpec{
		Name: "b", Kind: siskinv1.WorkKind_WORK_KIND_BATCH, Count: count, Urgency: siskinv1.Urgency_URGENCY_NORMAL,
		Each: &siskinv1.Resources{MilliCpu: 1000, MemoryBytes: 1 << 30}, AtMostOnce: atMostOnce,
	}
}

func (s *testFleet) submit(o *runningOwner, name string, spec *siskinv1.WorkSpec) string {
	s.t.Helper()
	id := o.Shard() + "." + name
	_, err := o.Submit(context.Background(), &siskinv1.SubmitWorkRequest{Shard: o.Shard(), Id: id, Team: testTeam, Spec: spec})
	assert.NilError(s.t, err)
	return id
}

func (s *testFleet) status(o *runningOwner, id string) *siskinv1.WorkStatus {
	s.t.Helper()
	status, err := o.Get(id)
	assert.NilError(s.t, err)
	return status
}

// checkRuns fails if a task ran in two places at once, or a task that runs at most once ran twice.
func (s *testFleet) checkRuns() []standin.TaskRun {
	s.t.Helper()
	runs := s.workers.Runs()
	for i, a := range runs {
		for _, b := range runs[i+1:] {
			if a.Task.Job != b.Task.Job || a.Task.Index != b.Task.Index {
				continue
			}
			assert.Assert(s.t, !a.AtMostOnce, "task %v ran twice", a.Task)
			aEnd, bEnd := a.Ended, b.Ended
			if aEnd.IsZero() {
				aEnd = time.Now()
			}
			if bEnd.IsZero() {
				bEnd = time.Now()
			}
			overlap := a.Started.Before(bEnd) && b.Started.Before(aEnd)
			assert.Assert(s.t, !overlap, "task %v ran on %s and %s at once", a.Task, a.Worker, b.Worker)
		}
	}
	return runs
}

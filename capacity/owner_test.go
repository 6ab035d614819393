package capacity_test

import (
	"context"
	"fmt"
	"runtime"
	"sync/atomic"
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
	"siskinstack.example/siskinstack/owner"
	"siskinstack.example/siskinstack/ownership"
	"siskinstack.example/siskinstack/resource"
	"siskinstack.example/siskinstack/standin/httpclient"
)

const (
	benchShard = benchZone + "-0"
	benchTeams = 45
	benchZones = 7
	// tasksPerJob is the size of the jobs: 42,000 jobs per day and 1,600 starts per second at the peak imply many tasks
	// per job.
	tasksPerJob = 100
)

// fleetStub implements the interfaces through which an owner reads the rest of the fleet.
type fleetStub struct {
	vms   []infra.VM
	stale atomic.Bool // no task starts while it is set
}

func newFleetStub(workers int) *fleetStub {
	s := &fleetStub{}
	for zone := range benchZones {
		s.vms = append(s.vms, workersOf(fmt.Sprintf("zone-%d", zone+1), workers)...)
	}
	return s
}

func (s *fleetStub) Fresh() bool        { return !s.stale.Load() }
func (*fleetStub) Draining(string) bool { return false }

func (*fleetStub) Teams() []*siskinv1.Team {
	teams := make([]*siskinv1.Team, benchTeams)
	for i := range teams {
		teams[i] = &siskinv1.Team{Name: teamName(i), Share: 1}
	}
	return teams
}

func teamName(i int) string { return fmt.Sprintf("team-%d", i) }

func (*fleetStub) Shards() []ownership.Shard {
	shards := make([]ownership.Shard, benchZones)
	for i := range shards {
		zone := fmt.Sprintf("zone-%d", i+1)
		shards[i] = ownership.Shard{Name: zone + "-0", Zone: zone}
	}
	return shards
}

func (*fleetStub) SetDemand(string, string, resource.Vector)          {}
func (*fleetStub) SetGang(string, string, allowance.Gang)             {}
func (*fleetStub) UsedElsewhere(string) map[string]resource.Vector    { return nil }
func (*fleetStub) WaitingElsewhere(string) map[string]resource.Vector { return nil }
func (*fleetStub) EntryAlive(string) bool                             { return true }
func (*fleetStub) Capacity() resource.Vector                          { return resource.Vector{} }
func (*fleetStub) Loads() []*siskinv1.ShardLoad                       { return nil }

func (s *fleetStub) List(context.Context) (infra.VMs, error) {
	return infra.VMs{VMs: s.vms}, nil
}

// countedWorkers counts the calls to workers.
type countedWorkers struct {
	infra.Workers
	renewals, starts atomic.Int64
}

func (w *countedWorkers) Renew(ctx context.Context, r infra.RenewRequest) (infra.WorkerReport, error) {
	w.renewals.Add(1)
	return w.Workers.Renew(ctx, r)
}

func (w *countedWorkers) Start(ctx context.Context, r infra.StartRequest) error {
	w.starts.Add(1)
	return w.Workers.Start(ctx, r)
}

// bench is one shard owner whose platform runs in another process.
type bench struct {
	b       *testing.B
	fleet   *fleetStub
	traffic traffic
	workers *countedWorkers
	owner   *owner.Owner
	jobs    int
}

func newBench(b *testing.B, workers int) *bench {
	s := &bench{b: b, fleet: newFleetStub(workers)}
	client := httpclient.NewWithDialer(startStandin(b, workers), s.traffic.dial)
	s.workers = &countedWorkers{Workers: client}
	s.open(client, 1)
	ctx, cancel := context.WithCancel(b.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.owner.Run(ctx)
	}()
	b.Cleanup(func() {
		cancel()
		<-ended
		client.Close()
	})
	return s
}

func (s *bench) open(store infra.Store, epoch int64) {
	o, err := owner.Open(context.Background(), owner.Options{
		Right: ownership.NewRight(clock.Real{}, benchShard, epoch, time.Now().Add(time.Hour)),
		Store: store, Workers: s.workers, VMs: s.fleet, Clock: clock.Real{}, Logger: logr.Discard(),
		Tracer: noop.NewTracerProvider().Tracer(""), Metrics: owner.NewMetrics(prometheus.NewRegistry()),
		Config: s.fleet, Demand: s.fleet, Fleet: s.fleet, Parts: owner.NewSet(), VM: "vm", Zone: benchZone,
		Writer: fmt.Sprintf("vm@%d", epoch),
	})
	assert.NilError(s.b, err)
	for i := range benchTeams {
		o.SetLimit(teamName(i), resource.Vector{MilliCPU: 1 << 40, MemoryBytes: 1 << 60})
	}
	s.owner = o
}

// submit submits jobs with the given number of tasks in total.
func (s *bench) submit(tasks int, command ...string) {
	for ; tasks > 0; tasks -= tasksPerJob {
		s.jobs++
		_, err := s.owner.Submit(context.Background(), &siskinv1.SubmitWorkRequest{
			Shard: benchShard, Id: fmt.Sprintf("%s.%064d", benchShard, s.jobs), Team: teamName(s.jobs % benchTeams),
			Spec: &siskinv1.WorkSpec{
				Name: "stitch", Kind: siskinv1.WorkKind_WORK_KIND_BATCH, Count: int32(min(tasks, tasksPerJob)), Command: command,
				Urgency: siskinv1.Urgency_URGENCY_NORMAL, Each: &siskinv1.Resources{MilliCpu: 8000, MemoryBytes: 15 * gib},
			},
		})
		assert.NilError(s.b, err)
	}
}

// wait waits until the shard has the given numbers of running and queued tasks.
func (s *bench) wait(running, queued int64) {
	for {
		load, _ := s.owner.Load()
		if load.GetRunningTasks() == running && load.GetQueuedTasks() == queued {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// sample is the resource usage and the worker calls of a measured period.
type sample struct {
	elapsed, processor time.Duration
	in, out            float64
	renewals, starts   float64
}

func (s *bench) measure(work func()) sample {
	began, processor := time.Now(), processorTime()
	in, out, renewals, starts := s.traffic.in.Load(), s.traffic.out.Load(), s.workers.renewals.Load(), s.workers.starts.Load()
	work()
	return sample{
		elapsed: time.Since(began), processor: processorTime() - processor,
		in: float64(s.traffic.in.Load() - in), out: float64(s.traffic.out.Load() - out),
		renewals: float64(s.workers.renewals.Load() - renewals), starts: float64(s.workers.starts.Load() - starts),
	}
}

func (s sample) load() float64 { return s.processor.Seconds() / s.elapsed.Seconds() }

// steadyTime is how long each steady state is measured: more than the longest renewal interval of 5 s.
const steadyTime = 6 * time.Second

// BenchmarkOwner measures a shard owner over the HTTP adapter: idle, with 7 long-running tasks on each worker, and while
// short tasks start and end besides these, with free capacity for one of them on each worker.
func BenchmarkOwner(b *testing.B) {
	for _, workers := range []int{350, 1400} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			for b.Loop() {
				measureOwner(b, workers)
			}
		})
	}
}

func measureOwner(b *testing.B, workers int) {
	tasks := int64(7 * workers)
	empty := heap()
	s := newBench(b, workers)
	pause := func() { time.Sleep(steadyTime) }
	pause()
	idleHeap := heap()
	idle := s.measure(pause)
	s.fleet.stale.Store(true)
	s.submit(int(tasks), "serve", "-")
	s.wait(0, tasks)
	queuedHeap := heap()
	s.fleet.stale.Store(false)
	starting := s.measure(func() { s.wait(tasks, 0) })
	pause()
	runningHeap := heap()
	steady := s.measure(pause)
	short := int64(8 * workers)
	sustained := s.measure(func() {
		s.submit(int(short), "sleep", "100ms")
		s.wait(tasks, 0)
	})
	n := float64(tasks)
	b.ReportMetric(1e3*idle.load(), "idle-mcore")
	b.ReportMetric(idle.renewals/idle.elapsed.Seconds(), "idle-renewals/s")
	b.ReportMetric(idle.in/idle.renewals, "idle-in-B/renewal")
	b.ReportMetric(idle.out/idle.renewals, "idle-out-B/renewal")
	b.ReportMetric(1e3*steady.load(), "steady-mcore")
	b.ReportMetric(steady.renewals/steady.elapsed.Seconds(), "steady-renewals/s")
	b.ReportMetric(steady.in/steady.renewals, "steady-in-B/renewal")
	b.ReportMetric(steady.out/steady.renewals, "steady-out-B/renewal")
	b.ReportMetric(float64(starting.processor.Microseconds())/n, "start-µs/task")
	b.ReportMetric(starting.out/n, "start-out-B/task")
	b.ReportMetric(starting.in/n, "start-in-B/task")
	b.ReportMetric(n/starting.elapsed.Seconds(), "starts/s")
	own := sustained.processor.Seconds() - steady.load()*sustained.elapsed.Seconds()
	b.ReportMetric(1e6*own/float64(short), "start+end-µs/task")
	b.ReportMetric(float64(short)/sustained.elapsed.Seconds(), "short-tasks/s")
	b.ReportMetric((idleHeap-empty)/float64(workers), "B/worker")
	b.ReportMetric((queuedHeap-idleHeap)/n, "B/queued")
	b.ReportMetric((runningHeap-idleHeap)/n, "B/running")
	b.ReportMetric(runningHeap, "heap-B")
	b.ReportMetric(0, "ns/op")
	runtime.KeepAlive(s)
}

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
	// jobTasks is the size of the jobs: 42,000 jobs a day and 1,600 starts a second at peak are jobs of many tasks.
	jobTasks = 100
)

// surroundings is what an owner sees of the rest of the fleet.
type surroundings struct {
	vms    []infra.VM
	closed atomic.Bool // no task starts while it is set
}

func newSurroundings(workers int) *surroundings {
	s := &surroundings{}
	for zone := range benchZones {
		s.vms = append(s.vms, fleetOf(fmt.Sprintf("zone-%d", zone+1), workers)...)
	}
	return s
}

func (s *surroundings) Fresh() bool        { return !s.closed.Load() }
func (*surroundings) Draining(string) bool { return false }

func (*surroundings) Teams() []*siskinv1.Team {
	teams := make([]*siskinv1.Team, benchTeams)
	for i := range teams {
		teams[i] = &siskinv1.Team{Name: teamName(i), Share: 1}
	}
	return teams
}

func teamName(i int) string { return fmt.Sprintf("team-%d", i) }

func (*surroundings) Shards() []ownership.Shard {
	shards := make([]ownership.Shard, benchZones)
	for i := range shards {
		zone := fmt.Sprintf("zone-%d", i+1)
		shards[i] = ownership.Shard{Name: zone + "-0", Zone: zone}
	}
	return shards
}

func (*surroundings) SetDemand(string, string, resource.Vector)          {}
func (*surroundings) SetGang(string, string, allowance.Gang)             {}
func (*surroundings) UsedElsewhere(string) map[string]resource.Vector    { return nil }
func (*surroundings) WaitingElsewhere(string) map[string]resource.Vector { return nil }
func (*surroundings) EntryAlive(string) bool                             { return true }
func (*surroundings) Room() resource.Vector                              { return resource.Vector{} }
func (*surroundings) Loads() []*siskinv1.ShardLoad                       { return nil }

func (s *surroundings) List(context.Context) (infra.VMs, error) {
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

// bench is one shard owner whose platform is another process.
type bench struct {
	b       *testing.B
	around  *surroundings
	traffic traffic
	workers *countedWorkers
	owner   *owner.Owner
	jobs    int
}

func newBench(b *testing.B, workers int) *bench {
	s := &bench{b: b, around: newSurroundings(workers)}
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
		Store: store, Workers: s.workers, VMs: s.around, Clock: clock.Real{}, Logger: logr.Discard(),
		Tracer: noop.NewTracerProvider().Tracer(""), Metrics: owner.NewMetrics(prometheus.NewRegistry()),
		Config: s.around, Demand: s.around, Fleet: s.around, Parts: owner.NewSet(), VM: "vm", Zone: benchZone,
		Writer: fmt.Sprintf("vm@%d", epoch),
	})
	assert.NilError(s.b, err)
	for i := range benchTeams {
		o.SetLimit(teamName(i), resource.Vector{MilliCPU: 1 << 40, MemoryBytes: 1 << 60})
	}
	s.owner = o
}

// submit hands jobs with as many tasks in.
func (s *bench) submit(tasks int, command ...string) {
	for ; tasks > 0; tasks -= jobTasks {
		s.jobs++
		_, err := s.owner.Submit(context.Background(), &siskinv1.SubmitWorkRequest{
			Shard: benchShard, Id: fmt.Sprintf("%s.%064d", benchShard, s.jobs), Team: teamName(s.jobs % benchTeams),
			Spec: &siskinv1.WorkSpec{
				Name: "stitch", Kind: siskinv1.WorkKind_WORK_KIND_BATCH, Count: int32(min(tasks, jobTasks)), Command: command,
				Urgency: siskinv1.Urgency_URGENCY_NORMAL, Each: &siskinv1.Resources{MilliCpu: 8000, MemoryBytes: 15 * gib},
			},
		})
		assert.NilError(s.b, err)
	}
}

// wait waits until the shard runs and queues as many tasks.
func (s *bench) wait(running, queued int64) {
	for {
		load, _ := s.owner.Load()
		if load.GetRunningTasks() == running && load.GetQueuedTasks() == queued {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// sample is what a stretch of time took.
type sample struct {
	took, processor  time.Duration
	in, out          float64
	renewals, starts float64
}

func (s *bench) during(work func()) sample {
	began, processor := time.Now(), processorTime()
	in, out, renewals, starts := s.traffic.in.Load(), s.traffic.out.Load(), s.workers.renewals.Load(), s.workers.starts.Load()
	work()
	return sample{
		took: time.Since(began), processor: processorTime() - processor,
		in: float64(s.traffic.in.Load() - in), out: float64(s.traffic.out.Load() - out),
		renewals: float64(s.workers.renewals.Load() - renewals), starts: float64(s.workers.starts.Load() - starts),
	}
}

func (s sample) load() float64 { return s.processor.Seconds() / s.took.Seconds() }

// steadyTime is how long each steady state is measured: one renewal interval of the largest shard.
const steadyTime = 6 * time.Second

// BenchmarkOwner measures a shard owner over the HTTP adapter: idle, with 7 tasks on each worker, and while as many short
// tasks as fit beside them start and end.
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
	idle := s.during(pause)
	s.around.closed.Store(true)
	s.submit(int(tasks), "serve", "-")
	s.wait(0, tasks)
	queuedHeap := heap()
	s.around.closed.Store(false)
	starting := s.during(func() { s.wait(tasks, 0) })
	pause()
	runningHeap := heap()
	steady := s.during(pause)
	short := int64(8 * workers)
	sustained := s.during(func() {
		s.submit(int(short), "sleep", "100ms")
		s.wait(tasks, 0)
	})
	n := float64(tasks)
	b.ReportMetric(1e3*idle.load(), "idle-mcore")
	b.ReportMetric(idle.renewals/idle.took.Seconds(), "idle-renewals/s")
	b.ReportMetric(idle.in/idle.renewals, "idle-in-B/renewal")
	b.ReportMetric(idle.out/idle.renewals, "idle-out-B/renewal")
	b.ReportMetric(1e3*steady.load(), "steady-mcore")
	b.ReportMetric(steady.renewals/steady.took.Seconds(), "steady-renewals/s")
	b.ReportMetric(steady.in/steady.renewals, "steady-in-B/renewal")
	b.ReportMetric(steady.out/steady.renewals, "steady-out-B/renewal")
	b.ReportMetric(float64(starting.processor.Microseconds())/n, "start-µs/task")
	b.ReportMetric(starting.out/n, "start-out-B/task")
	b.ReportMetric(starting.in/n, "start-in-B/task")
	b.ReportMetric(n/starting.took.Seconds(), "starts/s")
	own := sustained.processor.Seconds() - steady.load()*sustained.took.Seconds()
	b.ReportMetric(1e6*own/float64(short), "start+end-µs/task")
	b.ReportMetric(float64(short)/sustained.took.Seconds(), "short-tasks/s")
	b.ReportMetric((idleHeap-empty)/float64(workers), "B/worker")
	b.ReportMetric((queuedHeap-idleHeap)/n, "B/queued")
	b.ReportMetric((runningHeap-idleHeap)/n, "B/running")
	b.ReportMetric(runningHeap, "heap-B")
	b.ReportMetric(0, "ns/op")
	runtime.KeepAlive(s)
}

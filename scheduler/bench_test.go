package scheduler_test

import (
	"fmt"
	"math/rand"
	"runtime"
	"slices"
	"testing"
	"time"

	"siskinstack.example/siskinstack/scheduler"
	"siskinstack.example/siskinstack/scheduler/naive"
)

const (
	benchTeams     = 45
	tasksPerWorker = 70_000.0 / 9_800 // at the design size
	jobTasks       = 100
)

// load is a cell filled to about 90% with tasks of 45 teams, and optionally the same load in the naive core.
type load struct {
	core    *scheduler.Cell
	naive   *naive.Cell
	rand    *rand.Rand
	running []scheduler.Start
	jobs    int
	now     time.Duration
}

// benchSizes are the declared sizes of tasks. With tasksPerWorker tasks, they take 90% of a worker of 64 processors and
// 128 GB on average.
var benchSizes = [][2]int64{{2, 8}, {4, 8}, {8, 16}, {8, 12}, {16, 32}, {10, 20}}

func newLoad(workers int, withNaive bool) *load {
	l := &load{core: scheduler.NewCell(), rand: rand.New(rand.NewSource(1)), now: time.Second}
	if withNaive {
		l.naive = naive.New()
	}
	for i := range benchTeams {
		team := scheduler.Team{Name: fmt.Sprintf("team-%02d", i), Share: 1, Limit: vector(1<<30, 1<<30, 1<<20)}
		l.core.SetTeam(team)
		if withNaive {
			l.naive.SetTeam(team)
		}
	}
	for i := range workers {
		w := scheduler.Worker{Name: fmt.Sprintf("w%d", i), Rack: fmt.Sprintf("r%d", i/8), Capacity: vector(64, 128, 0)}
		l.core.SetWorker(w)
		if withNaive {
			l.naive.SetWorker(w)
		}
	}
	for want := int(tasksPerWorker * float64(workers)); len(l.running) < want; {
		l.submit(min(jobTasks, want-len(l.running)))
		if l.plan(jobTasks) == 0 {
			break
		}
	}
	return l
}

// submit adds a job with count tasks; a fifth of the jobs are services.
func (l *load) submit(count int) string {
	size := benchSizes[l.rand.Intn(len(benchSizes))]
	job := tasks(fmt.Sprintf("job-%d", l.jobs), scheduler.Batch, vector(size[0], size[1], 0), count)
	if l.jobs%5 == 0 {
		job.Kind = scheduler.Service
	}
	job.Team = fmt.Sprintf("team-%02d", l.jobs%benchTeams)
	job.Queue = job.Team
	job.Accepted = l.now
	l.jobs++
	if err := l.core.Submit(job); err != nil {
		panic(err)
	}
	if l.naive != nil {
		l.naive.Submit(job)
	}
	return job.ID
}

func (l *load) plan(maxStarts int) int {
	l.now += time.Millisecond
	starts := l.core.Plan(l.now, maxStarts).Starts
	l.running = append(l.running, starts...)
	for _, start := range starts {
		l.apply(start)
	}
	return len(starts)
}

func (l *load) apply(start scheduler.Start) {
	if l.naive == nil {
		return
	}
	if err := l.naive.Apply(start); err != nil {
		panic(err)
	}
}

// endSome ends n running tasks chosen at random.
func (l *load) endSome(n int) {
	for range n {
		i := l.rand.Intn(len(l.running))
		start := l.running[i]
		l.running[i] = l.running[len(l.running)-1]
		l.running = l.running[:len(l.running)-1]
		_ = l.core.Ended(start.Task, start.Attempt, scheduler.Succeeded, l.now)
		if l.naive != nil {
			l.naive.Ended(start.Task, start.Attempt, true)
		}
	}
}

func quantile(values []time.Duration, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return float64(values[min(int(q*float64(len(values))), len(values)-1)]) / float64(time.Microsecond)
}

// BenchmarkPlacement measures passes that place one task, on 90% full cells of three sizes.
func BenchmarkPlacement(b *testing.B) {
	p50 := map[int]float64{}
	for _, workers := range []int{50, 1_400, 9_800} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			l := newLoad(workers, false)
			var took []time.Duration
			for b.Loop() {
				l.endSome(1)
				l.submit(1)
				began := time.Now()
				n := l.plan(1)
				if n == 1 {
					took = append(took, time.Since(began))
				}
			}
			p50[workers] = quantile(took, 0.5)
			b.ReportMetric(p50[workers], "p50-µs")
			b.ReportMetric(quantile(took, 0.99), "p99-µs")
			b.ReportMetric(float64(len(l.running)), "running")
			if workers == 9_800 && p50[1_400] > 0 {
				b.ReportMetric(p50[9_800]/p50[1_400], "p50-ratio-9800-to-1400")
			}
		})
	}
}

// BenchmarkSustained measures placements per second on one processor, with the ends and submissions that feed them, and
// those of the naive core on the same load. Only the passes of the naive core are timed, not its bookkeeping.
func BenchmarkSustained(b *testing.B) {
	const batch = 256
	l := newLoad(9_800, true)
	var fast, slow time.Duration
	placed, naivePlaced := 0, 0
	for b.Loop() {
		l.endSome(batch)
		for range batch / 4 {
			l.submit(4)
		}
		if b.N == 1 || naivePlaced < 64 {
			began := time.Now()
			starts := l.naive.Plan(4, nil)
			slow += time.Since(began)
			naivePlaced += len(starts)
			for _, start := range starts {
				l.naive.Retract(start)
			}
		}
		began := time.Now()
		starts := l.core.Plan(l.now, batch).Starts
		fast += time.Since(began)
		placed += len(starts)
		for _, start := range starts {
			l.apply(start)
		}
		l.running = append(l.running, starts...)
	}
	perSecond := float64(placed) / fast.Seconds()
	naivePerSecond := float64(naivePlaced) / slow.Seconds()
	b.ReportMetric(perSecond, "placements/s")
	b.ReportMetric(naivePerSecond, "naive-placements/s")
	b.ReportMetric(perSecond/naivePerSecond, "ratio")
}

// BenchmarkSustainedWithEvents measures placements per second including the time of the ends and submissions.
func BenchmarkSustainedWithEvents(b *testing.B) {
	const batch = 256
	l := newLoad(9_800, false)
	placed := 0
	for b.Loop() {
		l.endSome(batch)
		for range batch / 4 {
			l.submit(4)
		}
		placed += l.plan(batch)
	}
	b.ReportMetric(float64(placed)/b.Elapsed().Seconds(), "placements/s")
}

// BenchmarkGang measures passes that place a whole gang job on a 90% full cell.
func BenchmarkGang(b *testing.B) {
	for _, size := range []int{8, 64, 256} {
		b.Run(fmt.Sprintf("tasks=%d", size), func(b *testing.B) {
			l := newLoad(9_800, false)
			var took []time.Duration
			placed := 0
			for b.Loop() {
				job := tasks(fmt.Sprintf("gang-%d", l.jobs), scheduler.Gang, vector(4, 8, 0), size)
				job.Team = "team-00"
				l.jobs++
				if err := l.core.Submit(job); err != nil {
					b.Fatal(err)
				}
				began := time.Now()
				starts := l.core.Plan(l.now, size).Starts
				took = append(took, time.Since(began))
				placed += len(starts)
				for _, start := range starts {
					_ = l.core.Ended(start.Task, start.Attempt, scheduler.Succeeded, l.now)
				}
				_ = l.core.Forget(job.ID)
			}
			b.ReportMetric(quantile(took, 0.5), "p50-µs")
			b.ReportMetric(quantile(took, 0.99), "p99-µs")
			b.ReportMetric(float64(placed)/float64(len(took)*size), "placed-part")
		})
	}
}

// BenchmarkCancel measures placements while 10,000 queued tasks in 1,000 jobs are cancelled between them.
func BenchmarkCancel(b *testing.B) {
	l := newLoad(9_800, false)
	var took, cancelled []time.Duration
	for b.Loop() {
		ids := make([]string, 1_000)
		for i := range ids {
			ids[i] = l.submit(10)
		}
		for _, id := range ids {
			l.endSome(1)
			began := time.Now()
			_, _ = l.core.Cancel(id)
			cancelled = append(cancelled, time.Since(began))
			began = time.Now()
			l.plan(1)
			took = append(took, time.Since(began))
			_ = l.core.Forget(id)
		}
	}
	b.ReportMetric(quantile(took, 0.99), "placement-p99-µs")
	b.ReportMetric(quantile(cancelled, 0.99), "cancel-p99-µs")
}

// BenchmarkMemory measures the heap per running and per queued task, in jobs of 100 tasks and of one task.
func BenchmarkMemory(b *testing.B) {
	for _, size := range []int{1, jobTasks} {
		b.Run(fmt.Sprintf("job=%d", size), func(b *testing.B) {
			for b.Loop() {
				l := newLoad(9_800, false)
				l.endSome(len(l.running))
				l.plan(1)
				before := heapStats()
				const queued = 70_000
				for range queued / size {
					l.submit(size)
				}
				after := heapStats()
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/queued, "B/queued")
				b.ReportMetric(float64(after.Mallocs-before.Mallocs)/queued, "allocs/queued")
				starts := 0
				for n := 1; n > 0; starts += n {
					n = len(l.core.Plan(l.now, 256).Starts)
				}
				placed := heapStats()
				b.ReportMetric(float64(placed.HeapAlloc)/float64(starts)-float64(before.HeapAlloc)/float64(starts), "B/running")
				b.ReportMetric(float64(placed.Mallocs-after.Mallocs)/float64(starts), "allocs/start")
				runtime.KeepAlive(l)
			}
		})
	}
}

func heapStats() runtime.MemStats {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats
}

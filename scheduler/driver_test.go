package scheduler_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand"
	"time"

	"siskinstack.example/siskinstack/resource"
	"siskinstack.example/siskinstack/scheduler"
	"siskinstack.example/siskinstack/scheduler/naive"
)

// decider is a scheduling core under test by a driver.
type decider interface {
	setTeam(scheduler.Team)
	setWorker(scheduler.Worker)
	submit(scheduler.Job)
	plan(now time.Duration) scheduler.Plan
	ended(start scheduler.Start, outcome scheduler.Outcome, now time.Duration)
}

const driverStarts = 1024

type fastDecider struct{ *scheduler.Cell }

func (d fastDecider) setTeam(t scheduler.Team)     { d.SetTeam(t) }
func (d fastDecider) setWorker(w scheduler.Worker) { d.SetWorker(w) }
func (d fastDecider) submit(job scheduler.Job) {
	if err := d.Submit(job); err != nil {
		panic(err)
	}
}
func (d fastDecider) plan(now time.Duration) scheduler.Plan { return d.Plan(now, driverStarts) }
func (d fastDecider) ended(start scheduler.Start, outcome scheduler.Outcome, now time.Duration) {
	_ = d.Ended(start.Task, start.Attempt, outcome, now)
	if outcome == scheduler.Succeeded {
		_ = d.Forget(start.Task.Job)
	}
}

type naiveDecider struct{ *naive.Cell }

func (d naiveDecider) setTeam(t scheduler.Team)     { d.SetTeam(t) }
func (d naiveDecider) setWorker(w scheduler.Worker) { d.SetWorker(w) }
func (d naiveDecider) submit(job scheduler.Job)     { d.Submit(job) }
func (d naiveDecider) plan(time.Duration) scheduler.Plan {
	return scheduler.Plan{Starts: d.Plan(driverStarts, nil)}
}
func (d naiveDecider) ended(start scheduler.Start, outcome scheduler.Outcome, _ time.Duration) {
	d.Ended(start.Task, start.Attempt, outcome == scheduler.Succeeded)
	d.Forget(start.Task.Job)
}

// run is a running task in a driver.
type run struct {
	start scheduler.Start
	began time.Duration
	ends  time.Duration
	at    int // index in the heap
}

type runHeap []*run

func (h runHeap) Len() int { return len(h) }
func (h runHeap) Less(i, j int) bool {
	if h[i].ends != h[j].ends {
		return h[i].ends < h[j].ends
	}
	return h[i].start.Task.Job < h[j].start.Task.Job
}
func (h runHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i]; h[i].at, h[j].at = i, j }
func (h *runHeap) Push(x any)   { x.(*run).at = len(*h); *h = append(*h, x.(*run)) }
func (h *runHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// driver runs a scheduling core with simulated tasks of known run times on a simulated clock.
type driver struct {
	decider
	now       time.Duration
	step      time.Duration
	rand      *rand.Rand
	jobs      map[string]scheduler.Job
	remaining map[scheduler.TaskID]time.Duration // run time still needed
	runTimes  map[string]time.Duration           // run time of each task, by job
	running   map[scheduler.TaskID]*run
	ends      runHeap
	started   map[scheduler.TaskID]time.Duration // first start
	done      map[string]time.Duration           // end of single-task jobs
	work      float64                            // processor seconds of work that was not lost
	stops     int
	moved     func(scheduler.Job) // if set, called for the job of a task that a drain has stopped
	next      int                 // number of submitted jobs
	bad       map[string]bool     // workers that fail every task after a second
	failed    int                 // attempts that failed on bad workers
	prefix    string              // of job identifiers
	unstarted map[string]int      // submitted tasks without a start, by team
}

func newDriver(d decider) *driver {
	return &driver{
		decider: d, step: 100 * time.Millisecond, rand: rand.New(rand.NewSource(7)), jobs: map[string]scheduler.Job{},
		remaining: map[scheduler.TaskID]time.Duration{}, runTimes: map[string]time.Duration{},
		unstarted: map[string]int{}, running: map[scheduler.TaskID]*run{},
		started: map[scheduler.TaskID]time.Duration{}, done: map[string]time.Duration{},
	}
}

// fleet adds equal workers of 64 processors and 128 GB, eight to a rack.
func (d *driver) fleet(workers int) {
	for i := range workers {
		d.setWorker(scheduler.Worker{Name: fmt.Sprintf("w%d", i), Rack: fmt.Sprintf("r%d", i/8), Capacity: vector(64, 128, 0)})
	}
}

func (d *driver) teams(shares ...int64) {
	for i, share := range shares {
		d.setTeam(scheduler.Team{Name: teamName(i), Share: share, Limit: vector(1<<30, 1<<30, 1<<20)})
	}
}

func teamName(i int) string { return fmt.Sprintf("team-%02d", i) }

// add submits a job whose tasks run for runFor.
func (d *driver) add(job scheduler.Job, runFor time.Duration) {
	d.next++
	if job.ID == "" {
		job.ID = fmt.Sprintf("%sjob-%d", d.prefix, d.next)
	}
	if job.Accepted == 0 {
		job.Accepted = d.now
	}
	d.jobs[job.ID], d.runTimes[job.ID] = job, runFor
	for _, index := range job.Indexes {
		id := scheduler.TaskID{Job: job.ID, Index: index}
		if _, ok := d.remaining[id]; !ok {
			d.remaining[id] = runFor
			d.unstarted[job.Team]++
		}
	}
	d.submit(job)
}

// advance moves the clock by one step and ends with one pass.
func (d *driver) advance() {
	d.now += d.step
	for len(d.ends) > 0 && d.ends[0].ends <= d.now {
		r := d.ends[0]
		d.remove(r)
		if d.bad[r.start.Worker] {
			d.failed++
			d.ended(r.start, scheduler.Failed, d.now)
			continue
		}
		d.remaining[r.start.Task] = 0
		d.work += cpuSeconds(r.start.Allocation, r.ends-r.began)
		d.done[r.start.Task.Job] = r.ends
		d.ended(r.start, scheduler.Succeeded, d.now)
	}
	plan := d.plan(d.now)
	for _, stop := range plan.Stops {
		d.stopTask(stop)
	}
	for _, start := range plan.Starts {
		d.begin(start)
	}
}

func (d *driver) begin(start scheduler.Start) {
	if _, ok := d.started[start.Task]; !ok {
		d.started[start.Task] = d.now
		d.unstarted[start.Team]--
	}
	r := &run{start: start, began: d.now, ends: d.now + d.remaining[start.Task]}
	if d.bad[start.Worker] {
		r.ends = d.now + time.Second
	}
	d.running[start.Task] = r
	heap.Push(&d.ends, r)
}

func (d *driver) stopTask(stop scheduler.Stop) {
	r := d.running[stop.Task]
	if r == nil {
		return
	}
	d.stops++
	d.remove(r)
	if stop.Checkpoint {
		d.work += cpuSeconds(r.start.Allocation, d.now-r.began)
		d.remaining[stop.Task] = r.ends - d.now
	}
	d.ended(r.start, scheduler.Stopped, d.now)
	if d.moved != nil && stop.Reason == scheduler.StopDraining {
		d.moved(d.jobs[stop.Task.Job])
	}
}

func (d *driver) remove(r *run) {
	heap.Remove(&d.ends, r.at)
	delete(d.running, r.start.Task)
}

func cpuSeconds(allocation resource.Vector, ran time.Duration) float64 {
	return float64(allocation.MilliCPU) / 1000 * ran.Seconds()
}

// inProgress returns the work done so far by running tasks.
func (d *driver) inProgress() float64 {
	sum := 0.0
	for _, r := range d.ends {
		sum += cpuSeconds(r.start.Allocation, d.now-r.began)
	}
	return sum
}

// busy returns the processors in use by team.
func (d *driver) busy() (byTeam map[string]float64, total float64) {
	byTeam = map[string]float64{}
	for _, r := range d.ends {
		cpus := float64(r.start.Allocation.MilliCPU) / 1000
		byTeam[r.start.Team] += cpus
		total += cpus
	}
	return byTeam, total
}

// exponential returns an exponentially distributed run time with the given mean, truncated at six times the mean.
func (d *driver) exponential(mean time.Duration) time.Duration {
	return time.Duration(min(d.rand.ExpFloat64(), 6) * float64(mean))
}

// randomError returns t times a factor between 1/maxFactor and maxFactor, uniform on a logarithmic scale.
func (d *driver) randomError(t time.Duration, maxFactor float64) time.Duration {
	return time.Duration(float64(t) * math.Pow(maxFactor, 2*d.rand.Float64()-1))
}

// batch returns a batch job of one task of a size drawn from 1 to 8 processors, of which the mean is 4.5.
func (d *driver) batch(team int) scheduler.Job {
	cpus := int64(1 + d.rand.Intn(8))
	job := tasks("", scheduler.Batch, vector(cpus, cpus, 0), 1)
	job.Team, job.Queue, job.Checkpoint = teamName(team), "batch", true
	return job
}

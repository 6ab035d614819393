package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"siskinstack.example/siskinstack/platform/emulator"
	"siskinstack.example/siskinstack/resource"
)

const (
	team      = "lab"
	goodKey   = "key-good"
	secondKey = "key-second"
	// runFor is how long a task takes.
	runFor            = 400 * time.Millisecond
	workersPerMachine = 2
	// startLimit is how long the machines may take until one accepts a job.
	startLimit = 20 * time.Second
	// finishLimit is how long accepted jobs may take to end once everything is healed, beside the time that their work
	// takes at the team's ceiling: after a change of controllers the tasks of a silent worker wait for two leases, and each
	// task may run as often as it may fail.
	finishLimit = 2*emulator.LeaseMax + emulator.MaxAttempts*5*time.Second
	// usagePause is how often the running tasks are compared with the team's ceiling.
	usagePause = 20 * time.Millisecond
	// maxReported bounds the violations in a report.
	maxReported = 20
)

var (
	zones   = []string{"zone-a", "zone-b", "zone-c"}
	room    = resource.Vector{MilliCPU: 8 * milliPerCore, MemoryBytes: 8192 * megabyte}
	ceiling = resource.Vector{MilliCPU: 30 * milliPerCore}
)

// isOperatorKey reports whether a key is written by operators or workers and not by machines.
func isOperatorKey(key string) bool {
	return strings.HasPrefix(key, "op/") || strings.HasPrefix(key, "servers/")
}

// Options configures a run.
type Options struct {
	Seed uint64
	// Binary is the daemon; Dir is where settings and logs go.
	Binary string
	Dir    string
	// Machines is the number of machines, Faults that of faults within Length.
	Machines int
	Faults   int
	Length   time.Duration
}

// Report is the result of a run.
type Report struct {
	Seed       uint64   `json:"seed"`
	Faults     []string `json:"faults"`
	Jobs       int      `json:"jobs"`
	Accepted   int      `json:"accepted"`
	Refused    int      `json:"refused"`
	Unknown    int      `json:"unknown"`
	Completed  int      `json:"completed"`
	Starts     int      `json:"starts"`
	Violations []string `json:"violations"`
}

// run is a soak under way.
type run struct {
	options  Options
	platform *emulator.Platform
	machines []*machine
	workers  []*proxy
	jobs     jobs
	// mayFail is true once workers have failed tasks by fault.
	mayFail atomic.Bool
	// restarts is held while a machine is started again.
	restarts sync.Mutex

	config  sync.Mutex // guards version and key
	version int64
	key     keyRight

	mu         sync.Mutex // guards violations
	violations []string
}

func (r *run) violated(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.violations) < maxReported {
		r.violations = append(r.violations, fmt.Sprintf(format, args...))
	}
}

// Run plays one seed. The error says that the run itself could not be carried out.
func Run(ctx context.Context, options Options) (Report, error) {
	r := &run{options: options, jobs: jobs{all: map[string]*job{}}}
	random := rand.New(rand.NewPCG(options.Seed, 0))
	faults := plan(random, options)
	report := Report{Seed: options.Seed}
	for _, f := range faults {
		report.Faults = append(report.Faults, f.String())
	}
	defer r.close()
	if err := r.start(ctx); err != nil {
		return report, err
	}
	if err := r.play(ctx, random, faults); err != nil {
		return report, err
	}
	r.finish(ctx)
	r.fill(&report)
	return report, nil
}

// start starts the platform and all machines, and waits until a job is accepted.
func (r *run) start(ctx context.Context) error {
	dir := filepath.Join(r.options.Dir, fmt.Sprintf("seed-%d", r.options.Seed))
	const ownerOnly = 0o700
	if err := os.MkdirAll(dir, ownerOnly); err != nil {
		return eris.Wrap(err, "directory of the run")
	}
	var err error
	r.platform, err = emulator.Start(ctx, emulator.Options{
		Zones: zones, Workers: r.options.Machines * workersPerMachine, WorkerCapacity: room, RunFor: runFor, DeclaredResources: r.jobs.roomOf,
		WorkerAddress: func(_, listens string) (string, error) {
			p, err := newProxy(ctx, listens)
			if err != nil {
				return "", err
			}
			r.workers = append(r.workers, p)
			return p.address(), nil
		},
	})
	if err != nil {
		return err
	}
	if err := r.configure(true); err != nil {
		return err
	}
	for i := range r.options.Machines {
		m, err := newMachine(ctx, r.options.Binary, dir, fmt.Sprintf("edge-%d", i), zones[i%len(zones)], r.platform)
		if err != nil {
			return err
		}
		if err := m.start(); err != nil {
			return err
		}
		r.machines = append(r.machines, m)
	}
	return r.awaitService()
}

// awaitService waits until a first job has been completed.
func (r *run) awaitService() error {
	first := &job{id: fmt.Sprintf("%08x%08x", uint32(r.options.Seed), 0), queue: emulator.QueueUrgent}
	first.steps = []emulator.Step{{Count: 1, MilliCPU: milliPerCore, MemoryMB: memoryMB, EstimateMs: runFor.Milliseconds()}}
	r.jobs.add(first)
	client := newClient(goodKey)
	for began := time.Now(); time.Since(began) < startLimit; time.Sleep(statePause) {
		if outcome, _ := client.Submit(context.Background(), r.machines[0].frontend, first.queue, first.id, first.steps); outcome == emulator.Done {
			first.accepted = true
			break
		}
	}
	for began := time.Now(); time.Since(began) < startLimit; time.Sleep(statePause) {
		if r.look(client, first, r.machines[0]) == completed {
			return nil
		}
	}
	return eris.Errorf("no service %s after the start", startLimit)
}

// play lets callers work while the faults come and go.
func (r *run) play(ctx context.Context, random *rand.Rand, faults []Fault) error {
	load, stop := context.WithCancel(ctx)
	defer stop()
	var tasks, applied sync.WaitGroup
	submitting, watching := rand.New(rand.NewPCG(random.Uint64(), 1)), rand.New(rand.NewPCG(random.Uint64(), 2))
	tasks.Go(func() { r.submitAll(load, submitting) })
	tasks.Go(func() { r.watchStates(load, watching) })
	tasks.Go(func() { r.watchUsage(load) })
	var mu sync.Mutex // guards failure
	var failure error
	for _, f := range faults {
		applied.Go(func() {
			if err := r.apply(ctx, f); err != nil {
				mu.Lock()
				defer mu.Unlock()
				failure = eris.Wrapf(err, "fault %s", f)
			}
		})
	}
	pause(ctx, r.options.Length)
	applied.Wait()
	stop()
	tasks.Wait()
	return failure
}

// apply begins a fault when its time has come, and ends it.
func (r *run) apply(ctx context.Context, f Fault) error {
	pause(ctx, f.At)
	heal, err := kinds[f.Kind](r, f)
	if err != nil {
		return err
	}
	pause(ctx, f.For)
	return heal()
}

// watchUsage compares what the team runs with its ceiling until ctx ends.
func (r *run) watchUsage(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, usagePause)
		var used resource.Vector
		for _, task := range r.platform.Fleet.Active() {
			used = used.Add(r.jobs.roomOf(task))
		}
		if used.MilliCPU > ceiling.MilliCPU {
			r.violated("the team runs %d milli-CPU of %d", used.MilliCPU, ceiling.MilliCPU)
		}
	}
}

// finish heals everything and follows the accepted jobs to their end.
func (r *run) finish(ctx context.Context) {
	r.platform.Store.SetFault(nil)
	r.platform.Store.Deliver()
	for _, m := range r.machines {
		m.store.set(modePass)
		if err := r.restart(m); err != nil {
			r.violated("machine %s does not start again: %v", m.name, err)
		}
	}
	for _, p := range r.workers {
		p.set(modePass)
	}
	client := newClient(goodKey)
	open := r.jobs.snapshot()
	limit := finishLimit + workOf(open)
	for began := time.Now(); len(open) > 0 && time.Since(began) < limit && ctx.Err() == nil; pause(ctx, statePause) {
		var left []*job
		for i, j := range open {
			if j.accepted && !ended(r.look(client, j, r.machines[i%len(r.machines)])) {
				left = append(left, j)
			}
		}
		open = left
	}
	for _, j := range open {
		r.violated("accepted job %s has not ended %s after healing: %q", j.id, limit, j.state)
	}
	r.checkEnds()
	for _, v := range r.platform.Fleet.Violations() {
		r.violated("%s", v)
	}
}

// workOf returns how long the work of jobs takes at the team's ceiling.
func workOf(all []*job) time.Duration {
	milliCPU := int64(0)
	for _, j := range all {
		for _, step := range j.steps {
			milliCPU += int64(step.Count) * step.MilliCPU
		}
	}
	return time.Duration(milliCPU * int64(runFor) / ceiling.MilliCPU)
}

// checkEnds compares how each job ended with what its callers were told and with what ran.
func (r *run) checkEnds() {
	starts := r.platform.Fleet.Starts()
	for _, j := range r.jobs.snapshot() {
		for _, task := range j.tasks() {
			switch {
			case j.refused && starts[task] > 0:
				r.violated("%s ran although all calls that handed job %s in were refused", task, j.id)
			case j.state == completed && starts[task] == 0:
				r.violated("job %s is completed but %s never ran", j.id, task)
			}
		}
		if j.state == cancelled && !j.cancelled {
			r.violated("job %s is cancelled and nobody asked for it", j.id)
		}
		if j.state == failed && !r.mayFail.Load() {
			r.violated("job %s failed although no worker failed a task", j.id)
		}
	}
}

func (r *run) fill(report *Report) {
	report.Violations = append([]string{}, r.violations...)
	for _, n := range r.platform.Fleet.Starts() {
		report.Starts += n
	}
	count := func(n *int, is bool) {
		if is {
			*n++
		}
	}
	for _, j := range r.jobs.snapshot() {
		report.Jobs++
		count(&report.Accepted, j.accepted)
		count(&report.Refused, j.refused)
		count(&report.Unknown, j.unknown && !j.accepted)
		count(&report.Completed, j.state == completed)
	}
}

// close ends all processes and services.
func (r *run) close() {
	for _, m := range r.machines {
		if m.running() {
			_ = m.kill() // the run is over, whatever becomes of the process
		}
		m.store.close()
	}
	for _, p := range r.workers {
		p.close()
	}
	if r.platform != nil {
		r.platform.Close()
	}
}

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
	// runFor is the run time of a task.
	runFor            = 400 * time.Millisecond
	workersPerMachine = 2
	// startLimit bounds the time until a machine accepts a job, and then until that job is completed.
	startLimit = 20 * time.Second
	// finishLimit is how long accepted jobs may take to end after all faults are removed, in addition to the time that
	// their work takes at the team's ceiling: after a change of controllers, the tasks of a silent worker wait for two
	// leases, and each task may run as often as it may fail.
	finishLimit = 2*emulator.LeaseMax + emulator.MaxAttempts*5*time.Second
	// usageInterval is how often the running tasks are compared with the team's ceiling.
	usageInterval = 20 * time.Millisecond
	// maxReported bounds the violations in a report.
	maxReported = 20
)

var (
	zones          = []string{"zone-a", "zone-b", "zone-c"}
	workerCapacity = resource.Vector{MilliCPU: 8 * milliPerCore, MemoryBytes: 8192 * megabyte}
	ceiling        = resource.Vector{MilliCPU: 30 * milliPerCore}
)

// isOperatorKey reports whether a store key is written by operators or workers and not by machines.
func isOperatorKey(key string) bool {
	return strings.HasPrefix(key, "op/") || strings.HasPrefix(key, "servers/")
}

// Options configures a run.
type Options struct {
	Seed uint64
	// Binary is the path of the daemon, Dir the directory for settings and logs.
	Binary string
	Dir    string
	// Machines is the number of machines, Faults the number of faults within Length.
	Machines int
	Faults   int
	Length   time.Duration
	// SilentRestarts is the number of faults in which workers restart silently; without other faults, there are only these.
	SilentRestarts int
}

// Report is the result of a run.
type Report struct {
	// Crashing is the number of accepted jobs with a task that crashes its workers, GivenUp that of those that failed.
	Crashing   int      `json:"crashing"`
	GivenUp    int      `json:"given_up"`
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

// run is a soak run in progress.
type run struct {
	options  Options
	platform *emulator.Platform
	machines []*machine
	workers  []*proxy
	jobs     jobs
	// mayFail is true once a fault has made a worker fail tasks.
	mayFail atomic.Bool
	// restarts is held while a machine is restarted.
	restarts sync.Mutex

	config  sync.Mutex // guards version and key
	version int64
	key     keyState

	mu         sync.Mutex // guards violations
	violations []string
}

func (r *run) reportViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.violations) < maxReported {
		r.violations = append(r.violations, fmt.Sprintf(format, args...))
	}
}

// Run runs one seed. An error means that the run itself could not be carried out.
func Run(ctx context.Context, options Options) (Report, error) {
	r := &run{options: options, jobs: jobs{all: map[string]*job{}}}
	random := rand.New(rand.NewPCG(options.Seed, 0))
	faults := drawFaults(random, options)
	report := Report{Seed: options.Seed}
	for _, f := range faults {
		report.Faults = append(report.Faults, f.String())
	}
	defer r.close()
	if err := r.start(ctx); err != nil {
		return report, err
	}
	if err := r.runLoad(ctx, random, faults); err != nil {
		return report, err
	}
	r.finish(ctx)
	r.fillReport(&report)
	return report, nil
}

// start starts the platform and all machines, and waits until a first job has been completed.
func (r *run) start(ctx context.Context) error {
	dir := filepath.Join(r.options.Dir, fmt.Sprintf("seed-%d", r.options.Seed))
	const ownerOnly = 0o700
	if err := os.MkdirAll(dir, ownerOnly); err != nil {
		return eris.Wrap(err, "directory of the run")
	}
	var err error
	r.platform, err = emulator.Start(ctx, emulator.Options{
		Zones: zones, Workers: r.options.Machines * workersPerMachine, WorkerCapacity: workerCapacity, RunFor: runFor,
		DeclaredResources: r.jobs.declaredResources,
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
	r.platform.SetCrashing(r.jobs.crashesWorkers)
	r.platform.Fleet.RunForTask = r.jobs.runForTask
	if err := r.configure(true); err != nil {
		return err
	}
	for i := range r.options.Machines {
		m, err := newMachine(ctx, r.options.Binary, dir, fmt.Sprintf("edge-%d", i), zones[i%len(zones)],
			r.options.Seed >= firstHeavyLoadSeed, r.platform)
		if err != nil {
			return err
		}
		r.machines = append(r.machines, m)
	}
	if err := r.startMachines(ctx); err != nil {
		return err
	}
	return r.waitServing()
}

// startMachines opens the links of all machines and starts them.
func (r *run) startMachines(ctx context.Context) error {
	for _, m := range r.machines {
		for _, other := range r.machines {
			if other != m {
				if err := m.links.add(ctx, other.peers, other.zone); err != nil {
					return err
				}
			}
		}
		for i, p := range r.workers {
			if err := m.links.add(ctx, p.address(), r.platform.Workers[i].Zone); err != nil {
				return err
			}
		}
	}
	for _, m := range r.machines {
		if err := m.start(); err != nil {
			return err
		}
	}
	return nil
}

// waitServing waits until a first job has been completed.
func (r *run) waitServing() error {
	first := &job{id: fmt.Sprintf("%08x%08x", uint32(r.options.Seed), 0), queue: emulator.QueueUrgent}
	first.steps = []emulator.Step{{Count: 1, MilliCPU: milliPerCore, MemoryMB: memoryMB, EstimateMs: runFor.Milliseconds()}}
	r.jobs.add(first)
	client := newClient(goodKey)
	for began := time.Now(); time.Since(began) < startLimit; time.Sleep(pollInterval) {
		if outcome, _ := client.Submit(context.Background(), r.machines[0].frontend, first.queue, first.id, first.steps); outcome == emulator.Done {
			first.accepted = true
			break
		}
	}
	for began := time.Now(); time.Since(began) < startLimit; time.Sleep(pollInterval) {
		if r.pollState(client, first, r.machines[0]) == completed {
			return nil
		}
	}
	return eris.Errorf("no job was completed %s after the start", startLimit)
}

// runLoad runs the callers while the faults are injected and removed.
func (r *run) runLoad(ctx context.Context, random *rand.Rand, faults []Fault) error {
	load, stop := context.WithCancel(ctx)
	defer stop()
	var tasks, injections sync.WaitGroup
	submitting, watching := rand.New(rand.NewPCG(random.Uint64(), 1)), rand.New(rand.NewPCG(random.Uint64(), 2))
	tasks.Go(func() { r.submitAll(load, submitting) })
	tasks.Go(func() { r.watchStates(load, watching) })
	tasks.Go(func() { r.watchUsage(load) })
	var mu sync.Mutex // guards failure
	var failure error
	for _, f := range faults {
		injections.Go(func() {
			if err := r.inject(ctx, f); err != nil {
				mu.Lock()
				defer mu.Unlock()
				failure = eris.Wrapf(err, "fault %s", f)
			}
		})
	}
	sleep(ctx, r.options.Length)
	injections.Wait()
	stop()
	tasks.Wait()
	return failure
}

// inject begins a fault at its time and ends it after its duration.
func (r *run) inject(ctx context.Context, f Fault) error {
	sleep(ctx, f.At)
	heal, err := faultKinds[f.Kind](r, f)
	if err != nil {
		return err
	}
	sleep(ctx, f.For)
	return heal()
}

// watchUsage compares the team's usage with its ceiling until ctx is done.
func (r *run) watchUsage(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, usageInterval)
		var used resource.Vector
		for _, task := range r.platform.Fleet.Active() {
			used = used.Add(r.jobs.declaredResources(task))
		}
		if used.MilliCPU > ceiling.MilliCPU {
			r.reportViolation("the team runs %d milli-CPU of %d", used.MilliCPU, ceiling.MilliCPU)
		}
	}
}

// finish removes all faults, waits until the accepted jobs have ended and checks their ends.
func (r *run) finish(ctx context.Context) {
	r.platform.SetAnswerDelay(nil)
	r.platform.Store.SetFault(nil)
	r.platform.Store.Deliver()
	for _, m := range r.machines {
		m.store.set(modeForward)
		if err := m.links.openAll(ctx); err != nil {
			r.reportViolation("links of %s: %v", m.name, err)
		}
		if err := r.restart(m); err != nil {
			r.reportViolation("machine %s does not start again: %v", m.name, err)
		}
	}
	for _, p := range r.workers {
		p.set(modeForward)
	}
	client := newClient(goodKey)
	open := r.jobs.snapshot()
	limit := finishLimit + workDuration(open)
	for began := time.Now(); len(open) > 0 && time.Since(began) < limit && ctx.Err() == nil; sleep(ctx, pollInterval) {
		var left []*job
		for i, j := range open {
			if j.accepted && !ended(r.pollState(client, j, r.machines[i%len(r.machines)])) {
				left = append(left, j)
			}
		}
		open = left
	}
	for _, j := range open {
		r.reportViolation("accepted job %s has not ended %s after healing: %q", j.id, limit, j.state)
	}
	r.checkEnds()
	for _, v := range r.platform.Fleet.Violations() {
		r.reportViolation("%s", v)
	}
}

// workDuration returns how long the work of jobs takes at the team's ceiling.
func workDuration(all []*job) time.Duration {
	milliCPUMs := int64(0)
	for _, j := range all {
		for _, step := range j.steps {
			milliCPUMs += int64(step.Count) * step.MilliCPU * step.EstimateMs
		}
	}
	return time.Duration(milliCPUMs/ceiling.MilliCPU) * time.Millisecond
}

// checkEnds compares how each job ended with what its callers were told and with what ran.
func (r *run) checkEnds() {
	starts := r.platform.Fleet.Starts()
	for _, j := range r.jobs.snapshot() {
		for _, task := range j.tasks() {
			switch {
			case j.refused && starts[task] > 0:
				r.reportViolation("%s ran although all submissions of job %s were refused", task, j.id)
			case j.state == completed && starts[task] == 0:
				r.reportViolation("job %s is completed but %s never ran", j.id, task)
			}
		}
		if j.state == cancelled && !j.cancelled {
			r.reportViolation("job %s is cancelled although no caller cancelled it", j.id)
		}
		if j.state == failed && !j.crashes && !r.mayFail.Load() {
			r.reportViolation("job %s failed although no worker failed a task and none of its tasks crashes workers", j.id)
		}
	}
}

func (r *run) fillReport(report *Report) {
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
		count(&report.Crashing, j.crashes && j.accepted)
		count(&report.GivenUp, j.crashes && j.state == failed)
	}
}

// close ends all processes and services.
func (r *run) close() {
	for _, m := range r.machines {
		if m.running() {
			_ = m.kill() // the run is over; the result does not matter
		}
		m.store.close()
		m.links.close()
	}
	for _, p := range r.workers {
		p.close()
	}
	if r.platform != nil {
		r.platform.Close()
	}
}

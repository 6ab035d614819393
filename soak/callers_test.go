package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"siskinstack.example/siskinstack/platform/emulator"
	"siskinstack.example/siskinstack/resource"
)

const (
	// submitInterval is the time between two jobs. At this rate, the jobs use about the team's ceiling.
	submitInterval = 60 * time.Millisecond
	// pollInterval is the time between two state queries.
	pollInterval = 10 * time.Millisecond
	// callTimeout is the timeout of a caller, shorter than the queues allow.
	callTimeout = 2 * time.Second
	// retryInterval is the time before a caller tries the next machine.
	retryInterval = 200 * time.Millisecond
	// One job in cancelOneIn is cancelled, one refused job in retryOneIn is retried, and one job in secondKeyOneIn is
	// submitted with the key that is revoked at times.
	cancelOneIn    = 12
	retryOneIn     = 2
	secondKeyOneIn = 5
	// crashOneIn is the share of jobs with a task that crashes its workers, while such jobs are submitted.
	crashOneIn = 8
	// lastOneIn is the share of jobs with tasks that last, while such jobs are submitted; lastingFor is how long these tasks
	// run. It exceeds the longest fault.
	lastOneIn  = 3
	lastingFor = 8 * time.Second
	// memoryMB is what each task declares, far below a worker's memory, so that processors are the scarce resource.
	memoryMB = 256

	milliPerCore = 1000
	megabyte     = 1 << 20
)

// Job states as callers see them.
const (
	completed = "completed"
	failed    = "failed"
	cancelled = "cancelled"
)

// job is a submitted job with what its callers know about it.
type job struct {
	id, queue string
	steps     []emulator.Step
	// crashes is true if the first task crashes each worker that starts it.
	crashes bool

	mu sync.Mutex // guards the fields below
	// accepted is true after a successful call, unknown after a call whose outcome is unknown.
	accepted, unknown bool
	// refused is true if every call so far is known not to have been carried out.
	refused   bool
	cancelled bool
	state     string
}

// jobs holds all jobs of a run.
type jobs struct {
	mu   sync.Mutex // guards all and list
	all  map[string]*job
	list []*job // in order of submission
	// crashing is true while jobs with a task that crashes its workers are submitted.
	crashing atomic.Bool
	// lasting is true while jobs with tasks that outlast a cut of their zone are submitted.
	lasting atomic.Bool
}

// runForTask returns how long a task runs.
func (j *jobs) runForTask(task string) time.Duration {
	step := j.stepOf(task)
	return time.Duration(step.EstimateMs) * time.Millisecond
}

// crashesWorkers reports whether a task crashes each worker that starts it.
func (j *jobs) crashesWorkers(task string) bool {
	id, rest, _ := strings.Cut(task, ".")
	j.mu.Lock()
	defer j.mu.Unlock()
	known := j.all[id]
	return known != nil && known.crashes && rest == "0.0.0"
}

func (j *jobs) add(added *job) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.all[added.id] = added
	j.list = append(j.list, added)
}

func (j *jobs) snapshot() []*job {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]*job(nil), j.list...)
}

// declaredResources returns the resources that a task declared.
func (j *jobs) declaredResources(task string) resource.Vector {
	step := j.stepOf(task)
	return resource.Vector{MilliCPU: step.MilliCPU, MemoryBytes: step.MemoryMB * megabyte}
}

// stepOf returns the step of a task, or the zero step. A task's name consists of job, occurrence, step and index.
func (j *jobs) stepOf(task string) emulator.Step {
	id, rest, _ := strings.Cut(task, ".")
	var occurrence, step, index int
	if n, err := fmt.Sscanf(rest, "%d.%d.%d", &occurrence, &step, &index); err != nil || n != 3 {
		return emulator.Step{}
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	known := j.all[id]
	if known == nil || step >= len(known.steps) {
		return emulator.Step{}
	}
	return known.steps[step]
}

// tasks returns the names of a job's tasks.
func (j *job) tasks() []string {
	var names []string
	for i, step := range j.steps {
		for index := range step.Count {
			names = append(names, fmt.Sprintf("%s.0.%d.%d", j.id, i, index))
		}
	}
	return names
}

// newClient returns a client that reuses its connections.
func newClient(key string) *emulator.Client {
	return &emulator.Client{HTTP: &http.Client{Transport: &http.Transport{}}, Key: key, Timeout: callTimeout}
}

// submitAll submits jobs until ctx is done and waits for the outcome of each submission.
func (r *run) submitAll(ctx context.Context, random *rand.Rand) {
	client, second := newClient(goodKey), newClient(secondKey)
	queues := []string{emulator.QueueUrgent, emulator.QueueNormal, emulator.QueueAdvised}
	var calls sync.WaitGroup
	defer calls.Wait()
	for n := uint64(1); ctx.Err() == nil; n++ {
		added := &job{id: fmt.Sprintf("%08x%08x", uint32(r.options.Seed), n), queue: queues[random.IntN(len(queues))]}
		added.steps = append(added.steps, drawStep(random))
		if random.IntN(2) == 0 {
			next := drawStep(random)
			next.After = []int32{0}
			added.steps = append(added.steps, next)
		}
		if r.jobs.lasting.Load() && n%lastOneIn == 0 {
			added.steps[0].EstimateMs = lastingFor.Milliseconds()
		}
		added.crashes = r.jobs.crashing.Load() && n%crashOneIn == 0
		r.jobs.add(added)
		first, retries := random.IntN(len(r.machines)), random.IntN(retryOneIn) == 0
		cancels, caller := random.IntN(cancelOneIn) == 0, client
		if random.IntN(secondKeyOneIn) == 0 {
			caller = second
		}
		calls.Go(func() { r.submit(caller, added, first, retries, cancels) })
		sleep(ctx, submitInterval)
	}
}

func drawStep(random *rand.Rand) emulator.Step {
	return emulator.Step{
		Count: 1 + random.Int32N(4), MilliCPU: (1 + random.Int64N(3)) * milliPerCore, MemoryMB: memoryMB,
		EstimateMs: runFor.Milliseconds(),
	}
}

// submit submits a job through one machine after the other until the outcome is known, with at most 12 attempts. A
// refused job is retried only if retries is set.
func (r *run) submit(client *emulator.Client, j *job, first int, retries, cancels bool) {
	const maxAttempts = 12
	for i := range maxAttempts {
		m := r.machines[(first+i)%len(r.machines)]
		revoked := client.Key == secondKey && r.mustRefuse(time.Now())
		outcome, status := client.Submit(context.Background(), m.frontend, j.queue, j.id, j.steps)
		j.mu.Lock()
		j.accepted = j.accepted || outcome == emulator.Done
		j.unknown = j.unknown || outcome == emulator.Unknown
		j.refused = !j.accepted && !j.unknown
		done := j.accepted || j.refused && !retries
		j.mu.Unlock()
		if revoked && outcome == emulator.Done && r.mustRefuse(time.Now()) {
			r.reportViolation("job %s was accepted by %s with a key that was revoked longer ago than the bound (status %d)", j.id, m.name, status)
		}
		if done {
			break
		}
		time.Sleep(retryInterval)
	}
	j.mu.Lock()
	accepted := j.accepted
	j.mu.Unlock()
	if accepted && cancels {
		r.cancel(client, j, first)
	}
}

func (r *run) cancel(client *emulator.Client, j *job, first int) {
	j.mu.Lock()
	j.cancelled = true // from now on the job may end as cancelled
	j.mu.Unlock()
	client.Cancel(context.Background(), r.machines[first].frontend, j.queue, j.id)
}

// ended reports whether a state is final.
func ended(state string) bool { return state == completed || state == failed || state == cancelled }

// watchStates queries the states of accepted jobs until ctx is done. It reports a violation if an accepted job is not
// known, or if the state of an ended job changes.
func (r *run) watchStates(ctx context.Context, random *rand.Rand) {
	client := newClient(goodKey)
	for ctx.Err() == nil {
		sleep(ctx, pollInterval)
		all := r.jobs.snapshot()
		if len(all) == 0 {
			continue
		}
		r.pollState(client, all[random.IntN(len(all))], r.machines[random.IntN(len(r.machines))])
	}
}

// pollState queries one machine for the state of a job and returns the latest known state.
func (r *run) pollState(client *emulator.Client, j *job, m *machine) string {
	j.mu.Lock()
	accepted, before := j.accepted, j.state
	j.mu.Unlock()
	if !accepted {
		return ""
	}
	state, notFound := client.State(context.Background(), m.frontend, j.queue, j.id)
	if notFound {
		r.reportViolation("accepted job %s is not known to %s", j.id, m.name)
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if state == "" {
		return j.state
	}
	if ended(before) && state != before {
		r.reportViolation("job %s was %s and is %s at %s", j.id, before, state, m.name)
	}
	if !ended(j.state) {
		j.state = state
	}
	return j.state
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

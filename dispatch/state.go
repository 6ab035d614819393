// Package dispatch decides which task runs on which worker. It does no I/O and reads no clock: its inputs are jobs,
// workers, reports, advice and answers to orders, its output is a plan of starts, stops and requests for advice. A
// start is ordered only after the commit that records its worker, so that the next controller knows every worker on
// which a task may run.
package dispatch

import (
	"time"

	"github.com/rotisserie/eris"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/policy"
	"siskinstack.example/siskinstack/resource"
)

// Bounds of a job. A job is read by every later controller, so one that takes too much memory or whose sums overflow
// would end them all.
const (
	// maxTasksPerStep and maxTasksPerJob bound the memory of a step and of all occurrences of a job. A task takes about
	// 300 bytes, and the smallest machines have 184 MB.
	maxTasksPerStep = 10_000
	maxTasksPerJob  = 50_000
	// The amounts exceed those of any worker: a million cores, 256 TB, and a million accelerators.
	maxTaskMilliCPU     = 1_000_000_000
	maxTaskMemoryMB     = 256 << 20
	maxTaskAccelerators = 1 << 20
	// maxDurationMs is 30 days. maxUnixMs is the year 2286 and bounds intervals as well as times.
	maxDurationMs = 30 * 24 * 3_600_000
	maxUnixMs     = 10_000_000_000_000
)

var (
	errNoSteps     = eris.New("workflow has no steps")
	errOccurrences = eris.New("number or times of occurrences are out of range")
)

// Limits holds the limits configured for a deployment.
type Limits struct {
	// StatusKept is how long the state of an ended job is retained.
	StatusKept time.Duration
	// OrderTimeout is the longest time between sending a start order and applying its answer or its timeout.
	OrderTimeout time.Duration
	// Features are the optional decisions.
	Features Features
	// Forecast measures the starts from which the waits of further jobs are forecast.
	Forecast bool
}

// Log receives the decisions of a State.
type Log interface {
	Decision(event, job string, values ...any)
	// Waits logs why tasks of a step have no worker.
	Waits(job, step string, reason WaitReason, tasks int)
}

// State is the controller's scheduling state: workers, jobs and teams. It is not safe for concurrent use.
type State struct {
	limits    Limits
	log       Log
	policy    *policy.Policy
	evacuated map[string]bool
	workers   map[string]*Worker
	jobs      map[string]*Job
	// activeJobs are the jobs that have not ended or still have tasks on workers.
	activeJobs map[string]*Job
	teams      map[string]*teamUsage
	// dirty are the jobs with changes that wait for a commit, dirtyQueue the same in the order in which they became dirty.
	dirty      map[string]*Job
	dirtyQueue []*Job
	// cancelled are the jobs whose cancellation was seen before the job itself.
	cancelled map[string]bool
	// allowedRatios is a moving average of the fraction of workers that a queue's advice allows, by queue.
	allowedRatios map[string]float64
	// index finds workers by their state. openZones are its zones that are not evacuated, in the current plan.
	index     *fleetIndex
	openZones []*zoneIndex
	// failing contains the images whose tasks have failed since the last sound run, heldBack the workers that were suspended.
	failing  map[string]*failingImage
	heldBack map[*Worker]struct{}
	// waitingTeams are the teams with steps that may start, in the current plan.
	waitingTeams map[string]struct{}
	// unanswered are the tasks whose start order waits for an answer, with the time of its commit, and those whose order is
	// planned if they are late or beyond their team's rate, with the time of the plan. pendingOrders is the number of those that are not overdue, and of
	// all that the current plan adds.
	unanswered    map[*Task]time.Time
	pendingOrders int
	// stops are the tasks whose runs are to be stopped.
	stops map[*Task]struct{}
	// orphaned are the workers with confirmed orphans.
	orphaned map[*Worker]struct{}
	// probes are the suspects that run on a worker of their own.
	probes map[*Task]struct{}
	// formerOrdersUntil is when all orders of an earlier controller have been answered or given up.
	formerOrdersUntil time.Time
	// planTime and planUnixMs are the time of the current plan on the monotonic and the wall clock.
	planTime   time.Time
	planUnixMs int64
	// frontier contains all steps with waiting tasks whose earlier steps have succeeded. It may contain others, which
	// readySteps removes.
	frontier map[*Step]struct{}
	// capacity is the total capacity of the listed, reachable workers outside evacuated zones, activeWeight the total
	// weight of the teams with work, in the current plan.
	capacity     resource.Vector
	activeWeight int64
	// reserved is the part of each team's ceiling that the current plan reserves for waiting tasks of urgent steps.
	reserved map[string]resource.Vector
	// estimates holds what is learned from ended runs, or is nil.
	estimates *runEstimates
	// forecast is nil if waits are not forecast.
	forecast *waitForecast
	budget   adviceBudget
	// claimed is the free capacity of workers that steps of the current plan expect to use once they have tickets, or once
	// other runs have ended. stopped sums up the stops since the figures were taken.
	claimed map[*Worker]resource.Vector
	stopped stopFigures
	// usage is the decayed use of the teams, or nil.
	usage *usageLedger
}

// teamUsage is a team's running resources and its token bucket for jobs.
type teamUsage struct {
	running resource.Vector
	// tasks are the tasks of the team that have a worker.
	tasks map[*Task]struct{}
	// budget is the number of further jobs that are not in excess. It refills by the team's share per second, up to the
	// share.
	budget        float64
	budgetUpdated int64
}

// New returns an empty state.
func New(limits Limits, log Log) *State {
	return &State{
		limits: limits, log: log, evacuated: map[string]bool{}, workers: map[string]*Worker{},
		jobs: map[string]*Job{}, activeJobs: map[string]*Job{}, teams: map[string]*teamUsage{}, dirty: map[string]*Job{},
		allowedRatios: map[string]float64{}, cancelled: map[string]bool{}, frontier: map[*Step]struct{}{},
		reserved: map[string]resource.Vector{}, index: newFleetIndex(), stops: map[*Task]struct{}{},
		orphaned: map[*Worker]struct{}{}, probes: map[*Task]struct{}{}, failing: map[string]*failingImage{}, heldBack: map[*Worker]struct{}{},
		unanswered: map[*Task]time.Time{}, waitingTeams: map[string]struct{}{}, estimates: newRunEstimates(limits.Features),
		forecast: newWaitForecast(limits),
		budget:   adviceBudget{figures: adviceFigures{queues: map[string]*AdviceFigures{}}, claims: map[*Worker]float64{}, quickClaims: map[*Worker]float64{}},
		claimed:  map[*Worker]resource.Vector{}, usage: newUsageLedger(limits.Features.UsageHalfLife),
	}
}

// SetPolicy sets the policy; nil means that it is not known.
func (s *State) SetPolicy(p *policy.Policy) {
	s.policy = p
}

// SetEvacuated replaces the set of evacuated availability zones.
func (s *State) SetEvacuated(zones map[string]bool) {
	s.evacuated = zones
}

// queue returns the current policy of a job's queue, or the one under which the job was accepted if the queue was
// removed.
func (s *State) queue(j *Job) *siskinv1.QueuePolicy {
	if j.queue == nil || j.queueOf != s.policy {
		j.queue, j.queueOf = j.Record.GetQueue(), s.policy
		if s.policy != nil {
			if q := s.policy.Queue(j.Record.GetQueue().GetName()); q != nil {
				j.queue = q
			}
		}
	}
	return j.queue
}

// AddJob adds an accepted job with its progress, which may be nil, and returns it. A known job is returned unchanged.
func (s *State) AddJob(record *siskinv1.Workflow, progress *siskinv1.WorkflowProgress) *Job {
	if known := s.jobs[record.GetId()]; known != nil {
		return known
	}
	j := newJob(record, progress, s.restorePlace)
	s.jobs[record.GetId()] = j
	j.excess = s.overRate(j)
	s.noteArrival(j)
	if !j.Ended() || j.placed > 0 {
		s.activeJobs[record.GetId()] = j
		for _, o := range j.occurrences {
			s.addToFrontier(o)
		}
	}
	if j.Ended() {
		// The controller that made the end durable may not have stopped all runs.
		s.stopAll(j)
	}
	if s.cancelled[record.GetId()] {
		delete(s.cancelled, record.GetId())
		s.Cancel(record.GetId(), record.GetAcceptedUnixMs())
	}
	return j
}

// addToFrontier adds the steps of an occurrence that have waiting tasks to the frontier.
func (s *State) addToFrontier(o *occurrence) {
	for _, step := range o.steps {
		if step.waiting > 0 {
			s.frontier[step] = struct{}{}
		}
	}
}

// restorePlace places a task on the worker in its stored progress. An unknown worker is added as unlisted.
func (s *State) restorePlace(t *Task, saved *siskinv1.TaskProgress) {
	w := s.workers[saved.GetWorker()]
	if w == nil {
		w = newWorker(infra.FleetWorker{ID: saved.GetWorker(), Incarnation: saved.GetIncarnation()}, s.index)
		w.Listed = false
		s.index.update(w)
		s.workers[saved.GetWorker()] = w
	}
	s.place(t, w)
	t.phase, t.sent = phaseOrdered, true
	s.beginProbe(t)
}

// overRate reports whether a job exceeds its team's guaranteed job rate; if not, it takes one job from the team's
// budget.
func (s *State) overRate(j *Job) bool {
	team := j.Record.GetTeam()
	if team == "" || s.policy == nil {
		return false
	}
	rate := float64(s.policy.Teams[team].Share)
	if rate <= 0 {
		return false
	}
	use := s.team(team)
	at := j.Record.GetAcceptedUnixMs()
	if use.budgetUpdated == 0 {
		use.budget, use.budgetUpdated = rate, at
	}
	if at > use.budgetUpdated {
		use.budget = min(rate, use.budget+rate*float64(at-use.budgetUpdated)/1000)
		use.budgetUpdated = at
	}
	if use.budget < 1 {
		return true
	}
	use.budget--
	return false
}

func (s *State) team(name string) *teamUsage {
	use := s.teams[name]
	if use == nil {
		use = &teamUsage{tasks: map[*Task]struct{}{}}
		s.teams[name] = use
	}
	return use
}

// Job returns a job, or nil.
func (s *State) Job(id string) *Job { return s.jobs[id] }

// ShownPhase returns the phase to report to callers. An end is reported only once it is durable, because other machines
// read it from the store.
func (j *Job) ShownPhase() siskinv1.WorkflowPhase {
	switch {
	case ended(j.DurablePhase):
		return j.DurablePhase
	case j.hasStarted():
		return siskinv1.WorkflowPhase_WORKFLOW_PHASE_RUNNING
	default:
		return siskinv1.WorkflowPhase_WORKFLOW_PHASE_QUEUED
	}
}

// Pending returns the number of jobs of a queue that have not started. Jobs with due times are not counted.
func (s *State) Pending(queue string) int {
	n := 0
	for _, j := range s.activeJobs {
		if j.Record.GetQueue().GetName() == queue && !j.hasStarted() && !j.Ended() && j.Record.GetOccurrences() == 0 {
			n++
		}
	}
	return n
}

// Cancel cancels a job that has not ended. A cancellation of an unknown job is kept until the job is added, because a
// listing of the store may contain it before the job.
func (s *State) Cancel(id string, unixMs int64) {
	j := s.jobs[id]
	if j == nil {
		s.cancelled[id] = true
		return
	}
	if j.Ended() {
		return
	}
	s.endJob(j, siskinv1.WorkflowPhase_WORKFLOW_PHASE_CANCELLED, unixMs)
	s.log.Decision("cancelled", id, "running", j.placed)
}

// endJob ends a job in a phase and stops its runs.
func (s *State) endJob(j *Job, phase siskinv1.WorkflowPhase, unixMs int64) {
	j.Phase, j.EndedUnixMs = phase, unixMs
	s.markDirty(j)
	s.stopAll(j)
	s.closeIfEnded(j)
}

// stopAll stops all runs of a job.
func (s *State) stopAll(j *Job) {
	for _, o := range j.occurrences {
		for _, step := range o.steps {
			for i := range step.tasks {
				s.requestStop(&step.tasks[i], "job ended")
			}
		}
	}
}

// closeIfEnded drops a job that has ended and has no tasks on workers from the active jobs, and removes its steps.
func (s *State) closeIfEnded(j *Job) {
	if j.Ended() && j.placed == 0 {
		delete(s.activeJobs, j.Record.GetId())
		j.occurrences = nil
		s.markDirty(j)
	}
}

func (s *State) markDirty(j *Job) {
	id := j.Record.GetId()
	if s.dirty[id] == nil {
		s.dirtyQueue = append(s.dirtyQueue, j)
	}
	s.dirty[id] = j
}

// place assigns a task to a worker.
func (s *State) place(t *Task, w *Worker) {
	t.worker = w
	if !t.done {
		t.step.waiting--
	}
	t.step.job.placed++
	w.add(t)
	use := s.team(t.step.job.Record.GetTeam())
	use.running = use.running.Add(declaredResources(t.step.spec))
	s.usage.runs(t.step.job.Record.GetTeam(), declaredResources(t.step.spec))
	use.tasks[t] = struct{}{}
}

// release removes a task from its worker. The task waits again unless it is done.
func (s *State) release(t *Task) {
	w := t.worker
	if w == nil {
		return
	}
	s.endProbe(t)
	w.remove(t)
	w.health.release(t)
	delete(s.stops, t)
	delete(s.unanswered, t)
	t.worker, t.phase = nil, phaseNone
	t.unconfirmed, t.stop, t.stopping, t.stopReason = false, false, false, ""
	t.stopAnsweredAt, t.stopOrderedAt, t.stopAfter = time.Time{}, time.Time{}, time.Time{}
	t.orderedAt, t.listedAt = time.Time{}, time.Time{}
	t.percent, t.progressAt = 0, time.Time{}
	t.resolveRestored()
	t.sent, t.sound, t.closed, t.startedAt = false, false, false, time.Time{}
	j := t.step.job
	if !t.done {
		t.step.waiting++
		s.frontier[t.step] = struct{}{}
	}
	j.placed--
	use := s.team(j.Record.GetTeam())
	use.running = use.running.Sub(declaredResources(t.step.spec))
	s.usage.runs(j.Record.GetTeam(), declaredResources(t.step.spec).Scale(-1))
	delete(use.tasks, t)
	s.markDirty(j)
	s.closeIfEnded(j)
}

func (s *State) requestStop(t *Task, reason string) {
	if t.worker == nil || t.stop {
		return
	}
	t.stop, t.stopReason = true, reason
	s.stops[t] = struct{}{}
}

// ExpiredJobs returns at most the given number of ended jobs that are past their retention. The caller deletes their
// records and then calls Forget.
func (s *State) ExpiredJobs(unixMs int64, limit int) []string {
	var expired []string
	for id, j := range s.jobs {
		if len(expired) >= limit {
			break
		}
		pastRetention := unixMs-j.EndedUnixMs > s.limits.StatusKept.Milliseconds()
		if j.Ended() && j.placed == 0 && ended(j.DurablePhase) && pastRetention && s.dirty[id] == nil && !j.saving {
			expired = append(expired, id)
		}
	}
	return expired
}

// Forget removes a job whose stored records were deleted.
func (s *State) Forget(id string) { delete(s.jobs, id) }

// Worker returns a worker, or nil.
func (s *State) Worker(id string) *Worker { return s.workers[id] }

// Workers returns all workers by identifier. The caller must not change the map.
func (s *State) Workers() map[string]*Worker { return s.workers }

// AssumeOrders assumes that an earlier controller sent orders until the given time.
func (s *State) AssumeOrders(until time.Time) { s.formerOrdersUntil = until.Add(s.limits.OrderTimeout) }

// AssumeLeases assumes that an earlier controller extended the lease of every worker until the given time. A worker that
// never answers this controller may have ended before now.
func (s *State) AssumeLeases(now, until time.Time) {
	s.AssumeOrders(now)
	for _, w := range s.workers {
		s.RenewSent(w, until)
		if w.lostAt.IsZero() {
			w.lostAt = now
		}
	}
}

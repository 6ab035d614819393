package dispatch

import (
	"fmt"
	"maps"
	"strconv"
	"strings"
	"time"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/policy"
	"siskinstack.example/siskinstack/resource"
)

// adviceWorkers is the number of workers per advice call that the latency objective of a job assumes.
const adviceWorkers = 30

// Job is an accepted workflow with its progress.
type Job struct {
	Record *siskinv1.Workflow
	Phase  siskinv1.WorkflowPhase
	// DurablePhase is the phase in the store. An end is not shown to callers before it is durable.
	DurablePhase siskinv1.WorkflowPhase
	EndedUnixMs  int64
	occurrences  []*occurrence
	// started is true once a run of any task has begun. restored is the number of tasks whose run was planned by an earlier
	// controller and has not been reported, so that it may have begun.
	started  bool
	restored int
	// excess is true if the job exceeded its team's guaranteed job rate when it was added.
	excess bool
	// placed is the number of tasks with a worker.
	placed int
	// orders are the starts, and ends the reported ends of runs, that the next commit contains.
	orders []*Task
	ends   []pendingEnd
	// setAside is true after a decision about the job failed; it gets no further starts.
	setAside bool
	// queue is the policy of the job's queue in the configuration queueOf. Each plan asks for it several times.
	queue   *siskinv1.QueuePolicy
	queueOf *policy.Policy
	// endOnly is true if only the end of the job is stored.
	endOnly bool
	// saving is true while a commit of the job is in flight.
	saving bool
	// predictUnixMs is when its times are predicted again.
	predictUnixMs int64
	// arrival is kept if waits are forecast.
	arrival arrival
	// preemptedAt is when runs of the job were last stopped for urgent work.
	preemptedAt time.Time
}

// occurrence is one execution of a job's steps.
type occurrence struct {
	dueUnixMs int64
	// deadlineUnixMs is the due time plus the latency objective.
	deadlineUnixMs int64
	steps          []*Step
	done           bool
}

// Step is a group of identical tasks of one occurrence.
type Step struct {
	job        *Job
	occurrence *occurrence
	spec       *siskinv1.WorkflowStep
	name       string
	index      int
	tasks      []Task
	waiting    int // tasks that wait for a worker
	unfinished int // tasks that have not succeeded
	advice     advice
	// remainingMs is the estimated time from the start of the step to the end of its occurrence, in milliseconds.
	remainingMs float64
	// homeZone is the availability zone that the tasks prefer.
	homeZone string
	// checkpoint is the newest checkpoint of a gang, from which all members resume.
	checkpoint string
	// avoided are the workers on which members of a gang failed or stalled, with the time until which no member is placed
	// there.
	avoided map[string]time.Time
	// faults are what the newest run of a gang that failed or stalled shows about its workers.
	faults runFaults
	// nextTry is when placement is tried again after no worker was found, retryDelay the delay before it.
	nextTry    time.Time
	retryDelay time.Duration
	// loggedReason is the wait reason that was logged last; the next one is logged after nextWaitLog.
	loggedReason WaitReason
	nextWaitLog  time.Time
	// urgent is true if the step may preempt others in the current plan; overShare is true if one more task would bring
	// its team above its share.
	urgent, overShare bool
	// reservedSince is the start of the step's uninterrupted reservation of its team's ceiling.
	reservedSince time.Time
	// preemptAfter is when the step may preempt again.
	preemptAfter time.Time
	// samples are the runs that succeeded, until the last one has.
	samples []sample
	// call is the newest call for advice, if stops are costed.
	call adviceCall
	// expected is the free capacity that the step expected to use when it was last tried, if stops are costed.
	expected []expectedRoom
}

// Task is one task of a step.
type Task struct {
	step  *Step
	index int32
	done  bool
	run   int32
	// failures is the number of failed runs, and failedRun the newest one that was counted. Those of a gang are counted in
	// its first task.
	failures, failedRun int32
	// worker is the worker on which the newest run may be, or nil; incarnation is the one that was known when the run was
	// planned or its start order was sent, or that last listed the run.
	worker      *Worker
	incarnation int64
	checkpoint  string
	phase       runPhase
	// sent is true once the start order may have left.
	sent bool
	// unconfirmed is true if the start order was not answered, so that the run may or may not exist.
	unconfirmed bool
	// orderedAt is when the start order was answered or given up, or when the run was first reported.
	orderedAt time.Time
	// stop is true if the run is to be stopped, stopping while the stop order is in flight.
	stop       bool
	stopReason string
	stopping   bool
	// stopAnsweredAt is when the worker last confirmed a stop order; zero if it has not.
	stopAnsweredAt time.Time
	// stopOrderedAt is when the stop was last ordered, and stopAfter when it may be ordered again.
	stopOrderedAt, stopAfter time.Time
	// listedAt is when a report last listed the run.
	listedAt time.Time
	// percent is the reported progress of the run, progressAt when it last increased or the run was confirmed.
	percent    int32
	progressAt time.Time
	// sound is true once the run has made progress for soundAfter.
	sound bool
	// crashes are the crashes of workers under the task. Those of a gang are counted in its first task.
	crashes crashCount
	// plannedUnixMs is when the newest run was planned; restored is true if an earlier controller planned it and no worker
	// has reported it yet.
	plannedUnixMs int64
	restored      bool
	// sentAt is when the start order was sent. closed is true if the worker then closed the connection at once instead of
	// answering.
	sentAt time.Time
	closed bool
	// notBefore delays the next start of a task whose workers crash; for a gang, that of its first task.
	notBefore time.Time
	// avoid is the worker on which the task last failed or stalled. It may get the task again after avoidUntil. A gang keeps
	// its workers in its step.
	avoid      string
	avoidUntil time.Time
	// startedAt is when the start order was answered, or zero if the time of the run shows nothing.
	startedAt time.Time
	// checkpointAt is when a report last showed another checkpoint.
	checkpointAt time.Time
}

// runPhase is the state of a task's newest run.
type runPhase uint8

const (
	// phaseNone means that the task waits or is done.
	phaseNone runPhase = iota
	// phasePlanned means that the commit with the run's worker is not durable yet.
	phasePlanned
	// phaseOrdered means that the start order is in flight or was not answered.
	phaseOrdered
	// phaseActive means that the worker confirmed the run.
	phaseActive
)

// ID returns the name of the task.
func (t *Task) ID() string { return t.step.name + "." + strconv.Itoa(int(t.index)) }

// Run returns the number of the newest run.
func (t *Task) Run() int32 { return t.run }

// IsJobStarted reports whether any run of the task's job has begun.
func (t *Task) IsJobStarted() bool { return t.step.job.hasStarted() }

// Record returns the job of the task as it was accepted.
func (t *Task) Record() *siskinv1.Workflow { return t.step.job.Record }

// JobID returns the identifier of the task's job.
func (t *Task) JobID() string { return t.step.job.Record.GetId() }

// WorkerID returns the worker of the newest run, or "".
func (t *Task) WorkerID() string {
	if t.worker == nil {
		return ""
	}
	return t.worker.Info.ID
}

// allocation returns what the task takes from a worker's capacity. Backfill tasks take no CPU.
func (t *Task) allocation() resource.Vector {
	amount := declaredResources(t.step.spec)
	if t.step.spec.GetBackfill() {
		amount.MilliCPU = 0
	}
	return amount
}

func declaredResources(spec *siskinv1.WorkflowStep) resource.Vector {
	return resource.Vector{
		MilliCPU: spec.GetMilliCpu(), MemoryBytes: spec.GetMemoryMb() << 20, Accelerators: spec.GetAccelerators(),
	}
}

// counter returns the task in which failures and crashes are counted: the members of a gang run, and end, together.
func (t *Task) counter() *Task {
	if t.step.spec.GetGang() {
		return &t.step.tasks[0]
	}
	return t
}

// avoidWorker keeps the task, or its whole gang, from a worker until a time. If only the member that failed there avoided the
// worker, another one could be placed on it, and the next run of the gang would fail as well.
func (t *Task) avoidWorker(id string, until time.Time) {
	if !t.step.spec.GetGang() {
		t.avoid, t.avoidUntil = id, until
		return
	}
	if t.step.avoided == nil {
		t.step.avoided = map[string]time.Time{}
	}
	t.step.avoided[id] = until
}

// forgetAvoided removes the workers to which a gang may return.
func (s *Step) forgetAvoided(now time.Time) {
	maps.DeleteFunc(s.avoided, func(_ string, until time.Time) bool { return !now.Before(until) })
}

// avoids reports whether the task may not be placed on a worker yet.
func (t *Task) avoids(w *Worker, now time.Time) bool {
	if t.step.spec.GetGang() {
		return now.Before(t.step.avoided[w.Info.ID])
	}
	return w.Info.ID == t.avoid && now.Before(t.avoidUntil)
}

// isWaiting reports whether the task waits for a worker.
func (t *Task) isWaiting() bool { return !t.done && t.worker == nil }

// newJob builds a job from its record and, if not nil, its saved progress. The place function assigns placed tasks to
// their workers.
func newJob(record *siskinv1.Workflow, progress *siskinv1.WorkflowProgress, place func(*Task, *siskinv1.TaskProgress)) *Job {
	j := &Job{Record: record, Phase: siskinv1.WorkflowPhase_WORKFLOW_PHASE_QUEUED}
	if progress != nil {
		j.Phase, j.DurablePhase, j.EndedUnixMs = progress.GetPhase(), progress.GetPhase(), progress.GetEndedUnixMs()
		j.started = progress.GetStarted()
	}
	if ended(j.Phase) && len(progress.GetOccurrences()) == 0 {
		return j
	}
	count := max(1, int(record.GetOccurrences()))
	for k := range count {
		o := &occurrence{dueUnixMs: record.GetAcceptedUnixMs()}
		if record.GetOccurrences() > 0 {
			o.dueUnixMs = record.GetFirstUnixMs() + int64(k)*record.GetIntervalMs()
		}
		chain := newChain(record)
		o.deadlineUnixMs = o.dueUnixMs + chain.objective().Milliseconds()
		for i, spec := range record.GetSteps() {
			o.steps = append(o.steps, j.newStep(o, k, i, spec))
			o.steps[i].remainingMs = chain.remaining[i]
		}
		j.occurrences = append(j.occurrences, o)
		if progress != nil && k < len(progress.GetOccurrences()) {
			o.restore(progress.GetOccurrences()[k], place)
		}
		o.refresh()
	}
	return j
}

func (j *Job) newStep(o *occurrence, k, i int, spec *siskinv1.WorkflowStep) *Step {
	s := &Step{
		job: j, occurrence: o, spec: spec, index: i, name: fmt.Sprintf("%s.%d.%d", j.Record.GetId(), k, i),
		tasks: make([]Task, spec.GetCount()), waiting: int(spec.GetCount()), unfinished: int(spec.GetCount()),
	}
	for index := range s.tasks {
		s.tasks[index].step, s.tasks[index].index = s, int32(index)
	}
	return s
}

// finish marks the task as succeeded. It has no effect on a task that is done.
func (t *Task) finish() {
	if t.done {
		return
	}
	if t.worker == nil {
		t.step.waiting--
	}
	t.done = true
	t.step.unfinished--
}

// refresh sets done if all steps of the occurrence have succeeded.
func (o *occurrence) refresh() {
	o.done = true
	for _, s := range o.steps {
		if s.unfinished > 0 {
			o.done = false
		}
	}
}

func ended(phase siskinv1.WorkflowPhase) bool {
	switch phase {
	case siskinv1.WorkflowPhase_WORKFLOW_PHASE_SUCCEEDED, siskinv1.WorkflowPhase_WORKFLOW_PHASE_FAILED,
		siskinv1.WorkflowPhase_WORKFLOW_PHASE_CANCELLED:
		return true
	default:
		return false
	}
}

// hasStarted reports whether a run of any task has begun or, as far as is known, may have begun.
func (j *Job) hasStarted() bool { return j.started || j.restored > 0 }

// Placed returns the number of tasks with a worker.
func (j *Job) Placed() int { return j.placed }

// Ended reports whether the job succeeded, failed or was cancelled.
func (j *Job) Ended() bool { return ended(j.Phase) }

// chain is the estimated duration of an occurrence.
type chain struct {
	queue *siskinv1.QueuePolicy
	// remaining is the longest chain of steps that begins with each step, in milliseconds.
	remaining []float64
}

// newChain returns the chain of the caller's estimates.
func newChain(record *siskinv1.Workflow) chain {
	workMs := make([]float64, len(record.GetSteps()))
	for i, spec := range record.GetSteps() {
		workMs[i] = float64(spec.GetEstimateMs())
	}
	return newChainOf(record, workMs, true)
}

// newChainOf returns the chain of steps that take the given times, with or without an advice call for each.
func newChainOf(record *siskinv1.Workflow, workMs []float64, advised bool) chain {
	c := chain{queue: record.GetQueue(), remaining: make([]float64, len(record.GetSteps()))}
	perStep := float64(0)
	if a := c.queue.GetAdvice(); a != nil && advised {
		perStep = a.GetDecideMs() + adviceWorkers*a.GetPerWorkerMs()
	}
	// A step comes after those that it depends on.
	for i := len(c.remaining) - 1; i >= 0; i-- {
		spec := record.GetSteps()[i]
		c.remaining[i] += workMs[i] + perStep
		for _, dependency := range spec.GetAfter() {
			if int(dependency) < i {
				c.remaining[dependency] = max(c.remaining[dependency], c.remaining[i])
			}
		}
	}
	return c
}

// objective returns the latency objective of an occurrence: its critical path times the queue's slack factor, plus the
// queue's allowance.
func (c chain) objective() time.Duration {
	criticalPath := float64(0)
	for _, ms := range c.remaining {
		criticalPath = max(criticalPath, ms)
	}
	ms := c.queue.GetSlackFactor()*criticalPath + float64(c.queue.GetAllowanceMs())
	return time.Duration(ms * float64(time.Millisecond))
}

// due reports whether the step's occurrence may start.
func (s *Step) due(unixMs int64) bool {
	return s.job.Record.GetOccurrences() == 0 || unixMs >= s.occurrence.dueUnixMs
}

// unblocked reports whether all steps that the step depends on have succeeded.
func (s *Step) unblocked() bool {
	for _, dependency := range s.spec.GetAfter() {
		if s.occurrence.steps[dependency].unfinished > 0 {
			return false
		}
	}
	return true
}

// Validate returns an error if a workflow is malformed.
func Validate(record *siskinv1.Workflow) error {
	if len(record.GetSteps()) == 0 {
		return errNoSteps
	}
	if record.GetOccurrences() < 0 || !isTimeInRange(record.GetFirstUnixMs()) || !isTimeInRange(record.GetIntervalMs()) {
		return errOccurrences
	}
	tasks := int64(0)
	for i, spec := range record.GetSteps() {
		if spec.GetCount() <= 0 || spec.GetCount() > maxTasksPerStep {
			return fmt.Errorf("step %d has %d tasks", i, spec.GetCount())
		}
		if err := validateAmounts(spec); err != nil {
			return fmt.Errorf("step %d: %w", i, err)
		}
		tasks += int64(spec.GetCount())
		for _, dependency := range spec.GetAfter() {
			if dependency < 0 || int(dependency) >= i {
				return fmt.Errorf("step %d depends on step %d, which is not an earlier step", i, dependency)
			}
		}
	}
	if all := tasks * max(1, int64(record.GetOccurrences())); all > maxTasksPerJob {
		return fmt.Errorf("job has %d tasks in all occurrences, more than %d", all, maxTasksPerJob)
	}
	return nil
}

// validateAmounts returns an error if a step requests more than any worker has, or has a duration out of range. Sums
// over the tasks of a job and over the jobs of a team stay within an int64.
func validateAmounts(spec *siskinv1.WorkflowStep) error {
	for _, amount := range []struct {
		name         string
		value, limit int64
	}{
		{"cpu", spec.GetMilliCpu(), maxTaskMilliCPU}, {"memory", spec.GetMemoryMb(), maxTaskMemoryMB},
		{"accelerators", spec.GetAccelerators(), maxTaskAccelerators}, {"estimate", spec.GetEstimateMs(), maxDurationMs},
		{"latency objective", spec.GetLatencyObjectiveMs(), maxDurationMs},
	} {
		if amount.value < 0 || amount.value > amount.limit {
			return fmt.Errorf("%s of %d is out of range", amount.name, amount.value)
		}
	}
	return nil
}

func isTimeInRange(unixMs int64) bool { return unixMs >= 0 && unixMs <= maxUnixMs }

// parseTask splits the name of a task into its job and its position: occurrence, step and index.
func parseTask(name string) (job string, position [3]int, ok bool) {
	parts := strings.Split(name, ".")
	if len(parts) != 1+len(position) {
		return "", position, false
	}
	for i := range position {
		n, err := strconv.Atoi(parts[i+1])
		if err != nil || n < 0 {
			return "", position, false
		}
		position[i] = n
	}
	return parts[0], position, true
}

// task returns the task at a position as parseTask returns it, or nil.
func (j *Job) task(position [3]int) *Task {
	if position[0] >= len(j.occurrences) {
		return nil
	}
	steps := j.occurrences[position[0]].steps
	if position[1] >= len(steps) || position[2] >= len(steps[position[1]].tasks) {
		return nil
	}
	return &steps[position[1]].tasks[position[2]]
}

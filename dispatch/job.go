package dispatch

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/resource"
)

// adviceWorkers is the number of workers that a call for advice names when a job's objective is worked out.
const adviceWorkers = 30

// Job is a workflow with its progress.
type Job struct {
	Record *siskinv1.Workflow
	Phase  siskinv1.WorkflowPhase
	// DurablePhase is the phase that the store holds. Callers are shown no end before it is durable.
	DurablePhase siskinv1.WorkflowPhase
	EndedUnixMs  int64
	occurrences  []*occurrence
	// started is true once a run of any task was ordered.
	started bool
	// excess jobs exceed the rate that their team may count on.
	excess bool
	// placed is the number of tasks that may run on a worker.
	placed int
	// orders are the starts, and ends the ends of runs, that wait for the next commit.
	orders []*Task
	ends   []pendingEnd
	// saving is true while a change is under way to the store. dirtySince orders the changes that are not.
	saving     bool
	dirtySince int64
}

// occurrence is one execution of a job's steps.
type occurrence struct {
	dueUnixMs int64
	// deadlineUnixMs is when the occurrence should have ended.
	deadlineUnixMs int64
	steps          []*Step
	done           bool
}

// Step is a group of like tasks of one occurrence.
type Step struct {
	job        *Job
	occurrence *occurrence
	spec       *siskinv1.WorkflowStep
	name       string
	index      int
	tasks      []Task
	waiting    int
	unfinished int // tasks that have not succeeded
	advice     advice
	// homeZone is the availability zone in which the tasks are placed first.
	homeZone string
	// checkpoint is the newest one of a gang; all members resume from the same.
	checkpoint string
	// nextTry is when the step is looked at again after it found no worker, retryDelay the pause before that.
	nextTry    time.Time
	retryDelay time.Duration
	// waits is the reason that was logged last while the step had to wait; the next one is logged after nextWaitLog.
	loggedReason WaitReason
	nextWaitLog  time.Time
	// urgent steps may take the place of others in the present plan; above is true if one more task of the step would bring
	// its team above its share.
	urgent, overShare bool
	// reservedSince is since when the step has claimed its team's ceiling without a break.
	reservedSince time.Time
	// preemptAfter is when the step may take the place of other tasks again.
	preemptAfter time.Time
}

// Task is one task of a step.
type Task struct {
	step     *Step
	index    int32
	done     bool
	run      int32
	failures int32
	// worker is where the newest run may be, or nil.
	worker      *Worker
	incarnation int64
	checkpoint  string
	phase       runPhase
	// unconfirmed runs may or may not have reached the worker.
	unconfirmed bool
	// orderedAt is when the newest order to the worker was answered, or given up.
	orderedAt time.Time
	// stop is true if the run is to end; stopping while the order is under way.
	stop       bool
	stopReason string
	stopping   bool
	stopAnswer time.Time
	// stopAfter is when an unanswered stop may be ordered again.
	stopAfter  time.Time
	percent    int32
	progressAt time.Time
	// avoid is the worker on which the task failed last. It gets the task again only after avoidUntil.
	avoid      string
	avoidUntil time.Time
}

// runPhase is the state of a task's newest run.
type runPhase uint8

const (
	// phaseNone tasks wait or are done.
	phaseNone runPhase = iota
	// phasePlanned runs wait for the commit that names their worker.
	phasePlanned
	// phaseOrdered runs have an order under way or unanswered.
	phaseOrdered
	// phaseActive runs are known to run.
	phaseActive
)

// ID returns the name of the task.
func (t *Task) ID() string { return t.step.name + "." + strconv.Itoa(int(t.index)) }

// Run returns the number of the newest run.
func (t *Task) Run() int32 { return t.run }

// IsJobStarted reports whether any run of the task's job has begun.
func (t *Task) IsJobStarted() bool { return t.step.job.started }

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

// room is what the task takes from a worker's capacity. Backfill tasks take no processors.
func (t *Task) allocation() resource.Vector {
	room := declaredResources(t.step.spec)
	if t.step.spec.GetBackfill() {
		room.MilliCPU = 0
	}
	return room
}

func declaredResources(spec *siskinv1.WorkflowStep) resource.Vector {
	return resource.Vector{
		MilliCPU: spec.GetMilliCpu(), MemoryBytes: spec.GetMemoryMb() << 20, Accelerators: spec.GetAccelerators(),
	}
}

// isWaiting reports whether the task waits for a worker.
func (t *Task) isWaiting() bool { return !t.done && t.worker == nil }

// newJob builds a job from its record and, if there is one, its progress. Workers of placed tasks are looked up by place.
func newJob(record *siskinv1.Workflow, progress *siskinv1.WorkflowProgress, place func(*Task, *siskinv1.TaskProgress)) *Job {
	j := &Job{Record: record, Phase: siskinv1.WorkflowPhase_WORKFLOW_PHASE_QUEUED}
	if progress != nil {
		j.Phase, j.DurablePhase, j.EndedUnixMs = progress.GetPhase(), progress.GetPhase(), progress.GetEndedUnixMs()
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
		o.deadlineUnixMs = o.dueUnixMs + objective(record).Milliseconds()
		for i, spec := range record.GetSteps() {
			o.steps = append(o.steps, j.newStep(o, k, i, spec))
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

func (o *occurrence) restore(progress *siskinv1.OccurrenceProgress, place func(*Task, *siskinv1.TaskProgress)) {
	for i, p := range progress.GetSteps() {
		if i >= len(o.steps) {
			return
		}
		s := o.steps[i]
		for index := range s.tasks {
			t := &s.tasks[index]
			if p.GetDone() {
				t.finish()
				continue
			}
			if index < len(p.GetTasks()) {
				s.restoreTask(t, p.GetTasks()[index], place)
			}
		}
	}
}

func (s *Step) restoreTask(t *Task, saved *siskinv1.TaskProgress, place func(*Task, *siskinv1.TaskProgress)) {
	t.run, t.failures, t.checkpoint = saved.GetRun(), saved.GetFailures(), saved.GetCheckpoint()
	if s.spec.GetGang() && t.checkpoint != "" {
		s.checkpoint = t.checkpoint
	}
	if t.run > 0 {
		s.job.started = true
	}
	if saved.GetDone() {
		t.finish()
	}
	if saved.GetWorker() != "" {
		t.incarnation = saved.GetIncarnation()
		place(t, saved)
	}
}

// finish marks the task as succeeded.
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

// refresh notes whether all steps of the occurrence have succeeded.
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

// Placed returns the number of tasks that may run on a worker.
func (j *Job) Placed() int { return j.placed }

// Ended reports whether the job needs nothing more to run.
func (j *Job) Ended() bool { return ended(j.Phase) }

// objective is how long an occurrence may take: the longest chain of work with one call for advice a step, times the
// slack of the queue, and the queue's allowance.
func objective(record *siskinv1.Workflow) time.Duration {
	queue := record.GetQueue()
	perStep := float64(0)
	if a := queue.GetAdvice(); a != nil {
		perStep = a.GetDecideMs() + adviceWorkers*a.GetPerWorkerMs()
	}
	longest := make([]float64, len(record.GetSteps()))
	chain := float64(0)
	for i, spec := range record.GetSteps() {
		for _, before := range spec.GetAfter() {
			if int(before) < i {
				longest[i] = max(longest[i], longest[before])
			}
		}
		longest[i] += float64(spec.GetEstimateMs()) + perStep
		chain = max(chain, longest[i])
	}
	ms := queue.GetSlackFactor()*chain + float64(queue.GetAllowanceMs())
	return time.Duration(ms * float64(time.Millisecond))
}

// due reports whether the time of the step's occurrence has come.
func (s *Step) due(unixMs int64) bool {
	return s.job.Record.GetOccurrences() == 0 || unixMs >= s.occurrence.dueUnixMs
}

// unblocked reports whether all tasks of the earlier steps that a step waits for have succeeded.
func (s *Step) unblocked() bool {
	for _, before := range s.spec.GetAfter() {
		if s.occurrence.steps[before].unfinished > 0 {
			return false
		}
	}
	return true
}

// Validate returns a finding if a workflow cannot be what a caller means.
func Validate(record *siskinv1.Workflow) error {
	if len(record.GetSteps()) == 0 {
		return errNoSteps
	}
	for i, spec := range record.GetSteps() {
		if spec.GetCount() <= 0 || spec.GetCount() > maxTasksPerStep {
			return fmt.Errorf("step %d has %d tasks", i, spec.GetCount())
		}
		if declaredResources(spec).IsNegative() {
			return fmt.Errorf("step %d needs a negative amount", i)
		}
		for _, before := range spec.GetAfter() {
			if before < 0 || int(before) >= i {
				return fmt.Errorf("step %d comes after step %d, which is not an earlier one", i, before)
			}
		}
	}
	return nil
}

// parseTask splits the name of a task into its job, occurrence, step and index.
func parseTask(name string) (job string, place [3]int, ok bool) {
	parts := strings.Split(name, ".")
	if len(parts) != 1+len(place) {
		return "", place, false
	}
	for i := range place {
		n, err := strconv.Atoi(parts[i+1])
		if err != nil || n < 0 {
			return "", place, false
		}
		place[i] = n
	}
	return parts[0], place, true
}

// task returns a task by its place, or nil.
func (j *Job) task(place [3]int) *Task {
	if place[0] >= len(j.occurrences) {
		return nil
	}
	steps := j.occurrences[place[0]].steps
	if place[1] >= len(steps) || place[2] >= len(steps[place[1]].tasks) {
		return nil
	}
	return &steps[place[1]].tasks[place[2]]
}

// Progress returns the record of the job's progress.
func (j *Job) Progress() *siskinv1.WorkflowProgress {
	p := &siskinv1.WorkflowProgress{Phase: j.Phase, EndedUnixMs: j.EndedUnixMs}
	if j.Ended() && j.placed == 0 {
		return p
	}
	for _, o := range j.occurrences {
		saved := &siskinv1.OccurrenceProgress{}
		for _, s := range o.steps {
			saved.Steps = append(saved.Steps, s.progress())
		}
		p.Occurrences = append(p.Occurrences, saved)
	}
	return p
}

func (s *Step) progress() *siskinv1.StepProgress {
	saved := &siskinv1.StepProgress{}
	placed, touched := false, false
	for i := range s.tasks {
		placed = placed || s.tasks[i].worker != nil
		touched = touched || s.tasks[i].run > 0
	}
	if s.unfinished == 0 && !placed {
		saved.Done = true
		return saved
	}
	if !touched {
		return saved
	}
	for i := range s.tasks {
		t := &s.tasks[i]
		saved.Tasks = append(saved.Tasks, &siskinv1.TaskProgress{
			Done: t.done, Run: t.run, Failures: t.failures, Worker: t.WorkerID(), Incarnation: t.incarnation,
			Checkpoint: t.checkpoint,
		})
	}
	return saved
}

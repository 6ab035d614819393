package scheduler

import (
	"sort"

	"github.com/rotisserie/eris"

	"siskinstack.example/siskinstack/resource"
)

// defaultMaxAttempts is how often a task may fail before it counts as failed.
const defaultMaxAttempts = 3

// Errors of the core.
var (
	ErrDuplicateJob = eris.New("job is already known")
	ErrUnknownJob   = eris.New("job is not known")
)

// Cell is the state of one shard: its workers, teams, jobs and tasks.
type Cell struct {
	workers  map[string]*workerState
	teams    map[string]*teamState
	jobs     map[string]*jobState
	queue    []*jobState
	draining bool
}

type workerState struct {
	Worker
	used  resource.Vector
	tasks map[TaskID]*taskState
}

type teamState struct {
	Team
	running resource.Vector
}

type jobState struct {
	Job
	tasks     map[int32]*taskState
	cancelled bool
	counts    Counts
}

type taskState struct {
	id      TaskID
	job     *jobState
	attempt int32
	failed  int32
	worker  *workerState
	held    bool
	done    bool
	outcome Outcome
}

// NewCell returns an empty cell.
func NewCell() *Cell {
	return &Cell{
		workers: map[string]*workerState{},
		teams:   map[string]*teamState{},
		jobs:    map[string]*jobState{},
	}
}

// SetWorker adds or changes a worker.
func (c *Cell) SetWorker(w Worker) {
	state, ok := c.workers[w.Name]
	if !ok {
		state = &workerState{tasks: map[TaskID]*taskState{}}
		c.workers[w.Name] = state
	}
	state.Worker = w
}

// RemoveWorker forgets a worker. Its running tasks stay until the caller reports them as ended.
func (c *Cell) RemoveWorker(name string) {
	delete(c.workers, name)
}

// SetTeam adds or changes a team.
func (c *Cell) SetTeam(t Team) {
	state, ok := c.teams[t.Name]
	if !ok {
		state = &teamState{}
		c.teams[t.Name] = state
	}
	state.Team = t
}

// SetDraining starts or ends the drain of the shard's availability zone.
func (c *Cell) SetDraining(draining bool) { c.draining = draining }

// Submit adds a job.
func (c *Cell) Submit(job Job) error {
	if _, ok := c.jobs[job.ID]; ok {
		return ErrDuplicateJob
	}
	if job.MaxAttempts == 0 {
		job.MaxAttempts = defaultMaxAttempts
	}
	state := &jobState{Job: job, tasks: map[int32]*taskState{}}
	for _, index := range job.Indexes {
		state.tasks[index] = &taskState{id: TaskID{job.ID, index}, job: state}
	}
	state.counts.Queued = len(job.Indexes)
	c.jobs[job.ID] = state
	c.queue = append(c.queue, state)
	return nil
}

// Cancel ends a job: queued tasks are cancelled at once, running ones are returned to be stopped.
func (c *Cell) Cancel(id string) ([]Stop, error) {
	job, ok := c.jobs[id]
	if !ok {
		return nil, ErrUnknownJob
	}
	job.cancelled = true
	var stops []Stop
	for _, task := range job.tasks {
		switch {
		case task.done:
		case task.worker != nil:
			stops = append(stops, Stop{Task: task.id, Attempt: task.attempt, Worker: task.worker.Name, Reason: StopCancelled})
		default:
			task.done = true
			task.outcome = Cancelled
			job.counts.Queued--
			job.counts.Cancelled++
		}
	}
	return stops, nil
}

// Adopt records a task that was found running on a worker after a takeover.
func (c *Cell) Adopt(id TaskID, attempt int32, worker string, room resource.Vector) error {
	task, err := c.task(id)
	if err != nil {
		return err
	}
	machine, ok := c.workers[worker]
	if !ok || task.worker != nil || task.done {
		return eris.Errorf("task %v cannot be adopted on worker %q", id, worker)
	}
	task.attempt = attempt
	c.place(task, machine, room)
	return nil
}

// Hold keeps a queued task from being started until Unhold.
func (c *Cell) Hold(id TaskID) error {
	task, err := c.task(id)
	if err != nil {
		return err
	}
	task.held = true
	return nil
}

// Unhold allows a held task to be started again.
func (c *Cell) Unhold(id TaskID) error {
	task, err := c.task(id)
	if err != nil {
		return err
	}
	task.held = false
	return nil
}

// Ended records the end of an attempt. Ends of other attempts than the current one change nothing.
func (c *Cell) Ended(id TaskID, attempt int32, outcome Outcome, _ Time) error {
	task, err := c.task(id)
	if err != nil {
		return err
	}
	if task.done || attempt != task.attempt || task.worker == nil {
		return nil
	}
	c.unplace(task)
	c.settle(task, outcome)
	return nil
}

// Resolve records the outcome of a task that is not running here, as replayed from the log.
func (c *Cell) Resolve(id TaskID, outcome Outcome) error {
	task, err := c.task(id)
	if err != nil {
		return err
	}
	if task.done {
		return nil
	}
	if task.worker != nil {
		c.unplace(task)
	}
	c.settle(task, outcome)
	return nil
}

// StartFailed returns a task that was not started to the queue.
func (c *Cell) StartFailed(id TaskID, attempt int32, now Time) error {
	return c.Ended(id, attempt, Stopped, now)
}

func (c *Cell) settle(task *taskState, outcome Outcome) {
	counts := &task.job.counts
	counts.Queued--
	task.done = true
	task.outcome = outcome
	if outcome == Failed {
		task.failed++
	}
	switch {
	case outcome == Succeeded:
		counts.Succeeded++
	case outcome == Unknown:
		counts.Unknown++
	case task.job.cancelled || outcome == Cancelled:
		counts.Cancelled++
	case outcome == Failed && task.failed >= task.job.MaxAttempts:
		counts.Failed++
	default:
		task.done = false
		counts.Queued++
	}
}

// Plan decides what to start now, at most maxStarts tasks. The room of the starts is reserved.
func (c *Cell) Plan(_ Time, maxStarts int) Plan {
	var plan Plan
	sort.SliceStable(c.queue, func(i, j int) bool { return c.queue[i].Urgency < c.queue[j].Urgency })
	if c.draining {
		return plan
	}
	for _, job := range c.queue {
		for _, index := range job.Indexes {
			if len(plan.Starts) >= maxStarts {
				return plan
			}
			if start, ok := c.tryStart(job.tasks[index]); ok {
				plan.Starts = append(plan.Starts, start)
			}
		}
	}
	return plan
}

func (c *Cell) tryStart(task *taskState) (Start, bool) {
	if task.done || task.held || task.worker != nil {
		return Start{}, false
	}
	job := task.job
	team, ok := c.teams[job.Team]
	if !ok || !team.running.Add(job.Each).Fits(team.Limit) {
		return Start{}, false
	}
	for _, machine := range c.workers {
		if machine.Leaving || !machine.used.Add(job.Each).Fits(machine.Room) {
			continue
		}
		task.attempt++
		c.place(task, machine, job.Each)
		return Start{Task: task.id, Attempt: task.attempt, Worker: machine.Name, Room: job.Each, Team: job.Team}, true
	}
	return Start{}, false
}

func (c *Cell) place(task *taskState, machine *workerState, room resource.Vector) {
	task.worker = machine
	machine.tasks[task.id] = task
	machine.used = machine.used.Add(room)
	if team, ok := c.teams[task.job.Team]; ok {
		team.running = team.running.Add(room)
	}
	task.job.counts.Queued--
	task.job.counts.Running++
}

func (c *Cell) unplace(task *taskState) {
	room := task.job.Each
	delete(task.worker.tasks, task.id)
	task.worker.used = task.worker.used.Sub(room)
	if team, ok := c.teams[task.job.Team]; ok {
		team.running = team.running.Sub(room)
	}
	task.worker = nil
	task.job.counts.Running--
	task.job.counts.Queued++
}

func (c *Cell) task(id TaskID) (*taskState, error) {
	job, ok := c.jobs[id.Job]
	if !ok {
		return nil, ErrUnknownJob
	}
	task, ok := job.tasks[id.Index]
	if !ok {
		return nil, eris.Wrapf(ErrUnknownJob, "task %d", id.Index)
	}
	return task, nil
}

// Explain says why a job's tasks wait.
func (c *Cell) Explain(id string) (Waiting, error) {
	job, ok := c.jobs[id]
	if !ok {
		return Waiting{}, ErrUnknownJob
	}
	if job.counts.Queued == 0 {
		return Waiting{}, nil
	}
	return Waiting{Reason: WaitNoRoom, Remedy: "wait until running work ends"}, nil
}

// Counts returns the states of a job's tasks.
func (c *Cell) Counts(id string) (Counts, error) {
	job, ok := c.jobs[id]
	if !ok {
		return Counts{}, ErrUnknownJob
	}
	return job.counts, nil
}

// TeamRunning returns what a team has running or starting in this cell.
func (c *Cell) TeamRunning(team string) resource.Vector {
	if state, ok := c.teams[team]; ok {
		return state.running
	}
	return resource.Vector{}
}

// Room returns the total and the free room of the workers.
func (c *Cell) Room() (total, free resource.Vector) {
	for _, machine := range c.workers {
		total = total.Add(machine.Room)
		free = free.Add(machine.Room.Sub(machine.used))
	}
	return total, free
}

// Queued returns the number of tasks that wait.
func (c *Cell) Queued() int {
	queued := 0
	for _, job := range c.jobs {
		queued += job.counts.Queued
	}
	return queued
}

// Forget drops a job whose tasks have all ended.
func (c *Cell) Forget(id string) error {
	job, ok := c.jobs[id]
	if !ok {
		return ErrUnknownJob
	}
	if job.counts.Queued+job.counts.Running > 0 {
		return eris.Errorf("job %q has not ended", id)
	}
	delete(c.jobs, id)
	for i, queued := range c.queue {
		if queued == job {
			c.queue = append(c.queue[:i], c.queue[i+1:]...)
			break
		}
	}
	return nil
}

package standin

import (
	"time"

	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/resource"
)

// task is one task on a worker. Its state is as of updatedAt; update advances it before every access.
type task struct {
	request infra.StartRequest
	plan    TaskPlan
	run     *TaskRun

	updatedAt time.Time
	// speed is the progress per unit of time: 1, or less while the task is throttled.
	speed float64
	// leaseLeft is counted on the worker's own clock.
	leaseLeft time.Duration
	// stopAt is zero unless the task has been asked to stop.
	stopAt     time.Time
	saveOnStop bool
	usage      []usageChange
}

// usageChange is the usage of a task from a point in time on.
type usageChange struct {
	from time.Time
	used resource.Vector
}

// defaultRunFor is the run time of a task whose command gives none.
const defaultRunFor = 10 * time.Second

// CommandPlan reads the behaviour of a task from its command: "sleep 5s", "fail 5s", or "serve" until it is stopped.
// Further words are ignored. The task uses the resources that it declared.
func CommandPlan(request infra.StartRequest) TaskPlan {
	plan := TaskPlan{RunFor: defaultRunFor, Used: request.Resources}
	if len(request.Command) == 0 {
		return plan
	}
	plan.Fails = request.Command[0] == "fail"
	if request.Command[0] == "serve" {
		plan.RunFor = 0
		return plan
	}
	if len(request.Command) > 1 {
		if runFor, err := time.ParseDuration(request.Command[1]); err == nil {
			plan.RunFor = runFor
		}
	}
	return plan
}

func newTask(now time.Time, request infra.StartRequest, plan TaskPlan, resumed time.Duration) *task {
	run := &TaskRun{
		Task: request.Task, Team: request.Team, Worker: request.Worker,
		Shard: request.Shard, Epoch: request.Epoch, Resources: request.Resources, AtMostOnce: request.AtMostOnce,
		Command: request.Command, Started: now, Phase: infra.PhaseRunning, Resumed: resumed, Progress: resumed,
	}
	return &task{
		request: request, plan: plan, run: run, updatedAt: now, speed: 1, leaseLeft: request.Lease,
		usage: []usageChange{{now, plan.Used}},
	}
}

func (t *task) running() bool { return t.run.Phase == infra.PhaseRunning }

// update advances the task to now and ends it at the earliest of: work done, lease expired, stop.
func (t *task) update(now time.Time, clockRate float64) {
	end, phase := t.updatedAt.Add(scale(t.leaseLeft, 1/clockRate)), infra.PhaseStopped
	if !t.stopAt.IsZero() && t.stopAt.Before(end) {
		end = t.stopAt
	}
	if finish, ok := t.finish(); ok && !finish.After(end) {
		end, phase = finish, infra.PhaseSucceeded
		if t.plan.Fails {
			phase = infra.PhaseFailed
		}
	}
	if now.Before(end) {
		t.advance(now, clockRate)
		return
	}
	t.advance(end, clockRate)
	t.end(end, phase)
}

// finish returns when the work will be done, or false if it never will at the present speed.
func (t *task) finish() (time.Time, bool) {
	if t.plan.RunFor <= 0 || t.speed <= 0 {
		return time.Time{}, false
	}
	left := max(t.plan.RunFor-t.run.Progress, 0)
	return t.updatedAt.Add(scale(left, 1/t.speed)), true
}

func (t *task) advance(to time.Time, clockRate float64) {
	passed := to.Sub(t.updatedAt)
	t.run.Progress += scale(passed, t.speed)
	t.leaseLeft -= scale(passed, clockRate)
	t.updatedAt = to
}

func scale(d time.Duration, by float64) time.Duration {
	if by == 1 {
		return d
	}
	return time.Duration(float64(d) * by)
}

func (t *task) stopWithin(now time.Time, grace time.Duration) {
	at := now.Add(grace)
	if t.stopAt.IsZero() || at.Before(t.stopAt) {
		t.stopAt = at
	}
}

// throttle limits the CPU usage. The task must be updated to now.
func (t *task) throttle(now time.Time, milliCPU int64) {
	wanted := t.plan.Used.MilliCPU
	if wanted == 0 {
		wanted = t.request.Resources.MilliCPU
	}
	if wanted <= 0 {
		return
	}
	t.speed = min(1, float64(milliCPU)/float64(wanted))
	used := t.plan.Used
	used.MilliCPU = min(used.MilliCPU, milliCPU)
	t.usage = append(t.usage, usageChange{now, used})
}

func (t *task) end(at time.Time, phase infra.TaskPhase) {
	t.run.Ended = at
	t.run.Phase = phase
}

func (t *task) report(now time.Time, lag time.Duration) infra.TaskReport {
	end := now
	if !t.run.Ended.IsZero() {
		end = t.run.Ended
	}
	return infra.TaskReport{
		Task: t.request.Task, Team: t.request.Team, Resources: t.request.Resources, Phase: t.run.Phase,
		Used: t.usedAt(now.Add(-lag)), UsageLag: lag, RunFor: end.Sub(t.run.Started),
	}
}

// usedAt returns the usage at a point in time; it is zero before the start and after the end.
func (t *task) usedAt(at time.Time) resource.Vector {
	if !t.run.Ended.IsZero() && !at.Before(t.run.Ended) {
		return resource.Vector{}
	}
	var used resource.Vector
	for _, change := range t.usage {
		if !change.from.After(at) {
			used = change.used
		}
	}
	return used
}

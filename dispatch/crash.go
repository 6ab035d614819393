package dispatch

import (
	"cmp"
	"slices"
	"time"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
)

// Some tasks end each worker that starts them, and all other runs on it. A task whose run had just begun when its worker
// crashed is a suspect. It is probed: started once more on a worker that starts nothing else meanwhile, so that a second
// crash at once after the start tells it from the tasks beside it. It is then given up with its job. Crashes later in a
// run have mostly other causes: they delay the task and have it probed, and only many in a row give it up. Long-running
// tasks are never given up, because their users expect them back however they end.

const (
	// startupWindow is the age up to which a run may have crashed its worker by starting. Tasks that do so end it within
	// tens of milliseconds. With a longer window more tasks are probed that only began at about the same time.
	startupWindow = 100 * time.Millisecond
	// takeoverWindow is the same for a run that an earlier controller planned. It covers the commit of the plan, the end
	// of that controller's lease and the recovery.
	takeoverWindow = 3 * time.Second
	// crashesToSuspect is the number of crashes after which a task is a suspect although each time its run was older.
	crashesToSuspect = 3
	// promptCrash is the age of a run up to which its worker crashed at once. Tasks that crash their worker do so after 2
	// to 20 ms, so that older runs beside them differ even if both are within startupWindow.
	promptCrash = 50 * time.Millisecond
	// promptToGiveUp is the number of prompt crashes after which a task whose worker crashed during a probe is given up.
	// lossesToGiveUp is that of prompt and possible ones together, crashesToGiveUp that of all certain crashes, of which
	// those late in a run have mostly other causes.
	promptToGiveUp, lossesToGiveUp, crashesToGiveUp = 2, 3, 8
	// workersToGiveUp is the number of workers that must be among those crashes. A task that only one worker may run would
	// else be given up for the faults of that worker.
	workersToGiveUp = 3
	// crashDelayMin is the delay before the next start from the crash on with which a task becomes a suspect by their number.
	// It doubles up to crashDelayMax, which leaves a long-running task down for less than its users notice.
	crashDelayMin = 500 * time.Millisecond
	crashDelayMax = 2 * time.Second
	// commonCauseWorkers is the number of workers of one availability zone whose end at the same time has another cause
	// than a task, such as a loss of power, unless most of them had just started one.
	commonCauseWorkers = 3
	// maxProbedDivisor is the inverse of the part of a service's workers that probes of tasks whose workers crashed late may take.
	maxProbedDivisor = 4
	// crashMemory is the age of a run after which earlier crashes of the task no longer count. Long-running tasks would
	// otherwise be suspects after three ordinary crashes in months.
	crashMemory = 10 * time.Second
)

// crashCount counts the crashes of workers under a task.
type crashCount struct {
	// certain counts crashes while a run was confirmed, possible losses of a worker that may have been crashes under a run
	// that had just begun.
	certain, possible int32
	// workers are the first workers that certainly crashed, at most workersToGiveUp.
	workers *[]string
	// prompt counts the certain ones within promptCrash of the confirmation.
	prompt int32
	// suspect is true if the task may have caused the last crash.
	suspect bool
	// countedRun is the newest run of which a crash was counted: several workers of a gang may crash in one event, and a
	// controller that takes over may see another of them.
	countedRun int32
}

func (c crashCount) losses() int32 { return c.certain + c.possible }

// isConvicted reports whether the crashes give the task up.
func (c crashCount) isConvicted() bool {
	return c.prompt >= promptToGiveUp || c.prompt+c.possible >= lossesToGiveUp ||
		c.certain >= crashesToGiveUp && len(c.crashedWorkers()) >= workersToGiveUp
}

// addWorker adds a worker to those that crashed.
func (c *crashCount) addWorker(id string) {
	if known := c.crashedWorkers(); len(known) < workersToGiveUp && !slices.Contains(known, id) {
		known = append(known, id)
		c.workers = &known
	}
}

// crashedWorkers returns the first workers that crashed.
func (c crashCount) crashedWorkers() []string {
	if c.workers == nil {
		return nil
	}
	return *c.workers
}

// delay returns how long the next start is delayed.
func (c crashCount) delay() time.Duration {
	n := max(c.losses()-crashesToSuspect, c.prompt-promptToGiveUp)
	if n < 0 {
		return 0
	}
	return min(crashDelayMin<<min(n, 8), crashDelayMax)
}

func (t *Task) isSuspect() bool { return t.counter().crashes.suspect }

// isPromptSuspect reports whether the task is a suspect because a worker crashed when its run may just have begun.
func (t *Task) isPromptSuspect() bool {
	c := t.counter().crashes
	return c.suspect && (c.prompt > 0 || c.possible > 0 || c.losses() < crashesToSuspect)
}

// isProbed reports whether the next run of a task gets a worker of its own. Probes of suspects whose workers crashed late in
// their runs take as long as those runs. So they take a part of the workers at most; beyond it such tasks start beside
// others, and each further crash is counted.
func (s *State) isProbed(t *Task) bool {
	if !t.isSuspect() {
		return false
	}
	service := s.queue(t.step.job).GetService()
	return t.isPromptSuspect() || (len(s.probes)+1)*maxProbedDivisor <= s.index.open[service]+len(s.probes)
}

// waitingSuspects returns the number of tasks of a step that wait for a worker of their own.
func (s *State) waitingSuspects(step *Step) int {
	n := 0
	for i := range step.tasks {
		if step.tasks[i].isWaiting() && s.isProbed(&step.tasks[i]) {
			n++
		}
	}
	return n
}

// forgetCrashes resets the count of a task whose run has lasted for crashMemory.
func (t *Task) forgetCrashes(now time.Time) {
	if c := t.counter(); c.crashes != (crashCount{}) && now.Sub(t.orderedAt) > crashMemory {
		c.crashes = crashCount{}
	}
}

// loss says how runs were lost with their worker.
type loss struct {
	reason string
	// crashed is true if the worker is known to have ended, and commonCause if others have probably ended for the same
	// reason, which is not a task.
	crashed, commonCause bool
	// now and unixMs are the time at which the loss was found out.
	now    time.Time
	unixMs int64
}

// lostRun is what a lost run shows about its task.
type lostRun struct {
	loss
	task   *Task
	worker string
	run    int32
	// begun is true if the run was confirmed, and age is how long it had been; fresh is true if it may have just begun.
	begun, fresh bool
	age          time.Duration
	// closed is true if the worker closed the connection at once after the start order instead of answering it.
	closed bool
	// restored is true if an earlier controller planned the run and no worker has reported it since.
	restored bool
	// probed is true if the run was a probe of the task: nothing else was started on the worker meanwhile.
	probed bool
}

// unknownAge is the age of a run that no answer or report has confirmed.
const unknownAge = -1 * time.Millisecond

// of describes the loss of a task's run on a worker.
func (l loss) of(t *Task, w *Worker) lostRun {
	r := lostRun{
		loss: l, task: t, worker: w.Info.ID, run: t.run, begun: t.phase == phaseActive, age: unknownAge, closed: t.closed,
		restored: t.restored,
	}
	switch {
	case r.begun:
		r.age = max(0, w.lostAt.Sub(t.orderedAt))
		r.fresh = r.age <= startupWindow
	case t.restored:
		planned := time.Duration(l.unixMs-t.plannedUnixMs) * time.Millisecond
		r.fresh = planned-l.now.Sub(w.lostAt) <= takeoverWindow
	default:
		r.fresh = true
	}
	return r
}

// runsOf returns the tasks whose run on a worker has been ordered.
func runsOf(w *Worker) []*Task {
	var tasks []*Task
	for t := range w.tasks {
		if t.phase != phasePlanned {
			tasks = append(tasks, t)
		}
	}
	return tasks
}

// isUnderWay reports whether the start order of a run was sent and neither answered nor given up.
func (t *Task) isUnderWay() bool { return t.phase == phaseOrdered && t.sent && t.orderedAt.IsZero() }

// settledRunsOf returns the tasks whose run has surely ended with a worker that a listing of machines, requested at a time,
// shows as ended, and when the leases of the others end. A worker that is back under its ID may have taken an order that was
// answered or given up since, and may take one that is under way.
func (s *State) settledRunsOf(w *Worker, requested, now time.Time) (settled []*Task, until time.Time) {
	until = now
	for _, t := range runsOf(w) {
		end := t.sentAt.Add(s.limits.OrderTimeout)
		switch {
		case t.isUnderWay() && now.Before(end):
			until = later(until, end)
		case t.restored && now.Before(s.formerOrdersUntil):
			until = later(until, s.formerOrdersUntil)
		case (t.phase == phaseActive || t.unconfirmed) && !t.orderedAt.Before(requested):
			until = later(until, w.leaseEnd)
		default:
			settled = append(settled, t)
		}
	}
	return settled, until
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// loseRuns releases tasks whose runs ended with their worker, and counts the crash.
func (s *State) loseRuns(w *Worker, tasks []*Task, l loss) {
	probe := w.probe
	var lost []lostRun
	for _, t := range tasks {
		r := l.of(t, w)
		if probe != nil {
			// Nothing else was started beside a task that is probed.
			r.probed = t.counter() == probe.counter()
			r.fresh = r.probed
		}
		lost = append(lost, r)
	}
	for _, r := range lost {
		s.log.Decision("run lost", r.task.JobID(), "task", r.task.ID(), "run", r.run, "worker", r.worker, "reason", r.reason,
			"age_ms", r.age.Milliseconds())
		s.release(r.task)
	}
	for _, r := range lost {
		s.stopGangOn(w, r.task.step)
	}
	if w.hasReasonToLeave() || !l.crashed && w.cutOff {
		return
	}
	counted := map[*Task]bool{}
	for _, r := range lost {
		if counter := r.task.counter(); !counted[counter] {
			counted[counter] = true
			s.countCrash(r)
		}
	}
}

// stopGangOn stops the members of a gang that are left on a worker on which others were lost: they may be on its next incarnation,
// where they would wait for the others in vain.
func (s *State) stopGangOn(w *Worker, step *Step) {
	if !step.spec.GetGang() {
		return
	}
	for i := range step.tasks {
		if t := &step.tasks[i]; t.worker == w {
			s.requestStop(t, "member of the gang was lost")
		}
	}
}

// hasReasonToLeave reports whether the end of a worker was announced.
func (w *Worker) hasReasonToLeave() bool { return w.Info.Draining || w.left || w.cordoned }

// isCertain reports whether the worker has ended, for no known cause but its tasks.
func (r lostRun) isCertain() bool { return r.crashed && !r.commonCause }

// isPrompt reports whether the worker crashed at once after it got the start order.
func (r lostRun) isPrompt() bool { return r.begun && r.age <= promptCrash || !r.begun && r.closed }

// countCrash counts the crash of a worker under a task, and gives the task up with its job if it was being probed.
func (s *State) countCrash(r lostRun) {
	t := r.task
	j := t.step.job
	if j.Ended() || t.done || !r.isCertain() && !r.fresh {
		return
	}
	counter := t.counter()
	c := &counter.crashes
	if c.countedRun == r.run {
		return
	}
	c.add(r)
	counter.notBefore = r.now.Add(c.delay())
	s.markDirty(j)
	s.log.Decision("crash counted", j.Record.GetId(), "task", t.ID(), "run", r.run, "worker", r.worker, "reason", r.reason,
		"age_ms", r.age.Milliseconds(), "closed", r.closed, "crashes", c.certain, "prompt", c.prompt, "possible", c.possible,
		"suspect", c.suspect, "probed", r.probed)
	if r.probed && c.isConvicted() && !t.step.spec.GetLongRunning() {
		s.log.Decision("failed", j.Record.GetId(), "task", t.ID(), "cause", "crashes its workers", "crashes", c.certain,
			"possible", c.possible)
		s.endJob(j, siskinv1.WorkflowPhase_WORKFLOW_PHASE_FAILED, r.unixMs)
	}
}

// add counts a crash.
func (c *crashCount) add(r lostRun) {
	c.countedRun = r.run
	if r.isCertain() && r.begun {
		c.addWorker(r.worker)
	}
	switch {
	case r.isCertain() && r.isPrompt():
		c.certain++
		c.prompt++
	case r.isCertain() && r.begun:
		c.certain++
	case r.begun || r.closed || r.restored:
		c.possible++
	default:
		// The order was not answered: the worker had probably been lost before.
	}
	c.suspect = r.fresh || c.losses() >= crashesToSuspect
}

// WorkersEnded records that the platform no longer runs these workers, by a listing that was requested at a time. Their runs
// have ended, and their tasks are released without waiting for the leases, but for those whose start order is under way or
// has been answered since.
func (s *State) WorkersEnded(workers []*Worker, requested, now time.Time, unixMs int64) {
	workers = slices.DeleteFunc(workers, func(w *Worker) bool { return w.ended && len(runsOf(w)) == 0 })
	l := loss{reason: "worker ended", crashed: true, now: now, unixMs: unixMs}
	all, explained := map[string]int{}, map[string]int{}
	for _, w := range workers {
		if w.reachable || w.lostAt.IsZero() {
			w.lostAt = now
		}
		all[w.Info.Zone]++
		if slices.ContainsFunc(runsOf(w), func(t *Task) bool { return l.of(t, w).fresh }) {
			explained[w.Info.Zone]++
		}
	}
	for _, w := range workers {
		zone := w.Info.Zone
		l.commonCause = all[zone] >= commonCauseWorkers && 2*explained[zone] <= all[zone]
		s.log.Decision("worker ended", "", "worker", w.Info.ID, "tasks", len(w.tasks), "others_of_zone", all[zone]-1,
			"common_cause", l.commonCause)
		runs, until := s.settledRunsOf(w, requested, now)
		s.loseRuns(w, runs, l)
		w.ended, w.leaseEnd = true, until
		s.forgetOrphans(w)
		w.setReachable(false)
		s.index.update(w)
	}
}

// HasUnreachableTasks reports whether workers that do not answer have tasks whose leases have not ended.
func (s *State) HasUnreachableTasks() bool {
	for w := range s.index.unreachable {
		if len(w.tasks) > 0 {
			return true
		}
	}
	return false
}

// SeenUp records that the platform lists a worker as running.
func (s *State) SeenUp(w *Worker, now time.Time) {
	if !w.reachable {
		w.cutOff, w.lostAt = true, now
	}
}

// beginProbe reserves the worker of a planned run for the task if it is a suspect, so that nothing else starts there.
func (s *State) beginProbe(t *Task) {
	if s.isProbed(t) && t.worker.probe == nil {
		t.worker.probe = t
		s.probes[t] = struct{}{}
		s.index.updateFree(t.worker)
	}
}

// endProbe opens the worker of a task again, if it was reserved.
func (s *State) endProbe(t *Task) {
	if w := t.worker; w.probe == t {
		w.probe = nil
		delete(s.probes, t)
		s.index.updateFree(w)
	}
}

// clearSuspects clears the suspects whose worker has reported after their startup window. Those that were older in earlier
// crashes are probed until their run ends.
func (s *State) clearSuspects() {
	for t := range s.probes {
		c := &t.counter().crashes
		if t.phase != phaseActive || t.listedAt.Sub(t.orderedAt) <= startupWindow || c.losses() >= crashesToSuspect {
			continue
		}
		if c.suspect {
			c.suspect = false
			s.log.Decision("suspect cleared", t.JobID(), "task", t.ID(), "run", t.run, "worker", t.WorkerID())
		}
		s.endProbe(t)
	}
}

// isQuietFor reports whether no run of another step may have just begun on the worker, so that a crash could only be
// that of the given step.
func (w *Worker) isQuietFor(step *Step, now time.Time) bool {
	for t := range w.tasks {
		if t.step != step && (t.phase != phaseActive || now.Sub(t.orderedAt) <= startupWindow) {
			return false
		}
	}
	return true
}

// chooseForProbe returns the worker for a suspect, or nil: a quiet one with as few tasks as possible, since they are lost
// with it, and of these the smallest.
func (s *State) chooseForProbe(p *placement, t *Task) *Worker {
	var best *Worker
	for _, w := range s.candidates(p) {
		if !s.fits(p, w) || t.avoids(w, p.now) || !w.isQuietFor(nil, p.now) {
			continue
		}
		if best == nil || compareForProbe(w, best) < 0 {
			best = w
		}
	}
	return best
}

func compareForProbe(a, b *Worker) int {
	return cmp.Or(cmp.Compare(len(a.tasks), len(b.tasks)), cmp.Compare(a.Info.Capacity.MilliCPU, b.Info.Capacity.MilliCPU),
		cmp.Compare(a.Info.ID, b.Info.ID))
}

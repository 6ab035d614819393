package dispatch

import (
	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
)

// Progress returns the job's progress as it is stored.
func (j *Job) Progress() *siskinv1.WorkflowProgress {
	p := &siskinv1.WorkflowProgress{Phase: j.Phase, EndedUnixMs: j.EndedUnixMs, Started: j.started}
	if j.Ended() && (j.placed == 0 || j.endOnly) {
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
	placed, attempted := false, false
	for i := range s.tasks {
		placed = placed || s.tasks[i].worker != nil
		attempted = attempted || s.tasks[i].run > 0
	}
	if s.unfinished == 0 && !placed {
		saved.Done = true
		return saved
	}
	if !attempted {
		return saved
	}
	for i := range s.tasks {
		t := &s.tasks[i]
		saved.Tasks = append(saved.Tasks, &siskinv1.TaskProgress{
			Done: t.done, Run: t.run, Failures: t.failures, FailedRun: t.failedRun, Worker: t.WorkerID(), Incarnation: t.incarnation,
			Checkpoint: t.checkpoint, Crashes: t.crashes.certain, PossibleCrashes: t.crashes.possible, Suspect: t.crashes.suspect,
			PlannedUnixMs: t.plannedUnixMs, PromptCrashes: t.crashes.prompt,
			CrashedWorkers: t.crashes.crashedWorkers(), CrashedRun: t.crashes.countedRun,
		})
	}
	return saved
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
				s.job.started = true
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
	t.run, t.checkpoint = saved.GetRun(), saved.GetCheckpoint()
	t.failures, t.failedRun = saved.GetFailures(), saved.GetFailedRun()
	t.crashes = crashCount{certain: saved.GetCrashes(), possible: saved.GetPossibleCrashes(), suspect: saved.GetSuspect(),
		prompt: saved.GetPromptCrashes(), countedRun: saved.GetCrashedRun()}
	for _, id := range saved.GetCrashedWorkers() {
		t.crashes.addWorker(id)
	}
	t.plannedUnixMs = saved.GetPlannedUnixMs()
	if s.spec.GetGang() && t.checkpoint != "" {
		s.checkpoint = t.checkpoint
	}
	if t.failures > 0 || t.checkpoint != "" || saved.GetDone() {
		s.job.started = true
	}
	if saved.GetDone() {
		t.finish()
	}
	if saved.GetWorker() != "" {
		t.incarnation, t.restored = saved.GetIncarnation(), true
		s.job.restored++
		place(t, saved)
	}
}

// resolveRestored records that it is known whether the run that an earlier controller planned has begun.
func (t *Task) resolveRestored() {
	if t.restored {
		t.restored = false
		t.step.job.restored--
	}
}

package promises

import (
	"sort"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/standin"
)

// checkKeys checks that no work was accepted with a key that must be refused.
func checkKeys(r Records) Verdict {
	v := &Verdict{ID: Keys}
	counts := map[Credential]int{}
	for _, check := range r.KeyChecks {
		if check.Outcome == NotSent || check.Outcome == Unknown {
			continue
		}
		if check.Credential == Withdrawn && check.Sent.Before(check.WithdrawnAt.Add(keyLimit)) {
			continue
		}
		v.Observations++
		counts[check.Credential]++
		if check.Outcome == Answered {
			v.addViolation("%s accepted a call with %s", check.VM, check.Credential)
		}
	}
	return v.finish("%d calls with a withdrawn key later than %s, %d of another team, %d without, %d unknown",
		counts[Withdrawn], keyLimit, counts[WrongTeam], counts[NoKey], counts[UnknownID])
}

// checkBundle checks that signed-off bundles came into force on every VM within bundleLimit and that no VM reverted to
// an older version.
func checkBundle(r Records) Verdict {
	v := &Verdict{ID: Bundle, Observations: len(r.VersionSamples)}
	byVM := map[string][]VersionSample{}
	for _, sample := range r.VersionSamples {
		byVM[sample.VM] = append(byVM[sample.VM], sample)
	}
	for vm, samples := range byVM {
		sort.Slice(samples, func(i, j int) bool { return samples[i].At.Before(samples[j].At) })
		for i, sample := range samples {
			if i > 0 && sample.Version < samples[i-1].Version {
				v.addViolation("%s went back from version %d to %d", vm, samples[i-1].Version, sample.Version)
			}
			for _, signOff := range r.SignOffs {
				if sample.At.After(signOff.At.Add(bundleLimit)) && sample.Version < signOff.Version {
					v.addViolation("%s had version %d %s after version %d was signed off",
						vm, sample.Version, sample.At.Sub(signOff.At), signOff.Version)
				}
			}
		}
	}
	return v.finish("%d samples on %d VMs, %d versions signed off", len(r.VersionSamples), len(byVM), len(r.SignOffs))
}

// checkAccepted checks that accepted work was neither lost, duplicated nor dropped: all its tasks ended or, for a
// service, are running, and none failed or was cancelled.
func checkAccepted(r Records) Verdict {
	v := &Verdict{ID: Accepted}
	succeeded, jobs := map[string]int{}, map[string]map[string]bool{}
	for _, run := range r.TaskRuns {
		for _, arg := range run.Command {
			if jobs[arg] == nil {
				jobs[arg] = map[string]bool{}
			}
			jobs[arg][run.Task.Job] = true
		}
		// A result that was lost with its worker is computed again; checkAtMostOnce covers tasks that must not run again.
		if run.Phase == infra.PhaseSucceeded && !run.Lost {
			succeeded[taskOf(run)]++
		}
	}
	for _, work := range r.Work {
		ids := acceptedIDs(work.Attempts)
		if len(ids) == 0 {
			continue
		}
		v.Observations++
		if len(ids) > 1 {
			v.addViolation("work %s was accepted as %v", work.Tag, ids)
		}
		for job := range jobs[work.Tag] {
			if job != ids[0] {
				v.addViolation("work %s ran as %s, but was accepted as %s", work.Tag, job, ids[0])
			}
		}
		checkFinal(v, work, ids[0])
		for index := range work.Count {
			ref := taskOf(standin.TaskRun{Task: infra.TaskRef{Job: ids[0], Index: index}})
			if succeeded[ref] > 1 {
				v.addViolation("task %s succeeded %d times", ref, succeeded[ref])
			}
		}
	}
	return v.finish("%d accepted work items followed to their end", v.Observations)
}

// acceptedIDs returns the distinct identifiers under which work was accepted.
func acceptedIDs(attempts []Attempt) []string {
	var ids []string
	seen := map[string]bool{}
	for _, attempt := range attempts {
		if attempt.Outcome == Answered && !seen[attempt.Response] {
			seen[attempt.Response] = true
			ids = append(ids, attempt.Response)
		}
	}
	return ids
}

// checkFinal checks the last known state of accepted work. No recorded work is cancelled by its team or has a command
// that fails, so a task that failed or was cancelled is a violation.
func checkFinal(v *Verdict, work Work, id string) {
	if work.Final == nil {
		v.addViolation("work %s (%s) is no longer known", id, work.Tag)
		return
	}
	final := work.Final
	total := final.GetQueued() + final.GetRunning() + final.GetSucceeded() + final.GetFailed() +
		final.GetCancelled() + final.GetUnknown()
	// A service may have more tasks while replacements start; it is complete if as many as it asked for run.
	isService := work.Kind == siskinv1.WorkKind_WORK_KIND_SERVICE
	if total < work.Count || (!isService && total > work.Count) {
		v.addViolation("work %s (%s) has %d tasks of %d", id, work.Tag, total, work.Count)
	}
	unfinished := final.GetQueued() + final.GetRunning()
	if isService {
		unfinished = work.Count - min(work.Count, final.GetRunning())
	}
	if unfinished > 0 {
		v.addViolation("work %s (%s) has %d tasks that did not start or end: %q", id, work.Tag, unfinished,
			final.GetWaitingReason())
	}
	if unsuccessful := final.GetFailed() + final.GetCancelled(); unsuccessful > 0 {
		v.addViolation("work %s (%s) has %d tasks failed or cancelled without cause", id, work.Tag, unsuccessful)
	}
	if final.GetUnknown() > 0 && !work.AtMostOnce {
		v.addViolation("work %s (%s) has %d tasks of unknown outcome that could run again", id, work.Tag, final.GetUnknown())
	}
}

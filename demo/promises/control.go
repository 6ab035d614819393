package promises

import (
	"sort"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/standin"
)

// checkKeys checks that no work was accepted with a key that must not be accepted.
func checkKeys(r Records) Verdict {
	v := &Verdict{ID: Keys}
	kinds := map[Credential]int{}
	for _, check := range r.KeyChecks {
		if check.Outcome == NotSent || check.Outcome == Unknown {
			continue
		}
		if check.Credential == Withdrawn && check.Sent.Before(check.WithdrawnAt.Add(keyLimit)) {
			continue
		}
		v.Observations++
		kinds[check.Credential]++
		if check.Outcome == Answered {
			v.violate("%s accepted a call with %s", check.VM, check.Credential)
		}
	}
	return v.close("%d calls with a withdrawn key later than %s, %d of another team, %d without, %d unknown",
		kinds[Withdrawn], keyLimit, kinds[WrongTeam], kinds[NoKey], kinds[UnknownID])
}

// checkBundle checks that signed-off bundles came into force everywhere in time and never reverted.
func checkBundle(r Records) Verdict {
	v := &Verdict{ID: Bundle, Observations: len(r.VersionSamples)}
	byVM := map[string][]VersionSample{}
	for _, sighting := range r.VersionSamples {
		byVM[sighting.VM] = append(byVM[sighting.VM], sighting)
	}
	for vm, sightings := range byVM {
		sort.Slice(sightings, func(i, j int) bool { return sightings[i].At.Before(sightings[j].At) })
		for i, sighting := range sightings {
			if i > 0 && sighting.Version < sightings[i-1].Version {
				v.violate("%s went back from version %d to %d", vm, sightings[i-1].Version, sighting.Version)
			}
			for _, signOff := range r.SignOffs {
				if sighting.At.After(signOff.At.Add(bundleLimit)) && sighting.Version < signOff.Version {
					v.violate("%s had version %d %s after version %d was signed off",
						vm, sighting.Version, sighting.At.Sub(signOff.At), signOff.Version)
				}
			}
		}
	}
	return v.close("%d sightings on %d VMs, %d versions signed off", len(r.VersionSamples), len(byVM), len(r.SignOffs))
}

// checkAccepted checks that accepted work was neither lost nor duplicated nor dropped.
func checkAccepted(r Records) Verdict {
	v := &Verdict{ID: Accepted}
	succeeded, jobs := map[string]int{}, map[string]map[string]bool{}
	for _, run := range r.TaskRuns {
		for _, word := range run.Command {
			if jobs[word] == nil {
				jobs[word] = map[string]bool{}
			}
			jobs[word][run.Task.Job] = true
		}
		// A result that was lost with its worker is made again; only work that may run once must not.
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
			v.violate("work %s was accepted as %v", work.Tag, ids)
		}
		for job := range jobs[work.Tag] {
			if job != ids[0] {
				v.violate("work %s ran as %s, but was accepted as %s", work.Tag, job, ids[0])
			}
		}
		checkFinal(v, work, ids[0])
		for index := range work.Count {
			ref := taskOf(standin.TaskRun{Task: infra.TaskRef{Job: ids[0], Index: index}})
			if succeeded[ref] > 1 {
				v.violate("task %s succeeded %d times", ref, succeeded[ref])
			}
		}
	}
	return v.close("%d pieces of accepted work followed to their end", v.Observations)
}

// acceptedIDs returns the different identifiers under which work was accepted.
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

func checkFinal(v *Verdict, work Work, id string) {
	if work.Final == nil {
		v.violate("work %s (%s) is not known any more", id, work.Tag)
		return
	}
	final := work.Final
	total := final.GetQueued() + final.GetRunning() + final.GetSucceeded() + final.GetFailed() +
		final.GetCancelled() + final.GetUnknown()
	// A service may have more tasks while replacements start; what counts is that its own number runs.
	isService := work.Kind == siskinv1.WorkKind_WORK_KIND_SERVICE
	if total < work.Count || (!isService && total > work.Count) {
		v.violate("work %s (%s) has %d tasks of %d", id, work.Tag, total, work.Count)
	}
	open := final.GetQueued() + final.GetRunning()
	if isService {
		open = work.Count - min(work.Count, final.GetRunning())
	}
	if open > 0 {
		v.violate("work %s (%s) has %d tasks that did not come to an end or start: %q", id, work.Tag, open,
			final.GetWaitingReason())
	}
	if bad := final.GetFailed() + final.GetCancelled(); bad > 0 {
		v.violate("work %s (%s) has %d tasks failed or cancelled without cause", id, work.Tag, bad)
	}
	if final.GetUnknown() > 0 && !work.AtMostOnce {
		v.violate("work %s (%s) has %d tasks of unknown outcome that could run again", id, work.Tag, final.GetUnknown())
	}
}

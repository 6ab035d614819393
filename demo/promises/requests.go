package promises

import (
	"slices"
	"time"

	"siskinstack.example/siskinstack/standin"
)

// checkResponses checks that every caller received the complete response to its own request.
func checkResponses(r Records) Verdict {
	v := &Verdict{ID: Responses}
	for _, request := range r.Requests {
		for _, attempt := range request.Attempts {
			if attempt.Outcome != Answered {
				continue
			}
			v.Observations++
			if attempt.Response != request.Expected {
				v.addViolation("%q through %s got %q", request.Body, attempt.VM, attempt.Response)
			}
		}
	}
	return v.finish("%d responses compared with their requests", v.Observations)
}

// checkNotRun checks that requests and work that were refused as not run did not run.
func checkNotRun(r Records) Verdict {
	v := &Verdict{ID: NotRun}
	byBody, byID := map[string]int{}, map[string]bool{}
	for _, run := range r.RequestRuns {
		byBody[run.Body]++
		byID[run.RequestID] = true
	}
	for _, request := range r.Requests {
		v.Observations += countNotRun(request.Attempts)
		if onlyNotRun(request.Attempts) && byBody[request.Body] > 0 {
			v.addViolation("request %q was refused as not run, and ran", request.Body)
		}
		for _, attempt := range request.Attempts {
			if attempt.Outcome == RefusedNotRun && attempt.RequestID != "" && byID[attempt.RequestID] {
				v.addViolation("request %s was refused as not run, and ran", attempt.RequestID)
			}
		}
	}
	tags := map[string]bool{}
	for _, run := range r.TaskRuns {
		for _, arg := range run.Command {
			tags[arg] = true
		}
	}
	for _, work := range r.Work {
		v.Observations += countNotRun(work.Attempts)
		if onlyNotRun(work.Attempts) && tags[work.Tag] {
			v.addViolation("work %s was refused as not run, and ran", work.Tag)
		}
	}
	return v.finish("%d refusals that say not run", v.Observations)
}

func countNotRun(attempts []Attempt) int {
	n := 0
	for _, attempt := range attempts {
		if attempt.Outcome == RefusedNotRun {
			n++
		}
	}
	return n
}

// onlyNotRun reports whether at least one attempt was refused as not run and no attempt can have run.
func onlyNotRun(attempts []Attempt) bool {
	return countNotRun(attempts) > 0 && !slices.ContainsFunc(attempts, func(a Attempt) bool {
		return a.Outcome != RefusedNotRun && a.Outcome != NotSent
	})
}

// checkAtMostOnce checks that requests and tasks which must not be repeated ran at most once.
func checkAtMostOnce(r Records) Verdict {
	v := &Verdict{ID: AtMostOnce}
	runs := map[string]int{}
	for _, run := range r.RequestRuns {
		runs[run.Body]++
	}
	repeated := 0
	for _, request := range r.Requests {
		if request.Idempotent {
			continue
		}
		v.Observations++
		if len(request.Attempts) > 1 {
			repeated++
		}
		if runs[request.Body] > 1 {
			v.addViolation("request %q ran %d times", request.Body, runs[request.Body])
		}
	}
	once := slices.DeleteFunc(slices.Clone(r.TaskRuns), func(run standin.TaskRun) bool { return !run.AtMostOnce })
	groups := groupRuns(once, taskOf)
	for task, taskRuns := range groups {
		v.Observations++
		if len(taskRuns) > 1 {
			v.addViolation("task %s ran %d times", task, len(taskRuns))
		}
	}
	return v.finish("%d requests, %d of them sent again by their callers, and %d tasks",
		v.Observations-len(groups), repeated, len(groups))
}

// checkLeaving checks that leaving endpoints received no new requests.
func checkLeaving(r Records) Verdict {
	v := &Verdict{ID: LeavingEndpoints}
	for _, leaving := range r.Leaving {
		limit := leaving.At.Add(leavingLimit)
		for _, run := range r.RequestRuns {
			if run.Started.Before(limit) {
				continue
			}
			v.Observations++
			if run.Endpoint == leaving.Endpoint {
				v.addViolation("%s ran %q %s after it began to leave", run.Endpoint, run.Body, run.Started.Sub(leaving.At))
			}
		}
		for _, refusal := range r.RequestRefusals {
			if refusal.Endpoint == leaving.Endpoint && !refusal.At.Before(limit) {
				v.addViolation("%s was sent a request %s after it began to leave", refusal.Endpoint, refusal.At.Sub(leaving.At))
			}
		}
	}
	return v.finish("%d requests ran later than %s after an endpoint began to leave", v.Observations, leavingLimit)
}

// checkPlannedStops checks that planned stops interrupted no request in flight.
func checkPlannedStops(r Records) Verdict {
	v := &Verdict{ID: PlannedStops}
	runs := map[string][]standin.RequestRun{}
	for _, run := range r.RequestRuns {
		runs[run.Body] = append(runs[run.Body], run)
	}
	for _, stop := range r.Stops {
		for _, request := range r.Requests {
			for _, attempt := range request.Attempts {
				if attempt.VM == stop.VM && !attempt.Done.Before(stop.Begun) {
					checkAttemptAtStop(v, stop, request.Body, attempt, runs[request.Body])
				}
			}
		}
		for _, run := range r.RequestRuns {
			if run.From == stop.VM && run.Canceled && within(run.Ended, stop.Begun, stop.End) {
				v.addViolation("%s was interrupted at %s when %s stopped", run.RequestID, run.Endpoint, stop.VM)
			}
		}
	}
	return v.finish("%d requests in flight through a VM when its planned stop began", v.Observations)
}

// checkAttemptAtStop checks one attempt through a VM that stopped. Attempts that were in flight when the stop began
// are the observations. A later attempt may find its idle connection closed, which leaves its outcome unknown to the
// caller; it is a violation only if the request ran.
func checkAttemptAtStop(v *Verdict, stop Stop, body string, attempt Attempt, runs []standin.RequestRun) {
	inFlight := attempt.Sent.Before(stop.Begun)
	if inFlight {
		v.Observations++
	}
	ran := slices.ContainsFunc(runs, func(run standin.RequestRun) bool {
		return within(run.Started, attempt.Sent, attempt.Done)
	})
	if attempt.Outcome == Unknown && (inFlight || ran) {
		v.addViolation("%q lost its response when %s stopped (sent %s and done %s after the stop began)", body, stop.VM,
			attempt.Sent.Sub(stop.Begun).Round(time.Millisecond), attempt.Done.Sub(stop.Begun).Round(time.Millisecond))
	}
}

func within(at, from, until time.Time) bool { return !at.Before(from) && !at.After(until) }

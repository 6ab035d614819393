package promises

import (
	"slices"
	"time"

	"siskinstack.example/siskinstack/standin"
)

// checkAnswers checks that every caller got the whole answer to its own request.
func checkAnswers(r Records) Verdict {
	v := &Verdict{ID: Answers}
	for _, request := range r.Requests {
		for _, attempt := range request.Attempts {
			if attempt.Outcome != Answered {
				continue
			}
			v.Observations++
			if attempt.Answer != request.Expected {
				v.violate("%q through %s got %q", request.Body, attempt.VM, attempt.Answer)
			}
		}
	}
	return v.close("%d answers compared with their requests", v.Observations)
}

// checkNotRun checks that what was refused as not run did not run.
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
			v.violate("request %q was refused as not run, and ran", request.Body)
		}
		for _, attempt := range request.Attempts {
			if attempt.Outcome == RefusedNotRun && attempt.RequestID != "" && byID[attempt.RequestID] {
				v.violate("request %s was refused as not run, and ran", attempt.RequestID)
			}
		}
	}
	tags := map[string]bool{}
	for _, run := range r.TaskRuns {
		for _, word := range run.Command {
			tags[word] = true
		}
	}
	for _, work := range r.Work {
		v.Observations += countNotRun(work.Attempts)
		if onlyNotRun(work.Attempts) && tags[work.Tag] {
			v.violate("work %s was refused as not run, and ran", work.Tag)
		}
	}
	return v.close("%d refusals that say not run", v.Observations)
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

// onlyNotRun reports whether no attempt can have run.
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
			v.violate("request %q ran %d times", request.Body, runs[request.Body])
		}
	}
	once := slices.DeleteFunc(slices.Clone(r.TaskRuns), func(run standin.TaskRun) bool { return !run.AtMostOnce })
	groups := groupRuns(once, taskOf)
	for task, taskRuns := range groups {
		v.Observations++
		if len(taskRuns) > 1 {
			v.violate("task %s ran %d times", task, len(taskRuns))
		}
	}
	return v.close("%d requests, %d of them sent again by their callers, and %d tasks",
		v.Observations-len(groups), repeated, len(groups))
}

// checkLeaving checks that endpoints which are leaving got no new work.
func checkLeaving(r Records) Verdict {
	v := &Verdict{ID: LeavingID}
	for _, leaving := range r.Leaving {
		limit := leaving.At.Add(leavingLimit)
		for _, run := range r.RequestRuns {
			if run.Started.Before(limit) {
				continue
			}
			v.Observations++
			if run.Endpoint == leaving.Endpoint {
				v.violate("%s ran %q %s after it began to leave", run.Endpoint, run.Body, run.Started.Sub(leaving.At))
			}
		}
		for _, refusal := range r.RequestRefusals {
			if refusal.Endpoint == leaving.Endpoint && !refusal.At.Before(limit) {
				v.violate("%s was sent a request %s after it began to leave", refusal.Endpoint, refusal.At.Sub(leaving.At))
			}
		}
	}
	return v.close("%d requests ran later than %s after an endpoint began to leave", v.Observations, leavingLimit)
}

// checkGraceful checks that planned stops cut off no request in flight.
func checkGraceful(r Records) Verdict {
	v := &Verdict{ID: Graceful}
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
				v.violate("%s was cut off at %s when %s stopped", run.RequestID, run.Endpoint, stop.VM)
			}
		}
	}
	return v.close("%d requests in flight through a VM when its planned stop began", v.Observations)
}

// checkAttemptAtStop checks one attempt through a VM that stopped. Attempts that were in flight when the stop began
// are the observations. A later attempt may find its idle connection closed, which leaves its outcome unknown to the
// caller; it is cut off only if it ran.
func checkAttemptAtStop(v *Verdict, stop Stop, body string, attempt Attempt, runs []standin.RequestRun) {
	inFlight := attempt.Sent.Before(stop.Begun)
	if inFlight {
		v.Observations++
	}
	ran := slices.ContainsFunc(runs, func(run standin.RequestRun) bool {
		return within(run.Started, attempt.Sent, attempt.Done)
	})
	if attempt.Outcome == Unknown && (inFlight || ran) {
		v.violate("%q lost its answer when %s stopped", body, stop.VM)
	}
}

func within(at, from, until time.Time) bool { return !at.Before(from) && !at.After(until) }

package promises

import (
	"sort"
	"time"

	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/resource"
	"siskinstack.example/siskinstack/standin"
)

// end returns when a run ended, or the end of the records if it still runs.
func (r Records) end(run standin.TaskRun) time.Time {
	if run.Ended.IsZero() {
		return r.Ended
	}
	return run.Ended
}

// usageChange is a change of the resources in use at one time.
type usageChange struct {
	at     time.Time
	change resource.Vector
	starts bool
}

// overLimit returns the first time at which runs used more than limit, and their peak usage.
func (r Records) overLimit(runs []standin.TaskRun, limit resource.Vector) (when time.Time, peak resource.Vector, over bool) {
	var changes []usageChange
	for _, run := range runs {
		changes = append(changes,
			usageChange{run.Started, run.Resources, true}, usageChange{r.end(run), resource.Vector{}.Sub(run.Resources), false})
	}
	// Of changes at the same time, ends sort before starts: a worker frees resources before it starts the next task.
	sort.Slice(changes, func(i, j int) bool {
		if !changes[i].at.Equal(changes[j].at) {
			return changes[i].at.Before(changes[j].at)
		}
		return !changes[i].starts && changes[j].starts
	})
	var used resource.Vector
	for _, c := range changes {
		used = used.Add(c.change)
		peak = peak.Max(used)
		if !over && !used.Fits(limit) {
			when, over = c.at, true
		}
	}
	return when, peak, over
}

func groupRuns(runs []standin.TaskRun, key func(standin.TaskRun) string) map[string][]standin.TaskRun {
	groups := map[string][]standin.TaskRun{}
	for _, run := range runs {
		groups[key(run)] = append(groups[key(run)], run)
	}
	return groups
}

// checkWorkerCapacity checks that no worker ran more tasks than its capacity allows.
func checkWorkerCapacity(r Records) Verdict {
	v := &Verdict{ID: WorkerCapacity, Observations: len(r.TaskRuns)}
	capacities := map[string]resource.Vector{}
	for _, vm := range r.Fleet {
		if vm.Role == infra.RoleWorker {
			capacities[vm.Name] = vm.Capacity
		}
	}
	groups := groupRuns(r.TaskRuns, func(run standin.TaskRun) string { return run.Worker })
	for worker, runs := range groups {
		if when, _, over := r.overLimit(runs, capacities[worker]); over {
			v.addViolation("%s exceeded its capacity at %s", worker, formatTime(when))
		}
	}
	return v.finish("%d starts on %d workers", len(r.TaskRuns), len(groups))
}

// checkCeiling checks that no team used more than its ceiling.
func checkCeiling(r Records) Verdict {
	v := &Verdict{ID: Ceiling, Observations: len(r.TaskRuns)}
	highest := 0.0
	for team, runs := range groupRuns(r.TaskRuns, func(run standin.TaskRun) string { return run.Team }) {
		ceiling, known := r.Ceilings[team]
		when, peak, over := r.overLimit(runs, ceiling)
		if !known || over {
			v.addViolation("team %q exceeded its ceiling at %s: %s of %s", team, formatTime(when), peak, ceiling)
		}
		highest = max(highest, peak.DominantShare(ceiling))
	}
	return v.finish("%d starts; the highest use of a ceiling was %.0f%%", len(r.TaskRuns), highest*percent)
}

const percent = 100

func taskOf(run standin.TaskRun) string {
	ref := run.Task
	ref.Attempt = 0
	return ref.String()
}

// checkSingleRun checks that no two runs of a task overlapped.
func checkSingleRun(r Records) Verdict {
	v := &Verdict{ID: SingleRun, Observations: len(r.TaskRuns)}
	reruns := 0
	for task, runs := range groupRuns(r.TaskRuns, taskOf) {
		sort.Slice(runs, func(i, j int) bool { return runs[i].Started.Before(runs[j].Started) })
		for i := 1; i < len(runs); i++ {
			reruns++
			if runs[i].Started.Before(r.end(runs[i-1])) {
				v.addViolation("%s ran on %s and %s at the same time", task, runs[i-1].Worker, runs[i].Worker)
			}
		}
	}
	return v.finish("%d runs, %d of them reruns of a task", len(r.TaskRuns), reruns)
}

// checkDrain checks that no task started in a drained zone.
func checkDrain(r Records) Verdict {
	v := &Verdict{ID: DrainedZones}
	for _, drain := range r.Drains {
		from, until := drain.Drained.Add(drainLimit), drain.ReturnedAt
		if until.IsZero() {
			until = r.Ended
		}
		for _, run := range r.TaskRuns {
			if !run.Started.After(from) || !run.Started.Before(until) {
				continue
			}
			v.Observations++
			if run.Zone == drain.Zone {
				v.addViolation("%s started in %s %s after the drain", run.Task, drain.Zone, run.Started.Sub(drain.Drained))
			}
		}
	}
	return v.finish("%d starts in all zones while a zone was drained, later than %s", v.Observations, drainLimit)
}

func formatTime(at time.Time) string { return at.Format("15:04:05.000") }

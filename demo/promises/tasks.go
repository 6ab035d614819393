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

// step is a change of what runs at a moment.
type step struct {
	at     time.Time
	change resource.Vector
	starts bool
}

// overLimit returns the first moment at which runs took more than limit, and the most that they took.
func (r Records) overLimit(runs []standin.TaskRun, limit resource.Vector) (when time.Time, peak resource.Vector, over bool) {
	var steps []step
	for _, run := range runs {
		steps = append(steps,
			step{run.Started, run.Resources, true}, step{r.end(run), resource.Vector{}.Sub(run.Resources), false})
	}
	// At one moment, ends come before starts: a worker frees room before it takes the next task.
	sort.Slice(steps, func(i, j int) bool {
		if !steps[i].at.Equal(steps[j].at) {
			return steps[i].at.Before(steps[j].at)
		}
		return !steps[i].starts && steps[j].starts
	})
	var used resource.Vector
	for _, s := range steps {
		used = used.Add(s.change)
		peak = peak.Max(used)
		if !over && !used.Fits(limit) {
			when, over = s.at, true
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

// checkRoom checks that no worker ran more than its room.
func checkRoom(r Records) Verdict {
	v := &Verdict{ID: Room, Observations: len(r.TaskRuns)}
	rooms := map[string]resource.Vector{}
	for _, vm := range r.Fleet {
		if vm.Role == infra.RoleWorker {
			rooms[vm.Name] = vm.Capacity
		}
	}
	groups := groupRuns(r.TaskRuns, func(run standin.TaskRun) string { return run.Worker })
	for worker, runs := range groups {
		if when, _, over := r.overLimit(runs, rooms[worker]); over {
			v.violate("%s had more than its room at %s", worker, stamp(when))
		}
	}
	return v.close("%d starts on %d workers", len(r.TaskRuns), len(groups))
}

// checkCeiling checks that no team ran more than its ceiling.
func checkCeiling(r Records) Verdict {
	v := &Verdict{ID: Ceiling, Observations: len(r.TaskRuns)}
	most := 0.0
	for team, runs := range groupRuns(r.TaskRuns, func(run standin.TaskRun) string { return run.Team }) {
		ceiling, known := r.Ceilings[team]
		when, peak, over := r.overLimit(runs, ceiling)
		if !known || over {
			v.violate("team %q had more than its ceiling at %s: %s of %s", team, stamp(when), peak, ceiling)
		}
		most = max(most, peak.DominantShare(ceiling))
	}
	return v.close("%d starts; the highest use of a ceiling was %.0f%%", len(r.TaskRuns), most*percent)
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
	again := 0
	for task, runs := range groupRuns(r.TaskRuns, taskOf) {
		sort.Slice(runs, func(i, j int) bool { return runs[i].Started.Before(runs[j].Started) })
		for i := 1; i < len(runs); i++ {
			again++
			if runs[i].Started.Before(r.end(runs[i-1])) {
				v.violate("%s ran on %s and %s at once", task, runs[i-1].Worker, runs[i].Worker)
			}
		}
	}
	return v.close("%d runs, %d of them not the first of their task", len(r.TaskRuns), again)
}

// checkDrain checks that no task started in a drained zone.
func checkDrain(r Records) Verdict {
	v := &Verdict{ID: DrainKept}
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
				v.violate("%s started in %s %s after the drain", run.Task, drain.Zone, run.Started.Sub(drain.Drained))
			}
		}
	}
	return v.close("%d starts anywhere while a zone was drained, later than %s", v.Observations, drainLimit)
}

func stamp(at time.Time) string { return at.Format("15:04:05.000") }

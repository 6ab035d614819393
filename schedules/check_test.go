package schedules

import (
	"context"
	"sort"
	"strings"
	"time"

	"siskinstack.example/siskinstack/allowance"
	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/standin"
)

const (
	sampleInterval    = 50 * time.Millisecond
	allowanceInterval = 500 * time.Millisecond
	// drainWithin is how long tasks may still start in a zone after its drain was acknowledged.
	drainWithin = 3 * time.Second
	// loweredWithin is how long a team may exceed a lowered ceiling: 9 s until the bundle is in force everywhere, 3 s
	// until a partitioned zone loses its right, and 21 s until that zone's tasks end with their leases.
	loweredWithin = 33 * time.Second
	// gangWithin is how long only a part of a gang job's tasks may have been started after the start call to a worker
	// failed: a lease and its margin, until the owner treats the worker as lost, and some time to start the tasks again.
	gangWithin = 45 * time.Second
)

// sample checks the state that the workers' run records do not cover, until ctx is done.
func (s *site) sample(ctx context.Context) {
	var nextAllowances time.Time
	for ctx.Err() == nil {
		s.checkRights()
		if now := time.Now(); !now.Before(nextAllowances) {
			nextAllowances = now.Add(allowanceInterval)
			s.checkAllowances()
		}
		_ = s.clock.Sleep(ctx, sampleInterval)
	}
}

// checkRights fails if two processes hold a valid right to the same shard.
func (s *site) checkRights() {
	s.mu.Lock()
	all := append([]*vm(nil), s.all...)
	s.mu.Unlock()
	holder := map[string]*vm{}
	for _, v := range all {
		if v.background.Err() != nil {
			continue
		}
		for _, shard := range v.validRights() {
			if other := holder[shard]; other != nil {
				s.fail("two rights: %s and %s may both act for %s", other, v, shard)
			}
			holder[shard] = v
		}
	}
}

// checkAllowances fails if the limits of the shards add up to more than a team's ceiling.
func (s *site) checkAllowances() {
	listing, err := s.store.List(context.Background(), "allowance/")
	if err != nil {
		s.fail("allowances: %v", err)
		return
	}
	for _, entry := range listing.Entries {
		team := strings.TrimPrefix(entry.Key, "allowance/")
		split, err := allowance.Decode(team, entry.Value)
		if err != nil {
			s.fail("allowance of %s: %v", team, err)
			continue
		}
		var sum int64
		for _, shard := range s.shards {
			sum += split.Limit(shard.Name).MilliCPU
		}
		if sum > split.Ceiling.MilliCPU {
			s.fail("allowances of %s add up to %d, over the ceiling of %d", team, sum, split.Ceiling.MilliCPU)
		}
	}
}

// checkRuns checks every state in the workers' run records.
func (s *site) checkRuns(submitted []*job) {
	runs := s.workers.Runs()
	sort.SliceStable(runs, func(i, j int) bool { return runs[i].Started.Before(runs[j].Started) })
	s.checkWorkerCapacity(runs)
	s.checkCeilings(runs)
	s.checkDrains(runs)
	tasks := map[infra.TaskRef][]standin.TaskRun{}
	for _, run := range runs {
		name := infra.TaskRef{Job: run.Task.Job, Index: run.Task.Index}
		tasks[name] = append(tasks[name], run)
	}
	s.checkTasks(tasks)
	s.checkGangs(submitted, runs)
}

func (s *site) since(at time.Time) float64 { return at.Sub(s.began).Seconds() }

// endOf returns the end of a run, or now.
func endOf(run standin.TaskRun) time.Time {
	if run.Ended.IsZero() {
		return time.Now()
	}
	return run.Ended
}

// checkTasks fails if a task ran in two places at once, or an at-most-once task ran twice.
func (s *site) checkTasks(tasks map[infra.TaskRef][]standin.TaskRun) {
	for name, runs := range tasks {
		for i, run := range runs {
			for _, later := range runs[i+1:] {
				if run.AtMostOnce {
					s.fail("at-most-once: %s/%d ran on %s at %.3f and on %s at %.3f", name.Job, name.Index, run.Worker,
						s.since(run.Started), later.Worker, s.since(later.Started))
				}
				if later.Started.Before(endOf(run)) {
					s.fail("single-run: %s/%d ran on %s from %.3f to %.3f and on %s from %.3f to %.3f", name.Job, name.Index,
						run.Worker, s.since(run.Started), s.since(endOf(run)), later.Worker, s.since(later.Started),
						s.since(endOf(later)))
				}
			}
		}
	}
}

// change is a start or an end of a run.
type change struct {
	at    time.Time
	cores int64
}

// changes returns starts and ends in time order; at equal times ends come first.
func changes(runs []standin.TaskRun, match func(standin.TaskRun) bool) []change {
	var all []change
	for _, run := range runs {
		if match(run) {
			all = append(all, change{run.Started, run.Resources.MilliCPU})
			if !run.Ended.IsZero() {
				all = append(all, change{run.Ended, -run.Resources.MilliCPU})
			}
		}
	}
	sort.SliceStable(all, func(i, j int) bool {
		if !all[i].at.Equal(all[j].at) {
			return all[i].at.Before(all[j].at)
		}
		return all[i].cores < all[j].cores
	})
	return all
}

func (s *site) checkWorkerCapacity(runs []standin.TaskRun) {
	for _, worker := range s.workerNames {
		var used int64
		for _, c := range changes(runs, func(run standin.TaskRun) bool { return run.Worker == worker }) {
			used += c.cores
			if used > workerCores {
				s.fail("room: %s runs %d of %d at %.3f", worker, used, workerCores, s.since(c.at))
			}
		}
	}
}

// checkCeilings checks a team's total at every start. Between starts the total only falls, so it is also checked at the
// end of the period after each lowered ceiling.
func (s *site) checkCeilings(runs []standin.TaskRun) {
	for _, team := range teamNames {
		var used int64
		all := changes(runs, func(run standin.TaskRun) bool { return run.Team == team })
		for _, lowered := range s.history.ceilings[1:] {
			all = append(all, change{at: lowered.at.Add(loweredWithin + time.Millisecond)})
		}
		sort.SliceStable(all, func(i, j int) bool { return all[i].at.Before(all[j].at) })
		for _, c := range all {
			if c.at.After(time.Now()) {
				break
			}
			used += c.cores
			if allowed := s.history.maxCeiling(team, c.at, loweredWithin); used > allowed && c.cores >= 0 {
				s.fail("ceiling: %s runs %d of %d at %.3f", team, used, allowed, s.since(c.at))
				break
			}
		}
	}
}

func (s *site) checkDrains(runs []standin.TaskRun) {
	for _, d := range s.history.drains {
		for _, run := range runs {
			late := run.Started.After(d.from.Add(drainWithin)) && (d.until.IsZero() || run.Started.Before(d.until))
			if run.Zone == d.zone && late {
				s.fail("drain: %v started in %s at %.3f, drained at %.3f", run.Task, d.zone, s.since(run.Started), s.since(d.from))
			}
		}
	}
}

// checkGangs fails if only a part of a gang job was ever started, or if the first starts of its tasks were more than
// gangWithin apart.
func (s *site) checkGangs(submitted []*job, runs []standin.TaskRun) {
	for _, j := range submitted {
		if !j.is(siskinv1.WorkKind_WORK_KIND_GANG) || j.cancelTried {
			continue
		}
		first := map[int32]time.Time{}
		for _, run := range runs {
			if _, ok := first[run.Task.Index]; run.Task.Job == j.id && !ok {
				first[run.Task.Index] = run.Started
			}
		}
		var earliest, latest time.Time
		for _, at := range first {
			if earliest.IsZero() || at.Before(earliest) {
				earliest = at
			}
			if at.After(latest) {
				latest = at
			}
		}
		if len(first) > 0 && (len(first) < int(j.spec.GetCount()) || latest.Sub(earliest) > gangWithin) {
			s.fail("gang: %d of %d tasks of %s started, between %.3f and %.3f", len(first), j.spec.GetCount(), j.id,
				s.since(earliest), s.since(latest))
		}
	}
}

// checkEnds checks, once the site has settled, that every job ended as its caller was told.
func (s *site) checkEnds(submitted []*job) {
	runs := map[string][]standin.TaskRun{}
	for _, run := range s.workers.Runs() {
		runs[run.Task.Job] = append(runs[run.Task.Job], run)
	}
	for _, j := range submitted {
		status, missing := s.status(j)
		switch {
		case !j.accepted:
			if !missing || len(runs[j.id]) > 0 {
				s.fail("not-run: %s was refused as not run, but known: %v, runs: %d", j.id, !missing, len(runs[j.id]))
			}
		case missing:
			s.fail("accepted: %s is lost", j.id)
		case status == nil:
			s.fail("accepted: no answer about %s", j.id)
		case j.is(siskinv1.WorkKind_WORK_KIND_SERVICE):
			s.checkService(j, status, runs[j.id])
		default:
			s.checkCounts(j, status, runs[j.id])
		}
	}
}

func (s *site) checkService(j *job, status *siskinv1.WorkStatus, runs []standin.TaskRun) {
	running, want := 0, int(j.spec.GetCount())
	for _, run := range runs {
		if run.Ended.IsZero() {
			running++
		}
	}
	if status.GetCancelRequested() {
		want = 0
	}
	if running != want {
		s.fail("accepted: service %s runs %d of %d: %v", j.id, running, want, status)
	}
}

func (s *site) checkCounts(j *job, status *siskinv1.WorkStatus, runs []standin.TaskRun) {
	if ends(status) != j.spec.GetCount() || status.GetQueued() != 0 || status.GetRunning() != 0 {
		s.fail("accepted: %s has not ended: %v", j.id, status)
	}
	succeeded := map[int32]int{}
	for _, run := range runs {
		if run.Ended.IsZero() {
			s.fail("accepted: %v still runs on %s", run.Task, run.Worker)
		}
		if run.Phase == infra.PhaseSucceeded {
			succeeded[run.Task.Index]++
			if succeeded[run.Task.Index] > 1 && !s.history.unreachable {
				s.fail("accepted: %s/%d succeeded twice", j.id, run.Task.Index)
			}
		}
	}
	if int(status.GetSucceeded()) > len(succeeded) {
		s.fail("accepted: %s has %d tasks as succeeded, but %d succeeded on workers", j.id, status.GetSucceeded(), len(succeeded))
	}
	if status.GetCancelled() > 0 && !j.cancelTried {
		s.fail("accepted: %s has cancelled tasks, but nobody cancelled it: %v", j.id, status)
	}
	if status.GetFailed() > 0 && !s.history.failing {
		s.fail("accepted: %s has failed tasks, but no task failed: %v", j.id, status)
	}
	if status.GetUnknown() > 0 && !j.spec.GetAtMostOnce() {
		s.fail("accepted: %s has unknown ends, but is not at-most-once: %v", j.id, status)
	}
}

package dispatch

import (
	"slices"
	"time"

	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/resource"
)

// Worker is a worker with its lease and its tasks.
type Worker struct {
	Info infra.FleetWorker
	// described is the incarnation that wrote the entry from which labels, service and capacity come; 0 if it does not say.
	described int64
	// Listed is false once the worker's entry has been removed.
	Listed bool
	// reported is true once the worker has answered under this controller's epoch.
	reported bool
	// reachable is false after a renewal failed, until the next answer.
	reachable bool
	// reportedAt is when the last report of the incarnation in Info was received, restartedAt when the first one was, if
	// another incarnation was known before.
	reportedAt, restartedAt time.Time
	// unsettledAt is the time from which on a report has to be requested to tell which incarnation is the newer one, or which
	// one a run is on; zero if that is known.
	unsettledAt time.Time
	// lostAt is the earliest time at which a worker that is not reachable may have ended.
	lostAt time.Time
	// ended is true once the platform has reported that this incarnation of the worker has ended.
	ended bool
	// left is true if the incarnation that last reported, or of which runs are left, had announced its end.
	left bool
	// cutOff is true if the platform has listed the worker as running since it was lost.
	cutOff bool
	// orphans are the runs that the worker lists although they are not placed on it.
	orphans map[orphanKey]*orphan
	// probe is the suspect for which the worker is reserved until its startup window is over, or nil.
	probe *Task
	// leaseEnd is when all runs on the worker have ended unless the lease is renewed.
	leaseEnd time.Time
	// lastEnd is the number of the last reported end that was applied; unsaved are the ends up to it that are not
	// durable.
	lastEnd int64
	unsaved map[int64]struct{}

	allocated   resource.Vector // sum of the allocations of tasks
	backfillCPU int64           // milli-CPU declared by backfill tasks
	// latencyTasks is the number of tasks with a latency objective, backfillTasks that of backfill tasks.
	latencyTasks, backfillTasks int
	tasks                       map[*Task]struct{}
	// indexed is the worker's place in the index, which is updated with the tasks and the state of the worker.
	index   *fleetIndex
	indexed indexEntry

	// cordoned is true if the worker gets no new tasks because its machine is due for maintenance.
	cordoned bool

	health workerHealth

	speed workerSpeedClass
}

func newWorker(info infra.FleetWorker, index *fleetIndex) *Worker {
	w := &Worker{Info: info, described: info.Incarnation, Listed: true, tasks: map[*Task]struct{}{}, unsaved: map[int64]struct{}{}, index: index}
	index.update(w)
	return w
}

// setReachable records whether the worker answered its last renewal.
func (w *Worker) setReachable(reachable bool) {
	if w.reachable != reachable {
		w.reachable = reachable
		w.index.update(w)
	}
}

// Acknowledged returns the number up to which the worker may discard ends. It is 0 after an unanswered renewal, because
// the worker may have restarted, and the ends of its new incarnation reuse the same numbers.
func (w *Worker) Acknowledged() int64 {
	if !w.reachable {
		return 0
	}
	durable := w.lastEnd
	for number := range w.unsaved {
		durable = min(durable, number-1)
	}
	return durable
}

// Unacknowledged reports whether some ends that the worker reported are not durable yet.
func (w *Worker) Unacknowledged() bool { return len(w.unsaved) > 0 }

// Reachable reports whether the worker answered its last renewal.
func (w *Worker) Reachable() bool { return w.reachable }

// IsUnsettled reports whether the state of the worker or its runs is open until the next report.
func (w *Worker) IsUnsettled() bool { return !w.unsettledAt.IsZero() }

// IsEnded reports whether the platform no longer runs the incarnation that last reported.
func (w *Worker) IsEnded() bool { return w.ended }

// IsProbing reports whether the worker runs a task that may have crashed another worker.
func (w *Worker) IsProbing() bool { return w.probe != nil }

// Tasks returns the number of tasks that are assigned to the worker.
func (w *Worker) Tasks() int { return len(w.tasks) }

// free returns the free capacity.
func (w *Worker) free() resource.Vector { return w.Info.Capacity.Sub(w.allocated) }

// hasLabel reports whether the worker has a label; every worker has the empty one.
func (w *Worker) hasLabel(label string) bool {
	return label == "" || slices.Contains(w.Info.Labels, label)
}

// rack returns the rack of the worker, which is its last label.
func (w *Worker) rack() string { return rackOf(w.Info.Labels) }

func rackOf(labels []string) string {
	if len(labels) == 0 {
		return ""
	}
	return labels[len(labels)-1]
}

// isDescribed reports whether the entry is that of the incarnation that last reported. A worker may come back as another kind,
// and either its report or its new entry may be read first. The numbers are compared for equality, because the clock that
// they come from may be set back.
func (w *Worker) isDescribed() bool {
	return w.described == 0 || w.described == w.Info.Incarnation
}

// IsRestarted reports whether the worker has written the entry of an incarnation that has not reported yet.
func (w *Worker) IsRestarted() bool { return w.reported && !w.isDescribed() }

// isOpen reports whether the state of the worker lets it get new tasks, apart from limits that end by time.
func (w *Worker) isOpen() bool {
	return w.Listed && w.reported && w.reachable && w.isDescribed() && !w.ended && !w.Info.Draining && !w.cordoned && w.probe == nil &&
		!w.hasConfirmedOrphans()
}

// isSchedulable reports whether the worker may get new tasks.
func (w *Worker) isSchedulable(now time.Time) bool {
	return w.isOpen() && w.health.admits(now)
}

func (w *Worker) add(t *Task) {
	w.tasks[t] = struct{}{}
	w.allocated = w.allocated.Add(t.allocation())
	if t.step.spec.GetBackfill() {
		w.backfillCPU += t.step.spec.GetMilliCpu()
		w.backfillTasks++
	}
	if t.step.spec.GetLatencyObjectiveMs() > 0 {
		w.latencyTasks++
	}
	w.index.updateFree(w)
}

func (w *Worker) remove(t *Task) {
	if _, ok := w.tasks[t]; !ok {
		return
	}
	delete(w.tasks, t)
	w.allocated = w.allocated.Sub(t.allocation())
	if t.step.spec.GetBackfill() {
		w.backfillCPU -= t.step.spec.GetMilliCpu()
		w.backfillTasks--
	}
	if t.step.spec.GetLatencyObjectiveMs() > 0 {
		w.latencyTasks--
	}
	w.index.updateFree(w)
}

package scheduler

import (
	"slices"

	"github.com/rotisserie/eris"

	"siskinstack.example/siskinstack/resource"
)

// job is the state of a job and of the tasks of it that this shard holds.
type job struct {
	Job
	team        *team
	shape       *shape
	class       *usageClass
	tasks       []task            // by slot
	first       int32             // index of the first slot if the indexes are consecutive
	slots       map[int32]int32   // slot by index; nil if the indexes are consecutive
	allocations []resource.Vector // distinct allocations of the tasks; see internAllocation
	// firstCandidate is a lower bound of the first slot whose task can be started.
	firstCandidate int32
	held           int // number of held tasks
	counts         Counts
	cancelled      bool
	parked         WaitReason
	// spread counts a service's running tasks by rack, and by worker under ^identifier.
	spread map[int32]int32

	inParked   bool
	enqueued   bool
	queueIndex int
	token      uint32 // changes when the job leaves its queue; see entry
	raised     bool
	raisedAt   Time
	updating   bool
	// updateHeld pauses the replacement of tasks of earlier versions.
	updateHeld bool
	// atFault jobs have failed on several healthy workers: their failures do not count against workers.
	atFault bool
	// partial gang jobs have members that run without the others; the next pass stops these.
	partial bool
	// gangFailed is true if a member of a gang job has failed permanently.
	gangFailed bool
	// useDeclared gang jobs are accounted at their declared size: at the learned size they would exceed the whole ceiling of
	// their team, or not even empty workers could take all their tasks.
	useDeclared bool
	// gangBlockedAt is the capacity version at which a gang job did not fit; examinedAt is the topology version at which
	// it was last checked whether the job can ever run.
	gangBlockedAt uint64
	examinedAt    uint64
	failedOn      []int32 // identifiers of the healthy workers on which the job has failed
	// avoidBlockedAt is the capacity version at which only workers that the job's waiting tasks avoid had enough free
	// capacity.
	avoidBlockedAt uint64
	// claims is the number of tasks for which capacity is being freed.
	claims int
	// stopping is the number of running tasks with an ordered stop.
	stopping int
	// lastStart is the time of the job's most recent task start.
	lastStart Time
}

// Submit adds a job. It returns a *QueueFullError if too many tasks wait.
func (c *Cell) Submit(spec Job) error {
	if err := c.Admit(len(spec.Indexes)); err != nil {
		return err
	}
	return c.Restore(spec)
}

// Admit returns a *QueueFullError if the queue has no space for that many more tasks. A caller that makes jobs durable
// calls it before it does so.
func (c *Cell) Admit(tasks int) error {
	if c.queued+tasks > c.options.MaxQueued {
		return &QueueFullError{Queued: c.queued, Limit: c.options.MaxQueued, Tasks: tasks}
	}
	return nil
}

// Restore adds a job that was accepted earlier, even if the queue is full.
func (c *Cell) Restore(spec Job) error {
	if _, ok := c.jobs[spec.ID]; ok {
		return ErrDuplicateJob
	}
	if spec.Each.IsNegative() {
		return eris.Wrapf(ErrBadJob, "job %q requests a negative amount of a resource", spec.ID)
	}
	if spec.MaxAttempts <= 0 {
		spec.MaxAttempts = defaultMaxAttempts
	}
	j := &job{Job: spec, team: c.team(spec.Team), class: c.class(spec.Queue, spec.Team)}
	j.shape = c.shapeOf(j)
	j.Indexes = nil
	if !j.addTasks(spec.Indexes) {
		c.releaseShape(j.shape)
		return eris.Wrapf(ErrBadJob, "job %q has a duplicate index", spec.ID)
	}
	c.jobs[spec.ID] = j
	c.addQueued(j, len(j.tasks))
	j.parked = c.unschedulableReason(j)
	if j.parked != WaitNone {
		c.park(j)
	}
	c.enqueue(j)
	if j.ReadyBy > 0 {
		c.timed = append(c.timed, j)
	}
	return nil
}

// addTasks appends tasks for the indexes, and reports whether all of them were new.
func (j *job) addTasks(indexes []int32) bool {
	first := len(j.tasks)
	j.tasks = append(make([]task, 0, first+len(indexes)), j.tasks...)[:first+len(indexes)]
	for slot := first; slot < len(j.tasks); slot++ {
		j.tasks[slot].attempt = j.FirstAttempt
	}
	if first == 0 && consecutive(indexes) {
		if len(indexes) > 0 {
			j.first = indexes[0]
		}
		return true
	}
	j.indexSlots(first)
	added := slices.Clone(indexes)
	slices.Sort(added)
	j.Indexes = append(j.Indexes, added...)
	for i, index := range added {
		if _, ok := j.slots[index]; ok {
			return false
		}
		j.slots[index] = int32(first + i)
	}
	return true
}

// indexSlots fills the maps between slots and indexes for the first n slots, whose indexes were consecutive so far.
func (j *job) indexSlots(n int) {
	if j.slots != nil {
		return
	}
	j.slots = map[int32]int32{}
	for slot := range int32(n) {
		j.Indexes = append(j.Indexes, j.first+slot)
		j.slots[j.first+slot] = slot
	}
}

func consecutive(indexes []int32) bool {
	for i, index := range indexes {
		if index != indexes[0]+int32(i) {
			return false
		}
	}
	return true
}

// slotOf returns the slot of an index.
func (j *job) slotOf(index int32) (int32, bool) {
	if j.slots != nil {
		slot, ok := j.slots[index]
		return slot, ok
	}
	slot := int64(index) - int64(j.first)
	return int32(slot), slot >= 0 && slot < int64(len(j.tasks))
}

// indexOf returns the index of a slot.
func (j *job) indexOf(slot int32) int32 {
	if j.slots != nil {
		return j.Indexes[slot]
	}
	return j.first + slot
}

func (j *job) id(slot int32) TaskID { return TaskID{Job: j.ID, Index: j.indexOf(slot)} }

// need returns the allocation that is assumed for a waiting task.
func (j *job) need() resource.Vector {
	if j.useDeclared {
		return j.Each
	}
	return j.shape.need
}

// addQueued adds n to the number of queued tasks of a job and of the cell.
func (c *Cell) addQueued(j *job, n int) {
	j.counts.Queued += n
	c.queued += n
	if j.parked == WaitNone {
		j.addWaiting(n)
	}
}

// addWaiting adds n to the waiting tasks of the job's team and shape: the queued tasks of jobs that are not parked.
func (j *job) addWaiting(n int) {
	j.team.waiting = j.team.waiting.Add(j.Each.Scale(int64(n)))
	j.shape.waiting += n
}

// Cancel ends a job: queued tasks are cancelled at once, and stops are returned for running ones.
func (c *Cell) Cancel(id string) ([]Stop, error) {
	j, ok := c.jobs[id]
	if !ok {
		return nil, ErrUnknownJob
	}
	if !j.cancelled {
		j.cancelled = true
		j.counts.Cancelled += j.counts.Queued
		c.addQueued(j, -j.counts.Queued)
		j.dequeue()
		c.dropReservation(j)
		if j.inParked {
			c.parkedCancelled++
		}
	}
	if j.counts.Running == 0 {
		return nil, nil
	}
	stops := make([]Stop, 0, j.counts.Running)
	for slot := range j.tasks {
		if j.tasks[slot].state == taskRunning {
			stops = append(stops, c.stop(taskRef{j, int32(slot)}, StopCancelled, nil))
		}
	}
	return stops, nil
}

// SetIndexes sets the tasks of a job that this shard holds. New ones are queued, queued ones that are no longer listed are
// dropped, and stops are returned for running ones that are no longer listed: their replacements run in other shards.
func (c *Cell) SetIndexes(id string, indexes []int32) ([]Stop, error) {
	j, ok := c.jobs[id]
	if !ok {
		return nil, ErrUnknownJob
	}
	if j.cancelled {
		return nil, nil
	}
	wanted := make(map[int32]bool, len(indexes))
	var added []int32
	for _, index := range indexes {
		if wanted[index] {
			return nil, eris.Wrapf(ErrBadJob, "index %d is duplicated", index)
		}
		wanted[index] = true
		if _, ok := j.slotOf(index); !ok {
			added = append(added, index)
		}
	}
	c.growTasks(j, added)
	stops := c.applyIndexes(j, wanted)
	c.unparkIfPossible(j)
	c.enqueue(j)
	return stops, nil
}

func (c *Cell) growTasks(j *job, added []int32) {
	if len(added) == 0 {
		return
	}
	j.addTasks(added)
	c.addQueued(j, len(added))
}

func (c *Cell) applyIndexes(j *job, wanted map[int32]bool) []Stop {
	var stops []Stop
	for slot := range j.tasks {
		t, ref := &j.tasks[slot], taskRef{j, int32(slot)}
		keep := wanted[j.indexOf(ref.slot)]
		switch {
		case keep && t.state == taskRemoved:
			t.state = taskQueued
			c.addQueued(j, 1)
			j.firstCandidate = min(j.firstCandidate, ref.slot)
			j.held += t.heldCount()
		case keep && t.flags&flagLeaving != 0:
			t.flags &^= flagLeaving
		case !keep && t.state == taskQueued:
			// A held task stays held if it returns to this shard: its earlier run may not have ended by then.
			j.held -= t.heldCount()
			t.state = taskRemoved
			c.addQueued(j, -1)
		case !keep && t.state == taskRunning:
			t.flags |= flagLeaving
			stops = append(stops, c.stop(ref, c.replacedReason(), nil))
		}
	}
	return stops
}

func (c *Cell) replacedReason() StopReason {
	if c.draining {
		return StopDraining
	}
	return StopReplaced
}

// Counts returns the states of a job's tasks.
func (c *Cell) Counts(id string) (Counts, error) {
	j, ok := c.jobs[id]
	if !ok {
		return Counts{}, ErrUnknownJob
	}
	return j.counts, nil
}

// Forget removes a job whose tasks have all ended.
func (c *Cell) Forget(id string) error {
	j, ok := c.jobs[id]
	if !ok {
		return ErrUnknownJob
	}
	if j.counts.Queued+j.counts.Running > 0 {
		return eris.Wrapf(ErrNotEnded, "job %q", id)
	}
	j.dequeue()
	c.dropReservation(j)
	c.releaseShape(j.shape)
	delete(c.jobs, id)
	return nil
}

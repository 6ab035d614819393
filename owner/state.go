package owner

import (
	"bytes"
	"sort"
	"time"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/claim"
	"siskinstack.example/siskinstack/scheduler"
)

// state is the durable state of a shard. Only durable records change it.
type state struct {
	shard   string
	jobs    map[string]*job
	workers map[string]bool // workers that may hold tasks of the shard
	claims  *claim.Table    // requests that run at most once
}

// job is one job of which the shard is the home or holds a part.
type job struct {
	accepted *siskinv1.JobAccepted
	// updated is the newest version of a service; nil if it was not updated.
	updated   *siskinv1.JobUpdated
	home      bool
	cancelled bool
	// held are the task indexes that this shard holds, as of heldVersion.
	held        indexSet
	heldVersion int64
	// plan is what the home shard has assigned to other shards.
	plan map[string]assignment
	// next is the lowest index that was never assigned; replacements of service tasks get new indexes.
	next   int32
	ended  map[int32]siskinv1.TaskState
	claims map[int32]*siskinv1.TaskClaimed
	// unlogged are final states that are not durable yet. They are not part of the durable state.
	unlogged map[int32]siskinv1.TaskState
	// endedAt is when all tasks were first observed to have ended; zero before. It is not durable.
	endedAt time.Time
}

// assignment is the set of indexes that another shard holds.
type assignment struct {
	set     indexSet
	version int64
}

func newState(shard string) *state {
	return &state{shard: shard, jobs: map[string]*job{}, workers: map[string]bool{}, claims: claim.NewTable(claim.Limits{})}
}

// apply applies one durable record to the state.
func (s *state) apply(record *siskinv1.Record) {
	switch change := record.GetChange().(type) {
	case *siskinv1.Record_JobAccepted:
		s.applyAccepted(change.JobAccepted)
	case *siskinv1.Record_JobCancelled:
		if j, ok := s.jobs[change.JobCancelled.GetId()]; ok {
			j.cancelled = true
		}
	case *siskinv1.Record_JobUpdated:
		s.applyUpdated(change.JobUpdated)
	case *siskinv1.Record_TaskClaimed:
		if j, ok := s.jobs[change.TaskClaimed.GetJob()]; ok {
			j.claims[change.TaskClaimed.GetIndex()] = change.TaskClaimed
		}
	case *siskinv1.Record_TaskEnded:
		s.applyEnded(change.TaskEnded)
	case *siskinv1.Record_TasksEnded:
		s.applyAllEnded(change.TasksEnded)
	case *siskinv1.Record_PartChanged:
		s.applyPart(change.PartChanged)
	case *siskinv1.Record_JobForgotten:
		delete(s.jobs, change.JobForgotten.GetId())
	case *siskinv1.Record_RequestClaimed, *siskinv1.Record_RequestFinished:
		s.claims.Apply(record)
	case *siskinv1.Record_WorkerUsed:
		s.workers[change.WorkerUsed.GetWorker()] = true
	case *siskinv1.Record_WorkerUnused:
		delete(s.workers, change.WorkerUnused.GetWorker())
	}
}

func newJob(accepted *siskinv1.JobAccepted, home bool) *job {
	return &job{
		accepted: accepted,
		home:     home,
		plan:     map[string]assignment{},
		ended:    map[int32]siskinv1.TaskState{},
		claims:   map[int32]*siskinv1.TaskClaimed{},
		unlogged: map[int32]siskinv1.TaskState{},
	}
}

func (s *state) applyAccepted(accepted *siskinv1.JobAccepted) {
	if _, ok := s.jobs[accepted.GetId()]; ok {
		return
	}
	j := newJob(accepted, true)
	j.next = accepted.GetSpec().GetCount()
	j.held = j.held.add(0, j.next)
	s.jobs[accepted.GetId()] = j
}

func (s *state) applyEnded(ended *siskinv1.TaskEnded) {
	j, ok := s.jobs[ended.GetJob()]
	if !ok {
		return
	}
	if _, known := j.ended[ended.GetIndex()]; known {
		return
	}
	j.ended[ended.GetIndex()] = ended.GetState()
	delete(j.claims, ended.GetIndex())
	delete(j.unlogged, ended.GetIndex())
}

func (s *state) applyAllEnded(ended *siskinv1.TasksEnded) {
	for _, r := range ended.GetRanges() {
		for index := r.GetFirst(); index < r.GetEnd(); index++ {
			s.applyEnded(&siskinv1.TaskEnded{Job: ended.GetJob(), Index: index, State: ended.GetState()})
		}
	}
}

func (s *state) applyPart(part *siskinv1.PartChanged) {
	j, ok := s.jobs[part.GetJob()]
	if !ok {
		if part.GetJobCopy() == nil {
			return
		}
		j = newJob(part.GetJobCopy(), false)
		s.jobs[part.GetJob()] = j
	}
	set := setFromProto(part.GetRanges())
	j.next = max(j.next, set.end())
	if part.GetHolder() != s.shard {
		if part.GetPlanVersion() > j.plan[part.GetHolder()].version {
			j.plan[part.GetHolder()] = assignment{set: set, version: part.GetPlanVersion()}
		}
		return
	}
	if part.GetPlanVersion() > j.heldVersion {
		j.held = set
		j.heldVersion = part.GetPlanVersion()
	}
}

// records returns the records that rebuild the state, for a snapshot.
func (s *state) records() []*siskinv1.Record {
	var records []*siskinv1.Record
	for _, id := range sortedKeys(s.jobs) {
		records = append(records, s.jobs[id].records(s.shard)...)
	}
	for _, worker := range sortedKeys(s.workers) {
		records = append(records, workerUsedRecord(worker))
	}
	return append(records, s.claims.Records()...)
}

func (j *job) records(shard string) []*siskinv1.Record {
	id := j.accepted.GetId()
	var records []*siskinv1.Record
	if j.home {
		records = append(records, &siskinv1.Record{Change: &siskinv1.Record_JobAccepted{JobAccepted: j.accepted}})
	}
	if j.heldVersion > 0 {
		var copied *siskinv1.JobAccepted
		if !j.home {
			copied = j.accepted
		}
		records = append(records, partRecord(id, shard, j.heldVersion, j.held, copied))
	}
	for _, holder := range sortedKeys(j.plan) {
		records = append(records, partRecord(id, holder, j.plan[holder].version, j.plan[holder].set, nil))
	}
	if j.updated != nil {
		records = append(records, updatedRecord(j.updated))
	}
	if j.cancelled {
		records = append(records, cancelRecord(id))
	}
	for _, index := range sortedKeys(j.claims) {
		records = append(records, &siskinv1.Record{Change: &siskinv1.Record_TaskClaimed{TaskClaimed: j.claims[index]}})
	}
	byState := map[siskinv1.TaskState]indexSet{}
	for _, index := range sortedKeys(j.ended) {
		byState[j.ended[index]] = byState[j.ended[index]].add(index, index+1)
	}
	for _, state := range sortedKeys(byState) {
		records = append(records, &siskinv1.Record{Change: &siskinv1.Record_TasksEnded{TasksEnded: &siskinv1.TasksEnded{
			Job: id, State: state, Ranges: byState[state].proto(),
		}}})
	}
	return records
}

// sameSpec reports whether a repeated submission carries the same content.
func (j *job) sameSpec(hash []byte) bool {
	return bytes.Equal(j.current().GetSpecSha256(), hash)
}

// allEnded reports whether every task of the job has ended, wherever it is held.
func (j *job) allEnded() bool {
	all := j.assigned()
	if j.home && all.empty() && j.isService() {
		return false
	}
	if !j.cancelled {
		all = all.union(j.unassigned()) // unassigned tasks of a cancelled job never start
	}
	return j.allEndedOf(all)
}

func (j *job) isService() bool {
	return j.accepted.GetSpec().GetKind() == siskinv1.WorkKind_WORK_KIND_SERVICE
}

// unassigned returns the open tasks of a batch or gang job that no shard holds: a previous owner of the home shard
// stopped between their release and their assignment. A service has none, because it gets new indexes instead.
func (j *job) unassigned() indexSet {
	if !j.home || j.isService() {
		return nil
	}
	return j.open((indexSet{}).add(0, j.accepted.GetSpec().GetCount()).minus(j.assigned()))
}

func (j *job) allEndedOf(set indexSet) bool {
	for _, r := range set {
		for index := r.first; index < r.end; index++ {
			if _, ended := j.ended[index]; !ended {
				return false
			}
		}
	}
	return true
}

// openIndexes returns the held indexes that have not ended, in order.
func (j *job) openIndexes() []int32 {
	var open []int32
	for _, r := range j.held {
		for index := r.first; index < r.end; index++ {
			if _, ended := j.ended[index]; !ended {
				open = append(open, index)
			}
		}
	}
	return open
}

func sortedKeys[K interface{ ~string | ~int32 }, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(i, k int) bool { return keys[i] < keys[k] })
	return keys
}

// apply is called by the log with every durable record, in order.
func (o *Owner) apply(record *siskinv1.Record) {
	o.mu.Lock()
	defer o.mu.Unlock()
	before := o.heldBy(record)
	o.state.apply(record)
	if !o.live {
		return
	}
	switch change := record.GetChange().(type) {
	case *siskinv1.Record_JobAccepted:
		o.submitToScheduler(change.JobAccepted.GetId())
	case *siskinv1.Record_JobCancelled:
		o.cancelInScheduler(change.JobCancelled.GetId())
	case *siskinv1.Record_JobUpdated:
		o.updateInScheduler(change.JobUpdated.GetId())
	case *siskinv1.Record_PartChanged:
		o.updatePartInScheduler(change.PartChanged, before)
	case *siskinv1.Record_JobForgotten:
		_ = o.cell.Forget(change.JobForgotten.GetId())
		delete(o.remote, change.JobForgotten.GetId())
	}
}

// snapshot returns the records that rebuild the durable state. The log calls it between two commits.
func (o *Owner) snapshot() []*siskinv1.Record {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.state.records()
}

// submitToScheduler submits a job with its open tasks to the scheduler. The caller holds mu.
func (o *Owner) submitToScheduler(id string) {
	j := o.state.jobs[id]
	// Restore does not check the queue limit, which was checked before the job became durable.
	if err := o.cell.Restore(o.schedulerJob(j)); err != nil {
		return
	}
	_ = o.cell.HoldUpdate(id, true)
	if j.gangFailed() {
		_ = o.cell.FailGang(id)
		o.noteGangEnds(j)
	}
	if j.cancelled {
		o.cancelInScheduler(id)
	}
}

// cancelInScheduler cancels a job in the scheduler; the next scheduling pass stops its running tasks. The caller holds
// mu.
func (o *Owner) cancelInScheduler(id string) {
	stops, err := o.cell.Cancel(id)
	if err != nil {
		return
	}
	o.stops = append(o.stops, stops...)
}

// heldBy returns the indexes that this shard holds of the job that a part record changes; nil for other records. The
// caller holds mu.
func (o *Owner) heldBy(record *siskinv1.Record) indexSet {
	if j := o.state.jobs[record.GetPartChanged().GetJob()]; j != nil {
		return j.held
	}
	return nil
}

// updatePartInScheduler passes a change of the held indexes to the scheduler. The caller holds mu.
func (o *Owner) updatePartInScheduler(part *siskinv1.PartChanged, before indexSet) {
	if part.GetHolder() != o.shard {
		return
	}
	j := o.state.jobs[part.GetJob()]
	if j == nil {
		return
	}
	if _, err := o.cell.Counts(part.GetJob()); err != nil {
		o.submitToScheduler(part.GetJob())
		return
	}
	stops, err := o.cell.SetIndexes(part.GetJob(), j.openIndexes())
	if err == nil {
		o.stops = append(o.stops, stops...)
	}
	o.releaseHolds(part.GetJob(), j.held.minus(before))
}

// releaseHolds ends the holds of tasks that this shard released and that are assigned to it again. The shard that held
// them in between has confirmed that they do not run there. The caller holds mu.
func (o *Owner) releaseHolds(id string, returned indexSet) {
	for _, r := range returned {
		for index := r.first; index < r.end; index++ {
			task := scheduler.TaskID{Job: id, Index: index}
			delete(o.heldForRelease, task)
			_ = o.cell.Unhold(task)
		}
	}
}

// schedulerJob converts a job to the scheduler's type, with its ready-by time in the scheduler's time.
func (o *Owner) schedulerJob(j *job) scheduler.Job {
	now := o.now()
	out := schedulerJob(j, now)
	if readyBy := j.spec().GetReadyByUnixMs(); readyBy > 0 {
		out.ReadyBy = max(1, now+time.UnixMilli(readyBy).Sub(o.options.Clock.Now()))
	}
	return out
}

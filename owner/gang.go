package owner

import (
	"siskinstack.example/siskinstack/allowance"
	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/scheduler"
)

// firstGangs returns the first waiting gang job of each team. The caller holds mu.
func (o *Owner) firstGangs() map[string]allowance.Gang {
	first := map[string]allowance.Gang{}
	for _, id := range o.cell.WaitingGangs() {
		j := o.state.jobs[id]
		if j == nil {
			continue
		}
		team := j.accepted.GetTeam()
		gang := allowance.Gang{AcceptedUnixMs: j.accepted.GetAcceptedUnixMs(), Job: id}
		if gang.Before(first[team]) {
			first[team] = gang
		}
	}
	return first
}

// gangFailed reports whether a member of a gang job has failed permanently, so that the whole job has failed. A gang
// job that runs at most once does not fail as a whole: its other members run to completion.
func (j *job) gangFailed() bool {
	if j.spec().GetKind() != siskinv1.WorkKind_WORK_KIND_GANG || j.spec().GetAtMostOnce() {
		return false
	}
	for _, state := range j.ended {
		if state == siskinv1.TaskState_TASK_STATE_FAILED {
			return true
		}
	}
	return false
}

// noteGangEnds notes the final states of the members of a gang job that ended because another member failed. No worker
// reports these. The caller holds mu.
func (o *Owner) noteGangEnds(j *job) {
	if j.spec().GetKind() != siskinv1.WorkKind_WORK_KIND_GANG {
		return
	}
	for _, index := range j.openIndexes() {
		o.noteFinal(scheduler.TaskID{Job: j.accepted.GetId(), Index: index})
	}
}

// gangRecords returns the records of final states of a failed gang job that are not durable yet. If this owner fails
// before they are written, the next owner derives them from the durable record of the failed member. The caller holds
// mu.
func (o *Owner) gangRecords(j *job) []*siskinv1.Record {
	if !j.gangFailed() {
		return nil
	}
	o.noteGangEnds(j)
	var records []*siskinv1.Record
	for _, index := range sortedKeys(j.unlogged) {
		records = append(records, endedRecord(j.accepted.GetId(), index, 0, j.unlogged[index], "another member of the gang job failed for good"))
	}
	return records
}

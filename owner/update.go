package owner

import (
	"context"
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/refusal"
	"siskinstack.example/siskinstack/resource"
	"siskinstack.example/siskinstack/scheduler"
)

const (
	// attemptsPerRevision separates the attempts of successive versions of a service, so that a new owner can derive
	// from the attempt of a running task which version it runs.
	attemptsPerRevision = 1 << 20
	// maxRevisions keeps attempts within 31 bits.
	maxRevisions = 2000
	// surgeTimeout is how long an update waits for free capacity for one task above the count.
	surgeTimeout = 5 * time.Second
)

// rollout is the home shard's view of the update of a service. One shard at a time replaces its tasks.
type rollout struct {
	revision int32
	// active is the shard that replaces its tasks next, or now if granted; empty if none has tasks of an earlier version.
	active string
	since  time.Time
	// noSurge is true if nothing was granted within surgeTimeout; the update then goes on without a task above the count.
	noSurge bool
	granted bool
}

// spec returns the newest version of the work.
func (j *job) spec() *siskinv1.WorkSpec {
	if j.updated != nil {
		return j.updated.GetSpec()
	}
	return j.accepted.GetSpec()
}

// current returns the job as accepted, with the newest version of the work, for other holders.
func (j *job) current() *siskinv1.JobAccepted {
	if j.updated == nil {
		return j.accepted
	}
	return &siskinv1.JobAccepted{
		Id: j.accepted.GetId(), Team: j.accepted.GetTeam(), Spec: j.updated.GetSpec(),
		RequestKey: j.accepted.GetRequestKey(), AcceptedUnixMs: j.accepted.GetAcceptedUnixMs(),
		SpecSha256: j.updated.GetSpecSha256(),
	}
}

// oldAttempts returns the highest attempt that may run an earlier version of the work.
func (j *job) oldAttempts() int32 { return j.updated.GetRevision() * attemptsPerRevision }

func (s *state) applyUpdated(updated *siskinv1.JobUpdated) {
	j, ok := s.jobs[updated.GetId()]
	if ok && updated.GetSpec().GetUpdateVersion() > j.spec().GetUpdateVersion() {
		j.updated = updated
	}
}

func updatedRecord(updated *siskinv1.JobUpdated) *siskinv1.Record {
	return &siskinv1.Record{Change: &siskinv1.Record_JobUpdated{JobUpdated: updated}}
}

// updateInScheduler passes the newest version of a service to the scheduler. Running tasks are replaced once the home
// shard allows this shard to do so. The caller holds mu.
func (o *Owner) updateInScheduler(id string) {
	j := o.state.jobs[id]
	if j == nil {
		return
	}
	_ = o.cell.HoldUpdate(id, true)
	_ = o.cell.Update(id, scheduler.ServiceUpdate{
		Version: j.spec().GetUpdateVersion(), Each: resource.FromProto(j.spec().GetEach()), OldAttempts: j.oldAttempts(),
	})
}

// updateOf returns the update that a submission under a known request key requests; nil if it repeats the known
// specification. The caller holds mu.
func (o *Owner) updateOf(j *job, request *siskinv1.SubmitWorkRequest, hash []byte) (*siskinv1.JobUpdated, error) {
	id := j.accepted.GetId()
	known, wanted := j.spec(), request.GetSpec()
	switch {
	case j.sameSpec(hash):
		return nil, nil
	case j.accepted.GetTeam() != request.GetTeam() || !isUpdate(known, wanted):
		return nil, refusal.New(refusal.RequestKeyReused, "the request key was used for other work, %q", id)
	case wanted.GetUpdateVersion() < known.GetUpdateVersion():
		refused := refusal.New(refusal.Conflict, "service %q has update_version %d, and cannot go back to %d",
			id, known.GetUpdateVersion(), wanted.GetUpdateVersion())
		refused.MayHaveRun = true // the lower version may have been accepted before
		return nil, refused
	case wanted.GetUpdateVersion() == known.GetUpdateVersion():
		return nil, refusal.New(refusal.RequestKeyReused, "service %q has other content under update_version %d; an update needs a higher one",
			id, known.GetUpdateVersion())
	case j.cancelled || o.hasEnded(j):
		return nil, refusal.New(refusal.Conflict, "service %q was cancelled or has ended", id)
	case j.updated.GetRevision() >= maxRevisions:
		return nil, refusal.New(refusal.Conflict, "service %q was updated %d times, which is the limit", id, maxRevisions)
	}
	return &siskinv1.JobUpdated{
		Id: id, Spec: wanted, SpecSha256: hash, Revision: j.updated.GetRevision() + 1,
	}, nil
}

// isUpdate reports whether wanted is the same service as known except for what an update may change: size, command,
// count and version.
func isUpdate(known, wanted *siskinv1.WorkSpec) bool {
	if known.GetKind() != siskinv1.WorkKind_WORK_KIND_SERVICE {
		return false
	}
	same := proto.CloneOf(wanted)
	same.Each, same.Command, same.Count, same.UpdateVersion = known.GetEach(), known.GetCommand(), known.GetCount(), known.GetUpdateVersion()
	return proto.Equal(same, known)
}

// acceptUpdate makes an update durable.
func (o *Owner) acceptUpdate(ctx context.Context, updated *siskinv1.JobUpdated) (*siskinv1.SubmitWorkResponse, error) {
	if err := o.append(ctx, updatedRecord(updated)); err != nil {
		return nil, refuseAppend(err)
	}
	o.options.Metrics.accepted.WithLabelValues(o.shard, "updated").Inc()
	return &siskinv1.SubmitWorkResponse{Id: updated.GetId()}, nil
}

// advanceRollout allows one shard at a time to replace its tasks of earlier versions. During that time the target of
// the shard is one higher, so that the service keeps its count; if there is no free capacity for that, the service is
// one task short. The caller holds mu.
func (o *Owner) advanceRollout(id string, j *job, held map[string]indexSet, targets map[string]int) {
	if j.updated == nil {
		return
	}
	r := &o.remoteOf(id).rollout
	now := o.options.Clock.Now()
	active := o.nextRolloutShard(id, j, targets)
	if active != r.active || r.revision != j.updated.GetRevision() {
		*r = rollout{revision: j.updated.GetRevision(), active: active, since: now}
	}
	if active != "" {
		o.grantRollout(id, j, r, held, targets)
	}
	_ = o.cell.HoldUpdate(id, !r.mayReplace(o.shard))
}

func (o *Owner) grantRollout(id string, j *job, r *rollout, held map[string]indexSet, targets map[string]int) {
	if !r.noSurge && !r.granted && o.options.Clock.Now().Sub(r.since) >= surgeTimeout {
		r.noSurge = true
	}
	if !r.noSurge {
		targets[r.active]++
	}
	ready := held[r.active].size() >= targets[r.active] && o.allRunning(id, j, held, targets)
	if ready && !o.othersReplace(id, j, r.active) {
		r.granted = true
	}
}

func (r *rollout) mayReplace(shard string) bool { return r.granted && r.active == shard }

// nextRolloutShard returns the first shard in service that runs tasks of earlier versions and has received the newest
// one. The caller holds mu.
func (o *Owner) nextRolloutShard(id string, j *job, targets map[string]int) string {
	shards := make([]string, 0, len(targets))
	for shard := range targets {
		shards = append(shards, shard)
	}
	sort.Strings(shards)
	for _, shard := range shards {
		state := o.updateState(id, shard)
		if state.Outdated > 0 && state.Version == j.spec().GetUpdateVersion() {
			return shard
		}
	}
	return ""
}

// othersReplace reports whether a shard other than active may replace tasks. The caller holds mu.
func (o *Owner) othersReplace(id string, j *job, active string) bool {
	for shard := range j.plan {
		if state := o.updateState(id, shard); shard != active && state.Outdated > 0 && !state.Held {
			return true
		}
	}
	state := o.updateState(id, o.shard)
	return active != o.shard && state.Outdated > 0 && !state.Held
}

// updateState returns the progress of the update of a service in a shard, as last reported. The caller holds mu.
func (o *Owner) updateState(id, shard string) scheduler.UpdateState {
	if shard == o.shard {
		state, _ := o.cell.UpdateState(id)
		return state
	}
	h := o.remoteOf(id).holder(shard)
	return scheduler.UpdateState{Version: h.updateVersion, Outdated: int(h.outdated), Held: !h.replacing}
}

// updateConfirmed reports whether a holder has the newest version and has been told whether it may replace tasks. The
// caller holds mu.
func (o *Owner) updateConfirmed(id string, j *job, shard string) bool {
	if j.updated == nil {
		return true
	}
	r := o.remoteOf(id)
	h := r.holder(shard)
	return h.updateVersion >= j.spec().GetUpdateVersion() && h.replacing == r.rollout.mayReplace(shard)
}

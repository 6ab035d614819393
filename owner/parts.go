package owner

import (
	"context"
	"time"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/refusal"
	"siskinstack.example/siskinstack/scheduler"
	"siskinstack.example/siskinstack/sharding"
)

const (
	// partsInterval is the time between two reconciliations of the plan with what holders have confirmed and reported.
	partsInterval = 250 * time.Millisecond
	// partTimeout bounds one call to the owner of another shard.
	partTimeout = 2 * time.Second
	// maxEndsPerReport bounds the task ends in one report to the home shard.
	maxEndsPerReport = 2000
	// reportInterval is the longest time between two reports of a held part.
	reportInterval = 2 * time.Second
	// holdTimeout is how long a task that is being released is kept from starting.
	holdTimeout = 15 * time.Second
)

// PartClient calls the owners of other shards.
type PartClient interface {
	OfferPart(ctx context.Context, shard string, request *siskinv1.OfferPartRequest) (*siskinv1.OfferPartResponse, error)
	ReleasePart(ctx context.Context, shard string, request *siskinv1.ReleasePartRequest) (*siskinv1.ReleasePartResponse, error)
	ReportPart(ctx context.Context, shard string, request *siskinv1.ReportPartRequest) (*siskinv1.ReportPartResponse, error)
}

// remoteParts is, in the home shard of a job, the state of its other holders; in a holder, what it has reported to the
// home shard.
type remoteParts struct {
	holders map[string]*holder
	// reported are the ended tasks that the home shard has confirmed.
	reported map[int32]bool
	lastSent time.Time
	last     *siskinv1.ReportPartRequest
	rollout  rollout
	// movedTo is when queued tasks were last moved to each shard.
	movedTo map[string]time.Time
}

// holder is the home shard's view of another shard that holds a part.
type holder struct {
	confirmedVersion int64 // plan version that the holder has confirmed
	cancelConfirmed  bool
	running          int32
	queued           int32
	reason, remedy   string
	atRisk           bool
	reported         bool
	updateVersion    int64
	outdated         int32
	replacing        bool
}

func (o *Owner) remoteOf(job string) *remoteParts {
	r, ok := o.remote[job]
	if !ok {
		r = &remoteParts{holders: map[string]*holder{}, reported: map[int32]bool{}, movedTo: map[string]time.Time{}}
		o.remote[job] = r
	}
	return r
}

func (r *remoteParts) holder(shard string) *holder {
	h, ok := r.holders[shard]
	if !ok {
		h = &holder{}
		r.holders[shard] = h
	}
	return h
}

// reconcileParts brings other shards up to date: with offers and releases as home shard, with reports as holder.
func (o *Owner) reconcileParts(ctx context.Context) {
	if o.options.Parts == nil {
		return
	}
	o.mu.Lock()
	o.expireHolds()
	offers := o.dueOffers()
	reports := o.dueReports()
	o.mu.Unlock()
	for _, offer := range offers {
		o.offer(ctx, offer)
	}
	for _, report := range reports {
		o.report(ctx, report)
	}
	o.balance(ctx)
}

// dueOffers returns the assignments that their holders have not confirmed. The caller holds mu.
func (o *Owner) dueOffers() []*siskinv1.OfferPartRequest {
	var offers []*siskinv1.OfferPartRequest
	for id, j := range o.state.jobs {
		if !j.home {
			continue
		}
		for shard, assigned := range j.plan {
			h := o.remoteOf(id).holder(shard)
			if h.confirmedVersion >= assigned.version && h.cancelConfirmed == j.cancelled && o.updateConfirmed(id, j, shard) {
				continue
			}
			offers = append(offers, &siskinv1.OfferPartRequest{
				Part:      partRecord(id, shard, assigned.version, assigned.set, j.current()).GetPartChanged(),
				Cancelled: j.cancelled,
				Update:    j.updated,
				Replace:   o.remoteOf(id).rollout.mayReplace(shard),
			})
		}
	}
	return offers
}

func (o *Owner) offer(ctx context.Context, request *siskinv1.OfferPartRequest) {
	ctx, cancel := context.WithTimeout(ctx, partTimeout)
	defer cancel()
	part := request.GetPart()
	response, err := o.options.Parts.OfferPart(ctx, part.GetHolder(), request)
	if err != nil {
		return
	}
	o.mu.Lock()
	j := o.state.jobs[part.GetJob()]
	if j == nil {
		o.mu.Unlock()
		return
	}
	h := o.remoteOf(part.GetJob()).holder(part.GetHolder())
	h.updateVersion = max(h.updateVersion, request.GetUpdate().GetSpec().GetUpdateVersion())
	h.replacing = request.GetReplace()
	if response.GetTaken() {
		h.confirmedVersion = part.GetPlanVersion()
		h.cancelConfirmed = request.GetCancelled()
	}
	current := j.plan[part.GetHolder()]
	o.mu.Unlock()
	if !response.GetTaken() && current.version == part.GetPlanVersion() {
		// The holder has released indexes under a higher version, and its response was lost. Offering the recorded set
		// again under a version above that one makes both sides agree.
		_ = o.append(ctx, partRecord(part.GetJob(), part.GetHolder(), response.GetPlanVersion()+1, current.set, nil))
	}
}

// OfferPart accepts the set of indexes that the home shard assigns to this shard, unless its version is outdated.
func (o *Owner) OfferPart(ctx context.Context, request *siskinv1.OfferPartRequest) (*siskinv1.OfferPartResponse, error) {
	part := request.GetPart()
	if !o.mayAct() {
		return nil, refusal.New(refusal.ShardUnavailable, "shard %q is changing its owner", o.shard)
	}
	o.mu.Lock()
	j := o.state.jobs[part.GetJob()]
	var records []*siskinv1.Record
	version := int64(0)
	if j != nil {
		version = j.heldVersion
	}
	taken := part.GetPlanVersion() >= version
	if part.GetPlanVersion() > version {
		records = append(records, &siskinv1.Record{Change: &siskinv1.Record_PartChanged{PartChanged: part}})
	}
	if update := request.GetUpdate(); j != nil && update.GetSpec().GetUpdateVersion() > j.spec().GetUpdateVersion() {
		records = append(records, updatedRecord(update))
	}
	if request.GetCancelled() && (j == nil || !j.cancelled) {
		records = append(records, cancelRecord(part.GetJob()))
	}
	o.mu.Unlock()
	if err := o.append(ctx, records...); err != nil {
		return nil, refuseAppend(err)
	}
	o.mu.Lock()
	_ = o.cell.HoldUpdate(part.GetJob(), !request.GetReplace())
	o.mu.Unlock()
	return &siskinv1.OfferPartResponse{PlanVersion: max(version, part.GetPlanVersion()), Taken: taken}, nil
}

// ReleasePart releases indexes to the home shard. Running tasks are released only after they have been stopped: with
// StopRunning this call begins the stop, and a later call finds them ended.
func (o *Owner) ReleasePart(ctx context.Context, request *siskinv1.ReleasePartRequest) (*siskinv1.ReleasePartResponse, error) {
	if !o.mayAct() {
		return nil, refusal.New(refusal.ShardUnavailable, "shard %q is changing its owner", o.shard)
	}
	wanted := setFromProto(request.GetRanges())
	o.mu.Lock()
	j := o.state.jobs[request.GetJob()]
	if j == nil {
		o.mu.Unlock()
		return nil, refusal.New(refusal.NotFound, "shard %q holds no part of %q", o.shard, request.GetJob())
	}
	releasable := o.holdForRelease(j, wanted.intersect(j.held), request.GetStopRunning())
	record := partRecord(request.GetJob(), o.shard, request.GetPlanVersion(), j.held.minus(releasable), nil)
	current := j.heldVersion
	o.mu.Unlock()
	if !releasable.empty() && request.GetPlanVersion() > current {
		if err := o.append(ctx, record); err != nil {
			return nil, refuseAppend(err)
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return &siskinv1.ReleasePartResponse{
		Released: wanted.minus(j.held).proto(), PlanVersion: j.heldVersion,
	}, nil
}

// holdForRelease holds the wanted indexes that are not running, so that they do not start, and returns them. Ended ones
// stay with this shard. With stopRunning it also begins to stop the running ones. During the recovery a task without a
// placement may still run, so it is not released. The caller holds mu.
func (o *Owner) holdForRelease(j *job, wanted indexSet, stopRunning bool) indexSet {
	var releasable indexSet
	id := j.accepted.GetId()
	for _, r := range wanted {
		for index := r.first; index < r.end; index++ {
			task := scheduler.TaskID{Job: id, Index: index}
			_, ended := j.ended[index]
			_, ending := j.unlogged[index]
			p := o.placed[task]
			switch {
			case ended || ending || (o.recovery != nil && p == nil):
			case p == nil:
				o.holdTask(task)
				releasable = releasable.add(index, index+1)
			case stopRunning:
				o.holdTask(task)
				o.stops = append(o.stops, scheduler.Stop{
					Task: task, Attempt: p.ref.Attempt, Worker: p.worker, Reason: scheduler.StopReplaced,
				})
			}
		}
	}
	return releasable
}

// holdTask keeps a task from starting until it is released or the hold expires. The caller holds mu.
func (o *Owner) holdTask(task scheduler.TaskID) {
	o.heldForRelease[task] = o.options.Clock.Now()
	_ = o.cell.Hold(task) // a running task is held when it ends
}

// expireHolds ends the holds of tasks that were not released within holdTimeout. The caller holds mu.
func (o *Owner) expireHolds() {
	now := o.options.Clock.Now()
	for task, since := range o.heldForRelease {
		if now.Sub(since) < holdTimeout {
			continue
		}
		delete(o.heldForRelease, task)
		_ = o.cell.Unhold(task)
	}
}

// dueReports returns the reports to send to the home shards of held parts: those that have changed, that contain ended
// tasks, or whose last one was sent at least reportInterval ago. The caller holds mu.
func (o *Owner) dueReports() []*siskinv1.ReportPartRequest {
	var reports []*siskinv1.ReportPartRequest
	now := o.options.Clock.Now()
	for id, j := range o.state.jobs {
		if j.home {
			continue
		}
		r := o.remoteOf(id)
		report := o.partReport(id, j, r)
		if len(report.GetEnded()) == 0 && sameReport(report, r.last) && now.Sub(r.lastSent) < reportInterval {
			continue
		}
		r.lastSent = now
		reports = append(reports, report)
	}
	return reports
}

func (o *Owner) partReport(id string, j *job, r *remoteParts) *siskinv1.ReportPartRequest {
	counts, _ := o.cell.Counts(id)
	waiting, _ := o.cell.Explain(id)
	report := &siskinv1.ReportPartRequest{
		Job: id, Holder: o.shard, Running: int32(counts.Running), Queued: int32(counts.Queued),
		WaitingReason: string(waiting.Reason), WaitingRemedy: waiting.Remedy,
	}
	report.ReadyByAtRisk, _ = o.cell.AtRisk(id)
	update := o.updateState(id, o.shard)
	report.UpdateVersion, report.Outdated, report.Replacing = update.Version, int32(update.Outdated), !update.Held
	for index, state := range j.ended {
		if r.reported[index] {
			continue
		}
		report.Ended = append(report.Ended, &siskinv1.TaskEnded{Job: id, Index: index, State: state})
		if len(report.Ended) >= maxEndsPerReport {
			break
		}
	}
	return report
}

func sameReport(a, b *siskinv1.ReportPartRequest) bool {
	return b != nil && a.GetRunning() == b.GetRunning() && a.GetQueued() == b.GetQueued() &&
		a.GetWaitingReason() == b.GetWaitingReason() && a.GetReadyByAtRisk() == b.GetReadyByAtRisk() &&
		a.GetUpdateVersion() == b.GetUpdateVersion() && a.GetOutdated() == b.GetOutdated() && a.GetReplacing() == b.GetReplacing()
}

func (o *Owner) report(ctx context.Context, request *siskinv1.ReportPartRequest) {
	home, ok := sharding.OfJob(request.GetJob())
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, partTimeout)
	defer cancel()
	if _, err := o.options.Parts.ReportPart(ctx, home, request); err != nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	r := o.remoteOf(request.GetJob())
	r.last = request
	for _, ended := range request.GetEnded() {
		r.reported[ended.GetIndex()] = true
	}
}

// ReportPart processes the report of a holder. It returns after the ended tasks are durable here, so that the holder
// need not report them again.
func (o *Owner) ReportPart(ctx context.Context, request *siskinv1.ReportPartRequest) (*siskinv1.ReportPartResponse, error) {
	if !o.mayAct() {
		return nil, refusal.New(refusal.ShardUnavailable, "shard %q is changing its owner", o.shard)
	}
	o.mu.Lock()
	j := o.state.jobs[request.GetJob()]
	if j == nil {
		o.mu.Unlock()
		return &siskinv1.ReportPartResponse{}, nil
	}
	var records []*siskinv1.Record
	for _, ended := range request.GetEnded() {
		if _, known := j.ended[ended.GetIndex()]; !known {
			records = append(records, &siskinv1.Record{Change: &siskinv1.Record_TaskEnded{TaskEnded: ended}})
		}
	}
	o.mu.Unlock()
	if err := o.append(ctx, records...); err != nil {
		return nil, refuseAppend(err)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	h := o.remoteOf(request.GetJob()).holder(request.GetHolder())
	h.running, h.queued = request.GetRunning(), request.GetQueued()
	h.reason, h.remedy = request.GetWaitingReason(), request.GetWaitingRemedy()
	h.atRisk = request.GetReadyByAtRisk()
	h.updateVersion, h.outdated, h.replacing = request.GetUpdateVersion(), request.GetOutdated(), request.GetReplacing()
	h.reported = true
	return &siskinv1.ReportPartResponse{}, nil
}

// addRemote adds the tasks that other shards hold to the status. The caller holds mu.
func (o *Owner) addRemote(status *siskinv1.WorkStatus, j *job) {
	for shard, assigned := range j.plan {
		open := int32(assigned.set.size())
		for index := range j.ended {
			if assigned.set.contains(index) {
				open--
			}
		}
		h := o.remoteOf(j.accepted.GetId()).holder(shard)
		running := min(h.running, open)
		status.Running += running
		status.Outdated += h.outdated
		if j.cancelled {
			status.Cancelled += open - running
		} else {
			status.Queued += open - running
		}
		if status.GetWaitingReason() == "" && open > running {
			status.WaitingReason, status.WaitingRemedy = h.reason, h.remedy
		}
		status.ReadyByAtRisk = status.ReadyByAtRisk || h.atRisk
	}
}

// remoteRunning reports whether another shard may run tasks of a job. The caller holds mu.
func (o *Owner) remoteRunning(j *job) bool {
	for shard, assigned := range j.plan {
		h := o.remoteOf(j.accepted.GetId()).holder(shard)
		if !assigned.set.empty() && (!h.reported || !h.cancelConfirmed || h.running > 0) {
			return true
		}
	}
	return false
}

package owner

import (
	"context"
	"sort"
	"time"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/resource"
	"siskinstack.example/siskinstack/scheduler"
)

// ceilingStay is how long a job that waits for its team's ceiling stays in a shard after a move. Allowance moves at most
// once a second for each team and shard, so a job that leaves sooner may wander between shards and start in none.
const ceilingStay = 5 * time.Second

// maxMovesPerRound bounds the tasks that one round moves, so that loads reported meanwhile are taken into account.
const maxMovesPerRound = 64

// firstParts splits a new service over the shards in service; other work starts in its home shard.
func (o *Owner) firstParts(accepted *siskinv1.JobAccepted) []*siskinv1.Record {
	if accepted.GetSpec().GetKind() != siskinv1.WorkKind_WORK_KIND_SERVICE || o.options.Parts == nil {
		return nil
	}
	shards := o.shardsInService()
	if len(shards) < 2 {
		return nil
	}
	count := accepted.GetSpec().GetCount()
	var records []*siskinv1.Record
	first := int32(0)
	held := indexSet{}
	for i, shard := range shards {
		end := first + (count-first)/int32(len(shards)-i)
		set := indexSet{}.add(first, end)
		first = end
		if shard == o.shard {
			held = set
			continue
		}
		if !set.empty() {
			records = append(records, partRecord(accepted.GetId(), shard, 1, set, nil))
		}
	}
	return append(records, partRecord(accepted.GetId(), o.shard, 1, held, nil))
}

// shardsInService returns the shards whose zones are not drained, this one first.
func (o *Owner) shardsInService() []string {
	var shards []string
	for _, shard := range o.options.Config.Shards() {
		if !o.options.Config.Draining(shard.Zone) {
			shards = append(shards, shard.Name)
		}
	}
	sort.Slice(shards, func(i, j int) bool {
		if (shards[i] == o.shard) != (shards[j] == o.shard) {
			return shards[i] == o.shard
		}
		return shards[i] < shards[j]
	})
	return shards
}

// balance moves tasks between shards: services out of drained zones and over the zones in service, other queued work
// to shards with free room.
func (o *Owner) balance(ctx context.Context) {
	inService := o.shardsInService()
	o.mu.Lock()
	var services, others []string
	if !o.stopping && o.recovery == nil {
		for _, id := range sortedKeys(o.state.jobs) {
			j := o.state.jobs[id]
			if !j.home || j.cancelled || j.allEnded() {
				continue
			}
			if j.accepted.GetSpec().GetKind() == siskinv1.WorkKind_WORK_KIND_SERVICE {
				services = append(services, id)
			} else {
				others = append(others, id)
			}
		}
	}
	o.mu.Unlock()
	for _, id := range services {
		o.balanceService(ctx, id, inService)
	}
	moves := maxMovesPerRound
	for _, id := range others {
		moves -= o.moveQueued(ctx, id, inService, moves)
		if moves <= 0 {
			return
		}
	}
}

// open returns the indexes of a set that have not ended.
func (j *job) open(set indexSet) indexSet {
	out := set
	for index := range j.ended {
		out = out.remove(index, index+1)
	}
	return out
}

// balanceService grows a service where it has too few tasks, and shrinks it where it has too many once the grown part
// runs, so that the service keeps its count while a zone leaves.
func (o *Owner) balanceService(ctx context.Context, id string, inService []string) {
	o.mu.Lock()
	j := o.state.jobs[id]
	if j == nil || len(inService) == 0 {
		o.mu.Unlock()
		return
	}
	held := o.heldByShard(j)
	targets := serviceTargets(int(j.accepted.GetSpec().GetCount()), inService)
	grow := o.growRecords(id, j, held, targets, inService)
	surplus := map[string]indexSet{}
	if len(grow) == 0 && o.allRunning(id, j, held, targets) {
		for shard, set := range held {
			if extra := set.size() - targets[shard]; extra > 0 {
				surplus[shard] = set.take(extra)
			}
		}
	}
	o.mu.Unlock()
	if len(grow) > 0 {
		_ = o.append(ctx, grow...)
		return
	}
	for _, shard := range sortedKeys(surplus) {
		o.takeBack(ctx, id, shard, surplus[shard], true)
	}
}

// heldByShard returns the open indexes of each holder. The caller holds mu.
func (o *Owner) heldByShard(j *job) map[string]indexSet {
	held := map[string]indexSet{o.shard: j.open(j.held)}
	for shard, assigned := range j.plan {
		held[shard] = j.open(assigned.set)
	}
	return held
}

// serviceTargets spreads the count of a service evenly over the shards in service.
func serviceTargets(count int, shards []string) map[string]int {
	ordered := append([]string(nil), shards...)
	sort.Strings(ordered)
	targets := map[string]int{}
	for i, shard := range ordered {
		targets[shard] = count / len(ordered)
		if i < count%len(ordered) {
			targets[shard]++
		}
	}
	return targets
}

// growRecords assigns new indexes to the shards that hold fewer tasks than their target. The caller holds mu.
func (o *Owner) growRecords(id string, j *job, held map[string]indexSet, targets map[string]int, shards []string) []*siskinv1.Record {
	var records []*siskinv1.Record
	next := j.next
	for _, shard := range shards {
		missing := targets[shard] - held[shard].size()
		if missing <= 0 {
			continue
		}
		end := next + int32(missing)
		if shard == o.shard {
			records = append(records, partRecord(id, shard, j.heldVersion+1, j.held.add(next, end), nil))
		} else {
			assigned := j.plan[shard]
			records = append(records, partRecord(id, shard, assigned.version+1, assigned.set.add(next, end), nil))
		}
		next = end
	}
	return records
}

// allRunning reports whether every shard runs its target, or all that it holds. The caller holds mu.
func (o *Owner) allRunning(id string, j *job, held map[string]indexSet, targets map[string]int) bool {
	counts, err := o.cell.Counts(id)
	if err != nil || counts.Running < min(targets[o.shard], held[o.shard].size()) {
		return false
	}
	for shard := range j.plan {
		if int(o.remoteOf(id).holder(shard).running) < min(targets[shard], held[shard].size()) {
			return false
		}
	}
	return true
}

// takeBack asks a holder, or this shard, to give indexes up, and records what it has given up.
func (o *Owner) takeBack(ctx context.Context, id, shard string, wanted indexSet, stopRunning bool) indexSet {
	if wanted.empty() {
		return nil
	}
	if shard == o.shard {
		return o.takeBackLocal(ctx, id, wanted, stopRunning)
	}
	o.mu.Lock()
	j := o.state.jobs[id]
	version := j.plan[shard].version + 1
	o.mu.Unlock()
	callContext, cancel := context.WithTimeout(ctx, partTimeout)
	defer cancel()
	answer, err := o.options.Parts.ReleasePart(callContext, shard, &siskinv1.ReleasePartRequest{
		Shard: shard, Job: id, PlanVersion: version, Ranges: wanted.proto(), StopRunning: stopRunning,
	})
	if err != nil {
		return nil
	}
	released := setFromProto(answer.GetReleased()).intersect(wanted)
	o.mu.Lock()
	remaining := j.plan[shard].set.minus(released)
	version = max(j.plan[shard].version+1, answer.GetPlanVersion())
	o.mu.Unlock()
	if released.empty() || o.append(ctx, partRecord(id, shard, version, remaining, nil)) != nil {
		return nil
	}
	return released
}

func (o *Owner) takeBackLocal(ctx context.Context, id string, wanted indexSet, stopRunning bool) indexSet {
	o.mu.Lock()
	j := o.state.jobs[id]
	free := o.holdBack(j, wanted.intersect(j.held), stopRunning)
	record := partRecord(id, o.shard, j.heldVersion+1, j.held.minus(free), nil)
	o.mu.Unlock()
	if free.empty() || o.append(ctx, record) != nil {
		return nil
	}
	return free
}

// moveQueued moves queued tasks of a batch or gang job out of shards where they cannot start. It returns the number of
// tasks moved.
func (o *Owner) moveQueued(ctx context.Context, id string, inService []string, most int) int {
	o.mu.Lock()
	j := o.state.jobs[id]
	if j == nil {
		o.mu.Unlock()
		return 0
	}
	orphans := j.unassigned()
	each := resource.FromProto(j.accepted.GetSpec().GetEach())
	gang := j.accepted.GetSpec().GetKind() == siskinv1.WorkKind_WORK_KIND_GANG
	from, stuck := o.stuckTasks(id, j, gang)
	o.mu.Unlock()
	if !orphans.empty() {
		// A previous owner stopped between the release of these tasks and their assignment.
		o.assign(ctx, id, o.shard, orphans)
		return 0
	}
	if stuck.empty() {
		return 0
	}
	to, room := o.roomiest(from, each, inService)
	n := min(room, most, stuck.size())
	if gang && n < stuck.size() {
		return 0
	}
	if n <= 0 {
		return 0
	}
	released := o.takeBack(ctx, id, from, stuck.take(n), false)
	if released.empty() {
		return 0
	}
	o.assign(ctx, id, to, released)
	o.mu.Lock()
	o.remoteOf(id).movedAt = o.options.Clock.Now()
	o.mu.Unlock()
	o.options.Metrics.moved.WithLabelValues(o.shard).Add(float64(released.size()))
	return released.size()
}

// stuckTasks returns a holder whose queued tasks cannot start there soon, and those tasks. The caller holds mu.
func (o *Owner) stuckTasks(id string, j *job, gang bool) (string, indexSet) {
	waiting, _ := o.cell.Explain(id)
	if queued := o.queuedHere(id, j); !queued.empty() && o.mayHelp(id, waiting.Reason) {
		if !gang || queued.size() == j.open(j.held).size() {
			return o.shard, queued
		}
	}
	for _, shard := range sortedKeys(j.plan) {
		h := o.remoteOf(id).holder(shard)
		open := j.open(j.plan[shard].set)
		if h.queued == 0 || open.empty() || !o.mayHelp(id, scheduler.WaitReason(h.reason)) {
			continue
		}
		if gang && h.running > 0 {
			continue
		}
		return shard, open
	}
	return "", nil
}

// mayHelp reports whether another shard could help a job that waits for this reason. The caller holds mu.
func (o *Owner) mayHelp(id string, reason scheduler.WaitReason) bool {
	switch reason {
	case scheduler.WaitNoRoom, scheduler.WaitDraining, scheduler.WaitTooLarge, scheduler.WaitGangTooBig:
		return true
	case scheduler.WaitCeiling:
		return o.options.Clock.Now().Sub(o.remoteOf(id).movedAt) >= ceilingStay
	default:
		return false
	}
}

// queuedHere returns the open tasks of a job that are not placed in this shard. The caller holds mu.
func (o *Owner) queuedHere(id string, j *job) indexSet {
	var queued indexSet
	for _, index := range j.openIndexes() {
		_, ending := j.unlogged[index]
		if o.placed[scheduler.TaskID{Job: id, Index: index}] == nil && !ending {
			queued = queued.add(index, index+1)
		}
	}
	return queued
}

// roomiest returns the shard in service with the most room for tasks of a size, and how many fit there.
func (o *Owner) roomiest(from string, each resource.Vector, inService []string) (string, int) {
	allowed := map[string]bool{}
	for _, shard := range inService {
		allowed[shard] = shard != from
	}
	best, bestRoom := "", 0
	for _, load := range o.options.Fleet.Loads() {
		if !allowed[load.GetShard()] || load.GetDraining() || load.GetQueuedTasks() > 0 {
			continue
		}
		if room := fitCount(resource.FromProto(load.GetFree()), each); room > bestRoom {
			best, bestRoom = load.GetShard(), room
		}
	}
	return best, bestRoom
}

// fitCount returns how often a size fits into free room, ignoring how the room is split over workers.
func fitCount(free, each resource.Vector) int {
	n := int64(maxMovesPerRound)
	for _, dimension := range [][2]int64{
		{free.MilliCPU, each.MilliCPU}, {free.MemoryBytes, each.MemoryBytes}, {free.Accelerators, each.Accelerators},
	} {
		if dimension[1] > 0 {
			n = min(n, dimension[0]/dimension[1])
		}
	}
	return int(max(n, 0))
}

// assigned returns every index that some shard holds.
func (j *job) assigned() indexSet {
	all := j.held
	for _, assigned := range j.plan {
		all = all.union(assigned.set)
	}
	return all
}

// assign gives released indexes to a shard. The record is retried until it is durable or this owner ends, because the
// indexes belong to nobody meanwhile; a new owner finds them by comparing the plan with the count.
func (o *Owner) assign(ctx context.Context, id, shard string, set indexSet) {
	for ctx.Err() == nil && o.mayAct() {
		o.mu.Lock()
		j := o.state.jobs[id]
		var record *siskinv1.Record
		if shard == o.shard {
			record = partRecord(id, shard, j.heldVersion+1, j.held.union(set), nil)
		} else {
			record = partRecord(id, shard, j.plan[shard].version+1, j.plan[shard].set.union(set), nil)
		}
		o.mu.Unlock()
		if o.append(ctx, record) == nil {
			return
		}
		_ = o.options.Clock.Sleep(ctx, partsInterval)
	}
}

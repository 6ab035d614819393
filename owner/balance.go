package owner

import (
	"context"
	"sort"
	"time"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/resource"
	"siskinstack.example/siskinstack/scheduler"
)

// maxMovesPerRound bounds the tasks that one round moves, so that loads reported meanwhile are taken into account.
const maxMovesPerRound = 64

// moveCooldown is the minimum time that moved tasks stay in their new shard, so that the allowance of their team can
// follow: its split is written at most once a second, and other shards are asked to give allowance back. Each move
// costs three commits.
const moveCooldown = 10 * time.Second

// initialParts returns the records that split a new service over the shards in service. It returns none for other work
// or with fewer than two shards in service; the home shard then holds the whole job.
func (o *Owner) initialParts(accepted *siskinv1.JobAccepted) []*siskinv1.Record {
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

// balance moves tasks between shards: services are spread over the zones in service and moved out of drained ones;
// other queued work moves to shards with free capacity.
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
			if j.isService() {
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

// balanceService adds tasks in shards below their target. It removes tasks from shards above their target only once the
// added ones run, so that the service keeps its count while a zone is drained.
func (o *Owner) balanceService(ctx context.Context, id string, inService []string) {
	o.mu.Lock()
	j := o.state.jobs[id]
	if j == nil || len(inService) == 0 {
		o.mu.Unlock()
		return
	}
	held := o.heldByShard(j)
	targets := serviceTargets(int(j.spec().GetCount()), inService)
	o.advanceRollout(id, j, held, targets)
	grow := o.growRecords(id, j, held, targets, inService)
	surplus := map[string]indexSet{}
	if len(grow) == 0 && o.allRunning(id, j, held, targets) {
		for shard, set := range held {
			if extra := set.size() - targets[shard]; extra > 0 {
				surplus[shard] = set.last(extra)
			}
		}
	}
	o.mu.Unlock()
	if len(grow) > 0 {
		_ = o.append(ctx, grow...)
		return
	}
	for _, shard := range sortedKeys(surplus) {
		o.reclaim(ctx, id, shard, "", surplus[shard], true)
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

// reclaim asks a holder, or this shard, to release indexes, and records and returns those that it has released. Unless
// to is empty, the same append assigns them to that shard.
func (o *Owner) reclaim(ctx context.Context, id, shard, to string, wanted indexSet, stopRunning bool) indexSet {
	if wanted.empty() {
		return nil
	}
	if shard == o.shard {
		return o.reclaimLocal(ctx, id, to, wanted, stopRunning)
	}
	o.mu.Lock()
	j := o.state.jobs[id]
	version := j.plan[shard].version + 1
	o.mu.Unlock()
	callContext, cancel := context.WithTimeout(ctx, partTimeout)
	defer cancel()
	response, err := o.options.Parts.ReleasePart(callContext, shard, &siskinv1.ReleasePartRequest{
		Shard: shard, Job: id, PlanVersion: version, Ranges: wanted.proto(), StopRunning: stopRunning,
	})
	if err != nil {
		return nil
	}
	released := setFromProto(response.GetReleased()).intersect(wanted)
	o.mu.Lock()
	remaining := j.plan[shard].set.minus(released)
	version = max(j.plan[shard].version+1, response.GetPlanVersion())
	records := append([]*siskinv1.Record{partRecord(id, shard, version, remaining, nil)}, o.assignRecords(id, j, to, released)...)
	o.mu.Unlock()
	if released.empty() || o.append(ctx, records...) != nil {
		return nil
	}
	return released
}

func (o *Owner) reclaimLocal(ctx context.Context, id, to string, wanted indexSet, stopRunning bool) indexSet {
	o.mu.Lock()
	j := o.state.jobs[id]
	released := o.holdForRelease(j, wanted.intersect(j.held), stopRunning)
	records := append([]*siskinv1.Record{partRecord(id, o.shard, j.heldVersion+1, j.held.minus(released), nil)}, o.assignRecords(id, j, to, released)...)
	o.mu.Unlock()
	if released.empty() || o.append(ctx, records...) != nil {
		return nil
	}
	return released
}

// moveQueued moves queued tasks of a batch or gang job out of a shard where they cannot start soon. It returns the
// number of tasks moved. If no shard holds some of the tasks, it assigns these to this shard and moves none.
func (o *Owner) moveQueued(ctx context.Context, id string, inService []string, limit int) int {
	o.mu.Lock()
	j := o.state.jobs[id]
	if j == nil {
		o.mu.Unlock()
		return 0
	}
	unassigned := j.unassigned()
	repair := o.assignRecords(id, j, o.shard, unassigned)
	each := resource.FromProto(j.spec().GetEach())
	gang := j.spec().GetKind() == siskinv1.WorkKind_WORK_KIND_GANG
	from, movable := o.movableTasks(id, j, gang)
	o.mu.Unlock()
	if !unassigned.empty() {
		_ = o.append(ctx, repair...)
		return 0
	}
	if movable.empty() {
		return 0
	}
	to, fitting := o.mostFreeShard(from, each, inService)
	n := min(fitting, limit, movable.size())
	if gang && n < movable.size() {
		return 0
	}
	if n <= 0 {
		return 0
	}
	released := o.reclaim(ctx, id, from, to, movable.last(n), false)
	if released.empty() {
		return 0
	}
	o.recordMove(id, to)
	o.options.Metrics.moved.WithLabelValues(o.shard).Add(float64(released.size()))
	return released.size()
}

func (o *Owner) recordMove(id, to string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.remoteOf(id).movedTo[to] = o.options.Clock.Now()
}

// mayMoveAgain reports whether the tasks of a job may be moved out of a shard: its zone is drained, or moveCooldown has
// passed since tasks were last moved there. The caller holds mu.
func (o *Owner) mayMoveAgain(id, shard string, reason scheduler.WaitReason) bool {
	if reason == scheduler.WaitDraining {
		return true
	}
	moved, ok := o.remoteOf(id).movedTo[shard]
	return !ok || o.options.Clock.Now().Sub(moved) >= moveCooldown
}

// movableTasks returns a holder whose queued tasks cannot start there soon, and those tasks. For another shard it
// returns all open ones, of which the holder releases only those that do not run. The tasks of a gang job are returned
// only if none of them runs in that shard. The caller holds mu.
func (o *Owner) movableTasks(id string, j *job, gang bool) (string, indexSet) {
	waiting, _ := o.cell.Explain(id)
	if queued := o.queuedHere(id, j); !queued.empty() && movableReason(waiting.Reason) && o.mayMoveAgain(id, o.shard, waiting.Reason) {
		if !gang || queued.size() == j.open(j.held).size() {
			return o.shard, queued
		}
	}
	for _, shard := range sortedKeys(j.plan) {
		h := o.remoteOf(id).holder(shard)
		open := j.open(j.plan[shard].set)
		if h.queued == 0 || open.empty() || !movableReason(scheduler.WaitReason(h.reason)) {
			continue
		}
		if gang && h.running > 0 || !o.mayMoveAgain(id, shard, scheduler.WaitReason(h.reason)) {
			continue
		}
		return shard, open
	}
	return "", nil
}

// movableReason reports whether a task that waits for this reason might start in another shard.
func movableReason(reason scheduler.WaitReason) bool {
	switch reason {
	case scheduler.WaitNoCapacity, scheduler.WaitDraining, scheduler.WaitTooLarge, scheduler.WaitGangTooBig, scheduler.WaitCeiling:
		return true
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

// mostFreeShard returns the shard in service, other than from, in which the most tasks of a size fit, and how many fit
// there. Shards with queued tasks are left out.
func (o *Owner) mostFreeShard(from string, each resource.Vector, inService []string) (string, int) {
	allowed := map[string]bool{}
	for _, shard := range inService {
		allowed[shard] = shard != from
	}
	best, most := "", 0
	for _, load := range o.options.Fleet.Loads() {
		if !allowed[load.GetShard()] || load.GetDraining() || load.GetQueuedTasks() > 0 {
			continue
		}
		if fitting := fitCount(resource.FromProto(load.GetFree()), each); fitting > most {
			best, most = load.GetShard(), fitting
		}
	}
	return best, most
}

// fitCount returns how many tasks of a size fit into the free capacity, at most maxMovesPerRound. It ignores how the
// free capacity is split over workers.
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

// assignRecords returns the records that assign released indexes to a shard. The caller holds mu.
func (o *Owner) assignRecords(id string, j *job, to string, set indexSet) []*siskinv1.Record {
	switch {
	case to == "" || set.empty():
		return nil
	case to == o.shard:
		return []*siskinv1.Record{partRecord(id, to, j.heldVersion+1, j.held.union(set), nil)}
	default:
		assigned := j.plan[to]
		return []*siskinv1.Record{partRecord(id, to, assigned.version+1, assigned.set.union(set), nil)}
	}
}

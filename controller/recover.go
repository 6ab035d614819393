package controller

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/dispatch"
	"siskinstack.example/siskinstack/infra"
)

const (
	// watchWait is how long the store holds a watch open; watchSlack is added to it to get the timeout of the call.
	watchWait  = time.Second
	watchSlack = 700 * time.Millisecond
	// watchBatchDelay is the delay after a watch that returned changes, so that the next one returns several at once.
	// Each of hundreds of workers writes every second or two, and each write would otherwise end a watch, which is a
	// priced call. Jobs are announced and need not wait for it.
	watchBatchDelay = 150 * time.Millisecond
	// listTimeout bounds a listing of all keys with a prefix, over all pages.
	listTimeout = 5 * time.Second
)

// recover rebuilds the state from the store. It returns the revisions from which the intake and the workers are watched.
func (t *term) recover(ctx context.Context) (intake, workers infra.Revision, err error) {
	// Only this controller writes progress and heads now, so the order of the listings does not matter. One after the other,
	// those of thousands of jobs delay the first start after a change of controllers by some tenths of a second.
	var heads, progress, jobs, fleet infra.Listing
	var listings sync.WaitGroup
	for prefix, listing := range map[string]*infra.Listing{
		headPrefix: &heads, progressPrefix: &progress, intakePrefix: &jobs, t.WorkersPrefix: &fleet,
	} {
		listings.Go(func() { *listing = t.list(ctx, prefix) })
	}
	listings.Wait()
	if ctx.Err() != nil {
		return 0, 0, ctx.Err()
	}
	t.applyCommitHeads(heads.Entries)
	formerUntil, err := t.leadership.AwaitFormer(ctx)
	if err != nil {
		return 0, 0, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state.SetPolicy(t.Policy.Current())
	t.state.SetEvacuated(t.Policy.Evacuated())
	t.loadJobs(jobs.Entries, progress.Entries)
	now := t.now()
	t.soleSince = laterOf(now, formerUntil)
	// The earlier controller may not have known of a restart, and so have extended the lease by the clock of before.
	t.state.AssumeLeases(now, t.soleSince.Add(t.maxLeaseBound()))
	t.state.AssumeOrders(t.soleSince)
	t.applyWorkers(ctx, fleet.Entries, true)
	t.recovered = true
	return jobs.Revision, fleet.Revision, nil
}

func laterOf(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// applyCommitHeads applies the revisions of the heads. No commit of an earlier controller can change them any more: each
// is conditional on the leadership of its own term.
func (t *term) applyCommitHeads(entries []infra.KeyValue) {
	for _, entry := range entries {
		for _, h := range t.heads {
			if h.key == entry.Key {
				h.revision = entry.Revision
			}
		}
	}
}

// list reads all keys with a prefix. It retries until it succeeds or ctx ends; then the listing is empty.
func (t *term) list(ctx context.Context, prefix string) infra.Listing {
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, listTimeout)
		listing, err := t.Store.List(call, prefix)
		cancel()
		if err == nil {
			return listing
		}
		t.log.Info("keys not listed", "prefix", prefix, "reason", err.Error())
		_ = t.Clock.Sleep(ctx, storeRetryDelay)
	}
	return infra.Listing{}
}

// loadJobs adds the accepted jobs in the order of their acceptance, then the cancellations.
func (t *term) loadJobs(intake, progress []infra.KeyValue) {
	known := t.loadProgress(progress)
	var records []*siskinv1.Workflow
	for _, entry := range intake {
		if id, ok := cutPrefix(entry.Key, jobPrefix); ok {
			if record := t.decodeJob(id, entry.Value); record != nil && !t.skipped[id] {
				records = append(records, record)
			}
		}
	}
	slices.SortFunc(records, func(a, b *siskinv1.Workflow) int {
		return cmp.Or(cmp.Compare(a.GetAcceptedUnixMs(), b.GetAcceptedUnixMs()), cmp.Compare(a.GetId(), b.GetId()))
	})
	for _, record := range records {
		if j := t.loadJob(record, known[record.GetId()]); j != nil && !j.Ended() {
			t.log.Info("job found again", "job", record.GetId(), "phase", j.ShownPhase().String(), "tasks_placed", j.Placed())
		}
	}
	for _, entry := range intake {
		t.applyIntake(infra.Event{KeyValue: entry})
	}
}

func (t *term) decodeJob(id string, value []byte) *siskinv1.Workflow {
	record := &siskinv1.Workflow{}
	if err := proto.Unmarshal(value, record); err != nil || record.GetId() != id {
		t.log.Info("cannot decode job; skipping it", "job", id)
		return nil
	}
	return record
}

// applyIntake applies the entry of a new job, a cancellation or a machine. The caller holds mu.
func (t *term) applyIntake(event infra.Event) {
	if machine, ok := cutPrefix(event.Key, memberPrefix); ok {
		t.applyMember(machine, event)
		return
	}
	if strings.HasPrefix(event.Key, tombstonePrefix) {
		t.applyTombstone(event)
		return
	}
	if event.Deleted {
		return
	}
	if id, ok := cutPrefix(event.Key, jobPrefix); ok && t.state.Job(id) == nil {
		if record := t.decodeJob(id, event.Value); record != nil {
			t.addJob(record, "watched")
		}
	}
	if id, ok := cutPrefix(event.Key, cancelPrefix); ok {
		t.state.Cancel(id, unixMs())
	}
}

// loadJob adds a job to the state. It returns nil if that fails, so that one record does not end every controller that
// reads it. The caller holds mu.
func (t *term) loadJob(record *siskinv1.Workflow, progress *siskinv1.WorkflowProgress) *dispatch.Job {
	var job *dispatch.Job
	err := contain("load job", func() error {
		job = t.state.AddJob(record, progress)
		return nil
	})
	if err != nil {
		t.Metrics.decision("job not loaded")
		t.log.Error(err, "cannot load job; skipping it", "job", record.GetId())
	}
	return job
}

// addJob adds a job unless it is known already. The caller holds mu.
func (t *term) addJob(record *siskinv1.Workflow, source string) {
	if t.state.Job(record.GetId()) != nil || t.skipped[record.GetId()] {
		return
	}
	if t.loadJob(record, nil) == nil {
		return
	}
	t.Metrics.stage(stageReceived, record)
	t.log.Info("job taken in", "job", record.GetId(), "queue", record.GetQueue().GetName(), "team", record.GetTeam(),
		"steps", len(record.GetSteps()), "age_ms", unixMs()-record.GetAcceptedUnixMs(), "source", source)
}

// followIntake watches the intake keys until the term ends.
func (t *term) followIntake(ctx context.Context, after infra.Revision) {
	t.follow(ctx, intakePrefix, after, func(events []infra.Event) {
		for _, event := range events {
			t.applyIntake(event)
		}
	}, func(entries []infra.KeyValue) {
		for machine := range t.members {
			t.unlistMember(machine)
		}
		for _, entry := range entries {
			t.applyIntake(infra.Event{KeyValue: entry})
		}
	})
}

// followWorkers watches the entries of workers until the term ends.
func (t *term) followWorkers(ctx context.Context, after infra.Revision) {
	t.follow(ctx, t.WorkersPrefix, after, func(events []infra.Event) {
		for _, event := range events {
			t.applyWorker(ctx, event)
		}
	}, func(entries []infra.KeyValue) { t.applyWorkers(ctx, entries, false) })
}

// follow watches a prefix. When the store has compacted the history, it lists the prefix again. apply and replace are
// called with mu held.
func (t *term) follow(
	ctx context.Context, prefix string, after infra.Revision, apply func([]infra.Event), replace func([]infra.KeyValue),
) {
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, watchWait+watchSlack)
		result, err := t.Store.Watch(call, infra.WatchRequest{Prefix: prefix, After: after, Wait: watchWait})
		cancel()
		if err == nil {
			after = result.Revision
			if len(result.Events) > 0 {
				t.withLock(func() { apply(result.Events) })
				_ = t.Clock.Sleep(ctx, watchBatchDelay)
			}
			continue
		}
		if ctx.Err() != nil {
			return
		}
		t.log.V(1).Info("watch interrupted", "prefix", prefix, "reason", err.Error())
		_ = t.Clock.Sleep(ctx, storeRetryDelay)
		if !errors.Is(err, infra.ErrCompacted) {
			continue
		}
		listing := t.list(ctx, prefix)
		if ctx.Err() != nil {
			return
		}
		after = listing.Revision
		t.withLock(func() { replace(listing.Entries) })
	}
}

// withLock runs a change of the state with mu held, then triggers a plan.
func (t *term) withLock(change func()) {
	t.mu.Lock()
	change()
	t.mu.Unlock()
	t.triggerPlan()
}

// applyWorkers applies a complete listing of the workers' entries and removes all other workers. The caller holds mu.
func (t *term) applyWorkers(ctx context.Context, entries []infra.KeyValue, first bool) {
	listed := map[string]bool{}
	refused := t.refusedEntries
	t.refusedEntries = map[string]string{}
	for _, entry := range entries {
		id := entry.Key[len(t.WorkersPrefix):]
		if reason, known := refused[id]; known {
			t.refusedEntries[id] = reason
		}
		listed[id] = t.applyWorker(ctx, infra.Event{KeyValue: entry})
	}
	for id := range t.state.Workers() {
		if !listed[id] {
			t.state.RemoveWorker(id)
			if first {
				// A worker without an entry may still run tasks, but its address is no longer known.
				t.log.Info("worker has tasks but no entry", "worker", id)
			}
		}
	}
}

// applyWorker applies one entry of a worker, and reports whether it lists a usable worker. The caller holds mu.
func (t *term) applyWorker(ctx context.Context, event infra.Event) bool {
	id := event.Key[len(t.WorkersPrefix):]
	if event.Deleted {
		delete(t.refusedEntries, id)
		t.state.RemoveWorker(id)
		t.log.Info("entry of a worker was deleted", "worker", id)
		return false
	}
	info, err := t.decodeWorker(event.KeyValue)
	if err != nil {
		t.refuseEntry(id, err)
		return false
	}
	delete(t.refusedEntries, id)
	w, isNew := t.state.SetWorker(info)
	if isNew || t.sessions[w] == nil {
		t.log.Info("worker known", "worker", id, "zone", info.Zone, "service", info.Service, "draining", info.Draining)
		t.connect(ctx, w)
	}
	if w.IsRestarted() {
		// The renewal that is held open does not end when the worker's machine went silent before the restart.
		s := t.sessions[w]
		t.goroutines.Go(func() { t.poll(ctx, s) })
	}
	return true
}

// maxRefusedEntries bounds the memory for refused entries; any writer may add entries.
const maxRefusedEntries = 1000

// refuseEntry handles an entry that names no usable worker. A worker that was known under it gets no new tasks until it
// writes its entry again; its runs go on while it answers renewals. The caller holds mu.
func (t *term) refuseEntry(id string, err error) {
	t.state.RemoveWorker(id)
	reason := err.Error()
	if t.refusedEntries[id] == reason {
		return
	}
	if len(t.refusedEntries) < maxRefusedEntries {
		t.refusedEntries[id] = reason
	}
	t.Metrics.decision("worker entry refused")
	t.log.Info("entry names no usable worker", "worker", id, "reason", reason)
}

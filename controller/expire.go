package controller

import (
	"context"
	"time"

	"siskinstack.example/siskinstack/infra"
)

const (
	// expireInterval is the interval between deletions of records that are no longer needed.
	expireInterval = time.Second
	// TombstoneRetention is how long a tombstone is kept after a controller learned of it. It exceeds the callers' timeouts
	// and the time after which the store carries out a call without an answer, both of some seconds.
	TombstoneRetention = 30 * time.Second
	// keysPerJob is the number of keys of a job: its record, its cancellation and its progress.
	keysPerJob = 3
)

// expireRecords periodically deletes the records of jobs past their retention, and old tombstones.
func (t *term) expireRecords(ctx context.Context) {
	for ctx.Err() == nil {
		_ = t.Clock.Sleep(ctx, expireInterval)
		t.mu.Lock()
		jobs, removes := t.expiredJobs(maxJobsPerCommit)
		if !t.Bounds.Forecast {
			removes = append(removes, t.expiredTombstones(t.now(), maxJobsPerCommit-len(removes))...)
		}
		t.mu.Unlock()
		if len(removes) == 0 || !t.leadership.Valid() {
			continue
		}
		call, cancel := context.WithTimeout(ctx, storeTimeout)
		// Deletes are idempotent, so this commit needs no head.
		_, err := t.Store.Commit(call, infra.Txn{Conditions: []infra.Condition{t.leadership.Condition}, Removes: removes})
		cancel()
		if err != nil {
			t.log.V(1).Info("failed to delete old records", "keys", len(removes), "reason", err.Error())
			continue
		}
		t.mu.Lock()
		for _, id := range jobs {
			t.state.Forget(id)
			delete(t.parts, id)
		}
		for _, key := range removes {
			delete(t.tombstones, key)
		}
		t.mu.Unlock()
	}
}

// expiredJobs returns jobs past their retention and their keys, at most the given number of keys unless one job has more. The
// caller holds mu.
func (t *term) expiredJobs(limit int) (jobs, keys []string) {
	for _, id := range t.state.ExpiredJobs(unixMs(), limit/keysPerJob) {
		if len(jobs) > 0 && len(keys)+keysPerJob+t.parts[id] > limit {
			break
		}
		jobs, keys = append(jobs, id), append(keys, JobKey(id), CancelKey(id), ProgressKey(id))
		for part := range t.parts[id] {
			keys = append(keys, progressPartKey(id, part))
		}
	}
	return jobs, keys
}

// tombstone is a known tombstone: its revision, and when this term learned of it.
type tombstone struct {
	since    time.Time
	revision infra.Revision
}

// applyTombstone notes a tombstone, or its deletion. The caller holds mu.
func (t *term) applyTombstone(event infra.Event) {
	known := t.tombstones[event.Key]
	switch {
	case event.Deleted:
		delete(t.tombstones, event.Key)
	case known.revision != event.Revision:
		t.tombstones[event.Key] = tombstone{since: t.now(), revision: event.Revision}
	}
}

// expiredTombstones returns the keys of at most the given number of tombstones past their retention. The caller holds mu.
func (t *term) expiredTombstones(now time.Time, limit int) []string {
	var expired []string
	for key, known := range t.tombstones {
		if len(expired) >= limit {
			break
		}
		if now.Sub(known.since) > TombstoneRetention {
			expired = append(expired, key)
		}
	}
	return expired
}

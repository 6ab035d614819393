package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/controller"
	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/refusal"
)

const (
	// maxCancelAttempts bounds the attempts of a cancellation while the job is accepted or deleted beside it.
	maxCancelAttempts = 3
	// tombstonesPerSecond and tombstoneBurst bound the tombstones that one team causes on one machine. Each is a write, and
	// a caller may cancel any number of jobs that never were.
	tombstonesPerSecond = 20.0
	tombstoneBurst      = 50.0
)

// Cancel requests the cancellation of a job. A nil error means that the store holds the request. refusal.NotFound means
// that there is no such job, and that a submission of it that is still under way will not be accepted.
func (g *Gateway) Cancel(ctx context.Context, target Target) (err error) {
	end, err := g.beginAttempt(ctx, callCancel, target.Job)
	if err != nil {
		return err
	}
	defer func() { err = end(err) }()
	for range maxCancelAttempts {
		entry, err := g.get(ctx, target.Job, controller.JobKey(target.Job))
		var refused *refusal.Error
		missing := errors.As(err, &refused) && refused.Reason == refusal.NotFound
		if err != nil && !missing {
			return err
		}
		var done bool
		if missing {
			done, err = g.writeTombstone(ctx, target)
		} else {
			done, err = g.cancelAccepted(ctx, target, entry)
		}
		if done || err != nil {
			return err
		}
	}
	return g.refuse(target.Job, refusal.StoreUnavailable, "the job changes beside its cancellation")
}

// cancelAccepted requests the cancellation of a job that the store holds. It reports false if the job has been deleted.
func (g *Gateway) cancelAccepted(ctx context.Context, target Target, entry infra.KeyValue) (done bool, err error) {
	record := &siskinv1.Workflow{}
	if err := proto.Unmarshal(entry.Value, record); err != nil {
		return false, g.refuse(target.Job, refusal.InternalError, "job cannot be read: %v", err)
	}
	if record.GetTeam() != target.Team {
		return false, g.refuse(target.Job, refusal.NotFound, "job belongs to another team")
	}
	key := controller.CancelKey(target.Job)
	// Without the job's revision, a late write would leave a request that nobody deletes.
	created, err := g.write(ctx, target.Job, infra.Txn{
		Conditions: []infra.Condition{{Key: key}, {Key: controller.JobKey(target.Job), Revision: entry.Revision}},
		Writes:     []infra.Write{{Key: key, Value: []byte{}}},
	})
	if err != nil {
		return false, err
	}
	if !created {
		return g.exists(ctx, target.Job, key)
	}
	g.options.Log.Info("cancellation accepted", "job", target.Job)
	g.announce(&siskinv1.AnnounceRequest{Cancelled: target.Job})
	return true, nil
}

// writeTombstone keeps a job that the store does not hold from being accepted: its submission may still be under way, and
// the store may carry it out seconds later. It reports false if the job has been accepted meanwhile; otherwise it returns
// refusal.NotFound once the tombstone is durable.
func (g *Gateway) writeTombstone(ctx context.Context, target Target) (done bool, err error) {
	if !g.tombstones.take(target.Team, g.options.Clock.Now()) {
		return false, g.refuse(target.Job, refusal.TeamLimit, "too many cancellations of jobs that do not exist")
	}
	key := controller.TombstoneKey(target.Job, target.Team)
	created, err := g.write(ctx, target.Job, infra.Txn{
		Conditions: []infra.Condition{{Key: key}, {Key: controller.JobKey(target.Job)}},
		Writes:     []infra.Write{{Key: key, Value: []byte{}}},
	})
	if err != nil {
		return false, err
	}
	if !created {
		if exists, err := g.takeOverTombstone(ctx, target, key); !exists || err != nil {
			return false, err
		}
	}
	g.options.Log.Info("cancelled before it was accepted", "job", target.Job, "team", target.Team)
	return true, refusal.New(refusal.NotFound, "no job %.40q", target.Job)
}

// exists reports whether the store holds a key.
func (g *Gateway) exists(ctx context.Context, job, key string) (bool, error) {
	_, err := g.get(ctx, job, key)
	var refused *refusal.Error
	if errors.As(err, &refused) && refused.Reason == refusal.NotFound {
		return false, nil
	}
	return err == nil, err
}

// teamBuckets are token buckets, one for each team.
type teamBuckets struct {
	mu      sync.Mutex // guards buckets
	buckets map[string]bucket
}

type bucket struct {
	tokens  float64
	updated time.Time
}

// take takes a token from a team's bucket, and reports whether there was one.
func (b *teamBuckets) take(team string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	use, known := b.buckets[team]
	if !known {
		use = bucket{tokens: tombstoneBurst, updated: now}
	}
	use.tokens = min(tombstoneBurst, use.tokens+tombstonesPerSecond*now.Sub(use.updated).Seconds())
	use.updated = now
	defer func() { b.buckets[team] = use }()
	if use.tokens < 1 {
		return false
	}
	use.tokens--
	return true
}

package controller

import (
	"context"
	"errors"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/dispatch"
	"siskinstack.example/siskinstack/infra"
)

// ownEntries are the conditions and writes of the controller itself in each transaction.
const ownEntries = 3

// maxJobsPerCommit keeps a transaction within the store's number of entries.
const maxJobsPerCommit = infra.MaxTxnEntries - ownEntries

var errTermLost = eris.New("another controller has taken over")

// headState is what this controller knows about the key that its commits replace.
type headState struct {
	revision infra.Revision
	sequence int64
}

// commit makes the changes of a batch durable and orders the planned runs. It reports whether all of it is durable.
func (t *term) commit(ctx context.Context, batch dispatch.Batch) bool {
	for changes := batch.Changes; len(changes) > 0; {
		n := min(len(changes), maxJobsPerCommit)
		if !t.commitChanges(ctx, changes[:n]) {
			return false
		}
		changes = changes[n:]
	}
	return true
}

func (t *term) commitChanges(ctx context.Context, changes []dispatch.Change) bool {
	var writes []infra.Write
	for _, change := range changes {
		value, err := proto.Marshal(change.Progress)
		if err != nil {
			t.log.Error(err, "encode progress", "job", change.ID)
			return false
		}
		writes = append(writes, infra.Write{Key: ProgressKey(change.ID), Value: value})
	}
	if err := t.write(ctx, writes, nil); err != nil {
		return false
	}
	t.mu.Lock()
	orders := t.state.Committed(changes)
	for _, order := range orders {
		t.order(ctx, order)
	}
	t.mu.Unlock()
	return true
}

// write commits a change under the controller's conditions. A lost answer is resolved by sending the same change again:
// either one of the two has replaced the head, and the other fails its condition.
func (t *term) write(ctx context.Context, writes []infra.Write, removes []string) error {
	t.head.sequence++
	value, err := proto.Marshal(&siskinv1.CommitHead{Epoch: t.lead.Epoch, Sequence: t.head.sequence})
	if err != nil {
		return err
	}
	txn := infra.Txn{
		Conditions: []infra.Condition{t.lead.Condition, {Key: headKey, Revision: t.head.revision}},
		Writes:     append(writes, infra.Write{Key: headKey, Value: value}),
		Removes:    removes,
	}
	for ctx.Err() == nil {
		began := t.now()
		revision, err := t.tryWrite(ctx, txn)
		t.Metrics.store("commit", t.now().Sub(began), err)
		if err == nil {
			t.head.revision = revision
			return nil
		}
		if errors.Is(err, infra.ErrConflict) {
			return t.resolve(err)
		}
		t.log.V(1).Info("commit not answered", "sequence", t.head.sequence, "reason", err.Error())
		_ = t.Clock.Sleep(ctx, storePause)
	}
	return ctx.Err()
}

func (t *term) tryWrite(ctx context.Context, txn infra.Txn) (infra.Revision, error) {
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return t.Store.Commit(call, txn)
}

// resolve finds out whether a commit whose conditions failed had taken effect before. If not, the term is over.
func (t *term) resolve(err error) error {
	var failed *infra.ConditionError
	if errors.As(err, &failed) {
		for _, current := range failed.Current {
			if current.Key != headKey {
				continue
			}
			head := &siskinv1.CommitHead{}
			if proto.Unmarshal(current.Value, head) == nil && head.GetEpoch() == t.lead.Epoch && head.GetSequence() == t.head.sequence {
				t.head.revision = current.Revision
				return nil
			}
		}
	}
	t.log.Info("another controller has taken over", "sequence", t.head.sequence)
	t.lead.Lost()
	return errTermLost
}

// expireRecords deletes the records of jobs past their retention.
func (t *term) expireRecords(ctx context.Context) {
	for ctx.Err() == nil {
		_ = t.Clock.Sleep(ctx, expireInterval)
		t.mu.Lock()
		expired := t.state.Expired(unixMs(), maxJobsPerCommit/3)
		t.mu.Unlock()
		if len(expired) == 0 || !t.lead.Valid() {
			continue
		}
		var removes []string
		for _, id := range expired {
			removes = append(removes, JobKey(id), CancelKey(id), ProgressKey(id))
		}
		call, cancel := context.WithTimeout(ctx, storeTimeout)
		// Deleting twice harms nothing, so the head is left alone.
		_, err := t.Store.Commit(call, infra.Txn{Conditions: []infra.Condition{t.lead.Condition}, Removes: removes})
		cancel()
		if err != nil {
			t.log.V(1).Info("ended jobs not deleted", "jobs", len(expired), "reason", err.Error())
			continue
		}
		t.mu.Lock()
		for _, id := range expired {
			t.state.Forget(id)
		}
		t.mu.Unlock()
	}
}

package controller

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/dispatch"
	"siskinstack.example/siskinstack/infra"
)

const (
	// maxParallelCommits is the number of commits that may be in flight at once. In its slow periods the store takes
	// 250 to 450 ms to respond; serialized batches would delay every start by as much.
	maxParallelCommits = 6
	// maxJobsPerCommit keeps a transaction within the store's limit on entries. The conditions on the leadership and on
	// the head, and the write of the head, take three of them.
	maxJobsPerCommit = infra.MaxTxnEntries - 3
	// rejectedDelay is the delay before the progress of a job that the store has rejected is committed again.
	rejectedDelay = 2 * time.Second
)

var errTermEnded = eris.New("controller term has ended")

// commitHead is the state of one of the head keys. Each commit replaces one of them on condition of its revision, so a
// delayed commit cannot take effect after a later one of the same head. A job's next change waits until its previous
// one is resolved.
type commitHead struct {
	key string
	// busy is guarded by the term's mu; the other fields are used only by the commit in flight.
	busy     bool
	revision infra.Revision
	sequence int64
}

// newCommitHeads returns the heads of a term.
func newCommitHeads() []*commitHead {
	heads := make([]*commitHead, maxParallelCommits)
	for i := range heads {
		heads[i] = &commitHead{key: headPrefix + strconv.Itoa(i)}
	}
	return heads
}

// commitChanges starts a commit of pending changes on each free head. The caller holds mu.
func (t *term) commitChanges(ctx context.Context) {
	for _, h := range t.heads {
		if h.busy {
			continue
		}
		changes := t.state.TakeChanges(maxJobsPerCommit)
		if len(changes) == 0 {
			return
		}
		h.busy = true
		t.goroutines.Go(func() { t.commit(ctx, h, changes) })
	}
}

// commit makes changes durable and sends the start orders that depend on them. It leaves the head busy if the term ends.
func (t *term) commit(ctx context.Context, h *commitHead, changes []dispatch.Change) {
	if err := t.commitBatch(ctx, h, changes); err != nil {
		return
	}
	t.withLock(func() { h.busy = false })
}

// commitBatch commits changes in one transaction. If the store rejects it, each change is committed by itself, so that only
// jobs whose own progress is rejected wait. The error is that of the term's end.
func (t *term) commitBatch(ctx context.Context, h *commitHead, changes []dispatch.Change) error {
	err := t.write(ctx, h, changes)
	switch {
	case err == nil:
		t.committed(ctx, changes)
		return nil
	case !errors.Is(err, infra.ErrRejected):
		return err
	case len(changes) == 1:
		t.postpone(ctx, changes[0], err)
		return nil
	}
	for _, change := range changes {
		if err := t.commitBatch(ctx, h, []dispatch.Change{change}); err != nil {
			return err
		}
	}
	return nil
}

// postpone returns a change that the store has rejected to the state after a delay.
func (t *term) postpone(ctx context.Context, change dispatch.Change, reason error) {
	t.Metrics.decision("progress rejected")
	t.log.Error(reason, "the store rejects the progress of a job", "job", change.ID)
	t.goroutines.Go(func() {
		if t.Clock.Sleep(ctx, rejectedDelay) == nil {
			t.withLock(func() { t.state.Uncommitted(change) })
		}
	})
}

// encodeChanges returns the writes of changes.
func (t *term) encodeChanges(changes []dispatch.Change) ([]infra.Write, error) {
	var writes []infra.Write
	for _, change := range changes {
		value, err := proto.Marshal(change.Progress)
		if err != nil {
			t.log.Error(err, "encode progress", "job", change.ID)
			t.leadership.End()
			return nil, err
		}
		writes = append(writes, infra.Write{Key: ProgressKey(change.ID), Value: value})
	}
	return writes, nil
}

// committed applies changes that are durable.
func (t *term) committed(ctx context.Context, changes []dispatch.Change) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, change := range changes {
		if change.Ends() {
			t.Metrics.stage(stageEnded, change.Record())
		}
	}
	orders, settled := t.state.Committed(changes, t.now())
	lines := t.startLines(orders)
	for _, order := range orders {
		t.order(ctx, order, lines[order])
	}
	for _, w := range settled {
		if s := t.sessions[w]; s != nil {
			s.signal()
		}
	}
}

// write commits a change on condition of the leadership and the head's revision. A lost response is resolved by sending
// the same transaction again: only one of the two can replace the head; the other fails its condition. A transaction that
// the store rejects is not sent again.
func (t *term) write(ctx context.Context, h *commitHead, changes []dispatch.Change) error {
	writes, err := t.encodeChanges(changes)
	if err != nil {
		return err
	}
	h.sequence++
	value, err := proto.Marshal(&siskinv1.CommitHead{Epoch: t.leadership.Epoch, Sequence: h.sequence})
	if err != nil {
		return err
	}
	txn := infra.Txn{
		Conditions: []infra.Condition{t.leadership.Condition, {Key: h.key, Revision: h.revision}},
		Writes:     append(writes, infra.Write{Key: h.key, Value: value}),
	}
	for ctx.Err() == nil {
		revision, err := t.sendCommit(ctx, txn)
		if err == nil {
			h.revision = revision
			return nil
		}
		if errors.Is(err, infra.ErrConflict) {
			return t.resolve(err, h)
		}
		if errors.Is(err, infra.ErrRejected) {
			return err
		}
		t.log.V(1).Info("commit failed; retrying", "head", h.key, "sequence", h.sequence, "reason", err.Error())
		_ = t.Clock.Sleep(ctx, storeRetryDelay)
	}
	return ctx.Err()
}

// resolve determines whether a commit whose conditions failed had already taken effect. If not, it ends the term.
func (t *term) resolve(err error, h *commitHead) error {
	var failed *infra.ConditionError
	if errors.As(err, &failed) {
		for _, current := range failed.Current {
			if current.Key != h.key {
				continue
			}
			value := &siskinv1.CommitHead{}
			if proto.Unmarshal(current.Value, value) == nil && value.GetEpoch() == t.leadership.Epoch &&
				value.GetSequence() == h.sequence {
				h.revision = current.Revision
				return nil
			}
		}
	}
	t.log.Info("another controller has taken over", "head", h.key, "sequence", h.sequence)
	t.leadership.End()
	return errTermEnded
}

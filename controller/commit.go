package controller

import (
	"context"
	"errors"
	"maps"
	"strconv"
	"sync/atomic"
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
	maxJobsPerCommit = infra.MaxTxnEntries - headEntries
	headEntries      = 3
	// rejectedDelay is the delay before the progress of a job that the store has rejected is committed again.
	rejectedDelay = 2 * time.Second
)

var errTermEnded = eris.New("controller term has ended")

// commitHead is the state of one of the head keys. Each commit replaces one of them on condition of its revision, so a
// delayed commit cannot take effect after a later one of the same head. A job's next change waits until its previous
// one is resolved.
type commitHead struct {
	key string
	// busy is true while a commit is in flight, which alone uses the other fields.
	busy     atomic.Bool
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
		if h.busy.Load() {
			continue
		}
		changes := t.state.TakeChanges(maxJobsPerCommit)
		if len(changes) == 0 {
			return
		}
		h.busy.Store(true)
		parts := maps.Clone(t.parts)
		t.goroutines.Go(func() { t.commit(ctx, h, changes, parts) })
	}
}

// commit makes changes durable and sends the start orders that depend on them; parts is the number of stored parts by job. It
// leaves the head busy if the term ends.
func (t *term) commit(ctx context.Context, h *commitHead, changes []dispatch.Change, parts map[string]int) {
	batches, err := t.encodeChanges(changes, parts)
	if err != nil {
		t.log.Error(err, "encode progress")
		t.leadership.End()
		return
	}
	for _, batch := range batches {
		if err := t.commitBatch(ctx, h, batch); err != nil {
			return
		}
	}
	h.busy.Store(false)
	t.triggerPlan()
}

// commitBatch commits changes in one transaction. If the store rejects it, each change is committed by itself, so that only
// jobs whose own progress is rejected wait. The error is that of the term's end.
func (t *term) commitBatch(ctx context.Context, h *commitHead, batch []encodedChange) error {
	err := t.write(ctx, h, batch)
	switch {
	case err == nil:
		t.committed(ctx, batch)
		return nil
	case !errors.Is(err, infra.ErrRejected):
		return err
	case len(batch) == 1:
		t.postpone(ctx, batch[0].Change, err)
		return nil
	}
	for i := range batch {
		if err := t.commitBatch(ctx, h, batch[i:i+1]); err != nil {
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

// committed applies changes that are durable.
func (t *term) committed(ctx context.Context, batch []encodedChange) {
	t.mu.Lock()
	defer t.mu.Unlock()
	changes := make([]dispatch.Change, 0, len(batch))
	for _, e := range batch {
		changes = append(changes, e.Change)
		if e.parts > 0 {
			t.parts[e.ID] = e.parts
		} else {
			delete(t.parts, e.ID)
		}
		if e.Ends() {
			t.Metrics.stage(stageEnded, e.Record())
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
func (t *term) write(ctx context.Context, h *commitHead, batch []encodedChange) error {
	h.sequence++
	value, err := proto.Marshal(&siskinv1.CommitHead{Epoch: t.leadership.Epoch, Sequence: h.sequence})
	if err != nil {
		return err
	}
	txn := infra.Txn{
		Conditions: []infra.Condition{t.leadership.Condition, {Key: h.key, Revision: h.revision}},
		Writes:     []infra.Write{{Key: h.key, Value: value}},
	}
	for _, e := range batch {
		txn.Writes, txn.Removes = append(txn.Writes, e.writes...), append(txn.Removes, e.removes...)
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

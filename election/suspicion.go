package election

import (
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/infra"
)

// A host that refuses connections may run the controller all the same: connections between availability zones can be
// refused while both sides reach the store. So the refusal is only a hint. A machine that sees it records a suspicion in
// the store. A controller that runs and reaches the store refutes it by removing it. One that does not is replaced before
// its lease ends, on condition that the suspicion still stands. Its successor revokes its lease and counts on orders of it
// until that lease would have ended by itself.

const (
	// suspicionWait is how long a controller has to refute a suspicion. It covers two writes and a watch, and a process that
	// does not run for a tenth of a second because its processor quota is used up.
	suspicionWait = 150 * time.Millisecond
	// suspicionCalls is how many calls to the store pass one after the other until a refutation is seen: the controller's
	// watch, its write and the watch of the machine that suspects it, and one to spare.
	suspicionCalls = 4
	// suspicionInterval is the least time between two suspicions of one controller. If it ends meanwhile, its lease ends
	// about as soon.
	suspicionInterval = time.Second
	// maxSuspicions bounds the record. Each controller removes it after about a second.
	maxSuspicions = 8
)

// suspicions returns the suspicions in the store. A record that cannot be decoded counts as none and is replaced.
func (e *Elector) suspicions(state leaderState) []*siskinv1.Suspicion {
	record := &siskinv1.Suspicions{}
	if err := proto.Unmarshal(state.suspected.Value, record); err != nil {
		e.Log.Error(err, "cannot decode the suspicions of controllers")
		return nil
	}
	return record.GetSuspicions()
}

// suspicionCondition requires that the suspicions have not changed.
func (s leaderState) suspicionCondition() infra.Condition {
	return infra.Condition{Key: suspicionsKey, Revision: s.suspected.Revision}
}

// without returns the suspicions of other terms than the given one.
func without(all []*siskinv1.Suspicion, epoch infra.Revision) []*siskinv1.Suspicion {
	var others []*siskinv1.Suspicion
	for _, s := range all {
		if s.GetEpoch() != int64(epoch) {
			others = append(others, s)
		}
	}
	return others
}

// writeSuspicions adds the replacement of the suspicions to a transaction.
func writeSuspicions(txn infra.Txn, suspicions []*siskinv1.Suspicion) (infra.Txn, error) {
	if len(suspicions) == 0 {
		txn.Removes = append(txn.Removes, suspicionsKey)
		return txn, nil
	}
	value, err := proto.Marshal(&siskinv1.Suspicions{Suspicions: suspicions})
	if err != nil {
		return txn, err
	}
	// Without a lease the suspicion outlives the machine that recorded it, so every later controller sees it.
	txn.Writes = append(txn.Writes, infra.Write{Key: suspicionsKey, Value: value})
	return txn, nil
}

// contest is the suspicion of the current controller as this machine follows it.
type contest struct {
	epoch infra.Revision
	// until is when the controller may be replaced unless it has refuted the suspicion.
	until time.Time
	// refutedAt is when this machine last saw that the controller had refuted a suspicion.
	refutedAt time.Time
	// noted is true if this machine has acted on the refusal of connections since the state last changed.
	noted bool
}

// followContest brings the contest up to date with the state.
func (e *Elector) followContest(state leaderState, suspected bool) {
	c := &e.contest
	epoch := state.entry.Revision
	switch {
	case c.epoch != epoch:
		*c = contest{epoch: epoch}
		if suspected {
			c.until = e.Clock.Now().Add(suspicionWait + e.AcquireDelay())
		}
	case suspected && c.until.IsZero():
		c.until = e.Clock.Now().Add(suspicionWait + e.AcquireDelay())
	case !suspected && !c.until.IsZero():
		c.until, c.refutedAt = time.Time{}, e.Clock.Now()
		e.Log.Info("controller has refuted the suspicion", "epoch", int64(epoch))
	}
}

// remaining returns the time until the controller may be replaced, or false if it is not suspected.
func (e *Elector) remaining() (time.Duration, bool) {
	if e.contest.until.IsZero() || !e.contest.noted {
		return 0, false
	}
	return max(0, e.contest.until.Sub(e.Clock.Now())), true
}

// mayContest reports whether this machine has a reason to replace the controller before its lease ends, and may do so.
func (e *Elector) mayContest() bool { return e.isRefused() && e.MayTakeOverEarly() }

// contestLeader replaces a controller whose host refuses connections, if it does not refute the suspicion in time.
func (e *Elector) contestLeader(ctx context.Context, state leaderState, leader *siskinv1.Leadership, lease infra.LeaseID) {
	all := e.suspicions(state)
	e.followContest(state, len(without(all, state.entry.Revision)) < len(all))
	e.contest.noted = e.mayContest()
	if !e.contest.noted {
		return
	}
	if left, suspected := e.remaining(); suspected {
		if left == 0 {
			e.commitLeadership(ctx, state, lease)
		}
		return
	}
	if e.Clock.Now().Sub(e.contest.refutedAt) < suspicionInterval {
		e.contest.noted = false
		e.observeLater(ctx)
		return
	}
	if len(all) < maxSuspicions && e.Clock.Sleep(ctx, e.AcquireDelay()) == nil {
		e.suspect(ctx, state, leader, all)
	}
}

// suspect records the suspicion of the controller. The watch shows whether the write has taken effect.
func (e *Elector) suspect(ctx context.Context, state leaderState, leader *siskinv1.Leadership, known []*siskinv1.Suspicion) {
	suspicion := &siskinv1.Suspicion{
		Machine: leader.GetMachine(), Epoch: int64(state.entry.Revision), Lease: int64(state.entry.Lease),
		LeaseTtlMs: e.Session.TTL().Milliseconds(),
	}
	txn, err := writeSuspicions(infra.Txn{Conditions: []infra.Condition{
		{Key: leaderKey, Revision: state.entry.Revision}, state.suspicionCondition(),
	}}, append(known, suspicion))
	if err != nil {
		e.Log.Error(err, "encode suspicions")
		return
	}
	began := e.Clock.Now()
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := e.Store.Commit(call, txn); err != nil {
		if !errors.Is(err, infra.ErrConflict) {
			_ = e.Clock.Sleep(ctx, retryDelay)
		}
		return
	}
	now := e.Clock.Now()
	// While the store is slow, the controller needs longer to refute the suspicion.
	e.contest.until = now.Add(max(suspicionWait, suspicionCalls*now.Sub(began)))
	e.Log.Info("controller suspected of having ended", "controller", leader.GetMachine(), "epoch", int64(state.entry.Revision),
		"wait_ms", e.contest.until.Sub(now).Milliseconds())
}

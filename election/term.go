package election

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/infra"
)

// Term is the time during which this machine is the controller.
type Term struct {
	// Epoch is the revision of the controller's entry, so it increases from one controller to the next.
	Epoch int64
	// Condition holds in the store as long as the term lasts.
	Condition infra.Condition
	elector   *Elector
	lease     infra.LeaseID
	end       context.CancelFunc
	resigned  atomic.Bool
	// former are the controllers that may not have ended when the term began.
	former []*siskinv1.Suspicion
	// formerRevoked is closed when formerUntil is known.
	formerRevoked chan struct{}
	formerUntil   time.Time
}

// Valid reports whether this machine may act as the controller now. It is checked immediately before each action. A
// controller may be replaced while its term is valid. Its successor then knows how long that can be so, see AwaitFormer;
// until then commits of the term fail their condition, and workers that the successor has reached reject its epoch.
func (t *Term) Valid() bool { return t.elector.Session.Holds(t.lease) }

// End ends the term, for example because another controller was seen.
func (t *Term) End() { t.end() }

// Resign ends the term and releases the leadership to a machine that is better suited.
func (t *Term) Resign() {
	t.resigned.Store(true)
	t.end()
}

// AwaitFormer returns the time until which earlier controllers may act, or the zero time if all of them have ended. It
// waits until their leases are revoked: as long as they renew them, there is no such time.
func (t *Term) AwaitFormer(ctx context.Context) (time.Time, error) {
	select {
	case <-t.formerRevoked:
		return t.formerUntil, nil
	case <-ctx.Done():
		return time.Time{}, ctx.Err()
	}
}

// revokeFormer revokes the leases of the former controllers. Each of them acts at most for the time to live of its lease
// after its last renewal, which comes before the revocation.
func (t *Term) revokeFormer(ctx context.Context) {
	var until time.Time
	for _, f := range t.former {
		for !t.revoke(ctx, f) {
			if ctx.Err() != nil {
				return
			}
		}
		end := t.elector.Clock.Now().Add(time.Duration(f.GetLeaseTtlMs()) * time.Millisecond)
		if end.After(until) {
			until = end
		}
	}
	t.formerUntil = until
	close(t.formerRevoked)
}

// revoke reports whether the lease of a former controller has certainly ended in the store.
func (t *Term) revoke(ctx context.Context, former *siskinv1.Suspicion) bool {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := t.elector.Store.RevokeLease(call, infra.LeaseID(former.GetLease()))
	if err == nil || errors.Is(err, infra.ErrLeaseExpired) {
		t.elector.Log.Info("lease of a former controller revoked", "controller", former.GetMachine(), "former_epoch", former.GetEpoch(),
			"may_act_ms", former.GetLeaseTtlMs(), "expired", err != nil)
		return true
	}
	t.elector.Log.V(1).Info("lease of a former controller not revoked", "controller", former.GetMachine(), "reason", err.Error())
	_ = t.elector.Clock.Sleep(ctx, retryDelay)
	return false
}

// guard watches the controller's entry during the term. It ends the term once another controller has replaced this one,
// refutes suspicions of it, and removes those of former controllers when they cannot act any more.
func (t *Term) guard(ctx context.Context, state leaderState) {
	e := t.elector
	for ctx.Err() == nil {
		if !state.exists || int64(state.entry.Revision) != t.Epoch {
			e.Log.Info("another controller has taken over, or the lease has ended", "epoch", t.Epoch)
			t.end()
			return
		}
		t.settleSuspicions(ctx, state)
		next, err := e.watchFor(ctx, state, t.untilFormerEnd())
		for err != nil && ctx.Err() == nil {
			_ = e.Clock.Sleep(ctx, retryDelay)
			next, err = e.read(ctx)
		}
		state = next
	}
}

// untilFormerEnd returns how long to watch until the suspicions of former controllers may be due for removal.
func (t *Term) untilFormerEnd() time.Duration {
	select {
	case <-t.formerRevoked:
		if left := t.formerUntil.Sub(t.elector.Clock.Now()); left > 0 {
			return min(left, watchWait)
		}
		return watchWait
	default:
		return callTimeout
	}
}

// settleSuspicions removes the suspicion of this term, because it is false, and those of former controllers that have
// ended.
func (t *Term) settleSuspicions(ctx context.Context, state leaderState) {
	e := t.elector
	all := e.suspicions(state)
	kept := without(all, state.entry.Revision)
	refutes := len(kept) < len(all)
	if t.formerEnded() {
		kept = nil
	}
	if len(kept) == len(all) || !t.Valid() {
		return
	}
	txn, err := writeSuspicions(infra.Txn{Conditions: []infra.Condition{t.Condition, state.suspicionCondition()}}, kept)
	if err != nil {
		e.Log.Error(err, "encode suspicions")
		return
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err = e.Store.Commit(call, txn)
	e.Log.Info("suspicions of controllers removed", "epoch", t.Epoch, "refuted", refutes, "kept", len(kept), "done", err == nil)
}

// formerEnded reports whether no former controller can act any more.
func (t *Term) formerEnded() bool {
	select {
	case <-t.formerRevoked:
		return !t.elector.Clock.Now().Before(t.formerUntil)
	default:
		return false
	}
}

package election

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/clock"
	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/standin"
)

// alwaysRefused is an Elector.AwaitRefusal of a machine that cannot connect to any other.
func alwaysRefused(context.Context, *siskinv1.Leadership) error { return nil }

// Guards against a controller that is replaced while it runs and reaches the store, because connections to it are refused,
// and against machines that replace each other in turn. In the case review/6 one cut replaced 24 controllers within 5.5 s.
func TestRunningControllerRefutesSuspicions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewTxnStore(clock.Real{})
		machines := []*machine{
			prepare(t, store, "a", 1, 0), prepare(t, store, "b", 1, 50*time.Millisecond), prepare(t, store, "c", 1, 60*time.Millisecond),
		}
		for _, m := range machines {
			m.elector.AwaitRefusal = alwaysRefused
			m.run(t)
			time.Sleep(20 * time.Millisecond)
		}
		first := machines[0].current()
		for range 60 {
			time.Sleep(100 * time.Millisecond)
			_, valid := machines[0].leads()
			assert.Assert(t, valid, "the controller was replaced")
		}
		assert.Equal(t, machines[0].current(), first)
		assert.Equal(t, machines[1].terms+machines[2].terms, 0)
		commits := store.Revision()
		time.Sleep(5 * time.Second)
		assert.Assert(t, store.Revision()-commits <= 24, "%d changes in 5 s: more than two suspicions and refutations a second",
			store.Revision()-commits)
	})
}

// Guards against a controller that acts without end after it was replaced, because it commits nothing and goes on renewing
// its lease: its successor has to know how long it may act. Here it sees neither suspicions nor its successor's entry.
func TestReplacedControllerStopsInTimeWithoutCommits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewTxnStore(clock.Real{})
		blind := &standin.BlindStore{TxnStore: store, Prefix: leaderPrefix}
		a := start(t, blind, "a", 1, 0)
		time.Sleep(100 * time.Millisecond)
		first := a.current()
		assert.Assert(t, first.Valid())
		blind.SetBlind(true)
		b := prepare(t, store, "b", 1, 0)
		b.elector.AwaitRefusal = alwaysRefused
		b.run(t)
		time.Sleep(suspicionWait + 100*time.Millisecond)
		second := b.current()
		assert.Assert(t, second.Valid(), "the controller is not replaced although it does not refute the suspicion")
		until, err := second.AwaitFormer(t.Context())
		assert.NilError(t, err)
		assert.Assert(t, time.Until(until) > 0 && time.Until(until) <= testTTL)
		for time.Now().Before(until) {
			time.Sleep(10 * time.Millisecond)
		}
		assert.Assert(t, !first.Valid(), "the former controller may act after the time that its successor assumes")
		time.Sleep(200 * time.Millisecond)
		_, err = store.Get(t.Context(), suspicionsKey)
		assert.ErrorIs(t, err, infra.ErrNotFound, "the suspicion of a controller that has ended is kept")
	})
}

// Guards against a controller that does not know of one that may still act, because the machine that replaced that one has
// ended before it could revoke the lease.
func TestSuspicionsOutliveTheirMachine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewTxnStore(clock.Real{})
		lease, _, err := store.GrantLease(t.Context(), time.Minute)
		assert.NilError(t, err)
		record := mustMarshal(t, &siskinv1.Suspicions{Suspicions: []*siskinv1.Suspicion{
			{Machine: "a", Epoch: 1, Lease: int64(lease), LeaseTtlMs: testTTL.Milliseconds()},
		}})
		_, err = store.Commit(t.Context(), infra.Txn{Writes: []infra.Write{{Key: suspicionsKey, Value: record}}})
		assert.NilError(t, err)
		c := start(t, store, "c", 1, 0)
		time.Sleep(100 * time.Millisecond)
		until, err := c.current().AwaitFormer(t.Context())
		assert.NilError(t, err)
		assert.Assert(t, time.Until(until) > testTTL-200*time.Millisecond)
		assert.ErrorIs(t, store.RenewLease(t.Context(), lease), infra.ErrLeaseExpired)
	})
}

// Guards against a controller that trusts its leadership while the store loses the answer to the revocation of the former
// controller's lease.
func TestFormerControllerIsAwaitedUntilItsLeaseIsRevoked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewTxnStore(clock.Real{})
		blind := &standin.BlindStore{TxnStore: store, Prefix: leaderPrefix}
		a := start(t, blind, "a", 1, 0)
		time.Sleep(100 * time.Millisecond)
		blind.SetBlind(true)
		faulty := &revokeFailingStore{TxnStore: store, failures: 5}
		b := prepare(t, faulty, "b", 1, 0)
		b.elector.AwaitRefusal = alwaysRefused
		b.run(t)
		time.Sleep(suspicionWait + 50*time.Millisecond)
		second := b.current()
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		defer cancel()
		_, err := second.AwaitFormer(ctx)
		assert.ErrorIs(t, err, context.DeadlineExceeded, "the former controller still renews its lease")
		_, valid := a.leads()
		assert.Assert(t, valid)
		until, err := second.AwaitFormer(t.Context())
		assert.NilError(t, err)
		time.Sleep(time.Until(until))
		_, valid = a.leads()
		assert.Assert(t, !valid)
	})
}

// Guards against a controller that is replaced while it is paused and acts after it is resumed.
func TestPausedControllerIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &unresponsiveStore{TxnStore: standin.NewTxnStore(clock.Real{})}
		a := start(t, store, "a", 1, 0)
		time.Sleep(100 * time.Millisecond)
		first := a.current()
		b := prepare(t, store.TxnStore, "b", 1, 0)
		b.elector.AwaitRefusal = alwaysRefused
		store.setUnresponsive(true)
		b.run(t)
		time.Sleep(suspicionWait + 50*time.Millisecond)
		_, valid := b.leads()
		assert.Assert(t, valid)
		until, err := b.current().AwaitFormer(t.Context())
		assert.NilError(t, err)
		time.Sleep(time.Until(until))
		store.setUnresponsive(false)
		assert.Assert(t, !first.Valid())
		time.Sleep(time.Second)
		_, valid = b.leads()
		assert.Assert(t, valid)
		leads, _ := a.leads()
		assert.Assert(t, !leads)
	})
}

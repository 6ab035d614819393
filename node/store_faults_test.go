package node_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/standin"
)

// refusingStore refuses the writes of one machine while refuses is set.
type refusingStore struct {
	*standin.TxnStore
	refuses atomic.Bool
}

func (r *refusingStore) Commit(ctx context.Context, txn infra.Txn) (infra.Revision, error) {
	if r.refuses.Load() {
		return 0, infra.ErrRefused
	}
	return r.TxnStore.Commit(ctx, txn)
}

// Guards against a machine that refuses jobs because the store refuses its writes alone: its callers lost half a second or
// more.
func TestMachineRefusedByTheStoreAccepts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 1, time.Second)
		s.start("a")
		time.Sleep(time.Second)
		store := &refusingStore{TxnStore: s.store}
		b := s.startWith("b", store)
		time.Sleep(2 * time.Second)
		store.refuses.Store(true)
		assert.NilError(t, b.submit("0000000000000001", step(1)))
		time.Sleep(2 * time.Second)
		phase, err := b.gateway.Phase(t.Context(), "0000000000000001")
		assert.NilError(t, err)
		assert.Equal(t, phase, siskinv1.WorkflowPhase_WORKFLOW_PHASE_SUCCEEDED)
	})
}

// noReplyStore commits every second change of the controller without responding.
type noReplyStore struct {
	*standin.TxnStore
	changes atomic.Int64
}

func (s *noReplyStore) Commit(ctx context.Context, txn infra.Txn) (infra.Revision, error) {
	revision, err := s.TxnStore.Commit(ctx, txn)
	if len(txn.Conditions) == 2 && err == nil && s.changes.Add(1)%2 == 0 {
		<-ctx.Done()
		return 0, ctx.Err()
	}
	return revision, err
}

// Guards against jobs that wait a second for each response that the store loses. In incident inc-ba51 more than a third
// of the responses were lost for 4.5 s, and the benchmark score of that time was halved.
func TestLostCommitResponsesDelayLittle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 3, 200*time.Millisecond)
		a := s.startWith("a", &noReplyStore{TxnStore: s.store})
		time.Sleep(2 * time.Second)
		for i := range 6 {
			id := fmt.Sprintf("%016x", i+1)
			assert.NilError(t, a.submit(id, step(1), step(1, 0)))
			time.Sleep(900 * time.Millisecond)
			assert.Equal(t, a.phase(id), succeeded, "job %d", i)
		}
		for task, starts := range s.fleet.Starts() {
			assert.Equal(t, starts, 1, "starts of %s", task)
		}
	})
}

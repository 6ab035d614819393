package controller

import (
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/clock"
	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/standin"
)

// storedProgress returns the progress of a job in a store, or nil.
func storedProgress(t *testing.T, store infra.TxnStore, id string) *siskinv1.WorkflowProgress {
	t.Helper()
	entry, err := store.Get(t.Context(), ProgressKey(id))
	if err != nil {
		return nil
	}
	progress := &siskinv1.WorkflowProgress{}
	assert.NilError(t, proto.Unmarshal(entry.Value, progress))
	return progress
}

// Guards against jobs that hang because the store does not accept the progress of another job in the same commit, and
// against a commit that is sent again without end.
func TestRejectedProgressHoldsUpNoOtherJob(t *testing.T) {
	store := standin.NewTxnStore(clock.Real{})
	c := newTermOn(t, store)
	var rejected atomic.Int32
	var accepts atomic.Bool
	store.SetFault(func(_ string, txn infra.Txn) standin.TxnFault {
		for _, w := range txn.Writes {
			if w.Key == ProgressKey("bad") && !accepts.Load() {
				rejected.Add(1)
				return standin.TxnReject
			}
		}
		return 0
	})
	c.mu.Lock()
	for _, id := range []string{"one", "bad", "two"} {
		c.state.AddJob(&siskinv1.Workflow{Id: id, Steps: []*siskinv1.WorkflowStep{{Count: 1}}}, nil)
		c.state.Cancel(id, 1)
	}
	c.commitChanges(t.Context())
	c.mu.Unlock()
	isStored := func(id string) bool {
		return storedProgress(t, store, id).GetPhase() == siskinv1.WorkflowPhase_WORKFLOW_PHASE_CANCELLED
	}
	assert.Assert(t, isSoon(rejectedDelay/2, func() bool {
		return isStored("one") && isStored("two") && !c.heads[0].busy.Load()
	}))
	// One call with all jobs, and one with the rejected job alone.
	assert.Equal(t, rejected.Load(), int32(2))
	accepts.Store(true)
	assert.Assert(t, isSoon(10*rejectedDelay, func() bool {
		c.withLock(func() { c.commitChanges(t.Context()) })
		return isStored("bad")
	}), "a rejected change is lost; leadership %v, head in use %v", c.leadership.Valid(), c.heads[0].busy.Load())
	c.goroutines.Wait()
}

// isSoon reports whether a condition holds within a time.
func isSoon(within time.Duration, condition func() bool) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

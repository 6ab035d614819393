package gateway

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/clock"
	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/refusal"
	"siskinstack.example/siskinstack/standin"
)

// Guards against a job that the store cannot hold, and whose submission is sent again until the caller's time is over.
func TestJobThatTheStoreCannotHoldIsRefusedAtOnce(t *testing.T) {
	store := standin.NewTxnStore(clock.Real{})
	calls := 0
	store.SetFault(func(string, infra.Txn) standin.TxnFault {
		calls++
		return 0
	})
	m := newAdmissionMachine(store)
	record := &siskinv1.Workflow{Id: testJob, Payload: string(make([]byte, infra.MaxValueBytes)), Steps: []*siskinv1.WorkflowStep{{Count: 1}}}
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	refused := refusal.From(m.Submit(ctx, record))
	assert.Equal(t, refused.Reason, refusal.JobTooLarge)
	assert.Assert(t, refused.NotRun())
	assert.Equal(t, refused.RetryAfter.Milliseconds(), int64(0), "a further attempt is of no use")
	assert.Equal(t, calls, 0)
}

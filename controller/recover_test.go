package controller

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/clock"
	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/policy"
	"siskinstack.example/siskinstack/standin"
)

// Guards against bounds that count from the begin of a term although an earlier controller may act after that: it may still
// extend leases of workers, and order maintenance of machines.
func TestBoundsCountFromTheEndOfAnEarlierController(t *testing.T) {
	store := standin.NewTxnStore(clock.Real{})
	const mayActFor = 5 * time.Second
	lease, _, err := store.GrantLease(t.Context(), time.Minute)
	assert.NilError(t, err)
	suspicions, err := proto.Marshal(&siskinv1.Suspicions{Suspicions: []*siskinv1.Suspicion{
		{Machine: "earlier", Epoch: 1, Lease: int64(lease), LeaseTtlMs: mayActFor.Milliseconds()},
	}})
	assert.NilError(t, err)
	job := &siskinv1.Workflow{Id: "0000000000000001", Steps: []*siskinv1.WorkflowStep{{Count: 1, MilliCpu: 1000}}}
	record, err := proto.Marshal(job)
	assert.NilError(t, err)
	progress, err := proto.Marshal(&siskinv1.WorkflowProgress{Occurrences: []*siskinv1.OccurrenceProgress{{Steps: []*siskinv1.StepProgress{{
		Tasks: []*siskinv1.TaskProgress{{Run: 1, Worker: "w"}},
	}}}}})
	assert.NilError(t, err)
	_, err = store.Commit(t.Context(), infra.Txn{Writes: []infra.Write{
		{Key: "lead/suspicions", Value: suspicions}, {Key: JobKey(job.GetId()), Value: record},
		{Key: ProgressKey(job.GetId()), Value: progress},
	}})
	assert.NilError(t, err)
	bounds := Bounds{LeaseMax: 6 * time.Second}
	c := newTerm(Options{Store: store, Clock: clock.Real{}, Log: logr.Discard(), Metrics: NewMetrics(nil), WorkersPrefix: "workers/",
		Policy: policy.NewView(store, clock.Real{}, logr.Discard(), policy.Codec{}), Bounds: bounds}, leadershipIn(t, store))
	began := c.now()
	_, _, err = c.recover(t.Context())
	assert.NilError(t, err)
	assert.ErrorIs(t, store.RenewLease(t.Context(), lease), infra.ErrLeaseExpired)
	const slack = time.Second
	until := c.soleSince.Sub(began)
	assert.Assert(t, until > mayActFor-slack && until < mayActFor+slack, "%s", until)
	assert.Equal(t, c.state.Worker("w").LeaseEnd(), c.soleSince.Add(c.maxLeaseBound()))
}

// Guards against tasks that run a second time because the progress of their job cannot be read.
func TestJobWithoutReadableProgressIsNotStarted(t *testing.T) {
	store := standin.NewTxnStore(clock.Real{})
	job := &siskinv1.Workflow{Id: "0000000000000001", Steps: []*siskinv1.WorkflowStep{{Count: 1, MilliCpu: 1000}}}
	record, err := proto.Marshal(job)
	assert.NilError(t, err)
	_, err = store.Commit(t.Context(), infra.Txn{Writes: []infra.Write{
		{Key: JobKey(job.GetId()), Value: record}, {Key: ProgressKey(job.GetId()), Value: []byte{0}},
	}})
	assert.NilError(t, err)
	c := newTermOn(t, store)
	_, _, err = c.recover(t.Context())
	assert.NilError(t, err)
	c.addJob(job, "announced")
	assert.Assert(t, c.state.Job(job.GetId()) == nil)
}

// newTermOn returns a term of a machine that has just been elected, with the given store.
func newTermOn(t *testing.T, store infra.TxnStore) *term {
	t.Helper()
	return newTerm(Options{Store: store, Clock: clock.Real{}, Log: logr.Discard(), Metrics: NewMetrics(nil), WorkersPrefix: "workers/",
		Policy: policy.NewView(store, clock.Real{}, logr.Discard(), policy.Codec{})}, leadershipIn(t, store))
}

package node_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/controller"
	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/refusal"
	"siskinstack.example/siskinstack/standin"
)

// cancel cancels a job as a caller does.
func (m *machine) cancel(id string) error {
	target, err := m.gateway.Authorize("h", "/q/"+id, validKey)
	if err != nil {
		return err
	}
	ctx, cancel := m.gateway.WithResponseTimeout(context.Background(), 3*time.Second)
	defer cancel()
	return m.gateway.Cancel(ctx, target)
}

// delayOnce makes the store carry out the next write of a key with the prefix on Deliver, and leave it unanswered.
func (s *site) delayOnce(prefix string) {
	left := true
	s.store.SetFault(func(call string, txn infra.Txn) standin.TxnFault {
		if left && call == "commit" && len(txn.Writes) > 0 && strings.HasPrefix(txn.Writes[0].Key, prefix) {
			left = false
			return standin.TxnDelay
		}
		return 0
	})
}

// Guards against a job that starts after its cancellation was answered, because its submission was carried out late.
func TestCancelledSubmissionIsNotCarriedOutLate(t *testing.T) {
	const id = "0000000000000001"
	for _, late := range []time.Duration{0, time.Second, 6 * time.Second, 12 * time.Second} {
		for _, restart := range []bool{false, true} {
			t.Run(fmt.Sprintf("late=%v,restart=%v", late, restart), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := newSite(t, 1, time.Second)
					a := s.start("a") // the controller, which relays no call through another machine
					time.Sleep(time.Second)
					b := s.start("b")
					time.Sleep(time.Second)
					s.delayOnce(controller.JobKey(""))
					target, err := a.gateway.Authorize("h", "/q/"+id, validKey)
					assert.NilError(t, err)
					ctx, leave := context.WithTimeout(t.Context(), 10*time.Millisecond)
					err = a.gateway.Submit(ctx, &siskinv1.Workflow{
						Id: id, Team: target.Team, Queue: target.Queue, Steps: []*siskinv1.WorkflowStep{step(1)},
					})
					leave()
					assert.Assert(t, !refusal.From(err).NotRun())
					assert.Equal(t, refusal.From(b.cancel(id)).Reason, refusal.NotFound)
					if restart {
						a.stop()
						b.stop()
						b = s.start("b")
					}
					time.Sleep(late)
					s.store.Deliver()
					time.Sleep(8 * time.Second)
					assert.Equal(t, len(s.fleet.Starts()), 0, "a cancelled job has started")
					_, err = b.gateway.Phase(t.Context(), id)
					assert.Equal(t, refusal.From(err).Reason, refusal.NotFound)
				})
			})
		}
	}
}

// Guards against a submission that is accepted after its cancellation was answered, and against one that is refused for
// longer than a late write can take, or for another team.
func TestSubmissionAfterItsCancellation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 1, time.Second)
		a := s.start("a")
		time.Sleep(2 * time.Second)
		const id = "0000000000000001"
		for range 2 {
			assert.Equal(t, refusal.From(a.cancel(id)).Reason, refusal.NotFound)
		}
		refused := refusal.From(a.submit(id, step(1)))
		assert.Equal(t, refused.Reason, refusal.CancelledBefore)
		assert.Assert(t, refused.NotRun() && refused.RetryAfter > 0)
		time.Sleep(refused.RetryAfter + 3*time.Second)
		assert.NilError(t, a.submit(id, step(1)))
		listing, err := s.store.List(t.Context(), "in/tombstone/")
		assert.NilError(t, err)
		assert.Equal(t, len(listing.Entries), 0)
		assert.NilError(t, a.submit(id, step(1)), "a repeated submission remains one job")
		assert.NilError(t, a.cancel(id))
		assert.NilError(t, a.cancel(id), "a repeated cancellation")
		assert.NilError(t, a.submit(id, step(1)), "a late repetition of an accepted submission")
	})
}

// Guards against callers who fill the store with cancellations of jobs that never were.
func TestCancellationsOfUnknownJobsAreLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 1, time.Second)
		a := s.start("a")
		time.Sleep(2 * time.Second)
		reasons := map[refusal.Reason]int{}
		for i := range 200 {
			reasons[refusal.From(a.cancel(fmt.Sprintf("%016x", i+1))).Reason]++
		}
		assert.Assert(t, reasons[refusal.TeamLimit] >= 100 && reasons[refusal.NotFound] >= 50, "%v", reasons)
		assert.NilError(t, a.submit("00000000000000ff", step(1)))
		assert.NilError(t, a.cancel("00000000000000ff"), "jobs that exist can still be cancelled")
		time.Sleep(time.Minute)
		listing, err := s.store.List(t.Context(), "in/tombstone/")
		assert.NilError(t, err)
		assert.Equal(t, len(listing.Entries), 0)
	})
}

// Guards against a late cancellation that outlives its job: nobody would delete it, and it would cancel a later job.
func TestLateCancellationOfADeletedJobHasNoEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 1, time.Second)
		a := s.start("a")
		time.Sleep(2 * time.Second)
		const id = "0000000000000001"
		assert.NilError(t, a.submit(id, step(1)))
		time.Sleep(3 * time.Second)
		assert.Equal(t, a.phase(id), siskinv1.WorkflowPhase_WORKFLOW_PHASE_SUCCEEDED)
		s.delayOnce(controller.CancelKey(""))
		assert.NilError(t, a.cancel(id), "the repeated write is answered")
		s.delayOnce(controller.CancelKey("none"))
		time.Sleep(2 * time.Minute) // the job is past its retention
		s.store.Deliver()
		listing, err := s.store.List(t.Context(), "in/cancel/")
		assert.NilError(t, err)
		assert.Equal(t, len(listing.Entries), 0)
	})
}

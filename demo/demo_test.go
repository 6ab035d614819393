package demo

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/apiclient"
	"siskinstack.example/siskinstack/demo/promises"
	"siskinstack.example/siskinstack/standin/site"
)

// TestDemoRunsBatch guards against a failure anywhere on the path from submission to the end of a task.
func TestDemoRunsBatch(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	r, err := newRun(ctx, site.Jadeleaf(), startDaemon)
	assert.NilError(t, err)
	defer r.close()
	_, err = r.stepReady(ctx)
	assert.NilError(t, err)
	_, err = r.stepBundle(ctx)
	assert.NilError(t, err)
	_, err = r.stepKeys(ctx)
	assert.NilError(t, err)
	team := r.cluster.site.Teams[0].Name
	first, err := r.clients.get(r.cluster.vms[0], r.key(team))
	assert.NilError(t, err)
	last, err := r.clients.get(r.cluster.vms[5], r.key(team))
	assert.NilError(t, err)
	spec := &siskinv1.WorkSpec{
		Name: "stitch", Kind: siskinv1.WorkKind_WORK_KIND_BATCH, Queue: team, Count: 40,
		Command: []string{"sleep", "200ms"}, Each: &siskinv1.Resources{MilliCpu: 4000, MemoryBytes: 1 << 30},
	}
	var submitted apiclient.Submitted
	// A VM that does not know the owner of a shard yet refuses the work as not run.
	assert.NilError(t, waitFor(ctx, 5*time.Second, "acceptance", func() bool {
		submitted, err = first.Submit(ctx, spec, "")
		return outcomeOf(err) != promises.RefusedNotRun
	}))
	assert.NilError(t, err)
	assert.NilError(t, waitFor(ctx, 20*time.Second, "the batch", func() bool {
		status, err := last.Work(ctx, submitted.ID)
		return err == nil && status.GetSucceeded() == 40
	}))
}

// TestStepStates guards against steps that count as done although their route is missing or they failed.
func TestStepStates(t *testing.T) {
	r := &run{}
	for want, result := range map[State]error{
		Done:        nil,
		Failed:      ErrNotVerified,
		Unavailable: fmt.Errorf("step: %w", asNotAvailable("GET /x", &apiclient.StatusError{Status: http.StatusNotFound})),
	} {
		report := r.runStep(context.Background(), step{"s", func(*run, context.Context) (string, error) { return "", result }})
		assert.Equal(t, report.State, want)
	}
	assert.ErrorIs(t, Report{}.Err(), ErrNotVerified)
	assert.NilError(t, Report{Verified: true}.Err())
}

// TestMayRepeat guards against callers that resend a request which may have run and must not be repeated.
func TestMayRepeat(t *testing.T) {
	unknown := promises.Attempt{Outcome: promises.Unknown}
	assert.Assert(t, !mayRepeat(unknown, false) && mayRepeat(unknown, true))
	assert.Assert(t, mayRepeat(promises.Attempt{Outcome: promises.NotSent}, false))
	assert.Assert(t, mayRepeat(promises.Attempt{Outcome: promises.RefusedNotRun, Reason: "leaving"}, false))
	assert.Assert(t, !mayRepeat(promises.Attempt{Outcome: promises.RefusedNotRun, Reason: "key_unknown"}, true))
	assert.Assert(t, !mayRepeat(promises.Attempt{Outcome: promises.Refused, Reason: "outcome_unknown"}, true))
	assert.Assert(t, !mayRepeat(promises.Attempt{Outcome: promises.Answered}, true))
}

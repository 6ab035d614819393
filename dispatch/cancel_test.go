package dispatch

import (
	"testing"

	"gotest.tools/v3/assert"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
)

// Guards against a job that runs although it was cancelled, because a listing of the store named the cancellation first.
func TestCancellationSeenBeforeTheJob(t *testing.T) {
	w := newWorld(t, 1)
	w.state.Cancel("a", 1)
	w.state.AddJob(job("a", step(1, 1000)), nil)
	w.step()
	assert.Equal(t, w.state.Job("a").ShownPhase(), siskinv1.WorkflowPhase_WORKFLOW_PHASE_CANCELLED)
	assert.Equal(t, len(w.started), 0)
}

package controller

import (
	"fmt"
	"testing"

	"github.com/rotisserie/eris"
	"gotest.tools/v3/assert"

	"siskinstack.example/siskinstack/infra"
)

// Guards against counting declined orders as orders of unknown outcome, which operators are told to investigate.
func TestDeclinedOrdersHaveLabels(t *testing.T) {
	for _, declined := range []error{
		infra.ErrNotSent, infra.ErrRefused, infra.ErrFenced, infra.ErrStaleRun, infra.ErrOrderLeaseExpired, infra.ErrWorkerFull,
		infra.ErrTicketInvalid, infra.ErrWorkerUnhealthy, infra.ErrWorkerMismatch, infra.ErrOrderInvalid, infra.ErrMachineBusy,
		infra.ErrMachineUnknown, infra.ErrNotInWave,
	} {
		assert.Assert(t, errorLabel(eris.Wrap(declined, "order")) != "unknown", "%v", declined)
	}
	assert.Equal(t, errorLabel(nil), "ok")
	assert.Equal(t, errorLabel(eris.New("connection lost")), "unknown")
}

// Guards against a number of time series that grows with the number of configured queues.
func TestQueueLabelsAreBounded(t *testing.T) {
	m := NewMetrics(nil)
	labels := map[string]bool{}
	for i := range 10 * maxQueueLabels {
		labels[m.queueLabel(fmt.Sprintf("queue-%d", i))] = true
	}
	assert.Equal(t, len(labels), maxQueueLabels+1)
	assert.Equal(t, m.queueLabel("queue-0"), "queue-0")
}

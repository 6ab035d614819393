package admission

import (
	"testing"

	"gotest.tools/v3/assert"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/refusal"
)

const (
	urgent  = siskinv1.Urgency_URGENCY_URGENT
	normal  = siskinv1.Urgency_URGENCY_NORMAL
	canWait = siskinv1.Urgency_URGENCY_CAN_WAIT
)

func fill(l *Limiter, team, service string, urgency siskinv1.Urgency) (admitted int, last error) {
	for {
		_, err := l.Acquire(team, service, urgency)
		if err != nil {
			return admitted, err
		}
		admitted++
	}
}

// TestLeastUrgentIsShedFirst guards against can-wait requests that use the capacity reserved for urgent ones.
func TestLeastUrgentIsShedFirst(t *testing.T) {
	l := New(Limits{VM: 10})
	n, err := fill(l, "t", "s", canWait)
	assert.Equal(t, n, 7)
	assert.Equal(t, refusal.From(err).RetryAfter, canWaitRetryAfter)
	n, _ = fill(l, "t", "s", normal)
	assert.Equal(t, n, 2)
	n, err = fill(l, "t", "s", urgent)
	assert.Equal(t, n, 1)
	assert.Equal(t, refusal.From(err).Reason, refusal.Overloaded)
	assert.Assert(t, refusal.From(err).NotRun())
}

// TestTeamAndServiceLimits guards against one team or one service that uses the whole limit of the VM.
func TestTeamAndServiceLimits(t *testing.T) {
	l := New(Limits{VM: 100, Team: 5, Service: 8})
	n, err := fill(l, "a", "s", urgent)
	assert.Equal(t, n, 5)
	assert.Equal(t, refusal.From(err).Reason, refusal.TeamLimit)
	n, err = fill(l, "b", "s", urgent)
	assert.Equal(t, n, 3)
	assert.Equal(t, refusal.From(err).Reason, refusal.Overloaded)
}

// TestReleaseFreesEverything guards against counts that do not return to zero after release.
func TestReleaseFreesEverything(t *testing.T) {
	l := New(Limits{VM: 1, Team: 1, Service: 1})
	for range 3 {
		release, err := l.Acquire("t", "s", urgent)
		assert.NilError(t, err)
		release()
	}
	assert.Equal(t, len(l.teams)+len(l.services)+l.total, 0)
}

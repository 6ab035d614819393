package owner

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/standin"
)

func gang(count int32) *siskinv1.WorkSpec {
	spec := batch(count, false)
	spec.Kind = siskinv1.WorkKind_WORK_KIND_GANG
	spec.Each.MilliCpu = 8000
	return spec
}

// TestGangRestartsTogether guards against a lost member of a gang job that is restarted while the other members keep
// running.
func TestGangRestartsTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestFleet(t, 4, "z")
		o := s.open("z", time.Hour)
		defer o.kill()
		id := s.submit(o, "g", gang(3))
		time.Sleep(10 * time.Second)
		lost := s.checkRuns()[0]
		s.workers.SetDown(lost.Worker, true)
		time.Sleep(5 * time.Minute)
		assert.Equal(t, s.status(o, id).GetSucceeded(), int32(3))
		runs := s.checkRuns()
		assert.Equal(t, len(runs), 6)
		for _, run := range runs[3:] {
			assert.Assert(t, run.Started.Sub(runs[3].Started) < time.Second, "%v", run)
			for _, earlier := range runs[:3] {
				assert.Assert(t, !earlier.Ended.IsZero() && !earlier.Ended.After(run.Started), "%v", earlier)
			}
		}
	})
}

// TestGangFailsAsWholeAcrossTakeover guards against members without a final state after another one has failed
// permanently, and against a new owner that restarts the remaining members.
func TestGangFailsAsWholeAcrossTakeover(t *testing.T) {
	for _, wait := range []time.Duration{time.Minute, 10 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			s := newTestFleet(t, 3, "z")
			o := s.open("z", time.Hour)
			s.runFor = 5 * time.Second
			s.workers.SetFaults("z-w0", standin.WorkerFaults{FailTasks: true})
			spec := gang(3)
			spec.MaxAttempts = 1
			id := s.submit(o, "g", spec)
			time.Sleep(wait)
			starts := len(s.checkRuns())
			assert.Equal(t, starts, 3)
			before := s.status(o, id)
			assert.Equal(t, before.GetFailed()+before.GetSucceeded(), int32(3))
			assert.Assert(t, before.GetFailed() >= 1)
			o.kill()
			time.Sleep(time.Second)
			o = s.open("z", time.Hour)
			defer o.kill()
			time.Sleep(time.Minute)
			after := s.status(o, id)
			assert.Equal(t, after.GetFailed()+after.GetSucceeded(), int32(3), "%v", after)
			assert.Equal(t, len(s.checkRuns()), starts)
		})
	}
}

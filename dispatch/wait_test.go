package dispatch

import (
	"testing"

	"gotest.tools/v3/assert"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/resource"
)

// waitLog records the logged wait reasons.
type waitLog struct {
	discardLog
	reasons []WaitReason
}

func (l *waitLog) Waits(_, _ string, reason WaitReason, _ int) { l.reasons = append(l.reasons, reason) }

// Guards against a waiting job without a logged reason or with a wrong one, and against a log line in every plan.
func TestWaitingStepsHaveAReason(t *testing.T) {
	large := step(1, testMilliCPU+1000)
	gang := step(4, testMilliCPU)
	gang.Gang = true
	labelled := step(1, 1000)
	labelled.RequiredLabel = "nowhere"
	for _, test := range []struct {
		want  WaitReason
		step  *siskinv1.WorkflowStep
		setUp func(*fixture)
	}{
		{want: WaitsForCapacity, step: large},
		{want: WaitsForGangCapacity, step: gang},
		{want: WaitsForWorker, step: labelled},
		{want: WaitsForWorker, step: step(1, 1000), setUp: func(f *fixture) {
			f.state.SetEvacuated(map[string]bool{"zone-0": true, "zone-1": true})
		}},
		{want: WaitsForAvailable, step: step(1, 1000), setUp: func(f *fixture) {
			for _, worker := range f.workers {
				info := worker.Info
				info.Draining = true
				f.state.SetWorker(info)
			}
		}},
		{want: WaitsForCeiling, step: step(1, 2000), setUp: func(f *fixture) { f.setCeiling(resource.Vector{MilliCPU: 1000}) }},
	} {
		f := newFixture(t, 2)
		log := &waitLog{}
		f.state.log = log
		if test.setUp != nil {
			test.setUp(f)
		}
		f.state.AddJob(job("0000000000000001", test.step), nil)
		for range 30 {
			f.step()
		}
		assert.DeepEqual(t, log.reasons, []WaitReason{test.want})
	}
}

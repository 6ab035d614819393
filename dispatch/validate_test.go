package dispatch

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
)

// Guards against accepted jobs that exhaust the memory of every controller, or whose amounts overflow.
func TestJobsOutOfBoundsAreRefused(t *testing.T) {
	valid := func() *siskinv1.Workflow { return job("0000000000000001", step(10, 1000), step(10, 1000)) }
	assert.NilError(t, Validate(valid()))
	for name, change := range map[string]func(*siskinv1.Workflow){
		"no steps":              func(w *siskinv1.Workflow) { w.Steps = nil },
		"no tasks":              func(w *siskinv1.Workflow) { w.Steps[0].Count = 0 },
		"wide step":             func(w *siskinv1.Workflow) { w.Steps[0].Count = maxTasksPerStep + 1 },
		"many occurrences":      func(w *siskinv1.Workflow) { w.Occurrences = math.MaxInt32 },
		"negative occurrences":  func(w *siskinv1.Workflow) { w.Occurrences = -1 },
		"first time too late":   func(w *siskinv1.Workflow) { w.FirstUnixMs = math.MaxInt64 },
		"negative interval":     func(w *siskinv1.Workflow) { w.IntervalMs = -1 },
		"memory overflows":      func(w *siskinv1.Workflow) { w.Steps[0].MemoryMb = 1 << 43 },
		"largest cpu":           func(w *siskinv1.Workflow) { w.Steps[0].MilliCpu = math.MaxInt64 },
		"negative cpu":          func(w *siskinv1.Workflow) { w.Steps[0].MilliCpu = -1 },
		"negative accelerators": func(w *siskinv1.Workflow) { w.Steps[0].Accelerators = -1 },
		"negative estimate":     func(w *siskinv1.Workflow) { w.Steps[0].EstimateMs = math.MinInt64 },
		"endless estimate":      func(w *siskinv1.Workflow) { w.Steps[0].EstimateMs = math.MaxInt64 },
		"later dependency":      func(w *siskinv1.Workflow) { w.Steps[0].After = []int32{1} },
		"many steps": func(w *siskinv1.Workflow) {
			for range 6 {
				w.Steps = append(w.Steps, step(maxTasksPerStep, 1))
			}
		},
	} {
		record := valid()
		change(record)
		assert.Assert(t, Validate(record) != nil, name)
	}
}

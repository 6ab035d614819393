package dispatch

import (
	"fmt"
	"testing"
	"time"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
)

// BenchmarkPlanInOverload measures a plan while many steps wait because all 350 workers are full, as many as in the
// larger simulated deployments kvarali-salt-grown and jadeleaf-scan-grown.
func BenchmarkPlanInOverload(b *testing.B) {
	for _, waiting := range []int{10, 100, 400} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			f := newFixture(nil, 350)
			f.queue.Advice = &siskinv1.AdvicePolicy{DecideMs: 14, PerWorkerMs: 0.2, ValidMs: 2500}
			f.queue.Advice = nil
			f.state.AddJob(job("full", step(350*4, 2000)), nil)
			f.step()
			f.queue.Advice = &siskinv1.AdvicePolicy{DecideMs: 14, PerWorkerMs: 0.2, ValidMs: 2500}
			for i := range waiting {
				f.state.AddJob(job(fmt.Sprintf("%016x", i), step(8, 3000), step(8, 3000)), nil)
			}
			for b.Loop() {
				f.now = f.now.Add(12 * time.Millisecond)
				f.state.Plan(f.now, f.unixMs(), AdviceSlots{Free: 4})
			}
		})
	}
}

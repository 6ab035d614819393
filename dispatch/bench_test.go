package dispatch

import (
	"fmt"
	"testing"
	"time"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
)

// BenchmarkPlanInOverload measures a plan while many steps wait for a full fleet of 350 workers, the size of the grown
// sites.
func BenchmarkPlanInOverload(b *testing.B) {
	for _, waiting := range []int{10, 100, 400} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			w := newFixture(nil, 350)
			w.queue.Advice = &siskinv1.AdvicePolicy{DecideMs: 14, PerWorkerMs: 0.2, ValidMs: 2500}
			w.queue.Advice = nil
			w.state.AddJob(job("full", step(350*4, 2000)), nil)
			w.step()
			w.queue.Advice = &siskinv1.AdvicePolicy{DecideMs: 14, PerWorkerMs: 0.2, ValidMs: 2500}
			for i := range waiting {
				w.state.AddJob(job(fmt.Sprintf("%016x", i), step(8, 3000), step(8, 3000)), nil)
			}
			for b.Loop() {
				w.now = w.now.Add(12 * time.Millisecond)
				w.state.Plan(w.now, w.unixMs(), AdviceSlots{Free: 4})
			}
		})
	}
}

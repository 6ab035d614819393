package retrybudget

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "siskinstack.example/siskinstack/testseed"
)

// TestRetriesStayWithinBudget guards against retries that exceed a tenth of the requests plus the burst.
func TestRetriesStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := New(DefaultRatio, DefaultBurst)
		requests, retries := 0, 0
		for _, retry := range rapid.SliceOfN(rapid.Bool(), 0, 500).Draw(t, "retry") {
			if !retry {
				budget.Deposit()
				requests++
				continue
			}
			if budget.Withdraw() {
				retries++
			}
		}
		assert.Assert(t, float64(retries) <= DefaultRatio*float64(requests)+DefaultBurst+1e-6)
	})
}

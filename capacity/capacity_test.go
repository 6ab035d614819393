package capacity_test

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"siskinstack.example/siskinstack/capacity"
)

// TestPageHoldsModel guards against tables in docs/CAPACITY.md that differ from the model's.
func TestPageHoldsModel(t *testing.T) {
	page, err := os.ReadFile("../docs/CAPACITY.md")
	assert.NilError(t, err)
	for _, size := range []capacity.Size{capacity.Today(), capacity.Design()} {
		table := capacity.Markdown(size, capacity.Measured())
		assert.Assert(t, strings.Contains(string(page), table), "the page does not contain this table:\n%s", table)
	}
}

// TestScaleLimit guards against a size at which a figure is said to reach its budget, but does not.
func TestScaleLimit(t *testing.T) {
	size, slopes := capacity.Design(), capacity.Measured()
	for i, f := range capacity.Figures(size, slopes) {
		n := capacity.ScaleLimit(size, slopes, i)
		if f.Budget == 0 || n == capacity.NeverReached || n < 0 {
			continue
		}
		below, above := capacity.Figures(size.Scaled(n*0.99), slopes)[i], capacity.Figures(size.Scaled(n*1.01), slopes)[i]
		assert.Assert(t, below.Value <= below.Budget, "%s: %s", f.Role, f.What)
		assert.Assert(t, above.Value > above.Budget, "%s: %s", f.Role, f.What)
	}
}

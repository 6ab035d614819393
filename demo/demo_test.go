package demo

import (
	"context"
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestDemoRunsBatch guards against a break of the whole path from hand-in to the end of a task.
func TestDemoRunsBatch(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	assert.NilError(t, Run(ctx, io.Discard))
}

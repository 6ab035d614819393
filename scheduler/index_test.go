package scheduler

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"siskinstack.example/siskinstack/resource"
	"siskinstack.example/siskinstack/scheduler/policy/score"
)

// TestIndexFindsWorkerIfScanDoes guards against a worker with enough free capacity that the index misses, and against a
// result without enough.
func TestIndexFindsWorkerIfScanDoes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var x capacityIndex
		x.setScale(resource.Vector{MilliCPU: 200_000, MemoryBytes: 1 << 40, Accelerators: 16})
		// Workers with almost the same free capacity share a bucket, of which the first search examines only a part.
		least := rapid.SampledFrom([]int64{0, 100_000}).Draw(t, "least")
		n := rapid.IntRange(1, 90).Draw(t, "workers")
		x.grow(n)
		vector := rapid.Custom(func(t *rapid.T) resource.Vector {
			return resource.Vector{
				MilliCPU:     rapid.Int64Range(least, 100_000+least/20).Draw(t, "cpu"),
				MemoryBytes:  rapid.Int64Range(least<<20, 1<<37).Draw(t, "memory"),
				Accelerators: rapid.Int64Range(0, 16).Draw(t, "accelerators"),
			}
		})
		for range 3 {
			for i := range n {
				x.set(int32(i), vector.Draw(t, "free"), rapid.IntRange(0, 4).Draw(t, "usable") > 0)
			}
		}
		need, avoid := vector.Draw(t, "need"), int32(rapid.IntRange(-1, n-1).Draw(t, "avoid"))
		possible := false
		for i := range n {
			possible = possible || (int32(i) != avoid && x.bucket[i] != notIndexed && need.Fits(x.free[i]))
		}
		found := x.find(score.BestFit{}, need, avoid)
		assert.Equal(t, found >= 0, possible)
		if found >= 0 {
			assert.Assert(t, need.Fits(x.free[found]) && found != avoid && x.bucket[found] != notIndexed)
		}
	})
}

// TestIndexFallsBackToFullBucketScan guards against a task that waits although it fits on one worker, because most workers in
// the same large bucket are slightly too small.
func TestIndexFallsBackToFullBucketScan(t *testing.T) {
	var x capacityIndex
	x.setScale(resource.Vector{MilliCPU: 64_000, MemoryBytes: 1 << 37})
	const workers = 4 * boundaryScan
	x.grow(workers)
	for i := range int32(workers) {
		x.set(i, resource.Vector{MilliCPU: 9_000, MemoryBytes: 1 << 33}, true)
	}
	x.set(0, resource.Vector{MilliCPU: 9_001, MemoryBytes: 1 << 33}, true)
	need := resource.Vector{MilliCPU: 9_001, MemoryBytes: 1 << 33}
	assert.Equal(t, x.find(score.BestFit{}, need, -1), int32(0))
	assert.Equal(t, x.find(score.BestFit{}, need, 0), int32(-1))
}

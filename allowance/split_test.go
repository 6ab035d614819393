package allowance

import (
	"fmt"
	"math/big"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"siskinstack.example/siskinstack/resource"
)

func genVector(t *rapid.T, name string, limit int64) resource.Vector {
	one := rapid.Int64Range(0, limit)
	return resource.Vector{
		MilliCPU:     one.Draw(t, name+" cpu"),
		MemoryBytes:  one.Draw(t, name+" memory"),
		Accelerators: one.Draw(t, name+" accelerators"),
	}
}

// Guards against grants above the ceiling, targets above a lowered ceiling, and targets that grow while they exist.
func TestSplitArithmetic(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var shards []string
		for i := range rapid.IntRange(1, 5).Draw(rt, "shards") {
			shards = append(shards, fmt.Sprintf("s%d", i))
		}
		split := Initial(1, genVector(rt, "ceiling", 1000), shards)
		for version := int64(2); version < 30; version++ {
			shard := rapid.SampledFrom(shards).Draw(rt, "shard")
			before := split
			switch rapid.IntRange(0, 2).Draw(rt, "step") {
			case 0:
				split = split.Raise(shard, genVector(rt, "addition", 500))
				assert.Assert(rt, split.Sum().Fits(before.Sum().Max(split.Ceiling)))
			case 1:
				split = split.Lower(shard, genVector(rt, "to", 500))
			case 2:
				split = split.WithCeiling(version, genVector(rt, "ceiling", 1000))
			}
			var limits resource.Vector
			for _, shard := range shards {
				limits = limits.Add(split.Limit(shard))
				if before.Targets != nil && split.Targets != nil {
					assert.Assert(rt, split.Targets[shard].Fits(before.Targets[shard]))
				}
			}
			assert.Assert(rt, limits.Fits(split.Ceiling), "limits %v above ceiling %v", limits, split.Ceiling)
			value, err := split.Encode("lab", "w")
			assert.NilError(rt, err)
			decoded, err := Decode("lab", value)
			assert.NilError(rt, err)
			assert.Assert(rt, decoded.equal(split))
		}
	})
}

// Guards against overflow when byte counts are multiplied.
func TestScaleAgainstBigIntegers(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		total := rapid.Int64Range(1, 1<<62).Draw(rt, "total")
		amount := rapid.Int64Range(0, total).Draw(rt, "amount")
		ceiling := rapid.Int64Range(0, total).Draw(rt, "ceiling")
		want := new(big.Int).Mul(big.NewInt(amount), big.NewInt(ceiling))
		want.Div(want, big.NewInt(total))
		assert.Equal(rt, scaleOne(amount, ceiling, total), want.Int64())
	})
}

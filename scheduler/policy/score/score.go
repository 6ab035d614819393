// Package score ranks the workers that can run a task.
package score

import "siskinstack.example/siskinstack/resource"

// BestFit prefers the worker with the least free capacity left, so that workers with much free capacity remain for large
// tasks.
type BestFit struct{}

// Score returns the free capacity left after placement as a share of scale, summed over the dimensions. Lower is better.
func (BestFit) Score(free, need, scale resource.Vector) float64 {
	left := free.Sub(need)
	return part(left.MilliCPU, scale.MilliCPU) + part(left.MemoryBytes, scale.MemoryBytes) +
		part(left.Accelerators, scale.Accelerators)
}

func part(amount, scale int64) float64 {
	if scale <= 0 {
		return 0
	}
	return float64(amount) / float64(scale)
}

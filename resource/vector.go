// Package resource defines the vector of resources that tasks request and workers provide.
package resource

import (
	"fmt"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
)

// Dimensions is the number of resource types.
const Dimensions = 3

// Vector is an amount of each resource type.
type Vector struct {
	MilliCPU     int64
	MemoryBytes  int64
	Accelerators int64
}

// FromProto converts a message; nil becomes the zero vector.
func FromProto(r *siskinv1.Resources) Vector {
	return Vector{
		MilliCPU:     r.GetMilliCpu(),
		MemoryBytes:  r.GetMemoryBytes(),
		Accelerators: r.GetAccelerators(),
	}
}

// Proto converts v to its message.
func (v Vector) Proto() *siskinv1.Resources {
	return &siskinv1.Resources{
		MilliCpu:     v.MilliCPU,
		MemoryBytes:  v.MemoryBytes,
		Accelerators: v.Accelerators,
	}
}

// Add returns v + w.
func (v Vector) Add(w Vector) Vector {
	return Vector{v.MilliCPU + w.MilliCPU, v.MemoryBytes + w.MemoryBytes, v.Accelerators + w.Accelerators}
}

// Sub returns v - w, which may be negative.
func (v Vector) Sub(w Vector) Vector {
	return Vector{v.MilliCPU - w.MilliCPU, v.MemoryBytes - w.MemoryBytes, v.Accelerators - w.Accelerators}
}

// Scale returns v times n.
func (v Vector) Scale(n int64) Vector {
	return Vector{v.MilliCPU * n, v.MemoryBytes * n, v.Accelerators * n}
}

// Fits reports whether v is at most limit in every dimension.
func (v Vector) Fits(limit Vector) bool {
	return v.MilliCPU <= limit.MilliCPU && v.MemoryBytes <= limit.MemoryBytes && v.Accelerators <= limit.Accelerators
}

// Max returns the larger amount in each dimension.
func (v Vector) Max(w Vector) Vector {
	return Vector{max(v.MilliCPU, w.MilliCPU), max(v.MemoryBytes, w.MemoryBytes), max(v.Accelerators, w.Accelerators)}
}

// Min returns the smaller amount in each dimension.
func (v Vector) Min(w Vector) Vector {
	return Vector{min(v.MilliCPU, w.MilliCPU), min(v.MemoryBytes, w.MemoryBytes), min(v.Accelerators, w.Accelerators)}
}

// IsZero reports whether every amount is zero.
func (v Vector) IsZero() bool { return v == Vector{} }

// IsNegative reports whether any amount is below zero.
func (v Vector) IsNegative() bool {
	return v.MilliCPU < 0 || v.MemoryBytes < 0 || v.Accelerators < 0
}

// DominantShare returns the largest share of total that v takes in any dimension. Dimensions in which total is not
// positive do not count.
func (v Vector) DominantShare(total Vector) float64 {
	share := ratio(v.MilliCPU, total.MilliCPU)
	share = max(share, ratio(v.MemoryBytes, total.MemoryBytes))
	return max(share, ratio(v.Accelerators, total.Accelerators))
}

func ratio(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// String formats the amounts with their units.
func (v Vector) String() string {
	return fmt.Sprintf("%dm cpu, %d bytes, %d accelerators", v.MilliCPU, v.MemoryBytes, v.Accelerators)
}

// Package filter decides the allocation of a task on a worker, and so whether the worker can take it.
package filter

import "siskinstack.example/siskinstack/resource"

// Learned takes the declared size, enlarged to the learned one as far as the capacity of the worker allows.
type Learned struct{}

// Need returns the allocation of a task on a worker with the given capacity.
func (Learned) Need(declared, learned, capacity resource.Vector) resource.Vector {
	return declared.Max(learned.Min(capacity))
}

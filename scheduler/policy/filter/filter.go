// Package filter decides how much room a task takes on a worker, and so whether the worker can take it.
package filter

import "siskinstack.example/siskinstack/resource"

// Learned takes the declared size, enlarged to the learned one as far as the worker has room for it.
type Learned struct{}

// Need returns the room that a task takes on a worker with the given total room.
func (Learned) Need(declared, learned, room resource.Vector) resource.Vector {
	return declared.Max(learned.Min(room))
}

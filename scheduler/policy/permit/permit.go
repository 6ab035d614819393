// Package permit decides whether a team may run more work.
package permit

import "siskinstack.example/siskinstack/resource"

// Limit permits work up to the team's limit in every dimension.
type Limit struct{}

// Permit reports whether need may be added to running.
func (Limit) Permit(running, need, limit resource.Vector) bool {
	return running.Add(need).Fits(limit)
}

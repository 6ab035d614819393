package dispatch

import "time"

// Features are the decisions under heavy load that a deployment's settings switch on. The zero value switches all of them
// off. docs/design describes them.
type Features struct {
	// AdviceBudget plans the advisor's time by the price of each call.
	AdviceBudget bool
	// UsageHalfLife is the half-life of a team's past use of resources, which orders teams under contention; 0 counts only what
	// runs now.
	UsageHalfLife time.Duration
	// RunEstimates learns run times and the speeds of workers.
	RunEstimates bool
	// CostedStops stops running tasks only if no further advice could open enough free capacity, and the cheapest first.
	CostedStops bool
}

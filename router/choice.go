package router

import "math/rand/v2"

// selector picks one of the endpoints with room; there is at least one.
type selector func(random *rand.Rand, open []*endpoint) *endpoint

// powerOfTwoChoices takes the less loaded of two random endpoints, by own calls in flight plus what the others had in flight
// when the endpoint last said so. docs/policies/endpoint-choice.md weighs it against the alternatives.
func powerOfTwoChoices(random *rand.Rand, open []*endpoint) *endpoint {
	if len(open) == 1 {
		return open[0]
	}
	i := random.IntN(len(open))
	j := random.IntN(len(open) - 1)
	if j >= i {
		j++
	}
	if open[j].load() < open[i].load() {
		return open[j]
	}
	return open[i]
}

package router

import "math/rand/v2"

// selector picks one of the endpoints with room; there is at least one.
type selector func(random *rand.Rand, candidates []*endpoint) *endpoint

// powerOfTwoChoices takes the less loaded of two random endpoints, by own calls in flight plus what the others had in flight
// when the endpoint last said so. docs/policies/endpoint-choice.md weighs it against the alternatives.
func powerOfTwoChoices(random *rand.Rand, candidates []*endpoint) *endpoint {
	if len(candidates) == 1 {
		return candidates[0]
	}
	i := random.IntN(len(candidates))
	j := random.IntN(len(candidates) - 1)
	if j >= i {
		j++
	}
	if candidates[j].load() < candidates[i].load() {
		return candidates[j]
	}
	return candidates[i]
}

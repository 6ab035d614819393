package router

import "math/rand/v2"

// selector picks one of the candidates, the endpoints with a free slot; there is at least one.
type selector func(random *rand.Rand, candidates []*endpoint) *endpoint

// powerOfTwoChoices picks the less loaded of two random endpoints, by endpoint.load.
// docs/policies/endpoint-choice.md compares it with the alternatives.
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

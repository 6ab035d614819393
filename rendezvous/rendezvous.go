// Package rendezvous orders nodes for a key by highest-random-weight hashing: every process that knows the same nodes
// computes the same order, and removing a node changes the first node only of the keys that had it first.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// separator makes ("ab", "c") and ("a", "bc") differ; node names and the parts of keys do not contain it.
const separator = "\x00"

// Key joins parts into one key.
func Key(parts ...string) string {
	joined := ""
	for _, part := range parts {
		joined += part + separator
	}
	return joined
}

// Order returns nodes by decreasing weight for key. Equal weights are ordered by name.
func Order(key string, nodes []string) []string {
	ordered := slices.Clone(nodes)
	slices.SortFunc(ordered, func(a, b string) int {
		if c := cmp.Compare(weight(key, b), weight(key, a)); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
	return ordered
}

// Pick returns the first node of Order, or "" if there are no nodes.
func Pick(key string, nodes []string) string {
	best := ""
	var bestWeight uint64
	for _, node := range nodes {
		w := weight(key, node)
		if best == "" || w > bestWeight || (w == bestWeight && node < best) {
			best, bestWeight = node, w
		}
	}
	return best
}

func weight(key, node string) uint64 {
	return xxhash.Sum64String(key + separator + node)
}

// Package testseed makes property tests reproducible. Test packages import it for its side effect; the flag -rapid.seed
// selects another seed.
package testseed

import (
	"flag"

	_ "pgregory.net/rapid" // registers the flag
)

// seed is the default seed of all property tests, so that every run gives the same result.
const seed = "20261204"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
}

package allowance

import (
	"flag"
	"os"
	"testing"
)

// modelChecks is the number of random runs of each model test; -rapid.checks overrides it. Some broken rules are detected
// only after several hundred runs.
const modelChecks = "1500"

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.checks", modelChecks); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

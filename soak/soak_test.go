package soak

import (
	"flag"
	"fmt"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// seeds are run by default. Seeds that have failed stay here, with the cause.
var seeds = []uint64{
	1,
	1007, // a controller started tasks before it knew the team's ceiling
	1020, // the same, after all machines were killed
	1022, // a restarted worker was told to discard ended runs that nobody had received
	4025, // a cancellation was shown before it was durable
	100,  // tasks that crash their workers were started without end, and jobs beside them did not end
	firstHeavyLoadSeed, firstHeavyLoadSeed + 1,
}

// restartSeeds are run by default with workers that restart silently.
var restartSeeds = []uint64{
	7202, // ends that nobody had received were acknowledged
	7204, // an order under way to a worker that was listed as ended was taken by the next incarnation
}

// firstHeavyLoadSeed is the first seed whose machines have the decisions under heavy load switched on.
const firstHeavyLoadSeed = 5000

var (
	// If freshSeeds is positive, that many seeds from firstSeed replace the default seeds.
	freshSeeds  = flag.Uint64("soak.fresh", 0, "number of fresh seeds to run instead of the default ones")
	firstSeed   = flag.Uint64("soak.first", 1, "first of the fresh seeds")
	concurrency = flag.Int("soak.at-once", len(seeds), "number of concurrent runs, each with three machines")
	keepDir     = flag.String("soak.dir", "", "directory in which settings and logs are kept")
)

// selectedSeeds returns the seeds that the flags select, or the given ones.
func selectedSeeds(byDefault []uint64) []uint64 {
	selected := slices.Clone(byDefault)
	if *freshSeeds > 0 {
		selected = nil
	}
	for i := range *freshSeeds {
		selected = append(selected, *firstSeed+i)
	}
	return selected
}

// TestPromisesHoldBetweenProcesses guards against violations of the guarantees between real processes, while faults follow
// one another and overlap.
func TestPromisesHoldBetweenProcesses(t *testing.T) {
	runSeeds(t, selectedSeeds(seeds), Options{Machines: 3, Faults: 12, Length: 10 * time.Second})
}

// Guards against tasks that run twice because a worker that is back under its ID takes orders for its former incarnation, and its
// answers overtake each other.
func TestPromisesHoldWhileWorkersRestartSilently(t *testing.T) {
	runSeeds(t, selectedSeeds(restartSeeds), Options{Machines: 3, SilentRestarts: 9, Length: 10 * time.Second})
}

// runSeeds runs seeds with the given options.
func runSeeds(t *testing.T, selected []uint64, options Options) {
	options.Dir = *keepDir
	if options.Dir == "" {
		options.Dir = t.TempDir()
	}
	options.Binary = filepath.Join(t.TempDir(), "siskind")
	output, err := exec.Command("go", "build", "-o", options.Binary, "../cmd/siskind").CombinedOutput()
	assert.NilError(t, err, "%s", output)
	slots := make(chan struct{}, max(1, *concurrency))
	for _, seed := range selected {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			options := options
			options.Seed = seed
			report, err := Run(t.Context(), options)
			assert.NilError(t, err)
			t.Logf("%+v", report)
			assert.Equal(t, len(report.Violations), 0, "%s\n%s", strings.Join(report.Faults, "\n"), strings.Join(report.Violations, "\n"))
			assert.Assert(t, report.Accepted > 0 && report.Completed > 0)
		})
	}
}

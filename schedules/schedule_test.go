package schedules

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"siskinstack.example/siskinstack/standin"
)

const (
	// settleTime bounds the time from the last fault until all work has ended.
	settleTime = 4 * time.Minute
	// quietTime is a final wait before the checks, during which the state must not change.
	quietTime = 3 * time.Second
	// firstSeed and defaultSchedules define the schedules of a run without the environment variables.
	firstSeed        = 1
	defaultSchedules = 100
	// schedulesVariable overrides the number of schedules, seedVariable the first seed.
	schedulesVariable = "SISKIN_SCHEDULES"
	seedVariable      = "SISKIN_FIRST_SEED"
)

// outcome is the result of one schedule.
type outcome struct {
	failures []string
	notes    []string
	settled  time.Duration
	accepted int
	runs     int
}

// runSchedule runs the schedule of a seed. The caller provides the synctest bubble.
func runSchedule(t *testing.T, seed uint64, broken brokenRules) outcome {
	random := rand.New(rand.NewPCG(seed, 3))
	s := newSite(t, seed, broken)
	s.store.SetFaultsFor("", standin.StoreFaults{})
	faults := drawFaults(s, random)
	var submitted []*job
	for i := range jobs {
		submitted = append(submitted, drawJob(random, i, workWithin))
	}
	return s.run(faults, submitted)
}

// run injects the faults, submits the work, waits until all work has ended, and checks the guarantees.
func (s *site) run(faults []*fault, submitted []*job) outcome {
	ctx, stop := context.WithCancel(context.Background())
	var sampler, actions sync.WaitGroup
	sampler.Go(func() { s.sample(ctx) })
	for _, f := range faults {
		actions.Go(func() { f.inject(s) })
	}
	for _, j := range submitted {
		actions.Go(func() { s.runJob(j) })
	}
	actions.Wait()
	settled := s.settle(submitted)
	time.Sleep(quietTime)
	stop()
	sampler.Wait()
	s.checkEnds(submitted)
	s.checkRuns(submitted)
	s.close()
	out := outcome{failures: s.failures, notes: s.notes, settled: settled, runs: len(s.workers.Runs())}
	for _, j := range submitted {
		if j.accepted {
			out.accepted++
		}
	}
	return out
}

// settle resubmits work of unknown acceptance and waits until all accepted work has ended.
func (s *site) settle(submitted []*job) time.Duration {
	began := time.Now()
	for time.Since(began) < settleTime {
		open := 0
		for _, j := range submitted {
			if j.unknown && !j.accepted {
				s.submit(j)
			}
			if j.accepted && !s.hasEnded(j) || j.unknown && !j.accepted {
				open++
			}
		}
		if open == 0 {
			break
		}
		time.Sleep(time.Second)
	}
	return time.Since(began)
}

func (o outcome) report(seed uint64) string {
	return fmt.Sprintf("seed %d\n%s\nevents:\n%s", seed, strings.Join(o.failures, "\n"), strings.Join(o.notes, "\n"))
}

func envInt(name string, fallback int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil && n > 0 {
		return n
	}
	return fallback
}

// TestSchedules guards against faults that violate a guarantee only in combination or in a certain order. Each seed is
// one schedule; repeat a failed one with -run 'TestSchedules/seed=N$'.
func TestSchedules(t *testing.T) {
	first := envInt(seedVariable, firstSeed)
	for i := range envInt(schedulesVariable, defaultSchedules) {
		seed := uint64(first + i)
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				out := runSchedule(t, seed, brokenRules{})
				if len(out.failures) > 0 {
					t.Error(out.report(seed))
				}
				t.Logf("accepted %d, runs %d, settled in %v", out.accepted, out.runs, out.settled)
			})
		})
	}
}

// TestScheduleOfLostGangStart guards against a gang job that runs only partly because one start call goes to an
// unreachable worker: with seed 1552 this lasted 45 s.
func TestScheduleOfLostGangStart(t *testing.T) {
	const seed = 1552
	synctest.Test(t, func(t *testing.T) {
		if out := runSchedule(t, seed, brokenRules{}); len(out.failures) > 0 {
			t.Error(out.report(seed))
		}
	})
}

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
	// settleTime bounds the time after the last fault until all work has ended.
	settleTime = 4 * time.Minute
	// quietTime is a last wait in which nothing may change any more.
	quietTime = 3 * time.Second
	// firstSeed and defaultSchedules are the fixed set of schedules of an ordinary run.
	firstSeed        = 1
	defaultSchedules = 100
	// schedulesVariable sets another number of schedules, seedVariable another first seed.
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

// runSchedule plays the schedule of a seed inside a bubble.
func runSchedule(t *testing.T, seed uint64, broken breaks) outcome {
	random := rand.New(rand.NewPCG(seed, 3))
	s := newSite(t, seed, broken)
	s.store.SetFaultsFor("", standin.StoreFaults{})
	faults := drawFaults(s, random)
	var played []*job
	for i := range jobs {
		played = append(played, drawJob(random, i, workWithin))
	}
	return s.run(faults, played)
}

// run plays faults and work, waits until all work has ended, and checks.
func (s *site) run(faults []*fault, played []*job) outcome {
	ctx, stop := context.WithCancel(context.Background())
	var sampler, acts sync.WaitGroup
	sampler.Go(func() { s.sample(ctx) })
	for _, f := range faults {
		acts.Go(func() { f.play(s) })
	}
	for _, j := range played {
		acts.Go(func() { s.play(j) })
	}
	acts.Wait()
	settled := s.settle(played)
	time.Sleep(quietTime)
	stop()
	sampler.Wait()
	s.checkEnds(played)
	s.checkRuns(played)
	s.close()
	out := outcome{failures: s.failures, notes: s.notes, settled: settled, runs: len(s.workers.Runs())}
	for _, j := range played {
		if j.accepted {
			out.accepted++
		}
	}
	return out
}

// settle hands work in again whose acceptance is not known, and waits until all accepted work has ended.
func (s *site) settle(played []*job) time.Duration {
	began := time.Now()
	for time.Since(began) < settleTime {
		open := 0
		for _, j := range played {
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
	return fmt.Sprintf("seed %d\n%s\nwhat happened:\n%s", seed, strings.Join(o.failures, "\n"), strings.Join(o.notes, "\n"))
}

func fromEnvironment(name string, otherwise int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil && n > 0 {
		return n
	}
	return otherwise
}

// Guards against faults that break a promise only together or in a certain order. Each seed is one schedule; a failed
// one is repeated with -run 'TestSchedules/seed=N$'.
func TestSchedules(t *testing.T) {
	first := fromEnvironment(seedVariable, firstSeed)
	for i := range fromEnvironment(schedulesVariable, defaultSchedules) {
		seed := uint64(first + i)
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				out := runSchedule(t, seed, breaks{})
				if len(out.failures) > 0 {
					t.Error(out.report(seed))
				}
				t.Logf("accepted %d, runs %d, settled in %v", out.accepted, out.runs, out.settled)
			})
		})
	}
}

// TestScheduleOfLostGangStart guards against a gang job that runs in part because one start goes to an unreachable
// worker: seed 1552 showed one that did so for 45 s.
func TestScheduleOfLostGangStart(t *testing.T) {
	const seed = 1552
	synctest.Test(t, func(t *testing.T) {
		if out := runSchedule(t, seed, breaks{}); len(out.failures) > 0 {
			t.Error(out.report(seed))
		}
	})
}

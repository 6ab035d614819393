package soak

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// A worker is down for silentFor, which is less than the time between two reports, and is cut off restartedFor after its
	// return, when it has new tasks and has reported them.
	silentFor, restartedFor = 250 * time.Millisecond, 900 * time.Millisecond
	// silentRestartsInSeries is how often that happens in one fault.
	silentRestartsInSeries = 3
)

// restartSilently restarts the workers of a zone without a sign, and cuts them off soon after, several times. From the first
// such fault on, answers of all workers overtake each other. Tasks that last are at work.
func restartSilently(r *run, f Fault) (func() error, error) {
	r.platform.SetAnswerDelay(overtakingAnswers())
	r.jobs.lasting.Store(true)
	time.Sleep(lastingJobsFor)
	r.jobs.lasting.Store(false)
	var restarts sync.WaitGroup
	failures := make([]error, len(r.workers))
	for i := f.Target % len(zones); i < len(r.workers); i += len(zones) {
		restarts.Go(func() { failures[i] = r.restartAndCut(i, f.For/silentRestartsInSeries) })
	}
	restarts.Wait()
	return func() error { return nil }, errors.Join(failures...)
}

func (r *run) restartAndCut(worker int, cutFor time.Duration) error {
	for range silentRestartsInSeries {
		if err := r.platform.RestartSilently(context.Background(), worker, silentFor); err != nil {
			return err
		}
		time.Sleep(restartedFor)
		heal := setProxies(modeSilent, r.workers[worker])
		time.Sleep(cutFor)
		if err := heal(); err != nil {
			return err
		}
	}
	return nil
}

// overtakingAnswers returns delays of which every third is up to 480 ms.
func overtakingAnswers() func() time.Duration {
	const third, steps, step = 3, 7, 80 * time.Millisecond
	var answers atomic.Int64
	return func() time.Duration {
		n := answers.Add(1)
		if n%third != 0 {
			return 0
		}
		return time.Duration(n%steps) * step
	}
}

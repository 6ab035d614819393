package controller

import (
	"context"
	"errors"
	"sync"
	"time"

	"siskinstack.example/siskinstack/infra"
)

const (
	// maxCommitCalls is the maximum number of times that a commit is sent while its response is awaited. The store may
	// lose more than a third of its responses for seconds.
	maxCommitCalls = 4
	// hedgeFactor is the delay before a commit is sent a second time, as a multiple of the average latency; each further
	// delay is twice as long. The latency of a healthy store varies by less.
	hedgeFactor = 4
	// hedgeMin and hedgeMax bound that delay. A commit takes some milliseconds, and up to 450 ms in slow periods.
	hedgeMin = 60 * time.Millisecond
	hedgeMax = storeTimeout / 2
	// latencyWeight is the weight of one commit in the moving average of the latency.
	latencyWeight = 0.2
)

// commitLatency is the exponentially weighted moving average of the latency of commits.
type commitLatency struct {
	mu      sync.Mutex // guards average
	average time.Duration
}

func (c *commitLatency) observe(took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.average == 0 {
		c.average = took
	}
	c.average += time.Duration(latencyWeight * float64(took-c.average))
}

// resendDelay returns how long to wait for the response to a commit before sending it again.
func (c *commitLatency) resendDelay() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return min(max(hedgeFactor*c.average, hedgeMin), hedgeMax)
}

// commitAnswer is the result of one call for a commit.
type commitAnswer struct {
	revision infra.Revision
	err      error
}

// isFinal reports whether the answer settles the outcome of the commit.
func (a commitAnswer) isFinal() bool { return a.err == nil || errors.Is(a.err, infra.ErrConflict) }

// sendCommit sends a commit and sends it again while no response comes: the store may have lost the response. Only one of
// the calls can replace the head; the others fail with a conflict that shows the head's value.
func (t *term) sendCommit(ctx context.Context, txn infra.Txn) (infra.Revision, error) {
	transfer := transferTime(txn)
	call, cancel := context.WithTimeout(ctx, storeTimeout+transfer)
	defer cancel()
	answers := make(chan commitAnswer, maxCommitCalls)
	send := func() {
		t.goroutines.Go(func() {
			began := t.now()
			revision, err := t.Store.Commit(call, txn)
			if err == nil {
				t.latency.observe(t.now().Sub(began))
			}
			answers <- commitAnswer{revision, err}
		})
	}
	send()
	calls, waiting, resendDelay := 1, 1, t.latency.resendDelay()+transfer
	resendTimer := time.NewTimer(resendDelay)
	defer resendTimer.Stop()
	for {
		select {
		case a := <-answers:
			waiting--
			if a.isFinal() || waiting == 0 {
				return a.revision, a.err
			}
		case <-resendTimer.C:
			if calls < maxCommitCalls {
				send()
				calls++
				waiting++
				resendDelay *= 2
				resendTimer.Reset(resendDelay)
			}
		}
	}
}

package controller

import (
	"context"
	"errors"
	"sync"
	"time"

	"siskinstack.example/siskinstack/infra"
)

const (
	// maxCommitCalls is how often a commit is sent at most while its answers are waited for. The store may lose more than a
	// third of its answers for seconds.
	maxCommitCalls = 4
	// hedgeFactor is how many times the average time of a commit is waited before it is sent a second time; each further wait
	// is twice as long. Answers of a healthy store vary by less.
	hedgeFactor = 4
	// hedgeMin and hedgeMax bound that wait. A commit takes some milliseconds, and up to 450 ms in slow periods.
	hedgeMin = 60 * time.Millisecond
	hedgeMax = storeTimeout / 2
	// latencyWeight is how much one commit counts in the average time.
	latencyWeight = 0.2
)

// commitLatency is how long commits take.
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

// resendDelay is how long the answer to a commit is waited for before it is sent again.
func (c *commitLatency) resendDelay() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return min(max(hedgeFactor*c.average, hedgeMin), hedgeMax)
}

// commitAnswer is the result of one of the calls of a commit.
type commitAnswer struct {
	revision infra.Revision
	err      error
}

// isFinal reports whether the answer tells what has become of the commit.
func (a commitAnswer) isFinal() bool { return a.err == nil || errors.Is(a.err, infra.ErrConflict) }

// sendCommit sends a commit, and again while the answer is late: the store may have lost it. Only one of the calls can replace
// the head, and the others then show what it holds.
func (t *term) sendCommit(ctx context.Context, txn infra.Txn) (infra.Revision, error) {
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	answers := make(chan commitAnswer, maxCommitCalls)
	send := func() {
		t.tasks.Go(func() {
			began := t.now()
			revision, err := t.Store.Commit(call, txn)
			if err == nil {
				t.latency.observe(t.now().Sub(began))
			}
			answers <- commitAnswer{revision, err}
		})
	}
	send()
	calls, waiting, resendDelay := 1, 1, t.latency.resendDelay()
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

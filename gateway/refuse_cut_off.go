package gateway

import (
	"context"
	"net/http"
	"time"

	"siskinstack.example/siskinstack/controller"
	"siskinstack.example/siskinstack/refusal"
)

// probeTimeout bounds the read with which a refused call probes whether the cut has ended. In its slow periods the store
// answers within a quarter second.
const probeTimeout = 300 * time.Millisecond

// cutOffRetryAfter makes the four repetitions of a caller last for longer than an attempt that waits for the store.
const cutOffRetryAfter = time.Second

// Values of the call label of refusals.
const (
	callSubmit = "submit"
	callCancel = "cancel"
	callPhase  = "phase"
)

// refuseCutOff returns a refusal if the machine is cut off. One call at a time goes on as a probe: it reads the job's
// record, and is refused as well unless the read shows that the cut has ended.
//
// A change that may have taken effect is held until contact returns or its time is over, and only then refused: a refusal at
// once would have its caller use up all repetitions within a moment of an outage of the store. held is true if the change goes
// on after that.
func (g *Gateway) refuseCutOff(ctx context.Context, call, job string) (held bool, err error) {
	c := g.options.Contact
	if _, cutOff := c.CutOff(); !cutOff {
		return false, nil
	}
	if c.takeProbe() {
		read, cancel := context.WithTimeout(ctx, probeTimeout)
		_, _ = g.options.Store.Get(read, controller.JobKey(job))
		cancel()
		c.releaseProbe()
	}
	silent, cutOff := c.CutOff()
	if !cutOff {
		return false, nil
	}
	mayHaveRun := call != callPhase && !c.hasNoEffect(ctx, sentKey(call, job), silent)
	stated := "not_run"
	if mayHaveRun {
		stated = "unknown"
		for _, limited := ctx.Deadline(); limited && cutOff && ctx.Err() == nil; {
			_ = g.options.Clock.Sleep(ctx, contactCheckInterval)
			silent, cutOff = c.CutOff()
		}
		if !cutOff {
			return true, nil
		}
	}
	refused := g.refuse(job, refusal.CutOff, "neither the store nor the controller has answered for %d ms", silent.Milliseconds())
	refused.MayHaveRun = mayHaveRun
	refused.RetryAfter = cutOffRetryAfter
	c.refusals.WithLabelValues(call, stated).Inc()
	return false, refused
}

// takeProbe reports whether the caller may probe; it then has to call releaseProbe.
func (c *Contact) takeProbe() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	free := !c.probing
	c.probing = true
	return free
}

func (c *Contact) releaseProbe() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.probing = false
}

// hasNoEffect reports whether no write of any attempt can take effect for a call that is refused before a write is sent.
// That is so if
//   - no earlier attempt on this machine has sent one, and
//   - an attempt on another machine that ended without a certain answer began before the store fell silent: a caller
//     repeats such an attempt only after its timeout, which ctx still has before it.
func (c *Contact) hasNoEffect(ctx context.Context, key string, silent time.Duration) bool {
	c.mu.Lock()
	sent := c.sent.mayTakeEffect(key, c.clock.Now())
	c.mu.Unlock()
	end, limited := ctx.Deadline()
	return !sent && limited && silent+slowAnswer < time.Until(end)
}

// sentKey names the writes of a kind of call for a job: a submission that may take effect does not make the refusal of a
// cancellation uncertain.
func sentKey(call, job string) string { return call + " " + job }

// beginAttempt records an attempt that may send a write for a job, or refuses it if the machine is cut off. The returned
// function ends the attempt and returns its result: a refusal does not say "not run" if a write of another attempt may
// take effect.
func (g *Gateway) beginAttempt(ctx context.Context, call, job string) (end func(error) error, err error) {
	c := g.options.Contact
	if c == nil {
		return func(err error) error { return err }, nil
	}
	held, err := g.refuseCutOff(ctx, call, job)
	if err != nil {
		return nil, err
	}
	key := sentKey(call, job)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent.begin(key, c.clock.Now())
	return func(err error) error {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.sent.end(key, err != nil && refusal.From(err).NotRun())
		return c.qualify(key, held, err)
	}, nil
}

// qualifyUnverified returns a refusal of a call whose key cannot be verified. It does not say "not run" if an attempt to
// submit the job on this machine has sent a write that may take effect, or while the machine is cut off: the configuration
// is then so old that a caller can have repeated an attempt of another machine.
func (g *Gateway) qualifyUnverified(job string, refused *refusal.Error) *refusal.Error {
	c := g.options.Contact
	if c == nil {
		return refused
	}
	_, cutOff := c.CutOff()
	c.mu.Lock()
	defer c.mu.Unlock()
	refused.MayHaveRun = cutOff && job != "" || c.sent.mayTakeEffect(sentKey(callSubmit, job), c.clock.Now())
	return refused
}

// qualify withdraws "not run" from a refusal with status 503 or 429 if a write of an attempt on this machine may take
// effect, or if the call was held because one of another machine may. The caller holds mu.
func (c *Contact) qualify(key string, held bool, err error) error {
	if err == nil || !held && !c.sent.mayTakeEffect(key, c.clock.Now()) {
		return err
	}
	refused := refusal.From(err)
	if status := refused.Reason.Status(); status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		refused.MayHaveRun = true
	}
	return err
}

package daemon_test

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"siskinstack.example/siskinstack/apiclient"
	"siskinstack.example/siskinstack/refusal"
)

// probeFor goes on after keyTarget, so that a late acceptance is seen.
const probeFor = keyTarget + time.Second

// probed is what a VM answered to a key after its withdrawal.
type probed struct {
	// last is how long after the withdrawal was answered the last request with the key was answered; zero if none was.
	last time.Duration
	// reason is that of the last refusal.
	reason refusal.Reason
}

// withdrawAndProbe withdraws a key on the first VM while every VM gets requests with it.
func (c *cluster) withdrawAndProbe(key apiclient.IssuedKey) map[string]probed {
	results := map[string]probed{}
	var mu sync.Mutex // guards results
	var probes sync.WaitGroup
	_, err := c.operator(c.vms[0], "ann").WithdrawKey(c.t.Context(), key.ID)
	assert.NilError(c.t, err)
	withdrawn := time.Now()
	for _, m := range c.vms {
		probes.Go(func() {
			var p probed
			for time.Since(withdrawn) < probeFor {
				if err := c.send(m, key.Key); err == nil {
					p.last = time.Since(withdrawn)
				} else if reason := reasonOf(err); reason != "" {
					p.reason = reason
				}
				time.Sleep(pollPause)
			}
			mu.Lock()
			defer mu.Unlock()
			results[m.settings.GetVm()] = p
		})
	}
	probes.Wait()
	return results
}

// issueEverywhere issues a key and waits until every VM accepts it.
func (c *cluster) issueEverywhere() apiclient.IssuedKey {
	key, err := c.operator(c.vms[0], "ann").IssueKey(c.t.Context(), team)
	assert.NilError(c.t, err)
	for _, m := range c.vms {
		c.waitFor(keyTarget, "a new key", func() bool { return c.send(m, key.Key) == nil })
	}
	return key
}

func assertStopped(t *testing.T, name string, results map[string]probed) {
	t.Helper()
	for vm, p := range results {
		t.Logf("%s: %s accepted the key last %s after its withdrawal, then %s", name, vm, p.last.Round(time.Millisecond), p.reason)
		assert.Assert(t, p.last <= keyTarget, "%s: %s accepted the key %s after its withdrawal", name, vm, p.last)
	}
}

// Guards against a withdrawn key that goes on working on some VM: one that reaches everything, one that is cut off from the
// store, and one that is cut off from everything.
func TestWithdrawnKeyStopsWorking(t *testing.T) {
	t.Parallel()
	c := newCluster(t, unchanged)
	c.startAll()
	apart := c.vms[1]
	name := apart.settings.GetVm()

	results := c.withdrawAndProbe(c.issueEverywhere())
	assertStopped(t, "all reachable", results)
	for vm, p := range results {
		assert.Equal(t, p.reason, refusal.KeyWithdrawn, vm)
	}

	key := c.issueEverywhere()
	c.cutOffStore(apart)
	results = c.withdrawAndProbe(key)
	assertStopped(t, "one VM without the store", results)
	assert.Equal(t, results[name].reason, refusal.KeyWithdrawn, "the peers did not tell the VM")
	assert.NilError(t, c.send(apart, c.key), "a good key is refused although all peers confirm it")

	c.platform.Network.Heal(name, "store")
	key = c.issueEverywhere()
	c.cutOffStore(apart)
	c.cutOffPeers(apart)
	results = c.withdrawAndProbe(key)
	assertStopped(t, "one VM without the store and its peers", results)
	assert.Equal(t, results[name].reason, refusal.KeyUnverifiable)
	assert.Equal(t, reasonOf(c.send(apart, c.key)), refusal.KeyUnverifiable)
}

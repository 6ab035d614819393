package daemon_test

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"siskinstack.example/siskinstack/apiclient"
	"siskinstack.example/siskinstack/refusal"
)

// probeDuration exceeds keyTarget, so that a late acceptance is detected.
const probeDuration = keyTarget + time.Second

// probeResult is what a VM answered to a key after its withdrawal.
type probeResult struct {
	// lastAccepted is the time from the response to the withdrawal to the response to the last request that was accepted
	// with the key; zero if there was none.
	lastAccepted time.Duration
	// reason is the reason of the last refusal.
	reason refusal.Reason
}

// withdrawAndProbe withdraws a key on the first VM and then sends requests with it to every VM.
func (c *cluster) withdrawAndProbe(key apiclient.IssuedKey) map[string]probeResult {
	results := map[string]probeResult{}
	var mu sync.Mutex // guards results
	var probes sync.WaitGroup
	_, err := c.operator(c.vms[0], "ann").WithdrawKey(c.t.Context(), key.ID)
	assert.NilError(c.t, err)
	withdrawn := time.Now()
	for _, m := range c.vms {
		probes.Go(func() {
			var p probeResult
			for time.Since(withdrawn) < probeDuration {
				if err := c.send(m, key.Key); err == nil {
					p.lastAccepted = time.Since(withdrawn)
				} else if reason := reasonOf(err); reason != "" {
					p.reason = reason
				}
				time.Sleep(pollInterval)
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

func assertKeyRejected(t *testing.T, name string, results map[string]probeResult) {
	t.Helper()
	for vm, p := range results {
		t.Logf("%s: %s accepted the key last %s after its withdrawal, then %s", name, vm, p.lastAccepted.Round(time.Millisecond), p.reason)
		assert.Assert(t, p.lastAccepted <= keyTarget, "%s: %s accepted the key %s after its withdrawal", name, vm, p.lastAccepted)
	}
}

// Guards against a VM that accepts a key for longer than keyTarget after its withdrawal. The cases are VMs that reach the
// store and their peers, a VM partitioned from the store, and a VM partitioned from the store and its peers.
func TestWithdrawnKeyIsRejected(t *testing.T) {
	t.Parallel()
	c := newCluster(t, unchanged)
	c.startAll()
	isolated := c.vms[1]
	name := isolated.settings.GetVm()

	results := c.withdrawAndProbe(c.issueEverywhere())
	assertKeyRejected(t, "all reachable", results)
	for vm, p := range results {
		assert.Equal(t, p.reason, refusal.KeyWithdrawn, vm)
	}

	key := c.issueEverywhere()
	c.cutOffStore(isolated)
	results = c.withdrawAndProbe(key)
	assertKeyRejected(t, "one VM without the store", results)
	assert.Equal(t, results[name].reason, refusal.KeyWithdrawn, "the peers did not report the withdrawal to the VM")
	assert.NilError(t, c.send(isolated, c.key), "a valid key is refused although all peers confirm it")

	c.platform.Network.Heal(name, "store")
	key = c.issueEverywhere()
	c.cutOffStore(isolated)
	c.cutOffPeers(isolated)
	results = c.withdrawAndProbe(key)
	assertKeyRejected(t, "one VM without the store and its peers", results)
	assert.Equal(t, results[name].reason, refusal.KeyUnverifiable)
	assert.Equal(t, reasonOf(c.send(isolated, c.key)), refusal.KeyUnverifiable)
}

package daemon_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/configstore"
	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/refusal"
	"siskinstack.example/siskinstack/standin"
)

// slowStoreDelay is ten times the 5 ms that a store call may usually take.
const slowStoreDelay = 50 * time.Millisecond

// lostResponses is the number of consecutive writes that take effect but whose responses are lost.
const lostResponses = 6

// Guards against a bundle that comes into force late when the store is healthy, slow or loses responses.
func TestBundleIsInForceInTime(t *testing.T) {
	t.Parallel()
	c := newCluster(t, unchanged)
	c.startAll()
	faults := []struct {
		name   string
		faults standin.StoreFaults
	}{
		{"store up", standin.StoreFaults{}},
		{"ten times the delay", standin.StoreFaults{Delay: slowStoreDelay}},
		{"lost answers", standin.StoreFaults{LoseResponses: lostResponses}},
	}
	for i, test := range faults {
		version := int64(i + 2)
		c.platform.Store.SetFaults(test.faults)
		began := time.Now()
		err := c.signOff(c.vms[i], "cem", c.site.Bundle(version))
		assert.NilError(t, err, test.name)
		c.waitInForce(version, bundleTarget, c.vms...)
		took := time.Since(began)
		assert.Assert(t, took < bundleTarget, "%s: %s from proposal to being in force", test.name, took)
		t.Logf("%s: in force on all VMs %s after the proposal", test.name, took.Round(time.Millisecond))
		c.platform.Store.ClearFaults()
	}
}

// Guards against concurrent proposals or sign-offs of one version that both succeed, and against a losing operator who gets
// no conflict.
func TestConcurrentOperatorsConflict(t *testing.T) {
	t.Parallel()
	c := newCluster(t, unchanged)
	c.startAll()
	for version := int64(2); version <= 4; version++ {
		proposals := runConcurrently(2, func(i int) (*siskinv1.BundleProposal, error) {
			b := c.site.Bundle(version)
			b.Comment = fmt.Sprint("proposal ", i)
			return c.operator(c.vms[i], []string{"ann", "bob"}[i]).ProposeBundle(t.Context(), b, "")
		})
		author, proposal := onlySuccess(t, proposals)
		reviewer := []string{"bob", "ann"}[author]
		proposal, err := c.operator(c.vms[2], reviewer).ReviewBundle(t.Context(), version, proposal.GetContentSha256())
		assert.NilError(t, err)
		signed := runConcurrently(2, func(i int) (string, error) {
			signer := []string{"cem", "dia"}[i]
			return signer, c.sign(t.Context(), c.vms[i], signer, proposal)
		})
		_, signer := onlySuccess(t, signed)
		c.waitInForce(version, bundleTarget, c.vms...)
		for _, m := range c.vms {
			inForce, err := c.operator(m, "ann").Bundle(t.Context(), version)
			assert.NilError(t, err)
			assert.Equal(t, inForce.GetSigner(), signer)
			assert.Equal(t, inForce.GetBundle().GetComment(), proposal.GetBundle().GetComment())
		}
	}
}

type outcome[T any] struct {
	value T
	err   error
}

func runConcurrently[T any](count int, call func(i int) (T, error)) []outcome[T] {
	outcomes := make([]outcome[T], count)
	var all sync.WaitGroup
	for i := range outcomes {
		all.Go(func() { outcomes[i].value, outcomes[i].err = call(i) })
	}
	all.Wait()
	return outcomes
}

// onlySuccess returns the only successful outcome; all others have to be conflicts.
func onlySuccess[T any](t *testing.T, outcomes []outcome[T]) (int, T) {
	t.Helper()
	successful := -1
	for i, o := range outcomes {
		if o.err == nil {
			assert.Equal(t, successful, -1, "more than one call succeeded")
			successful = i
			continue
		}
		assert.Equal(t, reasonOf(o.err), refusal.Conflict, "%v", o.err)
	}
	assert.Assert(t, successful >= 0, "no call succeeded: %v", outcomes)
	return successful, outcomes[successful].value
}

// Guards against a VM that starts during a store outage without a bundle or with an older one than its peers, and against a
// rollback when an old signed bundle is written to the store.
func TestRestartWithoutStoreUsesBundleOfPeers(t *testing.T) {
	t.Parallel()
	c := newCluster(t, unchanged)
	c.startAll()
	old, err := c.platform.Store.Get(t.Context(), configstore.BundleCurrent)
	assert.NilError(t, err)
	assert.NilError(t, c.signOff(c.vms[0], "cem", c.site.Bundle(2)))
	c.waitInForce(2, bundleTarget, c.vms...)
	stop := c.watchVersions()
	c.kill(c.vms[1])
	c.platform.Store.SetFaults(standin.StoreFaults{Down: true})
	c.start(c.vms[1])
	took := c.waitInForce(2, bundleTarget, c.vms...)
	t.Logf("restarted VM has the bundle of its peers after %s", took.Round(time.Millisecond))
	c.platform.Store.ClearFaults()
	current, err := c.platform.Store.Get(t.Context(), configstore.BundleCurrent)
	assert.NilError(t, err)
	_, err = c.platform.Store.Put(t.Context(), infra.PutRequest{
		Key: configstore.BundleCurrent, Value: old.Value, Expected: current.Revision,
	})
	assert.NilError(t, err)
	// Long enough for two watches of the view, each of which the store holds open for up to 600 ms.
	time.Sleep(1500 * time.Millisecond)
	for vm, versions := range stop() {
		assert.Equal(t, len(versions), 1, "%s had the versions %v in force", vm, versions)
		assert.Assert(t, versions[2], "%s had the versions %v in force", vm, versions)
	}
}

// watchVersions collects the versions that each VM has in force until stop is called.
func (c *cluster) watchVersions() (stop func() map[string]map[int64]bool) {
	ctx, cancel := context.WithCancel(c.t.Context())
	seen := map[string]map[int64]bool{}
	var mu sync.Mutex // guards seen
	var watchers sync.WaitGroup
	for _, m := range c.vms {
		seen[m.settings.GetVm()] = map[int64]bool{}
	}
	for _, m := range c.vms {
		watchers.Go(func() {
			for ctx.Err() == nil {
				// 0 means that the VM does not answer or has no bundle yet.
				if version := c.version(m); version != 0 {
					mu.Lock()
					seen[m.settings.GetVm()][version] = true
					mu.Unlock()
				}
				time.Sleep(pollInterval)
			}
		})
	}
	return func() map[string]map[int64]bool {
		cancel()
		watchers.Wait()
		return seen
	}
}

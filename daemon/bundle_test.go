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

// slowStore is ten times the 5 ms that a store call may usually take.
const slowStore = 50 * time.Millisecond

// lostAnswers is the number of writes in a row whose answers are lost.
const lostAnswers = 6

// Guards against a bundle that comes into force late when the store is well, slow, or loses answers.
func TestBundleIsInForceInTime(t *testing.T) {
	t.Parallel()
	c := newCluster(t, unchanged)
	c.startAll()
	faults := []struct {
		name   string
		faults standin.StoreFaults
	}{
		{"store up", standin.StoreFaults{}},
		{"ten times the delay", standin.StoreFaults{Delay: slowStore}},
		{"lost answers", standin.StoreFaults{LoseResponses: lostAnswers}},
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

// Guards against two operators who both are told that they have won, and against one who is told neither.
func TestRacingOperatorsHaveOneWinner(t *testing.T) {
	t.Parallel()
	c := newCluster(t, unchanged)
	c.startAll()
	for version := int64(2); version <= 4; version++ {
		proposals := race(2, func(i int) (*siskinv1.BundleProposal, error) {
			b := c.site.Bundle(version)
			b.Comment = fmt.Sprint("proposal ", i)
			return c.operator(c.vms[i], []string{"ann", "bob"}[i]).ProposeBundle(t.Context(), b, "")
		})
		author, proposal := winner(t, proposals)
		reviewer := []string{"bob", "ann"}[author]
		proposal, err := c.operator(c.vms[2], reviewer).ReviewBundle(t.Context(), version, proposal.GetContentSha256())
		assert.NilError(t, err)
		signed := race(2, func(i int) (string, error) {
			signer := []string{"cem", "dia"}[i]
			return signer, c.sign(t.Context(), c.vms[i], signer, proposal)
		})
		_, signer := winner(t, signed)
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

func race[T any](count int, call func(i int) (T, error)) []outcome[T] {
	outcomes := make([]outcome[T], count)
	var all sync.WaitGroup
	for i := range outcomes {
		all.Go(func() { outcomes[i].value, outcomes[i].err = call(i) })
	}
	all.Wait()
	return outcomes
}

// winner returns the only good outcome; all others have to be conflicts.
func winner[T any](t *testing.T, outcomes []outcome[T]) (int, T) {
	t.Helper()
	won := -1
	for i, o := range outcomes {
		if o.err == nil {
			assert.Equal(t, won, -1, "two winners")
			won = i
			continue
		}
		assert.Equal(t, reasonOf(o.err), refusal.Conflict, "%v", o.err)
	}
	assert.Assert(t, won >= 0, "no winner: %v", outcomes)
	return won, outcomes[won].value
}

// Guards against a VM that starts while the store is away and has no bundle, or an older one than its peers, and against one
// that goes back when an old signed bundle is written into the store.
func TestRestartWithoutTheStoreTakesTheBundleOfThePeers(t *testing.T) {
	t.Parallel()
	c := newCluster(t, unchanged)
	c.startAll()
	old, err := c.platform.Store.Get(t.Context(), configstore.BundleCurrent)
	assert.NilError(t, err)
	assert.NilError(t, c.signOff(c.vms[0], "cem", c.site.Bundle(2)))
	c.waitInForce(2, bundleTarget, c.vms...)
	stop := c.watchVersions()
	c.end(c.vms[1])
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
	// The view polls the store every 600 ms at most.
	time.Sleep(1500 * time.Millisecond)
	for vm, versions := range stop() {
		assert.Equal(t, len(versions), 1, "%s had the versions %v in force", vm, versions)
		assert.Assert(t, versions[2], "%s had the versions %v in force", vm, versions)
	}
}

// watchVersions collects the versions that each VM has in force until the returned function is called.
func (c *cluster) watchVersions() (stop func() map[string]map[int64]bool) {
	ctx, cancel := context.WithCancel(c.t.Context())
	seen := map[string]map[int64]bool{}
	var mu sync.Mutex // guards seen
	var watchers sync.WaitGroup
	for _, m := range c.vms {
		seen[m.settings.GetVm()] = map[int64]bool{}
		watchers.Go(func() {
			for ctx.Err() == nil {
				// 0 is a VM that does not answer or has no bundle yet.
				if version := c.version(m); version != 0 {
					mu.Lock()
					seen[m.settings.GetVm()][version] = true
					mu.Unlock()
				}
				time.Sleep(pollPause)
			}
		})
	}
	return func() map[string]map[int64]bool {
		cancel()
		watchers.Wait()
		return seen
	}
}

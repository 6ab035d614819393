package daemon_test

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"siskinstack.example/siskinstack/configstore"
	"siskinstack.example/siskinstack/infra"
)

// purgeLimit is twice the shortest interval between purge runs, plus time for a run.
const purgeLimit = 25 * time.Second

// Guards against a daemon that never purges old proposals, or that purges proposals which are still needed.
func TestDaemonPurgesOldProposals(t *testing.T) {
	t.Parallel()
	c := newCluster(t, unchanged)
	c.startAll()
	const old = 3
	last := int64(configstore.RetainedVersions + old)
	for version := int64(2); version <= last; version++ {
		assert.NilError(t, c.signOff(c.vms[0], "cem", c.site.Bundle(version)))
	}
	_, err := c.operator(c.vms[1], "ann").ProposeBundle(t.Context(), c.site.Bundle(last+1), "")
	assert.NilError(t, err)
	exists := func(key string) bool {
		_, err := c.platform.Store.Get(t.Context(), key)
		assert.Assert(t, err == nil || errors.Is(err, infra.ErrNotFound), "%v", err)
		return err == nil
	}
	took := c.waitFor(purgeLimit, "the purge", func() bool { return !exists(configstore.Proposal(old)) })
	t.Logf("old proposals purged %s after the last sign-off", took.Round(time.Millisecond))
	for version := int64(old + 1); version <= last+1; version++ {
		assert.Assert(t, exists(configstore.Proposal(version)), "proposal %d was purged", version)
	}
	assert.Assert(t, exists(configstore.BundleCurrent))
	c.waitInForce(last, bundleTarget, c.vms...)
}

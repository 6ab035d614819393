package configview

import (
	"strings"
	"testing"

	"github.com/go-logr/logr/funcr"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"gotest.tools/v3/assert"

	"siskinstack.example/siskinstack/configstore"
	"siskinstack.example/siskinstack/infra"
)

func (m *vm) logTo(lines *[]string) {
	m.view.options.Logger = funcr.New(func(_, line string) { *lines = append(*lines, line) }, funcr.Options{})
}

// Guards against a regression of the store's revision that is not logged, or is logged for every call.
func TestStoreRegressionIsLoggedOnce(t *testing.T) {
	c := newTestCluster()
	c.pollAll()
	c.signOff(c.vms["a"])
	c.pollAll()
	b := c.vms["b"]
	var logged []string
	b.logTo(&logged)
	restored := newTestCluster()
	intact := b.view.options.Store
	for range 2 {
		b.view.options.Store = &scriptedStore{Store: restored.store, results: []infra.WatchResult{{Revision: 1}}}
		before := testutil.ToFloat64(b.view.counters.regressions)
		for range 3 {
			assert.ErrorIs(t, b.poll(), errRevisionRegressed)
		}
		assert.Equal(t, testutil.ToFloat64(b.view.counters.regressions), before+3)
		assert.Equal(t, b.view.Snapshot().BundleVersion(), int64(1))
		b.view.options.Store = intact
		assert.NilError(t, b.poll())
	}
	assert.Equal(t, len(logged), 2, "one line for each regression: %s", logged)
	assert.Assert(t, strings.Contains(logged[0], `"remedy"="ask the platform's operators`), logged[0])
}

// Guards against a log line that does not name the invalid value or the remedy, and against one line per listing.
func TestRejectedValuesNameARemedy(t *testing.T) {
	c := newTestCluster()
	c.pollAll()
	c.signOff(c.vms["a"])
	c.issue(c.vms["a"])
	c.pollAll()
	b := c.vms["b"]
	var logged []string
	b.logTo(&logged)
	c.overwrite(configstore.TeamKey(c.keys[0]), []byte{0xff})
	_, err := c.store.Put(t.Context(), infra.PutRequest{Key: configstore.Zone("z1"), Value: []byte("x")})
	assert.NilError(t, err)
	found, err := c.store.Get(t.Context(), configstore.BundleCurrent)
	assert.NilError(t, err)
	assert.NilError(t, c.store.Delete(t.Context(), configstore.BundleCurrent, found.Revision))
	for range 3 {
		assert.NilError(t, b.poll())
		b.view.mustList = true
		c.issue(c.vms["a"])
	}
	assert.Equal(t, len(logged), 3, "%s", logged)
	for i, want := range []string{
		"POST /v1/keys/" + c.keys[0] + "/withdraw", "POST /v1/zones/z1/drain", "compare sign_off_key of the operators",
	} {
		assert.Assert(t, strings.Contains(logged[i], want), "%s does not say %q", logged[i], want)
	}
}

package configview

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/configstore"
	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/teamkey"
)

// heartbeatAndPollPeers updates the states of the other VMs and polls them once.
func (m *vm) heartbeatAndPollPeers() {
	m.heartbeat()
	m.view.pollPeers(context.Background())
}

func (m *vm) isFresh() bool { return m.view.Fresh(m.cluster.clock.Now()) }

func (m *vm) poll() error { return m.view.pollStore(context.Background(), time.Microsecond) }

// newClusterInOutage returns a cluster in which VM a has withdrawn a key right before the store failed and the views are no
// longer fresh, and the id of that key.
func newClusterInOutage(t *testing.T) (*testCluster, string) {
	c := newTestCluster()
	c.pollAll()
	c.signOff(c.vms["a"])
	c.issue(c.vms["a"])
	c.pollAll()
	c.withdraw(c.vms["a"], c.keys[0])
	assert.Equal(t, len(c.withdrawn), 1)
	c.setDown(true)
	assert.Assert(t, c.vms["b"].isFresh())
	c.clock.Advance(MaxConfirmationAge)
	assert.Assert(t, c.vms["b"].isFresh())
	c.clock.Advance(time.Millisecond)
	assert.Assert(t, !c.vms["b"].isFresh())
	return c, c.keys[0]
}

// Guards against a store outage that stops work that needs a key although all VMs agree, and against an agreement that
// lacks the newest change.
func TestPeersKeepTheViewFresh(t *testing.T) {
	c, key := newClusterInOutage(t)
	b := c.vms["b"]
	assert.Assert(t, !b.view.Snapshot().Key(key).GetWithdrawn())
	b.heartbeatAndPollPeers()
	assert.Assert(t, b.isFresh())
	assert.Assert(t, b.view.Snapshot().Key(key).GetWithdrawn())
	c.clock.Advance(MaxConfirmationAge + time.Millisecond)
	assert.Assert(t, !b.isFresh())
	c.partitioned[link("b", "c")] = true
	b.heartbeatAndPollPeers()
	assert.Assert(t, !b.isFresh(), "fresh without a response of c")
	delete(b.states, "c")
	b.view.pollPeers(t.Context())
	assert.Assert(t, !b.isFresh(), "fresh without a state of c")
}

// Guards against a change that is lost because the only VM that knows it restarts during a store outage.
func TestRestartedVMConfirmsNothingBeforeItReachesTheStore(t *testing.T) {
	c, key := newClusterInOutage(t)
	a, b := c.vms["a"], c.vms["b"]
	a.restart()
	a.heartbeatAndPollPeers()
	assert.Equal(t, a.view.Snapshot().BundleVersion(), int64(1), "bundle was not adopted from peers")
	assert.Assert(t, a.view.Snapshot().Key(key) != nil)
	assert.Assert(t, !a.isFresh(), "fresh although it may have lost a change")
	b.heartbeatAndPollPeers()
	assert.Assert(t, !b.isFresh(), "confirmed by a VM that may have lost a change")
	c.setDown(false)
	c.pollAll()
	b.heartbeatAndPollPeers()
	assert.Assert(t, a.isFresh() && b.isFresh())
	assert.Assert(t, a.view.Snapshot().Key(key).GetWithdrawn() && b.view.Snapshot().Key(key).GetWithdrawn())
}

// Guards against a slow response that confirms the view for the time that the response took.
func TestConfirmationCountsFromSending(t *testing.T) {
	c := newTestCluster()
	b := c.vms["b"]
	b.store.delay = MaxConfirmationAge
	assert.NilError(t, b.poll())
	assert.Assert(t, !b.isFresh(), "a listing counts from its response")
	b.store.delay = 0
	assert.NilError(t, b.poll())
	assert.Assert(t, b.isFresh())
	c.clock.Advance(MaxConfirmationAge)
	b.store.delay = time.Millisecond + MaxConfirmationAge
	assert.NilError(t, b.poll())
	assert.Assert(t, !b.isFresh(), "a watch counts from its response")
}

// Guards against changes that are missed because the store has compacted its history.
func TestCompactionCausesAListing(t *testing.T) {
	c := newTestCluster()
	c.pollAll()
	a, b := c.vms["a"], c.vms["b"]
	c.issue(a)
	assert.NilError(t, b.poll())
	c.withdraw(a, c.keys[0])
	var revision infra.Revision
	// The stand-in store keeps the last 4,096 changes for watches.
	for range 5000 {
		var err error
		revision, err = c.store.Put(t.Context(), infra.PutRequest{Key: "other", Expected: revision})
		assert.NilError(t, err)
	}
	assert.ErrorIs(t, b.poll(), infra.ErrCompacted)
	assert.Assert(t, !b.view.Snapshot().Key(c.keys[0]).GetWithdrawn())
	assert.NilError(t, b.poll())
	assert.Assert(t, b.view.Snapshot().Key(c.keys[0]).GetWithdrawn())
}

// scriptedStore returns predefined results for watches.
type scriptedStore struct {
	infra.Store
	results []infra.WatchResult
}

func (s *scriptedStore) Watch(context.Context, infra.WatchRequest) (infra.WatchResult, error) {
	result := s.results[0]
	s.results = s.results[1:]
	return result, nil
}

// Guards against a watch that contradicts itself and still confirms the view.
func TestGapInTheWatchCausesAListing(t *testing.T) {
	event := func(revision infra.Revision) infra.Event {
		return infra.Event{KeyValue: infra.KeyValue{Key: "config/x", Revision: revision}}
	}
	for _, result := range []infra.WatchResult{
		{Revision: -1},
		{Revision: 5, Events: []infra.Event{event(4), event(3)}},
		{Revision: 5, Events: []infra.Event{event(6)}},
		{Revision: 5, Events: []infra.Event{event(0)}},
	} {
		c := newTestCluster()
		b := c.vms["b"]
		b.view.options.Store = &scriptedStore{Store: c.store, results: []infra.WatchResult{result}}
		assert.NilError(t, b.poll())
		c.clock.Advance(MaxConfirmationAge)
		assert.ErrorIs(t, b.poll(), errRevisionRegressed)
		assert.NilError(t, b.poll(), "no listing after the gap")
		assert.Equal(t, b.view.storeConfirmed, c.clock.Now())
	}
}

// Guards against an invalid value that replaces a valid one, floods the log, or hides a valid value that arrives after it.
func TestInvalidValuesAreRejected(t *testing.T) {
	c := newTestCluster()
	a, b := c.vms["a"], c.vms["b"]
	var logged []string
	b.view.options.Logger = funcr.New(func(_, line string) { logged = append(logged, line) }, funcr.Options{})
	c.pollAll()
	c.signOff(a)
	c.issue(a)
	c.pollAll()
	key := configstore.TeamKey(c.keys[0])
	live, err := c.store.Get(t.Context(), key)
	assert.NilError(t, err)
	c.withdraw(a, c.keys[0])
	c.overwrite(key, []byte{0xff})
	_, err = b.view.WrapStore(c.store).Get(t.Context(), key)
	assert.NilError(t, err)
	c.pollAll()
	assert.Assert(t, b.view.Snapshot().Key(c.keys[0]).GetWithdrawn(), "a rejected value hid an earlier valid one")
	c.overwrite(key, live.Value)
	c.pollAll()
	assert.Assert(t, b.view.Snapshot().Key(c.keys[0]).GetWithdrawn(), "a withdrawn key became valid again")
	tampered := signedBundle(7)
	tampered.Bundle.Teams[0].Share++
	value, err := proto.Marshal(tampered)
	assert.NilError(t, err)
	c.overwrite(configstore.BundleCurrent, value)
	c.overwrite(key, []byte{0xff})
	_, err = c.store.Put(t.Context(), infra.PutRequest{Key: configstore.Zone("z1"), Value: []byte("x")})
	assert.NilError(t, err)
	for range 3 {
		c.pollAll()
		b.view.mustList = true
	}
	assert.Equal(t, b.view.Snapshot().BundleVersion(), int64(1))
	assert.Assert(t, b.view.Snapshot().Key(c.keys[0]).GetWithdrawn())
	assert.Assert(t, !b.view.Snapshot().IsDraining("z1"))
	// A key whose value is corrupt remains accepted, so operators have to be able to withdraw it.
	c.issue(a)
	c.pollAll()
	c.overwrite(configstore.TeamKey(c.keys[1]), []byte{0xff})
	c.pollAll()
	assert.Assert(t, !b.view.Snapshot().Key(c.keys[1]).GetWithdrawn())
	c.withdraw(a, c.keys[1])
	c.pollAll()
	assert.Assert(t, b.view.Snapshot().Key(c.keys[1]).GetWithdrawn())
	// One line for the bundle in force, one for each of six invalid values.
	assert.Equal(t, len(logged), 7, "%s", strings.Join(logged, "\n"))
}

// Guards against deleted entries that stay in force, and against a deleted bundle that does not.
func TestDeletedEntries(t *testing.T) {
	c := newTestCluster()
	a, b := c.vms["a"], c.vms["b"]
	c.pollAll()
	c.signOff(a)
	c.issue(a)
	c.pollAll()
	for _, key := range []string{configstore.TeamKey(c.keys[0]), configstore.BundleCurrent} {
		found, err := c.store.Get(t.Context(), key)
		assert.NilError(t, err)
		assert.NilError(t, c.store.Delete(t.Context(), key, found.Revision))
	}
	a.view.mustList = true
	c.pollAll()
	for _, m := range []*vm{a, b} {
		assert.Assert(t, m.view.Snapshot().Key(c.keys[0]) == nil)
		assert.Equal(t, m.view.Snapshot().BundleVersion(), int64(1))
	}
}

// Guards against a bundle from a peer that comes into force without verification.
func TestImportVerifiesBundles(t *testing.T) {
	c := newTestCluster()
	c.pollAll()
	c.signOff(c.vms["a"])
	c.pollAll()
	request := &siskinv1.FetchConfigRequest{}
	good := c.vms["a"].view.Export(request)
	b := c.vms["b"]
	inForce := c.vms["a"].view.Snapshot().Bundle()
	for i := range good.GetEntries()[0].GetValue() {
		bad := proto.CloneOf(good)
		bad.GetEntries()[0].Value[i]++
		b.restart()
		b.view.Import(request, bad)
		// Only a change outside the signed content, such as the time of the sign-off, may be accepted.
		if b.view.Snapshot().BundleVersion() != 0 {
			assert.Assert(t, proto.Equal(b.view.Snapshot().Bundle(), inForce), "byte %d", i)
		}
	}
	forgeries := map[string]func(*siskinv1.BundleProposal){
		"content":   func(p *siskinv1.BundleProposal) { p.Bundle.Comment += "!" },
		"version":   func(p *siskinv1.BundleProposal) { p.Bundle.Version++ },
		"hash":      func(p *siskinv1.BundleProposal) { p.ContentSha256 = strings.Repeat("0", 64) },
		"author":    func(p *siskinv1.BundleProposal) { p.Author = "eve" },
		"reviewer":  func(p *siskinv1.BundleProposal) { p.Reviewer = "eve" },
		"signer":    func(p *siskinv1.BundleProposal) { p.Signer = "eve" },
		"signature": func(p *siskinv1.BundleProposal) { p.Signature[0]++ },
	}
	for name, forge := range forgeries {
		bad := proto.CloneOf(good)
		for _, e := range bad.GetEntries() {
			if e.GetKey() == configstore.BundleCurrent {
				p := &siskinv1.BundleProposal{}
				assert.NilError(t, proto.Unmarshal(e.GetValue(), p))
				forge(p)
				value, err := configstore.Encode(p)
				assert.NilError(t, err)
				e.Value = value
			}
		}
		b.restart()
		b.view.Import(request, bad)
		assert.Equal(t, b.view.Snapshot().BundleVersion(), int64(0), name)
	}
	b.restart()
	b.view.Import(request, good)
	assert.Equal(t, b.view.Snapshot().BundleVersion(), int64(1))
	assert.Assert(t, !b.isFresh())
}

// Guards against a Run that does not poll the peers during a store outage, does not follow the store afterwards, does not
// notify subscribers, or does not return.
func TestRun(t *testing.T) {
	c, key := newClusterInOutage(t)
	b := c.vms["b"]
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	changed, unsubscribe := b.view.Subscribe()
	defer unsubscribe()
	ended := make(chan struct{})
	go func() { b.view.Run(ctx); close(ended) }()
	// steps makes a change and advances the clock, both while the loops of the view wait on the clock.
	steps := func(count int, change func()) {
		for range count {
			for c.clock.Waiters() < 2 && ctx.Err() == nil {
				time.Sleep(100 * time.Microsecond)
			}
			assert.NilError(t, ctx.Err())
			change()
			b.heartbeat()
			c.clock.Advance(retryDelay)
		}
	}
	steps(20, func() {})
	assert.Assert(t, b.isFresh())
	assert.Assert(t, b.view.Snapshot().Key(key).GetWithdrawn())
	steps(20, func() { c.partitioned[link("b", "c")] = true })
	assert.Assert(t, !b.isFresh(), "fresh for 5 s without the store and c")
	steps(1, func() { c.setDown(false) })
	steps(1, func() { c.signOff(c.vms["a"]) })
	for b.view.Snapshot().BundleVersion() < 2 {
		steps(1, func() {})
	}
	cancel()
	<-ended
	<-changed
	history := b.view.History()
	assert.Equal(t, history[len(history)-1], InForce{Version: 2, Since: b.view.Snapshot().InForceSince()})
}

// Guards against a view of 5,000 keys and as many tombstones that is lost or truncated on its way to another VM.
func TestFiveThousandKeysPassBetweenVMs(t *testing.T) {
	const keys = 5000
	c := newTestCluster()
	a, b := c.vms["a"], c.vms["b"]
	registry := teamkey.NewRegistry(c.store, c.clock)
	for range 2 * keys {
		key, _, err := registry.Issue(t.Context(), "lab", "ann")
		assert.NilError(t, err)
		c.keys = append(c.keys, key.ID)
	}
	for _, id := range c.keys[:keys] {
		_, err := registry.Withdraw(t.Context(), id)
		assert.NilError(t, err)
	}
	c.pollAll()
	b.restart()
	c.setDown(true)
	b.heartbeatAndPollPeers()
	snapshot := b.view.Snapshot()
	assert.Equal(t, len(snapshot.Keys()), 2*keys)
	assert.Assert(t, snapshot.Key(c.keys[0]).GetWithdrawn() && !snapshot.Key(c.keys[keys]).GetWithdrawn())
	size := proto.Size(a.view.Export(&siskinv1.FetchConfigRequest{}))
	assert.Assert(t, size < 4<<20, "%d bytes", size)
	t.Logf("%d keys and %d tombstones: %d bytes", keys, keys, size)
	c.setDown(false)
	c.clock.Advance(configstore.TombstoneRetention)
	for c.purge(a); ; c.purge(a) {
		before := len(a.view.Snapshot().Keys())
		c.pollAll()
		if len(a.view.Snapshot().Keys()) == before {
			break
		}
	}
	for _, m := range c.vms {
		assert.Equal(t, len(m.view.Snapshot().Keys()), keys)
		assert.Assert(t, m.view.Snapshot().Key(c.keys[0]) == nil)
	}
}

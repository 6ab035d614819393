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

// peerRound lets a VM ask all others.
func (m *vm) peerRound() {
	m.heartbeat()
	m.view.pollPeers(context.Background())
}

func (m *vm) isFresh() bool { return m.view.Fresh(m.world.clock.Now()) }

func (m *vm) poll() error { return m.view.pollStore(context.Background(), time.Microsecond) }

// outage returns a world in which a has withdrawn a key right before the store failed, and the views are no longer fresh.
func outage(t *testing.T) (*world, string) {
	w := newWorld()
	w.pollAll()
	w.signOff(w.vms["a"])
	w.issue(w.vms["a"])
	w.pollAll()
	w.withdraw(w.vms["a"], w.keys[0])
	assert.Equal(t, len(w.withdrawn), 1)
	w.setDown(true)
	assert.Assert(t, w.vms["b"].isFresh())
	w.clock.Advance(MaxConfirmationAge)
	assert.Assert(t, w.vms["b"].isFresh())
	w.clock.Advance(time.Millisecond)
	assert.Assert(t, !w.vms["b"].isFresh())
	return w, w.keys[0]
}

// Guards against a store outage that stops keyed work although all VMs agree, and against agreement without the newest
// change.
func TestPeersKeepTheViewFresh(t *testing.T) {
	w, key := outage(t)
	b := w.vms["b"]
	assert.Assert(t, !b.view.Snapshot().Key(key).GetWithdrawn())
	b.peerRound()
	assert.Assert(t, b.isFresh())
	assert.Assert(t, b.view.Snapshot().Key(key).GetWithdrawn())
	w.clock.Advance(MaxConfirmationAge + time.Millisecond)
	assert.Assert(t, !b.isFresh())
	w.cut[link("b", "c")] = true
	b.peerRound()
	assert.Assert(t, !b.isFresh(), "fresh without an answer of c")
	delete(b.states, "c")
	b.view.pollPeers(t.Context())
	assert.Assert(t, !b.isFresh(), "fresh without a state of c")
}

// Guards against a change that the only VM that knew it forgets in a restart while the store is away.
func TestRestartedVMConfirmsNothingBeforeItReachesTheStore(t *testing.T) {
	w, key := outage(t)
	a, b := w.vms["a"], w.vms["b"]
	a.restart()
	a.peerRound()
	assert.Equal(t, a.view.Snapshot().BundleVersion(), int64(1), "bundle was not adopted from peers")
	assert.Assert(t, a.view.Snapshot().Key(key) != nil)
	assert.Assert(t, !a.isFresh(), "fresh although it may have forgotten a change")
	b.peerRound()
	assert.Assert(t, !b.isFresh(), "fresh by a VM that may have forgotten a change")
	w.setDown(false)
	w.pollAll()
	b.peerRound()
	assert.Assert(t, a.isFresh() && b.isFresh())
	assert.Assert(t, a.view.Snapshot().Key(key).GetWithdrawn() && b.view.Snapshot().Key(key).GetWithdrawn())
}

// Guards against a slow answer that confirms the view for the time it was on its way.
func TestConfirmationCountsFromSending(t *testing.T) {
	w := newWorld()
	b := w.vms["b"]
	b.store.slow = MaxConfirmationAge
	assert.NilError(t, b.poll())
	assert.Assert(t, !b.isFresh(), "a listing counts from its answer")
	b.store.slow = 0
	assert.NilError(t, b.poll())
	assert.Assert(t, b.isFresh())
	w.clock.Advance(MaxConfirmationAge)
	b.store.slow = time.Millisecond + MaxConfirmationAge
	assert.NilError(t, b.poll())
	assert.Assert(t, !b.isFresh(), "a watch counts from its answer")
}

// Guards against changes that are missed because the store has dropped them from its history.
func TestCompactionCausesAListing(t *testing.T) {
	w := newWorld()
	w.pollAll()
	a, b := w.vms["a"], w.vms["b"]
	w.issue(a)
	assert.NilError(t, b.poll())
	w.withdraw(a, w.keys[0])
	var revision infra.Revision
	for range 5000 {
		var err error
		revision, err = w.store.Put(t.Context(), infra.PutRequest{Key: "other", Expected: revision})
		assert.NilError(t, err)
	}
	assert.ErrorIs(t, b.poll(), infra.ErrCompacted)
	assert.Assert(t, !b.view.Snapshot().Key(w.keys[0]).GetWithdrawn())
	assert.NilError(t, b.poll())
	assert.Assert(t, b.view.Snapshot().Key(w.keys[0]).GetWithdrawn())
}

// scriptedStore answers watches from a list.
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
		w := newWorld()
		b := w.vms["b"]
		b.view.options.Store = &scriptedStore{Store: w.store, results: []infra.WatchResult{result}}
		assert.NilError(t, b.poll())
		w.clock.Advance(MaxConfirmationAge)
		assert.ErrorIs(t, b.poll(), errRevisionRegressed)
		assert.NilError(t, b.poll(), "no listing after the gap")
		assert.Equal(t, b.view.storeConfirmed, w.clock.Now())
	}
}

// Guards against a bad value that replaces a good one, floods the log, or hides a good value that arrives after it.
func TestBadValuesAreRejected(t *testing.T) {
	w := newWorld()
	a, b := w.vms["a"], w.vms["b"]
	var logged []string
	b.view.options.Logger = funcr.New(func(_, line string) { logged = append(logged, line) }, funcr.Options{})
	w.pollAll()
	w.signOff(a)
	w.issue(a)
	w.pollAll()
	key := configstore.TeamKey(w.keys[0])
	live, err := w.store.Get(t.Context(), key)
	assert.NilError(t, err)
	w.withdraw(a, w.keys[0])
	w.overwrite(key, []byte{0xff})
	_, err = b.view.WrapStore(w.store).Get(t.Context(), key)
	assert.NilError(t, err)
	w.pollAll()
	assert.Assert(t, b.view.Snapshot().Key(w.keys[0]).GetWithdrawn(), "a rejected value hid an earlier good one")
	w.overwrite(key, live.Value)
	w.pollAll()
	assert.Assert(t, b.view.Snapshot().Key(w.keys[0]).GetWithdrawn(), "a withdrawn key came back")
	tampered := signedBundle(7)
	tampered.Bundle.Teams[0].Share++
	value, err := proto.Marshal(tampered)
	assert.NilError(t, err)
	w.overwrite(configstore.BundleCurrent, value)
	w.overwrite(key, []byte{0xff})
	_, err = w.store.Put(t.Context(), infra.PutRequest{Key: configstore.Zone("z1"), Value: []byte("x")})
	assert.NilError(t, err)
	for range 3 {
		w.pollAll()
		b.view.mustList = true
	}
	assert.Equal(t, b.view.Snapshot().BundleVersion(), int64(1))
	assert.Assert(t, b.view.Snapshot().Key(w.keys[0]).GetWithdrawn())
	assert.Assert(t, !b.view.Snapshot().IsDraining("z1"))
	// A key whose value is corrupt stays in force, so operators have to be able to withdraw it.
	w.issue(a)
	w.pollAll()
	w.overwrite(configstore.TeamKey(w.keys[1]), []byte{0xff})
	w.pollAll()
	assert.Assert(t, !b.view.Snapshot().Key(w.keys[1]).GetWithdrawn())
	w.withdraw(a, w.keys[1])
	w.pollAll()
	assert.Assert(t, b.view.Snapshot().Key(w.keys[1]).GetWithdrawn())
	// One line for the bundle in force, one for each of six bad values.
	assert.Equal(t, len(logged), 7, "%s", strings.Join(logged, "\n"))
}

// Guards against deleted entries that stay in force, and against a deleted bundle that does not.
func TestDeletedEntries(t *testing.T) {
	w := newWorld()
	a, b := w.vms["a"], w.vms["b"]
	w.pollAll()
	w.signOff(a)
	w.issue(a)
	w.pollAll()
	for _, key := range []string{configstore.TeamKey(w.keys[0]), configstore.BundleCurrent} {
		found, err := w.store.Get(t.Context(), key)
		assert.NilError(t, err)
		assert.NilError(t, w.store.Delete(t.Context(), key, found.Revision))
	}
	a.view.mustList = true
	w.pollAll()
	for _, m := range []*vm{a, b} {
		assert.Assert(t, m.view.Snapshot().Key(w.keys[0]) == nil)
		assert.Equal(t, m.view.Snapshot().BundleVersion(), int64(1))
	}
}

// Guards against a bundle from a peer that is put in force without verification.
func TestImportVerifiesBundles(t *testing.T) {
	w := newWorld()
	w.pollAll()
	w.signOff(w.vms["a"])
	w.pollAll()
	request := &siskinv1.FetchConfigRequest{}
	good := w.vms["a"].view.Export(request)
	b := w.vms["b"]
	inForce := w.vms["a"].view.Snapshot().Bundle()
	for i := range good.GetEntries()[0].GetValue() {
		bad := proto.CloneOf(good)
		bad.GetEntries()[0].Value[i]++
		b.restart()
		b.view.Import(request, bad)
		// Only a change outside the signed content, such as the time of the sign-off, may be taken.
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

// Guards against a follower that never asks the peers during a store outage, does not follow the store once it is back,
// does not notify, or does not end.
func TestRun(t *testing.T) {
	w, key := outage(t)
	b := w.vms["b"]
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	changed, unsubscribe := b.view.Subscribe()
	defer unsubscribe()
	ended := make(chan struct{})
	go func() { b.view.Run(ctx); close(ended) }()
	// steps makes a change and lets time pass, both while the loops of the view are asleep.
	steps := func(count int, change func()) {
		for range count {
			for w.clock.Sleepers() < 2 && ctx.Err() == nil {
				time.Sleep(100 * time.Microsecond)
			}
			assert.NilError(t, ctx.Err())
			change()
			b.heartbeat()
			w.clock.Advance(retryDelay)
		}
	}
	steps(20, func() {})
	assert.Assert(t, b.isFresh())
	assert.Assert(t, b.view.Snapshot().Key(key).GetWithdrawn())
	steps(20, func() { w.cut[link("b", "c")] = true })
	assert.Assert(t, !b.isFresh(), "fresh for 5 s without the store and c")
	steps(1, func() { w.setDown(false) })
	steps(1, func() { w.signOff(w.vms["a"]) })
	for b.view.Snapshot().BundleVersion() < 2 {
		steps(1, func() {})
	}
	cancel()
	<-ended
	<-changed
	history := b.view.History()
	assert.Equal(t, history[len(history)-1], InForce{Version: 2, Since: b.view.Snapshot().InForceSince()})
}

// Guards against a view that is lost or cut short when it is as large as 5,000 keys with as many tombstones.
func TestFiveThousandKeysPassBetweenVMs(t *testing.T) {
	const keys = 5000
	w := newWorld()
	a, b := w.vms["a"], w.vms["b"]
	register := teamkey.NewRegistry(w.store, w.clock)
	for range 2 * keys {
		key, _, err := register.Issue(t.Context(), "lab", "ann")
		assert.NilError(t, err)
		w.keys = append(w.keys, key.ID)
	}
	for _, id := range w.keys[:keys] {
		_, err := register.Withdraw(t.Context(), id)
		assert.NilError(t, err)
	}
	w.pollAll()
	b.restart()
	w.setDown(true)
	b.peerRound()
	snapshot := b.view.Snapshot()
	assert.Equal(t, len(snapshot.Keys()), 2*keys)
	assert.Assert(t, snapshot.Key(w.keys[0]).GetWithdrawn() && !snapshot.Key(w.keys[keys]).GetWithdrawn())
	size := proto.Size(a.view.Export(&siskinv1.FetchConfigRequest{}))
	assert.Assert(t, size < 4<<20, "%d bytes", size)
	t.Logf("%d keys and %d tombstones: %d bytes", keys, keys, size)
	w.setDown(false)
	w.clock.Advance(configstore.TombstoneRetention)
	for w.purge(a); ; w.purge(a) {
		before := len(a.view.Snapshot().Keys())
		w.pollAll()
		if len(a.view.Snapshot().Keys()) == before {
			break
		}
	}
	for _, m := range w.vms {
		assert.Equal(t, len(m.view.Snapshot().Keys()), keys)
		assert.Assert(t, m.view.Snapshot().Key(w.keys[0]) == nil)
	}
}

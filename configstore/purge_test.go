package configstore_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/clock"
	"siskinstack.example/siskinstack/configstore"
	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/refusal"
	"siskinstack.example/siskinstack/standin"
	"siskinstack.example/siskinstack/teamkey"
)

// known is the configuration of a VM.
type known struct {
	version int64
	keys    []*siskinv1.TeamKey
}

func (k known) BundleVersion() int64 { return k.version }

func (k known) Keys() []*siskinv1.TeamKey { return k.keys }

type fixture struct {
	t     *testing.T
	clock *clock.Fake
	store *standin.Store
	known known
}

func newFixture(t *testing.T) *fixture {
	fake := clock.NewFake(time.Unix(1_000_000, 0))
	return &fixture{t: t, clock: fake, store: standin.NewStore(fake)}
}

func (f *fixture) purger() *configstore.Purger {
	return configstore.NewPurger(configstore.PurgerOptions{
		Store: f.store, Clock: f.clock, Logger: logr.Discard(), Config: func() configstore.VerifiedConfig { return f.known },
	})
}

func (f *fixture) put(key string, value string) {
	_, err := f.store.Put(f.t.Context(), infra.PutRequest{Key: key, Value: []byte(value)})
	assert.NilError(f.t, err)
}

func (f *fixture) keysOf(prefix string) map[string]bool {
	listing, err := f.store.List(f.t.Context(), prefix)
	assert.NilError(f.t, err)
	found := map[string]bool{}
	for _, kv := range listing.Entries {
		found[kv.Key] = true
	}
	return found
}

// Guards against proposals that pile up, and against a purge that takes the bundle in force, one of the newest versions, or
// the open proposal of the next version, when VMs purge at once and answers are lost.
func TestPurgeOfProposals(t *testing.T) {
	f := newFixture(t)
	const inForce = 150
	f.known.version = inForce
	f.put(configstore.BundleCurrent, "in force")
	for version := int64(1); version <= inForce+1; version++ {
		f.put(configstore.Proposal(version), fmt.Sprint(version))
	}
	f.store.SetFaults(standin.StoreFaults{LoseAnswers: 40})
	for range 8 {
		var purgers sync.WaitGroup
		for range 3 {
			purgers.Go(func() { _ = f.purger().Purge(context.Background()) })
		}
		purgers.Wait()
	}
	found := f.keysOf(configstore.Prefix + "bundle/proposal/")
	for version := int64(1); version <= inForce+1; version++ {
		kept := version > inForce-configstore.RetainedVersions
		assert.Equal(t, found[configstore.Proposal(version)], kept, "proposal %d", version)
	}
	assert.Assert(t, f.keysOf(configstore.BundleCurrent)[configstore.BundleCurrent])
	before := f.store.Counts()
	assert.NilError(t, f.purger().Purge(t.Context()))
	after := f.store.Counts()
	assert.Equal(t, after.Reads-before.Reads, int64(1), "a run without work reads more than the mark")
	assert.Equal(t, after.Writes, before.Writes)
}

// Guards against a run that ends in a store outage and leaves versions behind that no later run looks at.
func TestPurgeContinuesAfterAnOutage(t *testing.T) {
	f := newFixture(t)
	f.known.version = 25
	for version := int64(1); version <= 25; version++ {
		f.put(configstore.Proposal(version), "")
	}
	f.store.SetFaults(standin.StoreFaults{Down: true})
	assert.Assert(t, f.purger().Purge(t.Context()) != nil)
	f.store.Heal()
	f.known.version = 26
	assert.NilError(t, f.purger().Purge(t.Context()))
	assert.Equal(t, len(f.keysOf(configstore.Prefix+"bundle/proposal/")), 19)
}

// Guards against tombstones that pile up, a live key that is purged, and a purged key that works again.
func TestPurgeOfTombstones(t *testing.T) {
	f := newFixture(t)
	registry := teamkey.NewRegistry(f.store, f.clock)
	issue := func() (teamkey.Key, *siskinv1.TeamKey) {
		key, stored, err := registry.Issue(t.Context(), "lab", "ann")
		assert.NilError(t, err)
		return key, stored
	}
	withdraw := func(id string) *siskinv1.TeamKey {
		stored, err := registry.Withdraw(t.Context(), id)
		assert.NilError(t, err)
		return stored
	}
	old, _ := issue()
	young, _ := issue()
	_, live := issue()
	_, misread := issue()
	oldTombstone := withdraw(old.ID)
	f.clock.Advance(configstore.TombstoneRetention + time.Millisecond)
	youngTombstone := withdraw(young.ID)
	// A view that claims a withdrawal which the store does not hold must not end the key.
	misread.Withdrawn = true
	f.known.keys = []*siskinv1.TeamKey{oldTombstone, youngTombstone, live, misread}
	f.store.SetFaults(standin.StoreFaults{LoseAnswers: 1})
	assert.NilError(t, f.purger().Purge(t.Context()))
	found := f.keysOf(configstore.TeamKeys())
	assert.Assert(t, !found[configstore.TeamKey(old.ID)])
	assert.Equal(t, len(found), 3)
	_, err := registry.Withdraw(t.Context(), old.ID)
	assert.Equal(t, refusal.From(err).Reason, refusal.NotFound)
	err = old.Verify(nil)
	assert.Equal(t, refusal.From(err).Reason, refusal.KeyUnknown)
}

// Guards against a burst of changes that starts a run for each, and a change whose run never comes.
func TestPurgeRunsOncePerBurst(t *testing.T) {
	f := newFixture(t)
	p := f.purger()
	f.known.version = configstore.RetainedVersions + 1
	for range 100 {
		p.Notify()
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		p.Run(ctx)
	}()
	for f.store.Counts().Kinds[standin.CallPut] == 0 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	<-ended
	assert.Equal(t, f.store.Counts().Kinds[standin.CallPut], int64(1))
}

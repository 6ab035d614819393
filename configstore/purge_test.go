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

// verifiedConfig is the verified configuration of a VM.
type verifiedConfig struct {
	version int64
	keys    []*siskinv1.TeamKey
}

func (c verifiedConfig) BundleVersion() int64 { return c.version }

func (c verifiedConfig) Keys() []*siskinv1.TeamKey { return c.keys }

type fixture struct {
	t      *testing.T
	clock  *clock.Fake
	store  *standin.Store
	config verifiedConfig
}

func newFixture(t *testing.T) *fixture {
	fake := clock.NewFake(time.Unix(1_000_000, 0))
	return &fixture{t: t, clock: fake, store: standin.NewStore(fake)}
}

func (f *fixture) purger() *configstore.Purger {
	return configstore.NewPurger(configstore.PurgerOptions{
		Store: f.store, Clock: f.clock, Logger: logr.Discard(), Config: func() configstore.VerifiedConfig { return f.config },
	})
}

func (f *fixture) put(key string, value string) {
	_, err := f.store.Put(f.t.Context(), infra.PutRequest{Key: key, Value: []byte(value)})
	assert.NilError(f.t, err)
}

func (f *fixture) storedKeys(prefix string) map[string]bool {
	listing, err := f.store.List(f.t.Context(), prefix)
	assert.NilError(f.t, err)
	found := map[string]bool{}
	for _, kv := range listing.Entries {
		found[kv.Key] = true
	}
	return found
}

// Guards against proposals that accumulate, and against a purge that deletes the bundle in force, one of the newest versions,
// or the open proposal of the next version, when VMs purge concurrently and responses are lost.
func TestPurgeOfProposals(t *testing.T) {
	f := newFixture(t)
	const inForce = 150
	f.config.version = inForce
	f.put(configstore.BundleCurrent, "in force")
	for version := int64(1); version <= inForce+1; version++ {
		f.put(configstore.Proposal(version), fmt.Sprint(version))
	}
	f.store.SetFaults(standin.StoreFaults{LoseResponses: 40})
	for range 8 {
		var purgers sync.WaitGroup
		for range 3 {
			purgers.Go(func() { _ = f.purger().Purge(context.Background()) })
		}
		purgers.Wait()
	}
	found := f.storedKeys(configstore.Prefix + "bundle/proposal/")
	for version := int64(1); version <= inForce+1; version++ {
		kept := version > inForce-configstore.RetainedVersions
		assert.Equal(t, found[configstore.Proposal(version)], kept, "proposal %d", version)
	}
	assert.Assert(t, f.storedKeys(configstore.BundleCurrent)[configstore.BundleCurrent])
	before := f.store.Counts()
	assert.NilError(t, f.purger().Purge(t.Context()))
	after := f.store.Counts()
	assert.Equal(t, after.Reads-before.Reads, int64(1), "a run with nothing to purge reads more than the mark")
	assert.Equal(t, after.Writes, before.Writes)
}

// Guards against a run that a store outage interrupts and that leaves versions which no later run purges.
func TestPurgeContinuesAfterAnOutage(t *testing.T) {
	f := newFixture(t)
	f.config.version = 25
	for version := int64(1); version <= 25; version++ {
		f.put(configstore.Proposal(version), "")
	}
	f.store.SetFaults(standin.StoreFaults{Down: true})
	assert.Assert(t, f.purger().Purge(t.Context()) != nil)
	f.store.ClearFaults()
	f.config.version = 26
	assert.NilError(t, f.purger().Purge(t.Context()))
	assert.Equal(t, len(f.storedKeys(configstore.Prefix+"bundle/proposal/")), 19)
}

// Guards against tombstones that accumulate, a valid key that is purged, and a purged key that is accepted again.
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
	recent, _ := issue()
	_, valid := issue()
	_, misread := issue()
	oldTombstone := withdraw(old.ID)
	f.clock.Advance(configstore.TombstoneRetention + time.Millisecond)
	recentTombstone := withdraw(recent.ID)
	// A view with a withdrawal that the store does not contain must not cause the deletion of the key.
	misread.Withdrawn = true
	f.config.keys = []*siskinv1.TeamKey{oldTombstone, recentTombstone, valid, misread}
	f.store.SetFaults(standin.StoreFaults{LoseResponses: 1})
	assert.NilError(t, f.purger().Purge(t.Context()))
	found := f.storedKeys(configstore.TeamKeys())
	assert.Assert(t, !found[configstore.TeamKey(old.ID)])
	assert.Equal(t, len(found), 3)
	_, err := registry.Withdraw(t.Context(), old.ID)
	assert.Equal(t, refusal.From(err).Reason, refusal.NotFound)
	err = old.Verify(nil)
	assert.Equal(t, refusal.From(err).Reason, refusal.KeyUnknown)
}

// Guards against a burst of changes that starts one run for each, and against a change that starts no run.
func TestPurgeRunsOncePerBurst(t *testing.T) {
	f := newFixture(t)
	p := f.purger()
	f.config.version = configstore.RetainedVersions + 1
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

package configview

import (
	"context"
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/bundle"
	"siskinstack.example/siskinstack/clock"
	"siskinstack.example/siskinstack/configstore"
	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/standin"
	"siskinstack.example/siskinstack/teamkey"
	_ "siskinstack.example/siskinstack/testseed"
)

var errFault = errors.New("injected fault")

// faultyStore is the shared store as one VM reaches it, with the faults of that connection.
type faultyStore struct {
	infra.Store
	clock         *clock.Fake
	down          bool
	loseResponses bool          // calls take effect, but their responses are lost
	delay         time.Duration // time between the effect and the response
}

func withFaults[T any](s *faultyStore, call func() (T, error)) (T, error) {
	var zero T
	if s.down {
		return zero, errFault
	}
	result, err := call()
	s.clock.Advance(s.delay)
	if s.loseResponses {
		return zero, errFault
	}
	return result, err
}

func (s *faultyStore) Get(ctx context.Context, key string) (infra.KeyValue, error) {
	return withFaults(s, func() (infra.KeyValue, error) { return s.Store.Get(ctx, key) })
}

func (s *faultyStore) List(ctx context.Context, prefix string) (infra.Listing, error) {
	return withFaults(s, func() (infra.Listing, error) { return s.Store.List(ctx, prefix) })
}

func (s *faultyStore) Put(ctx context.Context, request infra.PutRequest) (infra.Revision, error) {
	return withFaults(s, func() (infra.Revision, error) { return s.Store.Put(ctx, request) })
}

func (s *faultyStore) Delete(ctx context.Context, key string, expected infra.Revision) error {
	_, err := withFaults(s, func() (struct{}, error) { return struct{}{}, s.Store.Delete(ctx, key, expected) })
	return err
}

func (s *faultyStore) Watch(ctx context.Context, request infra.WatchRequest) (infra.WatchResult, error) {
	return withFaults(s, func() (infra.WatchResult, error) { return s.Store.Watch(ctx, request) })
}

// vm is one entry VM of the cluster. It implements Peers for its own view.
type vm struct {
	name           string
	cluster        *testCluster
	store          *faultyStore
	view           *View
	states         map[string]PeerState
	highestVersion int64 // highest version that this process had in force
}

func (m *vm) States() []PeerState {
	var states []PeerState
	for _, state := range m.states {
		states = append(states, state)
	}
	return states
}

func (m *vm) FetchConfig(_ context.Context, name string, request *siskinv1.FetchConfigRequest) (*siskinv1.FetchConfigResponse, error) {
	if m.cluster.partitioned[link(m.name, name)] {
		return nil, errFault
	}
	return m.cluster.vms[name].view.Export(request), nil
}

func (m *vm) heartbeat() {
	now := m.cluster.clock.Now()
	for name, other := range m.cluster.vms {
		if name == m.name {
			continue
		}
		m.states[name] = PeerState{VM: name, AsOf: now, State: m.states[name].State}
		if !m.cluster.partitioned[link(m.name, name)] {
			response := &siskinv1.HeartbeatResponse{Vm: name}
			other.view.State(now).FillHeartbeat(response)
			m.states[name] = NewPeerState(response, now)
		}
	}
}

func (m *vm) restart() {
	var others []string
	for _, name := range m.cluster.names {
		if name != m.name {
			others = append(others, name)
		}
	}
	m.states = map[string]PeerState{}
	m.highestVersion = 0
	m.view = New(Options{
		Store: m.store, Clock: m.cluster.clock, Logger: logr.Discard(), Signers: m.cluster.signers, Peers: m, Others: others,
	})
}

// testCluster is three entry VMs, their store, and the changes acknowledged to operators.
type testCluster struct {
	clock       *clock.Fake
	store       *standin.Store
	signers     bundle.Signers
	names       []string
	vms         map[string]*vm
	partitioned map[string]bool
	keys        []string             // ids of all issued keys
	withdrawn   map[string]time.Time // when the withdrawal of a key was acknowledged
	inForce     map[int64]time.Time  // when the sign-off of a version was acknowledged
	replayed    bool                 // an old signed bundle was written over a newer one in the store
}

func link(a, b string) string { return min(a, b) + max(a, b) }

func newTestCluster() *testCluster {
	c := &testCluster{
		clock: clock.NewFake(time.Unix(1000, 0)), names: []string{"a", "b", "c"}, vms: map[string]*vm{}, partitioned: map[string]bool{},
		withdrawn: map[string]time.Time{}, inForce: map[int64]time.Time{},
	}
	c.store = standin.NewStore(c.clock)
	public := signerKey().Public().(ed25519.PublicKey)
	c.signers = bundle.NewSigners([]*siskinv1.Operator{{Name: "cem", SignOffKey: hex.EncodeToString(public)}})
	for _, name := range c.names {
		m := &vm{name: name, cluster: c, store: &faultyStore{Store: c.store, clock: c.clock}}
		c.vms[name] = m
		m.restart()
	}
	return c
}

func signerKey() ed25519.PrivateKey {
	seed := sha256.Sum256([]byte("cem"))
	return ed25519.NewKeyFromSeed(seed[:])
}

func signedBundle(version int64) *siskinv1.BundleProposal {
	b := &siskinv1.Bundle{
		Version: version,
		Zones:   []*siskinv1.Zone{{Name: "z1", Region: "r"}},
		Teams:   []*siskinv1.Team{{Name: "lab", Share: 1, Ceiling: &siskinv1.Resources{MilliCpu: 1, MemoryBytes: 1}}},
	}
	hash, _ := bundle.ContentHash(b)
	p := &siskinv1.BundleProposal{Bundle: b, Author: "ann", Reviewer: "bob", Signer: "cem", ContentSha256: hash}
	content, _ := bundle.SigningBytes(p, "cem")
	p.Signature = ed25519.Sign(signerKey(), content)
	return p
}

// signOff proposes, reviews and signs off the next version on one VM.
func (c *testCluster) signOff(m *vm) {
	ctx := context.Background()
	registry := bundle.NewRegistry(m.view.WrapStore(m.store), c.signers)
	current, _, err := registry.Current(ctx)
	if err != nil {
		return
	}
	p := signedBundle(current.GetBundle().GetVersion() + 1)
	if _, err := registry.Propose(ctx, p.GetBundle(), "ann", ""); err != nil {
		return
	}
	if _, err := registry.Review(ctx, p.GetBundle().GetVersion(), p.GetContentSha256(), "bob"); err != nil {
		return
	}
	_, err = registry.SignOff(ctx, p.GetBundle().GetVersion(), p.GetContentSha256(), "cem", p.GetSignature())
	if err == nil {
		c.inForce[p.GetBundle().GetVersion()] = c.clock.Now()
	}
}

func (c *testCluster) issue(m *vm) {
	registry := teamkey.NewRegistry(m.view.WrapStore(m.store), c.clock)
	if key, _, err := registry.Issue(context.Background(), "lab", "ann"); err == nil {
		c.keys = append(c.keys, key.ID)
	}
}

func (c *testCluster) withdraw(m *vm, id string) {
	registry := teamkey.NewRegistry(m.view.WrapStore(m.store), c.clock)
	_, err := registry.Withdraw(context.Background(), id)
	if _, before := c.withdrawn[id]; err == nil && !before {
		c.withdrawn[id] = c.clock.Now()
	}
}

// purge deletes the tombstones that a VM knows, whatever their age.
func (c *testCluster) purge(m *vm) {
	late := clock.NewFake(c.clock.Now().Add(configstore.TombstoneRetention + time.Second))
	_ = configstore.NewPurger(configstore.PurgerOptions{
		Store: m.store, Clock: late, Logger: logr.Discard(), Config: func() configstore.VerifiedConfig { return m.view.Snapshot() },
	}).Purge(context.Background())
}

// overwrite replaces a value in the store and bypasses all checks.
func (c *testCluster) overwrite(key string, value []byte) {
	ctx := context.Background()
	if found, err := c.store.Get(ctx, key); err == nil {
		_, _ = c.store.Put(ctx, infra.PutRequest{Key: key, Value: value, Expected: found.Revision})
	}
}

// corruptKey makes the value of a key unreadable, unless the key was withdrawn and some VM has not seen that yet: the last
// valid value stays in force on that VM, as required, and no VM could then tell that the key was withdrawn.
func (c *testCluster) corruptKey(id string) {
	if _, withdrawn := c.withdrawn[id]; withdrawn {
		for _, m := range c.vms {
			if !m.view.Snapshot().Key(id).GetWithdrawn() {
				return
			}
		}
	}
	c.overwrite(configstore.TeamKey(id), []byte{0xff})
}

func (c *testCluster) replay(version int64) {
	value, _ := configstore.Encode(signedBundle(version))
	c.overwrite(configstore.BundleCurrent, value)
	c.replayed = true
}

// check returns the first violation of an invariant.
func (c *testCluster) check() error {
	now := c.clock.Now()
	for _, name := range c.names {
		m := c.vms[name]
		snapshot, fresh := m.view.Current(now)
		if snapshot.BundleVersion() < m.highestVersion {
			return fmt.Errorf("%s went from version %d to %d", name, m.highestVersion, snapshot.BundleVersion())
		}
		m.highestVersion = snapshot.BundleVersion()
		if !fresh {
			continue
		}
		if err := c.checkFresh(snapshot, now); err != nil {
			return fmt.Errorf("%s is fresh, but %w", name, err)
		}
	}
	return nil
}

func (c *testCluster) checkFresh(snapshot *Snapshot, now time.Time) error {
	for id, done := range c.withdrawn {
		key := snapshot.Key(id)
		if now.Sub(done) > MaxConfirmationAge && key != nil && !key.GetWithdrawn() {
			return fmt.Errorf("accepts key %s, withdrawn %s ago", id, now.Sub(done))
		}
	}
	for version, done := range c.inForce {
		if !c.replayed && now.Sub(done) > MaxConfirmationAge && snapshot.BundleVersion() < version {
			return fmt.Errorf("has version %d, %d was signed off %s ago", snapshot.BundleVersion(), version, now.Sub(done))
		}
	}
	return nil
}

// Guards against a view that accepts withdrawn keys or returns to an older bundle, under lost responses, gaps, outages,
// partitions, replayed and corrupt values, and restarts.
func TestViewStateMachine(t *testing.T) {
	freshByPeers := 0
	rapid.Check(t, func(t *rapid.T) {
		c := newTestCluster()
		ctx := context.Background()
		anyVM := func() *vm { return c.vms[rapid.SampledFrom(c.names).Draw(t, "vm")] }
		anyKey := func() string { return rapid.SampledFrom(c.keys).Draw(t, "key") }
		t.Repeat(map[string]func(*rapid.T){
			"sign off": func(*rapid.T) { c.signOff(anyVM()) },
			"issue":    func(*rapid.T) { c.issue(anyVM()) },
			"withdraw": func(*rapid.T) {
				if len(c.keys) > 0 {
					c.withdraw(anyVM(), anyKey())
				}
			},
			"purge": func(*rapid.T) { c.purge(anyVM()) },
			"replay": func(t *rapid.T) {
				if len(c.inForce) > 0 && rapid.IntRange(0, 4).Draw(t, "rarely") == 0 {
					c.replay(rapid.Int64Range(1, int64(len(c.inForce))).Draw(t, "version"))
				}
			},
			"corrupt": func(t *rapid.T) {
				if len(c.keys) > 0 && rapid.IntRange(0, 4).Draw(t, "rarely") == 0 {
					c.corruptKey(anyKey())
				}
			},
			"poll":         func(*rapid.T) { _ = anyVM().view.pollStore(ctx, time.Microsecond) },
			"poll all":     func(*rapid.T) { c.pollAll() },
			"heartbeat":    func(*rapid.T) { anyVM().heartbeat() },
			"poll peers":   func(*rapid.T) { anyVM().view.pollPeers(ctx) },
			"store outage": func(t *rapid.T) { c.setDown(rapid.Bool().Draw(t, "down")) },
			"fault": func(t *rapid.T) {
				s := anyVM().store
				s.down = rapid.Bool().Draw(t, "down")
				s.loseResponses = rapid.Bool().Draw(t, "lose")
				s.delay = time.Duration(rapid.IntRange(0, 1500).Draw(t, "slow")) * time.Millisecond
			},
			"repair": func(*rapid.T) { c.repair() },
			// A change that one VM acknowledges right before an outage is known to no other VM.
			"change before outage": func(t *rapid.T) {
				c.repair()
				c.pollAll()
				m := anyVM()
				c.issue(m)
				c.pollAll()
				c.withdraw(m, c.keys[len(c.keys)-1])
				c.setDown(true)
				c.clock.Advance(MaxConfirmationAge + time.Millisecond)
			},
			"peer rounds": func(t *rapid.T) {
				for range rapid.IntRange(1, 4).Draw(t, "rounds") {
					m := anyVM()
					m.heartbeat()
					m.view.pollPeers(ctx)
				}
			},
			"cut": func(*rapid.T) {
				a, b := anyVM().name, anyVM().name
				c.partitioned[link(a, b)] = !c.partitioned[link(a, b)]
			},
			"restart": func(*rapid.T) { anyVM().restart() },
			"time": func(t *rapid.T) {
				c.clock.Advance(time.Duration(rapid.IntRange(50, 2500).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				if err := c.check(); err != nil {
					t.Fatal(err)
				}
				for _, m := range c.vms {
					if m.view.Fresh(c.clock.Now()) && c.clock.Now().Sub(m.view.storeConfirmed) > MaxConfirmationAge {
						freshByPeers++
					}
				}
			},
		})
	})
	assert.Assert(t, freshByPeers > 0, "in no run did the peers keep a view fresh")
}

func (c *testCluster) setDown(down bool) {
	for _, m := range c.vms {
		m.store.down = down
	}
}

func (c *testCluster) repair() {
	c.setDown(false)
	for _, m := range c.vms {
		m.store.loseResponses, m.store.delay = false, 0
	}
	clear(c.partitioned)
}

func (c *testCluster) pollAll() {
	for _, name := range slices.Sorted(slices.Values(c.names)) {
		_ = c.vms[name].view.pollStore(context.Background(), time.Microsecond)
	}
}

// Shows that the checker of the model test finds a view that returns to an older bundle.
func TestCheckerCatchesADisabledVersionCheck(t *testing.T) {
	for _, disabled := range []bool{false, true} {
		c := newTestCluster()
		if disabled {
			c.vms["a"].view.supersedes = func(_, _ *siskinv1.BundleProposal) bool { return true }
		}
		c.pollAll()
		c.signOff(c.vms["b"])
		c.signOff(c.vms["b"])
		c.pollAll()
		assert.NilError(t, c.check())
		assert.Equal(t, c.vms["a"].highestVersion, int64(2))
		c.replay(1)
		c.pollAll()
		err := c.check()
		if disabled {
			assert.Error(t, err, "a went from version 2 to 1")
		} else {
			assert.NilError(t, err)
		}
	}
}

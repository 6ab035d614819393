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

var errFault = errors.New("ordered fault")

// faultyStore is the way of one VM to the common store.
type faultyStore struct {
	infra.Store
	clock *clock.Fake
	down  bool
	lose  bool          // calls take effect, their answers are lost
	slow  time.Duration // time that passes between the effect and the answer
}

func after[T any](s *faultyStore, call func() (T, error)) (T, error) {
	var none T
	if s.down {
		return none, errFault
	}
	result, err := call()
	s.clock.Advance(s.slow)
	if s.lose {
		return none, errFault
	}
	return result, err
}

func (s *faultyStore) Get(ctx context.Context, key string) (infra.KeyValue, error) {
	return after(s, func() (infra.KeyValue, error) { return s.Store.Get(ctx, key) })
}

func (s *faultyStore) List(ctx context.Context, prefix string) (infra.Listing, error) {
	return after(s, func() (infra.Listing, error) { return s.Store.List(ctx, prefix) })
}

func (s *faultyStore) Put(ctx context.Context, request infra.PutRequest) (infra.Revision, error) {
	return after(s, func() (infra.Revision, error) { return s.Store.Put(ctx, request) })
}

func (s *faultyStore) Delete(ctx context.Context, key string, expected infra.Revision) error {
	_, err := after(s, func() (struct{}, error) { return struct{}{}, s.Store.Delete(ctx, key, expected) })
	return err
}

func (s *faultyStore) Watch(ctx context.Context, request infra.WatchRequest) (infra.WatchResult, error) {
	return after(s, func() (infra.WatchResult, error) { return s.Store.Watch(ctx, request) })
}

// vm is one entry VM of the world, and its own Peers.
type vm struct {
	name   string
	world  *world
	store  *faultyStore
	view   *View
	states map[string]PeerState
	floor  int64 // highest version that this process had in force
}

func (m *vm) States() []PeerState {
	var states []PeerState
	for _, state := range m.states {
		states = append(states, state)
	}
	return states
}

func (m *vm) FetchConfig(_ context.Context, name string, request *siskinv1.FetchConfigRequest) (*siskinv1.FetchConfigResponse, error) {
	if m.world.cut[link(m.name, name)] {
		return nil, errFault
	}
	return m.world.vms[name].view.Export(request), nil
}

func (m *vm) heartbeat() {
	now := m.world.clock.Now()
	for name, other := range m.world.vms {
		if name == m.name {
			continue
		}
		m.states[name] = PeerState{VM: name, AsOf: now, State: m.states[name].State}
		if !m.world.cut[link(m.name, name)] {
			response := &siskinv1.HeartbeatResponse{Vm: name}
			other.view.State(now).FillHeartbeat(response)
			m.states[name] = NewPeerState(response, now)
		}
	}
}

func (m *vm) restart() {
	var others []string
	for _, name := range m.world.names {
		if name != m.name {
			others = append(others, name)
		}
	}
	m.states = map[string]PeerState{}
	m.floor = 0
	m.view = New(Options{
		Store: m.store, Clock: m.world.clock, Logger: logr.Discard(), Signers: m.world.signers, Peers: m, Others: others,
	})
}

// world is three entry VMs, their store, and what operators were told.
type world struct {
	clock     *clock.Fake
	store     *standin.Store
	signers   bundle.Signers
	names     []string
	vms       map[string]*vm
	cut       map[string]bool
	keys      []string             // ids of all issued keys
	withdrawn map[string]time.Time // when the withdrawal of a key was answered as done
	inForce   map[int64]time.Time  // when the sign-off of a version was answered as done
	replayed  bool                 // an old signed bundle was written over a newer one
}

func link(a, b string) string { return min(a, b) + max(a, b) }

func newWorld() *world {
	w := &world{
		clock: clock.NewFake(time.Unix(1000, 0)), names: []string{"a", "b", "c"}, vms: map[string]*vm{}, cut: map[string]bool{},
		withdrawn: map[string]time.Time{}, inForce: map[int64]time.Time{},
	}
	w.store = standin.NewStore(w.clock)
	public := signerKey().Public().(ed25519.PublicKey)
	w.signers = bundle.NewSigners([]*siskinv1.Operator{{Name: "cem", SignOffKey: hex.EncodeToString(public)}})
	for _, name := range w.names {
		m := &vm{name: name, world: w, store: &faultyStore{Store: w.store, clock: w.clock}}
		w.vms[name] = m
		m.restart()
	}
	return w
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

// signOff takes the next version through all steps on one VM.
func (w *world) signOff(m *vm) {
	ctx := context.Background()
	register := bundle.NewRegistry(m.view.WrapStore(m.store), w.signers)
	current, _, err := register.Current(ctx)
	if err != nil {
		return
	}
	p := signedBundle(current.GetBundle().GetVersion() + 1)
	if _, err := register.Propose(ctx, p.GetBundle(), "ann", ""); err != nil {
		return
	}
	if _, err := register.Review(ctx, p.GetBundle().GetVersion(), p.GetContentSha256(), "bob"); err != nil {
		return
	}
	_, err = register.SignOff(ctx, p.GetBundle().GetVersion(), p.GetContentSha256(), "cem", p.GetSignature())
	if err == nil {
		w.inForce[p.GetBundle().GetVersion()] = w.clock.Now()
	}
}

func (w *world) issue(m *vm) {
	register := teamkey.NewRegistry(m.view.WrapStore(m.store), w.clock)
	if key, _, err := register.Issue(context.Background(), "lab", "ann"); err == nil {
		w.keys = append(w.keys, key.ID)
	}
}

func (w *world) withdraw(m *vm, id string) {
	register := teamkey.NewRegistry(m.view.WrapStore(m.store), w.clock)
	_, err := register.Withdraw(context.Background(), id)
	if _, before := w.withdrawn[id]; err == nil && !before {
		w.withdrawn[id] = w.clock.Now()
	}
}

// purge deletes the tombstones that a VM knows, however young they are.
func (w *world) purge(m *vm) {
	late := clock.NewFake(w.clock.Now().Add(configstore.TombstoneRetention + time.Second))
	_ = configstore.NewPurger(configstore.PurgerOptions{
		Store: m.store, Clock: late, Logger: logr.Discard(), Config: func() configstore.VerifiedConfig { return m.view.Snapshot() },
	}).Purge(context.Background())
}

// overwrite writes a value past all checks.
func (w *world) overwrite(key string, value []byte) {
	ctx := context.Background()
	if found, err := w.store.Get(ctx, key); err == nil {
		_, _ = w.store.Put(ctx, infra.PutRequest{Key: key, Value: value, Expected: found.Revision})
	}
}

// corrupt makes the value of a key unreadable. A withdrawal that some VM has not seen is spared: the last good value of the
// key stays in force there, as it must, and no VM could tell that it was withdrawn.
func (w *world) corrupt(id string) {
	if _, withdrawn := w.withdrawn[id]; withdrawn {
		for _, m := range w.vms {
			if !m.view.Snapshot().Key(id).GetWithdrawn() {
				return
			}
		}
	}
	w.overwrite(configstore.TeamKey(id), []byte{0xff})
}

func (w *world) replay(version int64) {
	value, _ := configstore.Encode(signedBundle(version))
	w.overwrite(configstore.BundleCurrent, value)
	w.replayed = true
}

// check returns the first promise that is broken.
func (w *world) check() error {
	now := w.clock.Now()
	for _, name := range w.names {
		m := w.vms[name]
		snapshot, fresh := m.view.Current(now)
		if snapshot.BundleVersion() < m.floor {
			return fmt.Errorf("%s went from version %d to %d", name, m.floor, snapshot.BundleVersion())
		}
		m.floor = snapshot.BundleVersion()
		if !fresh {
			continue
		}
		if err := w.checkFresh(snapshot, now); err != nil {
			return fmt.Errorf("%s is fresh, but %w", name, err)
		}
	}
	return nil
}

func (w *world) checkFresh(snapshot *Snapshot, now time.Time) error {
	for id, done := range w.withdrawn {
		key := snapshot.Key(id)
		if now.Sub(done) > MaxConfirmationAge && key != nil && !key.GetWithdrawn() {
			return fmt.Errorf("accepts key %s, withdrawn %s ago", id, now.Sub(done))
		}
	}
	for version, done := range w.inForce {
		if !w.replayed && now.Sub(done) > MaxConfirmationAge && snapshot.BundleVersion() < version {
			return fmt.Errorf("has version %d, %d was signed off %s ago", snapshot.BundleVersion(), version, now.Sub(done))
		}
	}
	return nil
}

// Guards against a view that accepts withdrawn keys or goes back to an older bundle, under lost answers, gaps, outages,
// partitions, replayed and corrupt values, and restarts.
func TestViewStateMachine(t *testing.T) {
	freshByPeers := 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		ctx := context.Background()
		anyVM := func() *vm { return w.vms[rapid.SampledFrom(w.names).Draw(t, "vm")] }
		anyKey := func() string { return rapid.SampledFrom(w.keys).Draw(t, "key") }
		t.Repeat(map[string]func(*rapid.T){
			"sign off": func(*rapid.T) { w.signOff(anyVM()) },
			"issue":    func(*rapid.T) { w.issue(anyVM()) },
			"withdraw": func(*rapid.T) {
				if len(w.keys) > 0 {
					w.withdraw(anyVM(), anyKey())
				}
			},
			"purge": func(*rapid.T) { w.purge(anyVM()) },
			"replay": func(t *rapid.T) {
				if len(w.inForce) > 0 && rapid.IntRange(0, 4).Draw(t, "rarely") == 0 {
					w.replay(rapid.Int64Range(1, int64(len(w.inForce))).Draw(t, "version"))
				}
			},
			"corrupt": func(t *rapid.T) {
				if len(w.keys) > 0 && rapid.IntRange(0, 4).Draw(t, "rarely") == 0 {
					w.corrupt(anyKey())
				}
			},
			"poll":         func(*rapid.T) { _ = anyVM().view.pollStore(ctx, time.Microsecond) },
			"poll all":     func(*rapid.T) { w.pollAll() },
			"heartbeat":    func(*rapid.T) { anyVM().heartbeat() },
			"poll peers":   func(*rapid.T) { anyVM().view.pollPeers(ctx) },
			"store outage": func(t *rapid.T) { w.setDown(rapid.Bool().Draw(t, "down")) },
			"fault": func(t *rapid.T) {
				s := anyVM().store
				s.down = rapid.Bool().Draw(t, "down")
				s.lose = rapid.Bool().Draw(t, "lose")
				s.slow = time.Duration(rapid.IntRange(0, 1500).Draw(t, "slow")) * time.Millisecond
			},
			"repair": func(*rapid.T) { w.repair() },
			// A change that one VM has answered as done right before an outage is known to nobody else.
			"change before outage": func(t *rapid.T) {
				w.repair()
				w.pollAll()
				m := anyVM()
				w.issue(m)
				w.pollAll()
				w.withdraw(m, w.keys[len(w.keys)-1])
				w.setDown(true)
				w.clock.Advance(MaxConfirmationAge + time.Millisecond)
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
				w.cut[link(a, b)] = !w.cut[link(a, b)]
			},
			"restart": func(*rapid.T) { anyVM().restart() },
			"time": func(t *rapid.T) {
				w.clock.Advance(time.Duration(rapid.IntRange(50, 2500).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				if err := w.check(); err != nil {
					t.Fatal(err)
				}
				for _, m := range w.vms {
					if m.view.Fresh(w.clock.Now()) && w.clock.Now().Sub(m.view.storeConfirmed) > MaxConfirmationAge {
						freshByPeers++
					}
				}
			},
		})
	})
	assert.Assert(t, freshByPeers > 0, "no run had a view that was fresh by its peers")
}

func (w *world) setDown(down bool) {
	for _, m := range w.vms {
		m.store.down = down
	}
}

func (w *world) repair() {
	w.setDown(false)
	for _, m := range w.vms {
		m.store.lose, m.store.slow = false, 0
	}
	clear(w.cut)
}

func (w *world) pollAll() {
	for _, name := range slices.Sorted(slices.Values(w.names)) {
		_ = w.vms[name].view.pollStore(context.Background(), time.Microsecond)
	}
}

// Shows that the checker of the state machine finds a view that goes back to an older bundle.
func TestCheckerCatchesADisabledVersionCheck(t *testing.T) {
	for _, disabled := range []bool{false, true} {
		w := newWorld()
		if disabled {
			w.vms["a"].view.supersedes = func(_, _ *siskinv1.BundleProposal) bool { return true }
		}
		w.pollAll()
		w.signOff(w.vms["b"])
		w.signOff(w.vms["b"])
		w.pollAll()
		assert.NilError(t, w.check())
		assert.Equal(t, w.vms["a"].floor, int64(2))
		w.replay(1)
		w.pollAll()
		err := w.check()
		if disabled {
			assert.Error(t, err, "a went from version 2 to 1")
		} else {
			assert.NilError(t, err)
		}
	}
}

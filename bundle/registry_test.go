package bundle_test

import (
	"context"
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/hex"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/bundle"
	"siskinstack.example/siskinstack/clock"
	"siskinstack.example/siskinstack/refusal"
	"siskinstack.example/siskinstack/standin"
)

type fixture struct {
	t        *testing.T
	store    *standin.Store
	signers  bundle.Signers
	registry *bundle.Registry
}

func newFixture(t *testing.T) *fixture {
	var operators []*siskinv1.Operator
	for _, name := range []string{"ann", "bob", "cem", "dia"} {
		public := privateKey(name).Public().(ed25519.PublicKey)
		operators = append(operators, &siskinv1.Operator{Name: name, SignOffKey: hex.EncodeToString(public)})
	}
	f := &fixture{t: t, store: standin.NewStore(clock.NewFake(time.Unix(0, 0))), signers: bundle.NewSigners(operators)}
	f.registry = bundle.NewRegistry(f.store, f.signers)
	return f
}

func privateKey(name string) ed25519.PrivateKey {
	seed := sha256.Sum256([]byte(name))
	return ed25519.NewKeyFromSeed(seed[:])
}

func sampleBundle(version int64) *siskinv1.Bundle {
	ceiling := &siskinv1.Resources{MilliCpu: 64_000, MemoryBytes: 1 << 37}
	return &siskinv1.Bundle{
		Version: version,
		Zones:   []*siskinv1.Zone{{Name: "z1", Region: "r"}, {Name: "z2", Region: "r"}},
		Teams:   []*siskinv1.Team{{Name: "lab", Share: 2, Ceiling: ceiling}, {Name: "archive", Share: 1, Ceiling: proto.CloneOf(ceiling)}},
		Queues:  []*siskinv1.Queue{{Name: "lab", Team: "lab"}, {Name: "public", OpenToAll: true, OpenTeam: "lab"}},
		Services: []*siskinv1.Service{{
			Name: "order", Team: "lab", Slots: 8, Connections: 60, TimeoutMs: 1000, MaxWaiting: 100,
		}},
	}
}

func signature(t *testing.T, p *siskinv1.BundleProposal, signer string) []byte {
	signed, err := bundle.Sign(p, signer, privateKey(signer))
	assert.NilError(t, err)
	return signed
}

func (f *fixture) reviewed(version int64) *siskinv1.BundleProposal {
	p, err := f.registry.Propose(f.t.Context(), sampleBundle(version), "ann", "")
	assert.NilError(f.t, err)
	p, err = f.registry.Review(f.t.Context(), version, p.GetContentSha256(), "bob")
	assert.NilError(f.t, err)
	return p
}

func (f *fixture) signOff(ctx context.Context, p *siskinv1.BundleProposal, signer string) error {
	_, err := f.registry.SignOff(ctx, p.GetBundle().GetVersion(), p.GetContentSha256(), signer, signature(f.t, p, signer))
	return err
}

func (f *fixture) inForce() *siskinv1.BundleProposal {
	current, _, err := f.registry.Current(f.t.Context())
	assert.NilError(f.t, err)
	return current
}

func assertRefused(t *testing.T, err error, reason refusal.Reason) {
	t.Helper()
	assert.Assert(t, err != nil, "no refusal, want %s", reason)
	assert.Equal(t, refusal.From(err).Reason, reason, "%v", err)
}

// Guards against a bundle that comes into force with fewer than three operators, without a valid signature, or with a version
// other than the next one.
func TestSignOffNeedsThreeOperators(t *testing.T) {
	f, ctx := newFixture(t), t.Context()
	_, err := f.registry.Propose(ctx, sampleBundle(2), "ann", "")
	assertRefused(t, err, refusal.Conflict)
	p, err := f.registry.Propose(ctx, sampleBundle(1), "ann", "")
	assert.NilError(t, err)
	assertRefused(t, f.signOff(ctx, p, "cem"), refusal.Conflict)
	_, err = f.registry.Review(ctx, 1, p.GetContentSha256(), "ann")
	assertRefused(t, err, refusal.NotPermitted)
	_, err = f.registry.Review(ctx, 1, "other", "bob")
	assertRefused(t, err, refusal.Conflict)
	p, err = f.registry.Review(ctx, 1, p.GetContentSha256(), "bob")
	assert.NilError(t, err)
	assertRefused(t, f.signOff(ctx, p, "ann"), refusal.NotPermitted)
	assertRefused(t, f.signOff(ctx, p, "bob"), refusal.NotPermitted)
	_, err = f.registry.SignOff(ctx, 1, p.GetContentSha256(), "cem", signature(t, p, "dia"))
	assertRefused(t, err, refusal.NotPermitted)
	assert.Assert(t, f.inForce().GetBundle() == nil)

	assert.NilError(t, f.signOff(ctx, p, "cem"))
	assert.NilError(t, f.signOff(ctx, p, "cem"), "a repeated sign-off fails")
	assert.NilError(t, f.signers.Verify(f.inForce()))
	_, err = f.registry.Propose(ctx, sampleBundle(1), "dia", p.GetContentSha256())
	assertRefused(t, err, refusal.Conflict)
	assert.Equal(t, f.reviewed(2).GetBundle().GetVersion(), int64(2))
}

// Guards against a proposal that overwrites another one that its author has not seen, and against an abandoned proposal
// that blocks its version.
func TestProposalIsReplacedOnlyOnRequest(t *testing.T) {
	f, ctx := newFixture(t), t.Context()
	first := f.reviewed(1)
	other := sampleBundle(1)
	other.Comment = "other"
	_, err := f.registry.Propose(ctx, other, "dia", "")
	assertRefused(t, err, refusal.Conflict)
	replaced, err := f.registry.Propose(ctx, other, "dia", first.GetContentSha256())
	assert.NilError(t, err)
	assert.Equal(t, replaced.GetReviewer(), "", "the review of the earlier content was kept")
	assertRefused(t, f.signOff(ctx, first, "cem"), refusal.Conflict)
}

// Guards against two concurrent sign-offs of one version that both report success.
func TestOneConcurrentSignOffSucceeds(t *testing.T) {
	for run := range 50 {
		f := newFixture(t)
		p := f.reviewed(1)
		f.store.SetFaults(standin.StoreFaults{LoseResponses: run % 5})
		signers := []string{"cem", "dia"}
		results := make([]error, len(signers))
		var all sync.WaitGroup
		for i, signer := range signers {
			all.Go(func() { results[i] = f.signOff(t.Context(), p, signer) })
		}
		all.Wait()
		inForceSigner := f.inForce().GetSigner()
		for i, signer := range signers {
			if signer == inForceSigner {
				assert.NilError(t, results[i])
			} else {
				assertRefused(t, results[i], refusal.Conflict)
			}
		}
	}
}

// Guards against a lost response that is reported as a failure, or causes a second change.
func TestLostResponsesAreReadBack(t *testing.T) {
	f, ctx := newFixture(t), t.Context()
	loseResponses := func() { f.store.SetFaults(standin.StoreFaults{LoseResponses: 2}) }
	loseResponses()
	p, err := f.registry.Propose(ctx, sampleBundle(1), "ann", "")
	assert.NilError(t, err)
	loseResponses()
	p, err = f.registry.Review(ctx, 1, p.GetContentSha256(), "bob")
	assert.NilError(t, err)
	loseResponses()
	assert.NilError(t, f.signOff(ctx, p, "cem"))
	f.store.SetFaults(standin.StoreFaults{})
	assert.Equal(t, f.inForce().GetSigner(), "cem")
	assert.Equal(t, f.store.Counts().Writes, int64(4))
}

// Guards against a sign-off that was interrupted between its two writes and blocks the version permanently.
func TestInterruptedSignOffIsCompleted(t *testing.T) {
	f, ctx := newFixture(t), t.Context()
	p := f.reviewed(1)
	assert.NilError(t, f.signOff(ctx, p, "cem"))
	_, revision, err := f.registry.Current(ctx)
	assert.NilError(t, err)
	assert.NilError(t, f.store.Delete(ctx, "config/bundle/current", revision))
	assertRefused(t, f.signOff(ctx, p, "dia"), refusal.Conflict)
	assert.Equal(t, f.inForce().GetSigner(), "cem")
}

// Guards against a store outage that is reported as a conflict or a lack of permission.
func TestStoreOutage(t *testing.T) {
	f, ctx := newFixture(t), t.Context()
	p := f.reviewed(1)
	f.store.SetFaults(standin.StoreFaults{Down: true})
	assertRefused(t, f.signOff(ctx, p, "cem"), refusal.StoreUnavailable)
	_, err := f.registry.Propose(ctx, sampleBundle(1), "ann", "")
	assertRefused(t, err, refusal.StoreUnavailable)
}

// Guards against a VM that puts a bundle in force that was changed after the sign-off.
func TestVerifyFindsEveryChange(t *testing.T) {
	f := newFixture(t)
	assert.NilError(t, f.signOff(t.Context(), f.reviewed(1), "cem"))
	changes := map[string]func(*siskinv1.BundleProposal){
		"content":   func(p *siskinv1.BundleProposal) { p.Bundle.Teams[0].Share++ },
		"version":   func(p *siskinv1.BundleProposal) { p.Bundle.Version++ },
		"hash":      func(p *siskinv1.BundleProposal) { p.ContentSha256 = "00" },
		"author":    func(p *siskinv1.BundleProposal) { p.Author = "dia" },
		"reviewer":  func(p *siskinv1.BundleProposal) { p.Reviewer = "dia" },
		"signer":    func(p *siskinv1.BundleProposal) { p.Signer = "dia" },
		"unknown":   func(p *siskinv1.BundleProposal) { p.Signer = "eve" },
		"same":      func(p *siskinv1.BundleProposal) { p.Reviewer = p.Signer },
		"signature": func(p *siskinv1.BundleProposal) { p.Signature[3]++ },
		"no bundle": func(p *siskinv1.BundleProposal) { p.Bundle = nil },
		"invalid content": func(p *siskinv1.BundleProposal) {
			p.Bundle.Zones = nil
			p.ContentSha256, _ = bundle.ContentHash(p.Bundle)
			p.Signature = signature(t, p, p.Signer)
		},
	}
	for name, change := range changes {
		p := proto.CloneOf(f.inForce())
		change(p)
		assert.ErrorIs(t, f.signers.Verify(p), bundle.ErrNotVerified, name)
	}
}

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

type site struct {
	t        *testing.T
	store    *standin.Store
	signers  bundle.Signers
	registry *bundle.Registry
}

func newSite(t *testing.T) *site {
	var operators []*siskinv1.Operator
	for _, name := range []string{"ann", "bob", "cem", "dia"} {
		public := privateKey(name).Public().(ed25519.PublicKey)
		operators = append(operators, &siskinv1.Operator{Name: name, SignOffKey: hex.EncodeToString(public)})
	}
	s := &site{t: t, store: standin.NewStore(clock.NewFake(time.Unix(0, 0))), signers: bundle.NewSigners(operators)}
	s.registry = bundle.NewRegistry(s.store, s.signers)
	return s
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

func (s *site) reviewed(version int64) *siskinv1.BundleProposal {
	p, err := s.registry.Propose(s.t.Context(), sampleBundle(version), "ann", "")
	assert.NilError(s.t, err)
	p, err = s.registry.Review(s.t.Context(), version, p.GetContentSha256(), "bob")
	assert.NilError(s.t, err)
	return p
}

func (s *site) signOff(ctx context.Context, p *siskinv1.BundleProposal, signer string) error {
	_, err := s.registry.SignOff(ctx, p.GetBundle().GetVersion(), p.GetContentSha256(), signer, signature(s.t, p, signer))
	return err
}

func (s *site) inForce() *siskinv1.BundleProposal {
	current, _, err := s.registry.Current(s.t.Context())
	assert.NilError(s.t, err)
	return current
}

func assertRefused(t *testing.T, err error, reason refusal.Reason) {
	t.Helper()
	assert.Assert(t, err != nil, "no refusal, want %s", reason)
	assert.Equal(t, refusal.From(err).Reason, reason, "%v", err)
}

// Guards against a bundle in force without three persons, a signature or the right version.
func TestSignOffNeedsThreePersons(t *testing.T) {
	s, ctx := newSite(t), t.Context()
	_, err := s.registry.Propose(ctx, sampleBundle(2), "ann", "")
	assertRefused(t, err, refusal.Conflict)
	p, err := s.registry.Propose(ctx, sampleBundle(1), "ann", "")
	assert.NilError(t, err)
	assertRefused(t, s.signOff(ctx, p, "cem"), refusal.Conflict)
	_, err = s.registry.Review(ctx, 1, p.GetContentSha256(), "ann")
	assertRefused(t, err, refusal.NotPermitted)
	_, err = s.registry.Review(ctx, 1, "other", "bob")
	assertRefused(t, err, refusal.Conflict)
	p, err = s.registry.Review(ctx, 1, p.GetContentSha256(), "bob")
	assert.NilError(t, err)
	assertRefused(t, s.signOff(ctx, p, "ann"), refusal.NotPermitted)
	assertRefused(t, s.signOff(ctx, p, "bob"), refusal.NotPermitted)
	_, err = s.registry.SignOff(ctx, 1, p.GetContentSha256(), "cem", signature(t, p, "dia"))
	assertRefused(t, err, refusal.NotPermitted)
	assert.Assert(t, s.inForce().GetBundle() == nil)

	assert.NilError(t, s.signOff(ctx, p, "cem"))
	assert.NilError(t, s.signOff(ctx, p, "cem"), "a repeated sign-off fails")
	assert.NilError(t, s.signers.Verify(s.inForce()))
	_, err = s.registry.Propose(ctx, sampleBundle(1), "dia", p.GetContentSha256())
	assertRefused(t, err, refusal.Conflict)
	assert.Equal(t, s.reviewed(2).GetBundle().GetVersion(), int64(2))
}

// Guards against a proposal that replaces another one unseen, and against an abandoned one that blocks its version.
func TestProposalIsReplacedOnPurposeOnly(t *testing.T) {
	s, ctx := newSite(t), t.Context()
	first := s.reviewed(1)
	other := sampleBundle(1)
	other.Comment = "other"
	_, err := s.registry.Propose(ctx, other, "dia", "")
	assertRefused(t, err, refusal.Conflict)
	replaced, err := s.registry.Propose(ctx, other, "dia", first.GetContentSha256())
	assert.NilError(t, err)
	assert.Equal(t, replaced.GetReviewer(), "", "the review of the earlier content was kept")
	assertRefused(t, s.signOff(ctx, first, "cem"), refusal.Conflict)
}

// Guards against two sign-offs of one version that both report success.
func TestRacingSignersHaveOneWinner(t *testing.T) {
	for run := range 50 {
		s := newSite(t)
		p := s.reviewed(1)
		s.store.SetFaults(standin.StoreFaults{LoseAnswers: run % 5})
		signers := []string{"cem", "dia"}
		results := make([]error, len(signers))
		var all sync.WaitGroup
		for i, signer := range signers {
			all.Go(func() { results[i] = s.signOff(t.Context(), p, signer) })
		}
		all.Wait()
		winner := s.inForce().GetSigner()
		for i, signer := range signers {
			if signer == winner {
				assert.NilError(t, results[i])
			} else {
				assertRefused(t, results[i], refusal.Conflict)
			}
		}
	}
}

// Guards against a lost answer that is reported as a failure, or repeated as a second change.
func TestLostAnswersAreReadBack(t *testing.T) {
	s, ctx := newSite(t), t.Context()
	lose := func() { s.store.SetFaults(standin.StoreFaults{LoseAnswers: 2}) }
	lose()
	p, err := s.registry.Propose(ctx, sampleBundle(1), "ann", "")
	assert.NilError(t, err)
	lose()
	p, err = s.registry.Review(ctx, 1, p.GetContentSha256(), "bob")
	assert.NilError(t, err)
	lose()
	assert.NilError(t, s.signOff(ctx, p, "cem"))
	s.store.SetFaults(standin.StoreFaults{})
	assert.Equal(t, s.inForce().GetSigner(), "cem")
	assert.Equal(t, s.store.Counts().Writes, int64(4))
}

// Guards against a sign-off that was interrupted between its two writes and blocks the version for ever.
func TestInterruptedSignOffIsCompleted(t *testing.T) {
	s, ctx := newSite(t), t.Context()
	p := s.reviewed(1)
	assert.NilError(t, s.signOff(ctx, p, "cem"))
	_, revision, err := s.registry.Current(ctx)
	assert.NilError(t, err)
	assert.NilError(t, s.store.Delete(ctx, "config/bundle/current", revision))
	assertRefused(t, s.signOff(ctx, p, "dia"), refusal.Conflict)
	assert.Equal(t, s.inForce().GetSigner(), "cem")
}

// Guards against a store outage that is taken for a decision.
func TestStoreOutage(t *testing.T) {
	s, ctx := newSite(t), t.Context()
	p := s.reviewed(1)
	s.store.SetFaults(standin.StoreFaults{Down: true})
	assertRefused(t, s.signOff(ctx, p, "cem"), refusal.StoreUnavailable)
	_, err := s.registry.Propose(ctx, sampleBundle(1), "ann", "")
	assertRefused(t, err, refusal.StoreUnavailable)
}

// Guards against a VM that puts a bundle in force which was changed after the sign-off.
func TestVerifyFindsEveryChange(t *testing.T) {
	s := newSite(t)
	assert.NilError(t, s.signOff(t.Context(), s.reviewed(1), "cem"))
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
		"unsound": func(p *siskinv1.BundleProposal) {
			p.Bundle.Zones = nil
			p.ContentSha256, _ = bundle.ContentHash(p.Bundle)
			p.Signature = signature(t, p, p.Signer)
		},
	}
	for name, change := range changes {
		p := proto.CloneOf(s.inForce())
		change(p)
		assert.ErrorIs(t, s.signers.Verify(p), bundle.ErrNotVerified, name)
	}
}

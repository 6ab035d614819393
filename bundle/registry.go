package bundle

import (
	"context"

	"google.golang.org/protobuf/proto"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/configstore"
	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/refusal"
)

// Registry keeps the bundles in the store, from proposal to sign-off. All errors are refusals.
//
// A sign-off is first recorded in the proposal and then put in force. Only one proposal of a version can be signed,
// because a signed proposal is never replaced. A sign-off that was interrupted between the two writes is completed by the
// next sign-off of any operator.
type Registry struct {
	store   infra.Store
	signers Signers
}

// NewRegistry returns a registry that verifies signatures with the sign-off keys of signers.
func NewRegistry(store infra.Store, signers Signers) *Registry {
	return &Registry{store: store, signers: signers}
}

// Current returns the proposal whose bundle is in force; its bundle is nil before the first sign-off.
func (r *Registry) Current(ctx context.Context) (*siskinv1.BundleProposal, infra.Revision, error) {
	current := &siskinv1.BundleProposal{}
	revision, err := configstore.Read(ctx, r.store, configstore.BundleCurrent, current)
	return current, revision, err
}

// Get returns the proposal of a version.
func (r *Registry) Get(ctx context.Context, version int64) (*siskinv1.BundleProposal, error) {
	p, _, err := r.read(ctx, version)
	return p, err
}

func (r *Registry) read(ctx context.Context, version int64) (*siskinv1.BundleProposal, infra.Revision, error) {
	p := &siskinv1.BundleProposal{}
	revision, err := configstore.Read(ctx, r.store, configstore.Proposal(version), p)
	if err == nil && revision == 0 {
		err = refusal.New(refusal.NotFound, "no bundle of version %d is proposed", version)
	}
	return p, revision, err
}

// Propose stores a bundle as the proposal of its version. An unsigned proposal of the same version is only replaced if
// replaces is its content hash.
func (r *Registry) Propose(ctx context.Context, b *siskinv1.Bundle, author, replaces string) (*siskinv1.BundleProposal, error) {
	if err := Validate(b).Err(); err != nil {
		return nil, refusal.New(refusal.BadRequest, "%v", err)
	}
	if err := r.checkNext(ctx, b.GetVersion()); err != nil {
		return nil, err
	}
	hash, err := ContentHash(b)
	if err != nil {
		return nil, refusal.New(refusal.InternalError, "%v", err)
	}
	proposal := &siskinv1.BundleProposal{Bundle: proto.CloneOf(b), Author: author, ContentSha256: hash}
	earlier := &siskinv1.BundleProposal{}
	revision, err := configstore.Read(ctx, r.store, configstore.Proposal(b.GetVersion()), earlier)
	switch {
	case err != nil:
		return nil, err
	case revision != 0 && isSameProposal(earlier, proposal):
		return earlier, nil
	case revision != 0 && r.isSigned(earlier):
		return nil, refusal.New(refusal.Conflict, "version %d is already signed by %s", b.GetVersion(), earlier.GetSigner())
	case revision != 0 && earlier.GetContentSha256() != replaces:
		return nil, refusal.New(refusal.Conflict, "version %d is already proposed by %s with content hash %s",
			b.GetVersion(), earlier.GetAuthor(), earlier.GetContentSha256())
	}
	return proposal, r.write(ctx, proposal, revision)
}

func isSameProposal(a, b *siskinv1.BundleProposal) bool {
	return a.GetAuthor() == b.GetAuthor() && a.GetContentSha256() == b.GetContentSha256()
}

func (r *Registry) isSigned(p *siskinv1.BundleProposal) bool {
	return p.GetSigner() != "" && r.signers.Verify(p) == nil
}

func (r *Registry) checkNext(ctx context.Context, version int64) error {
	current, _, err := r.Current(ctx)
	if err != nil {
		return err
	}
	if inForce := current.GetBundle().GetVersion(); version != inForce+1 {
		return refusal.New(refusal.Conflict, "version %d does not follow version %d, which is in force", version, inForce)
	}
	return nil
}

// write stores a proposal. If the value that was read back has the same author, content, reviewer and signer, the write was
// applied, even if a review or a signature was added since.
func (r *Registry) write(ctx context.Context, p *siskinv1.BundleProposal, expected infra.Revision) error {
	value, err := configstore.Encode(p)
	if err != nil {
		return refusal.New(refusal.InternalError, "%v", err)
	}
	return configstore.Apply(ctx, r.store, configstore.Write{
		Key: configstore.Proposal(p.GetBundle().GetVersion()), Value: value, Expected: expected,
		IsApplied: func(value []byte) bool {
			found := &siskinv1.BundleProposal{}
			return proto.Unmarshal(value, found) == nil && isSameProposal(found, p) &&
				(p.GetReviewer() == "" || p.GetReviewer() == found.GetReviewer()) &&
				(p.GetSigner() == "" || p.GetSigner() == found.GetSigner())
		},
	})
}

// Review records the reviewer of a proposal. hash is the hash of the content that the reviewer has seen.
func (r *Registry) Review(ctx context.Context, version int64, hash, reviewer string) (*siskinv1.BundleProposal, error) {
	p, revision, err := r.read(ctx, version)
	if err != nil {
		return nil, err
	}
	switch {
	case p.GetContentSha256() != hash:
		return nil, refusal.New(refusal.Conflict, "the hash of the proposed content is %s", p.GetContentSha256())
	case p.GetReviewer() == reviewer:
		return p, nil
	case p.GetAuthor() == reviewer:
		return nil, refusal.New(refusal.NotPermitted, "the author can't review")
	case p.GetReviewer() != "":
		return nil, refusal.New(refusal.Conflict, "already reviewed by %s", p.GetReviewer())
	}
	if err := r.checkNext(ctx, version); err != nil {
		return nil, err
	}
	p.Reviewer = reviewer
	return p, r.write(ctx, p, revision)
}

package bundle

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/configstore"
	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/refusal"
)

// SignOff records the signature of a reviewed proposal and puts its bundle in force.
func (r *Registry) SignOff(ctx context.Context, version int64, hash, signer string, signature []byte) (*siskinv1.BundleProposal, error) {
	p, revision, err := r.read(ctx, version)
	if err != nil {
		return nil, err
	}
	if p.GetContentSha256() != hash {
		return nil, refusal.New(refusal.Conflict, "the hash of the proposed content is %s", p.GetContentSha256())
	}
	if r.isSigned(p) {
		return r.completeSignOff(ctx, p, signer)
	}
	if err := r.sign(p, signer, signature); err != nil {
		return nil, err
	}
	if err := r.checkNext(ctx, version); err != nil {
		return nil, err
	}
	if err := r.write(ctx, p, revision); err != nil {
		return nil, err
	}
	return p, r.putInForce(ctx, p)
}

// completeSignOff completes the sign-off that is recorded in the proposal and may have been interrupted.
func (r *Registry) completeSignOff(ctx context.Context, p *siskinv1.BundleProposal, signer string) (*siskinv1.BundleProposal, error) {
	if err := r.putInForce(ctx, p); err != nil {
		return nil, err
	}
	if p.GetSigner() != signer {
		return nil, refusal.New(refusal.Conflict, "already signed by %s", p.GetSigner())
	}
	return p, nil
}

// sign adds a signature to a proposal and verifies the proposal as every VM does.
func (r *Registry) sign(p *siskinv1.BundleProposal, signer string, signature []byte) error {
	switch {
	case p.GetReviewer() == "":
		return refusal.New(refusal.Conflict, "version %d is not reviewed", p.GetBundle().GetVersion())
	case signer == p.GetAuthor() || signer == p.GetReviewer():
		return refusal.New(refusal.NotPermitted, "neither the author nor the reviewer can sign")
	}
	p.Signer, p.Signature, p.SignedUnixMs = signer, signature, time.Now().UnixMilli()
	if err := r.signers.Verify(p); err != nil {
		return refusal.New(refusal.NotPermitted, "%v", err)
	}
	return nil
}

// putInForce replaces the bundle in force by p if p has the next version. It has no effect and succeeds if p or a later
// version is already in force.
func (r *Registry) putInForce(ctx context.Context, p *siskinv1.BundleProposal) error {
	current, revision, err := r.Current(ctx)
	if err != nil {
		return unknownAfterSigning(err)
	}
	version, inForce := p.GetBundle().GetVersion(), current.GetBundle().GetVersion()
	if inForce >= version {
		return checkInForce(current, p)
	}
	if inForce != version-1 {
		return refusal.New(refusal.Conflict, "version %d does not follow version %d, which is in force", version, inForce)
	}
	return r.swapCurrent(ctx, p, revision)
}

func (r *Registry) swapCurrent(ctx context.Context, p *siskinv1.BundleProposal, expected infra.Revision) error {
	value, err := configstore.Encode(p)
	if err != nil {
		return refusal.New(refusal.InternalError, "%v", err)
	}
	err = configstore.Apply(ctx, r.store, configstore.Write{
		Key: configstore.BundleCurrent, Value: value, Expected: expected,
		IsApplied: func(value []byte) bool {
			found := &siskinv1.BundleProposal{}
			return proto.Unmarshal(value, found) == nil && checkInForce(found, p) == nil
		},
	})
	return unknownAfterSigning(err)
}

// checkInForce returns a conflict unless current is p or a later version.
func checkInForce(current, p *siskinv1.BundleProposal) error {
	inForce, version := current.GetBundle().GetVersion(), p.GetBundle().GetVersion()
	if inForce > version || inForce == version && isSameProposal(current, p) && current.GetSigner() == p.GetSigner() {
		return nil
	}
	return refusal.New(refusal.Conflict, "version %d signed by %s is in force", inForce, current.GetSigner())
}

// unknownAfterSigning replaces store_unavailable, which would state that the request had no effect, by acceptance_unknown:
// the signature is recorded already, and the next sign-off puts the bundle in force.
func unknownAfterSigning(err error) error {
	if err == nil {
		return nil
	}
	if refused := refusal.From(err); refused.Reason == refusal.StoreUnavailable {
		return refusal.New(refusal.AcceptanceUnknown, "the sign-off is recorded but may not be in force yet: %s", refused.Message)
	}
	return err
}

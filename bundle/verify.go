package bundle

import (
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/hex"

	"github.com/rotisserie/eris"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/configstore"
)

// ErrNotVerified means that the verification of a bundle failed, so it must not come into force.
var ErrNotVerified = eris.New("bundle is not verified")

// ContentHash returns the hex SHA-256 of the deterministic encoding of a bundle.
func ContentHash(b *siskinv1.Bundle) (string, error) {
	content, err := configstore.Encode(b)
	if err != nil {
		return "", err
	}
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:]), nil
}

// SigningBytes returns the bytes that the signer of a proposal signs.
func SigningBytes(p *siskinv1.BundleProposal, signer string) ([]byte, error) {
	return configstore.Encode(&siskinv1.SignedContent{
		Version: p.GetBundle().GetVersion(), ContentSha256: p.GetContentSha256(),
		Author: p.GetAuthor(), Reviewer: p.GetReviewer(), Signer: signer,
	})
}

// Sign returns the signature over a reviewed proposal, for operators' tools.
func Sign(p *siskinv1.BundleProposal, signer string, key ed25519.PrivateKey) ([]byte, error) {
	content, err := SigningBytes(p, signer)
	if err != nil {
		return nil, err
	}
	return ed25519.Sign(key, content), nil
}

// Signers maps the names of the operators in the settings to their sign-off keys.
type Signers map[string]ed25519.PublicKey

// NewSigners returns the sign-off keys of operators. Operators without a valid key can't sign.
func NewSigners(operators []*siskinv1.Operator) Signers {
	signers := Signers{}
	for _, operator := range operators {
		key, err := hex.DecodeString(operator.GetSignOffKey())
		if err == nil && len(key) == ed25519.PublicKeySize {
			signers[operator.GetName()] = key
		}
	}
	return signers
}

// Verify checks a signed proposal before its bundle comes into force: content hash, three different operators, signature
// by a known signer, and valid content.
func (s Signers) Verify(p *siskinv1.BundleProposal) error {
	hash, err := ContentHash(p.GetBundle())
	if err != nil {
		return err
	}
	if p.GetBundle() == nil || hash != p.GetContentSha256() {
		return eris.Wrap(ErrNotVerified, "content differs from its hash")
	}
	if err := checkOperators(p); err != nil {
		return err
	}
	key, ok := s[p.GetSigner()]
	if !ok {
		return eris.Wrapf(ErrNotVerified, "no sign-off key of %q is known", p.GetSigner())
	}
	signed, err := SigningBytes(p, p.GetSigner())
	if err != nil {
		return err
	}
	if !ed25519.Verify(key, signed, p.GetSignature()) {
		return eris.Wrapf(ErrNotVerified, "signature of %q does not match", p.GetSigner())
	}
	if err := Validate(p.GetBundle()).Err(); err != nil {
		return eris.Wrap(ErrNotVerified, err.Error())
	}
	return nil
}

func checkOperators(p *siskinv1.BundleProposal) error {
	author, reviewer, signer := p.GetAuthor(), p.GetReviewer(), p.GetSigner()
	if author == "" || reviewer == "" || signer == "" {
		return eris.Wrap(ErrNotVerified, "author, reviewer or signer is missing")
	}
	if author == reviewer || author == signer || reviewer == signer {
		return eris.Wrap(ErrNotVerified, "author, reviewer and signer are not three different operators")
	}
	return nil
}

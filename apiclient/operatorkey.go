package apiclient

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/sha256"
	"crypto/x509"
	"encoding/hex"
	"encoding/pem"
	"strings"

	"github.com/rotisserie/eris"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/bundle"
	"siskinstack.example/siskinstack/names"
)

// tokenBytes is the length of an operator's token; 256 random bits need no slow password hash.
const tokenBytes = 32

const (
	operatorPrefix = "op_"
	pemType        = "PRIVATE KEY"
)

// OperatorKey holds the secrets of an operator.
type OperatorKey struct {
	Name    string
	Token   string
	SignOff ed25519.PrivateKey
}

// NewOperatorKey generates the secrets of an operator.
func NewOperatorKey(name string) (OperatorKey, error) {
	if !names.IsValid(name) {
		return OperatorKey{}, eris.Errorf("%q is not a valid name: use lower-case letters, digits and inner hyphens", name)
	}
	token := make([]byte, tokenBytes)
	if _, err := rand.Read(token); err != nil {
		return OperatorKey{}, eris.Wrap(err, "generate token")
	}
	_, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return OperatorKey{}, eris.Wrap(err, "generate sign-off key")
	}
	return OperatorKey{Name: name, Token: hex.EncodeToString(token), SignOff: private}, nil
}

// Bearer returns the bearer token that the operator sends.
func (k OperatorKey) Bearer() string { return operatorPrefix + k.Name + "_" + k.Token }

// Settings returns the entry for the settings of every entry VM; it holds no secret.
func (k OperatorKey) Settings() *siskinv1.Operator {
	hash := sha256.Sum256([]byte(k.Token))
	public, _ := k.SignOff.Public().(ed25519.PublicKey)
	return &siskinv1.Operator{
		Name: k.Name, TokenSha256: hex.EncodeToString(hash[:]), SignOffKey: hex.EncodeToString(public),
	}
}

// OperatorName returns the name in an operator key.
func OperatorName(bearer string) (string, error) {
	rest, ok := strings.CutPrefix(bearer, operatorPrefix)
	name, token, separated := strings.Cut(rest, "_")
	if !ok || !separated || name == "" || token == "" {
		return "", eris.New("key is not an operator key of the form op_<name>_<token>")
	}
	return name, nil
}

// EncodePrivateKey returns a sign-off key as PEM.
func EncodePrivateKey(key ed25519.PrivateKey) ([]byte, error) {
	text, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, eris.Wrap(err, "encode private key")
	}
	return pem.EncodeToMemory(&pem.Block{Type: pemType, Bytes: text}), nil
}

// DecodePrivateKey reads a sign-off key from PEM.
func DecodePrivateKey(text []byte) (ed25519.PrivateKey, error) {
	block, _ := pem.Decode(text)
	if block == nil || block.Type != pemType {
		return nil, eris.New("file contains no PEM private key")
	}
	parsed, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return nil, eris.Wrap(err, "decode private key")
	}
	key, ok := parsed.(ed25519.PrivateKey)
	if !ok {
		return nil, eris.New("private key is not an Ed25519 key")
	}
	return key, nil
}

// Sign signs a proposal for signer. It returns an error if the proposal's hash does not match its content.
func Sign(proposal *siskinv1.BundleProposal, signer string, key ed25519.PrivateKey) ([]byte, error) {
	hash, err := bundle.ContentHash(proposal.GetBundle())
	if err != nil {
		return nil, err
	}
	if hash != proposal.GetContentSha256() {
		return nil, eris.Errorf("content has hash %s, but the proposal names %s", hash, proposal.GetContentSha256())
	}
	content, err := bundle.SigningBytes(proposal, signer)
	if err != nil {
		return nil, err
	}
	return ed25519.Sign(key, content), nil
}

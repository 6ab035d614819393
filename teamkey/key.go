// Package teamkey issues, verifies and withdraws the keys of teams, and verifies the tokens of operators.
package teamkey

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/refusal"
)

const (
	keyPrefix   = "sk_"
	idBytes     = 8
	secretBytes = 32 // 256 random bits can't be guessed, so a slow hash is not needed
)

// Key is a team key with its secret, as its holder uses it.
type Key struct {
	ID     string
	secret string
}

func newKey() Key {
	var random [idBytes + secretBytes]byte
	// Read of crypto/rand never returns an error.
	_, _ = rand.Read(random[:])
	return Key{ID: hex.EncodeToString(random[:idBytes]), secret: hex.EncodeToString(random[idBytes:])}
}

// String returns sk_<id>_<secret>. It must not be logged.
func (k Key) String() string { return keyPrefix + k.ID + "_" + k.secret }

// hash returns the SHA-256 of the secret, which is stored in its place.
func (k Key) hash() []byte {
	sum := sha256.Sum256([]byte(k.secret))
	return sum[:]
}

// Parse parses a key of the form sk_<id>_<secret>.
func Parse(text string) (Key, bool) {
	rest, ok := strings.CutPrefix(text, keyPrefix)
	if !ok {
		return Key{}, false
	}
	id, secret, ok := strings.Cut(rest, "_")
	if !ok || !isHex(id, idBytes) || !isHex(secret, secretBytes) {
		return Key{}, false
	}
	return Key{ID: id, secret: secret}, true
}

func isHex(text string, size int) bool {
	return len(text) == 2*size && strings.Trim(text, "0123456789abcdef") == ""
}

// Verify returns nil if k matches stored and has not been withdrawn, and a refusal otherwise. A nil stored means that the
// key is unknown. The comparison takes the same time for a wrong secret and for an unknown key, and only the holder of the
// secret learns that a key has been withdrawn.
func (k Key) Verify(stored *siskinv1.TeamKey) error {
	expected := stored.GetSecretSha256()
	known := stored.GetId() == k.ID && len(expected) == sha256.Size
	if !known {
		expected = make([]byte, sha256.Size)
	}
	equal := subtle.ConstantTimeCompare(k.hash(), expected) == 1
	switch {
	case !known || !equal:
		return refusal.New(refusal.KeyUnknown, "the key is unknown")
	case stored.GetWithdrawn():
		return refusal.New(refusal.KeyWithdrawn, "the key %s has been withdrawn", k.ID)
	default:
		return nil
	}
}

// Bearer returns the token of an Authorization header.
func Bearer(header string) (string, bool) {
	scheme, token, ok := strings.Cut(header, " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") || token == "" {
		return "", false
	}
	return token, true
}

// Authenticate returns the team whose key is in an Authorization header. find returns the stored key with an id, or nil.
// The caller has to check that the view from which find reads is fresh.
func Authenticate(header string, find func(id string) *siskinv1.TeamKey) (team string, err error) {
	if header == "" {
		return "", refusal.New(refusal.KeyMissing, "the header Authorization: Bearer sk_... is missing")
	}
	token, ok := Bearer(header)
	if !ok {
		return "", refusal.New(refusal.KeyUnknown, "the header Authorization is not of the form Bearer sk_...")
	}
	key, ok := Parse(token)
	if !ok {
		return "", refusal.New(refusal.KeyUnknown, "the key is not of the form sk_<id>_<secret>")
	}
	stored := find(key.ID)
	if err := key.Verify(stored); err != nil {
		return "", err
	}
	return stored.GetTeam(), nil
}

package teamkey

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/refusal"
)

const operatorPrefix = "op_"

// Operators verifies the tokens of the operators in the settings. It is immutable.
type Operators struct {
	tokenHashes map[string][]byte // SHA-256 of the token by operator name
}

// NewOperators returns the operators in the settings. Operators without a valid token hash can't authenticate.
func NewOperators(operators []*siskinv1.Operator) *Operators {
	o := &Operators{tokenHashes: map[string][]byte{}}
	for _, operator := range operators {
		hash, err := hex.DecodeString(operator.GetTokenSha256())
		if err == nil && len(hash) == sha256.Size {
			o.tokenHashes[operator.GetName()] = hash
		}
	}
	return o
}

// Authenticate returns the operator whose token is in an Authorization header, or a refusal.
func (o *Operators) Authenticate(header string) (name string, err error) {
	if header == "" {
		return "", refusal.New(refusal.KeyMissing, "the header Authorization: Bearer op_... is missing")
	}
	bearer, ok := Bearer(header)
	if !ok {
		return "", refusal.New(refusal.KeyUnknown, "the header Authorization is not of the form Bearer op_...")
	}
	if _, isTeamKey := Parse(bearer); isTeamKey {
		return "", refusal.New(refusal.NotPermitted, "a team key does not authorize operator requests")
	}
	rest, ok := strings.CutPrefix(bearer, operatorPrefix)
	if !ok {
		return "", refusal.New(refusal.KeyUnknown, "the token is not of the form op_<name>_<token>")
	}
	name, token, _ := strings.Cut(rest, "_")
	expected, known := o.tokenHashes[name]
	if !known {
		expected = make([]byte, sha256.Size)
	}
	sum := sha256.Sum256([]byte(token))
	if subtle.ConstantTimeCompare(sum[:], expected) != 1 || !known || token == "" {
		return "", refusal.New(refusal.KeyUnknown, "the operator's token is unknown")
	}
	return name, nil
}

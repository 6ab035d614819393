package teamkey_test

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/clock"
	"siskinstack.example/siskinstack/configstore"
	"siskinstack.example/siskinstack/refusal"
	"siskinstack.example/siskinstack/standin"
	"siskinstack.example/siskinstack/teamkey"
)

func newRegistry() (*standin.Store, *teamkey.Registry) {
	fake := clock.NewFake(time.UnixMilli(1000))
	store := standin.NewStore(fake)
	return store, teamkey.NewRegistry(store, fake)
}

func stored(t *testing.T, store *standin.Store, id string) *siskinv1.TeamKey {
	found, err := store.Get(t.Context(), configstore.TeamKey(id))
	if err != nil {
		return nil
	}
	key := &siskinv1.TeamKey{}
	assert.NilError(t, proto.Unmarshal(found.Value, key))
	return key
}

func assertRefused(t *testing.T, err error, reason refusal.Reason) {
	t.Helper()
	assert.Assert(t, err != nil, "no refusal, want %s", reason)
	assert.Equal(t, refusal.From(err).Reason, reason)
}

// Guards against a key that is accepted for another team, after its withdrawal, or with another secret, and against a
// secret that is written to the store.
func TestKeyLifetime(t *testing.T) {
	store, registry := newRegistry()
	key, _, err := registry.Issue(t.Context(), "lab", "ann")
	assert.NilError(t, err)
	find := func(id string) *siskinv1.TeamKey { return stored(t, store, id) }
	header := "Bearer " + key.String()
	team, err := teamkey.Authenticate(header, find)
	assert.NilError(t, err)
	assert.Equal(t, team, "lab")

	secret := strings.SplitN(key.String(), "_", 3)[2]
	raw, err := store.Get(t.Context(), configstore.TeamKey(key.ID))
	assert.NilError(t, err)
	assert.Assert(t, !bytes.Contains(raw.Value, []byte(secret)))

	other, _, err := registry.Issue(t.Context(), "archive", "ann")
	assert.NilError(t, err)
	_, err = teamkey.Authenticate("Bearer sk_"+other.ID+"_"+secret, find)
	assertRefused(t, err, refusal.KeyUnknown)

	first, err := registry.Withdraw(t.Context(), key.ID)
	assert.NilError(t, err)
	again, err := registry.Withdraw(t.Context(), key.ID)
	assert.NilError(t, err)
	assert.Assert(t, proto.Equal(first, again))
	_, err = teamkey.Authenticate(header, find)
	assertRefused(t, err, refusal.KeyWithdrawn)
	_, err = teamkey.Authenticate("Bearer sk_"+key.ID+"_"+strings.Repeat("0", 64), find)
	assertRefused(t, err, refusal.KeyUnknown)
	_, err = registry.Withdraw(t.Context(), "../bundle/current")
	assertRefused(t, err, refusal.NotFound)
}

// Guards against a change of a key that is reported as failed although it took effect, or as successful although it did not.
func TestLostResponses(t *testing.T) {
	store, registry := newRegistry()
	store.SetFaults(standin.StoreFaults{LoseResponses: 1})
	key, _, err := registry.Issue(t.Context(), "lab", "ann")
	assert.NilError(t, err)
	store.SetFaults(standin.StoreFaults{LoseResponses: 1})
	_, err = registry.Withdraw(t.Context(), key.ID)
	assert.NilError(t, err)
	assert.Assert(t, stored(t, store, key.ID).GetWithdrawn())
	store.SetFaults(standin.StoreFaults{Down: true})
	_, err = registry.Withdraw(t.Context(), key.ID)
	assertRefused(t, err, refusal.StoreUnavailable)
	_, _, err = registry.Issue(t.Context(), "lab", "ann")
	assertRefused(t, err, refusal.AcceptanceUnknown)
}

// Guards against malformed headers that are parsed as another key or make the parser panic.
func TestMalformedHeaders(t *testing.T) {
	_, registry := newRegistry()
	key, _, err := registry.Issue(t.Context(), "lab", "ann")
	assert.NilError(t, err)
	text := key.String()
	none := func(string) *siskinv1.TeamKey { return nil }
	for _, header := range []string{
		text, "Bearer", "Bearer ", "Basic " + text, "Bearer " + text + " ", "Bearer  " + text, "Bearer " + text + "0",
		"Bearer " + strings.ToUpper(text), "Bearer sk__", "Bearer sk_" + strings.Repeat("a", 1<<16), "Bearer " + text,
	} {
		_, err := teamkey.Authenticate(header, none)
		assertRefused(t, err, refusal.KeyUnknown)
	}
	_, err = teamkey.Authenticate("", none)
	assertRefused(t, err, refusal.KeyMissing)
}

// Guards against an operator who authenticates with another operator's token, an empty token or a team key.
func TestOperatorTokens(t *testing.T) {
	hash := func(token string) string {
		sum := sha256.Sum256([]byte(token))
		return hex.EncodeToString(sum[:])
	}
	operators := teamkey.NewOperators([]*siskinv1.Operator{
		{Name: "ann", TokenSha256: hash("one_1")}, {Name: "bob", TokenSha256: hash("two")},
		{Name: "cem", TokenSha256: hash("")}, {Name: "dia", TokenSha256: ""},
	})
	name, err := operators.Authenticate("bearer op_ann_one_1")
	assert.NilError(t, err)
	assert.Equal(t, name, "ann")
	for _, token := range []string{"op_bob_one_1", "op_cem_", "op_cem", "op_dia_", "op_eve_x", "op_", "ann_one_1"} {
		_, err := operators.Authenticate("Bearer " + token)
		assertRefused(t, err, refusal.KeyUnknown)
	}
	_, registry := newRegistry()
	key, _, err := registry.Issue(t.Context(), "lab", "ann")
	assert.NilError(t, err)
	_, err = operators.Authenticate("Bearer " + key.String())
	assertRefused(t, err, refusal.NotPermitted)
	_, err = operators.Authenticate("")
	assertRefused(t, err, refusal.KeyMissing)
}

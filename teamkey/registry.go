package teamkey

import (
	"bytes"
	"context"

	"google.golang.org/protobuf/proto"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/clock"
	"siskinstack.example/siskinstack/configstore"
	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/refusal"
)

// Registry issues and withdraws the keys of teams in the store. All errors are refusals.
type Registry struct {
	store infra.Store
	clock clock.Clock
}

// NewRegistry returns a registry of the keys in a store.
func NewRegistry(store infra.Store, c clock.Clock) *Registry {
	return &Registry{store: store, clock: c}
}

// Issue creates a key. If the outcome of the write is unknown, Issue does not return the key, so nobody can use it.
func (r *Registry) Issue(ctx context.Context, team, operator string) (Key, *siskinv1.TeamKey, error) {
	key := newKey()
	stored := &siskinv1.TeamKey{
		Id: key.ID, Team: team, SecretSha256: key.hash(), IssuedBy: operator, IssuedUnixMs: r.clock.Now().UnixMilli(),
	}
	err := r.write(ctx, stored, 0, func(found *siskinv1.TeamKey) bool {
		return bytes.Equal(found.GetSecretSha256(), stored.GetSecretSha256())
	})
	if err != nil {
		return Key{}, nil, err
	}
	return key, stored, nil
}

// Withdraw invalidates a key. Its entry remains as a tombstone, so that the id can't be issued again before the tombstone
// is purged. Withdrawing a key again has no effect and is no error.
func (r *Registry) Withdraw(ctx context.Context, id string) (*siskinv1.TeamKey, error) {
	if !isHex(id, idBytes) {
		return nil, refusal.New(refusal.NotFound, "no key has this id")
	}
	stored := &siskinv1.TeamKey{}
	revision, err := configstore.Read(ctx, r.store, configstore.TeamKey(id), stored)
	switch {
	case err != nil && revision != 0:
		// VMs keep the last valid value of a key whose value is corrupt, so it must be possible to withdraw such a key.
		stored.Id = id
	case err != nil:
		return nil, err
	case revision == 0:
		return nil, refusal.New(refusal.NotFound, "no key has the id %s", id)
	case stored.GetWithdrawn():
		return stored, nil
	}
	stored.Withdrawn = true
	stored.WithdrawnUnixMs = r.clock.Now().UnixMilli()
	err = r.write(ctx, stored, revision, func(found *siskinv1.TeamKey) bool { return found.GetWithdrawn() })
	return stored, err
}

func (r *Registry) write(ctx context.Context, key *siskinv1.TeamKey, expected infra.Revision, isApplied func(*siskinv1.TeamKey) bool) error {
	value, err := configstore.Encode(key)
	if err != nil {
		return refusal.New(refusal.InternalError, "%v", err)
	}
	return configstore.Apply(ctx, r.store, configstore.Write{
		Key: configstore.TeamKey(key.GetId()), Value: value, Expected: expected,
		IsApplied: func(value []byte) bool {
			found := &siskinv1.TeamKey{}
			return proto.Unmarshal(value, found) == nil && isApplied(found)
		},
	})
}

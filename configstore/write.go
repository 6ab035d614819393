package configstore

import (
	"bytes"
	"context"
	"errors"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/refusal"
)

// maxAttempts bounds the attempts of a write or a deletion whose response was lost. Repeating a write is safe: all attempts
// expect the same revision, so at most one of them takes effect.
const maxAttempts = 3

// Write is one compare-and-swap change.
type Write struct {
	Key   string
	Value []byte
	// Expected is the revision of the key; 0 expects that it does not exist.
	Expected infra.Revision
	// IsApplied reports whether a value that was read back shows that this write took effect. If it is nil, the values must
	// be equal.
	IsApplied func(value []byte) bool
}

// Apply performs the write. If a response is lost, Apply reads the key back. Errors are refusals: bad_request if the value
// is too large, conflict if the key has another revision, store_unavailable if the write certainly had no effect,
// acceptance_unknown otherwise.
func Apply(ctx context.Context, store infra.Store, write Write) error {
	outcomeUnknown := false
	for range maxAttempts {
		_, err := store.Put(ctx, infra.PutRequest{Key: write.Key, Value: write.Value, Expected: write.Expected})
		switch {
		case err == nil:
			return nil
		case errors.Is(err, infra.ErrTooLarge):
			return refusal.New(refusal.BadRequest, "value is larger than %d bytes", infra.MaxValueBytes)
		case errors.Is(err, infra.ErrNotSent) && !outcomeUnknown:
			return refusal.New(refusal.StoreUnavailable, "write to the store failed: %v", err)
		}
		outcomeUnknown = outcomeUnknown || !errors.Is(err, infra.ErrConflict)
		done, err := readBack(ctx, store, write, outcomeUnknown)
		if done || err != nil {
			return err
		}
	}
	return refusal.New(refusal.AcceptanceUnknown, "the responses of the store were lost; read the value before you repeat the change")
}

// readBack reads the key of a write that did not succeed, and reports whether the write took effect. False without an error
// means that it has not taken effect so far.
func readBack(ctx context.Context, store infra.Store, write Write, outcomeUnknown bool) (done bool, err error) {
	found, err := store.Get(ctx, write.Key)
	switch {
	case errors.Is(err, infra.ErrNotFound):
		found = infra.KeyValue{}
	case err != nil && outcomeUnknown:
		return false, refusal.New(refusal.AcceptanceUnknown, "the response of the store was lost: %v", err)
	case err != nil:
		return false, refusal.New(refusal.Conflict, "%s was changed by another writer", write.Key)
	case write.isApplied(found.Value):
		return true, nil
	}
	if found.Revision == write.Expected {
		return false, nil
	}
	if outcomeUnknown && write.IsApplied == nil {
		// The write may have taken effect before the change that was read.
		return false, refusal.New(refusal.AcceptanceUnknown, "%s was changed again; read it before you repeat the change", write.Key)
	}
	return false, refusal.New(refusal.Conflict, "%s was changed by another writer", write.Key)
}

func (w Write) isApplied(value []byte) bool {
	if w.IsApplied != nil {
		return w.IsApplied(value)
	}
	return bytes.Equal(value, w.Value)
}

// Read decodes the value of a key into a message and returns its revision. A missing key gives revision 0. A value that can't
// be decoded gives its revision, so that it can be replaced, and a refusal.
func Read(ctx context.Context, store infra.Store, key string, into proto.Message) (infra.Revision, error) {
	found, err := store.Get(ctx, key)
	if errors.Is(err, infra.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, refusal.New(refusal.StoreUnavailable, "read from the store failed: %v", err)
	}
	if err := proto.Unmarshal(found.Value, into); err != nil {
		proto.Reset(into)
		return found.Revision, refusal.New(refusal.InternalError, "value of %s can't be decoded: %v", key, err)
	}
	return found.Revision, nil
}

// Encode returns the deterministic encoding of a message, so that equal messages have equal values.
func Encode(message proto.Message) ([]byte, error) {
	value, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	return value, eris.Wrap(err, "encode configuration")
}

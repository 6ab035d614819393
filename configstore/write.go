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

// maxAttempts bounds the repetitions of a write whose answer was lost. Repeating is safe: both attempts expect the same
// revision, so at most one of them takes effect.
const maxAttempts = 3

// Write is one compare-and-swap change.
type Write struct {
	Key   string
	Value []byte
	// Expected is the revision of the key; 0 expects that it does not exist.
	Expected infra.Revision
	// IsApplied reports whether a value that was read back shows that this write took effect. Nil compares for equality.
	IsApplied func(value []byte) bool
}

// Apply performs the write. Lost answers are resolved by reading the key back. Errors are refusals: conflict if the key
// has another revision, store_unavailable if the write certainly had no effect, acceptance_unknown otherwise.
func Apply(ctx context.Context, store infra.Store, write Write) error {
	uncertain := false
	for range maxAttempts {
		_, err := store.Put(ctx, infra.PutRequest{Key: write.Key, Value: write.Value, Expected: write.Expected})
		switch {
		case err == nil:
			return nil
		case errors.Is(err, infra.ErrTooLarge):
			return refusal.New(refusal.BadRequest, "value is larger than %d bytes", infra.MaxValueBytes)
		case errors.Is(err, infra.ErrNotSent) && !uncertain:
			return refusal.New(refusal.StoreUnavailable, "store can't be written: %v", err)
		}
		uncertain = uncertain || !errors.Is(err, infra.ErrConflict)
		done, err := readBack(ctx, store, write, uncertain)
		if done || err != nil {
			return err
		}
	}
	return refusal.New(refusal.AcceptanceUnknown, "the answers of the store were lost; read the value before a repetition")
}

// readBack finds out whether a write without a good answer took effect. Neither a result nor an error means that it has
// not taken effect so far.
func readBack(ctx context.Context, store infra.Store, write Write, uncertain bool) (done bool, err error) {
	found, err := store.Get(ctx, write.Key)
	switch {
	case errors.Is(err, infra.ErrNotFound):
		found = infra.KeyValue{}
	case err != nil && uncertain:
		return false, refusal.New(refusal.AcceptanceUnknown, "the answer of the store was lost: %v", err)
	case err != nil:
		return false, refusal.New(refusal.Conflict, "%s was changed by someone else", write.Key)
	case write.isOurs(found.Value):
		return true, nil
	}
	if found.Revision == write.Expected {
		return false, nil
	}
	if uncertain && write.IsApplied == nil {
		// The write may have taken effect before the change that was read.
		return false, refusal.New(refusal.AcceptanceUnknown, "%s was changed again; read it before a repetition", write.Key)
	}
	return false, refusal.New(refusal.Conflict, "%s was changed by someone else", write.Key)
}

func (w Write) isOurs(value []byte) bool {
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
		return 0, refusal.New(refusal.StoreUnavailable, "store can't be read: %v", err)
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

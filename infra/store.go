// Package infra declares what the system needs from a platform, one small interface for each part. An adapter package
// implements them for one kind of platform; no other package knows the platform's protocols.
package infra

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// Errors of the store. Any other error means that the outcome of the call is not known.
var (
	ErrNotFound     = eris.New("key does not exist")
	ErrConflict     = eris.New("key has another revision than expected")
	ErrLeaseExpired = eris.New("lease has expired")
	ErrCompacted    = eris.New("revision is too old to watch from")
	ErrTooLarge     = eris.New("value is larger than a megabyte")
	// ErrNotSent means that the call is known to have had no effect.
	ErrNotSent = eris.New("call was not sent")
)

// MaxValueBytes is the largest value that the store holds.
const MaxValueBytes = 1 << 20

// Revision orders all changes of the store.
type Revision int64

// LeaseID names a lease of the store.
type LeaseID int64

// KeyValue is one entry of the store.
type KeyValue struct {
	Key      string
	Value    []byte
	Revision Revision
	Lease    LeaseID
}

// Listing is a consistent view of all keys with a prefix.
type Listing struct {
	Entries []KeyValue
	// Revision is the store's revision at which the view was taken.
	Revision Revision
}

// PutRequest writes a key if it has the expected revision; 0 expects that it does not exist.
type PutRequest struct {
	Key      string
	Value    []byte
	Expected Revision
	// Lease removes the key when the lease ends; 0 keeps it.
	Lease LeaseID
}

// WatchRequest waits for changes of keys with a prefix after a revision.
type WatchRequest struct {
	Prefix string
	After  Revision
	// Wait is how long the store holds the call open if there is no change.
	Wait time.Duration
}

// Event is one change of a key.
type Event struct {
	KeyValue
	Deleted bool
}

// WatchResult holds the changes after the requested revision, up to Revision. An empty result is valid: it confirms
// that nothing changed up to Revision.
type WatchResult struct {
	Events   []Event
	Revision Revision
}

// Store is the platform's key-value service.
type Store interface {
	Get(ctx context.Context, key string) (KeyValue, error)
	List(ctx context.Context, prefix string) (Listing, error)
	Put(ctx context.Context, request PutRequest) (Revision, error)
	Delete(ctx context.Context, key string, expected Revision) error
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	RenewLease(ctx context.Context, lease LeaseID) error
	RevokeLease(ctx context.Context, lease LeaseID) error
	Watch(ctx context.Context, request WatchRequest) (WatchResult, error)
}

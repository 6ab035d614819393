package infra

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// ErrRefused means that the store declined a call because of its load or its state; the call had no effect.
var ErrRefused = eris.New("store refused the call")

// ErrRejected means that the store does not accept a call as it is, so that it is of no use to repeat it. The call had no
// effect.
var ErrRejected = eris.New("store rejected the call")

// Condition requires that a key has a revision; revision 0 requires that it does not exist.
type Condition struct {
	Key      string
	Revision Revision
}

// Write sets a key. Lease removes the key when the lease ends; 0 keeps it.
type Write struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Txn is an atomic change: it takes effect as a whole if all its conditions hold, otherwise not at all.
type Txn struct {
	Conditions []Condition
	Writes     []Write
	Removes    []string
}

// MaxTxnEntries is the largest total number of conditions, writes and removals in one transaction.
const MaxTxnEntries = 32

// ConditionError is the error of a transaction whose conditions do not hold. It wraps ErrConflict.
type ConditionError struct {
	// Current holds the current entries of the keys in the conditions; keys that do not exist are omitted.
	Current []KeyValue
}

// Error implements error.
func (e *ConditionError) Error() string { return ErrConflict.Error() }

// Unwrap makes errors.Is(err, ErrConflict) true.
func (e *ConditionError) Unwrap() error { return ErrConflict }

// TxnStore is a key-value service with transactions over several keys. Errors other than the declared ones leave the
// outcome of a call unknown; such a change may still take effect later while its conditions hold.
type TxnStore interface {
	Get(ctx context.Context, key string) (KeyValue, error)
	// List returns all keys with a prefix. Its pages may be read at different revisions; Revision is that of the first
	// page, so that a watch from there misses no change.
	List(ctx context.Context, prefix string) (Listing, error)
	Watch(ctx context.Context, request WatchRequest) (WatchResult, error)
	Commit(ctx context.Context, txn Txn) (Revision, error)
	// GrantLease returns a lease and the time to live that the store gave it.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, time.Duration, error)
	RenewLease(ctx context.Context, lease LeaseID) error
	RevokeLease(ctx context.Context, lease LeaseID) error
}

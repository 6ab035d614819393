package policy

import (
	"context"
	"encoding/json"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"siskinstack.example/siskinstack/clock"
	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/standin"
)

const viewKey = "ops/policy"

// maxPolicyAge is the greatest age of a configuration for calls with a key: 0.6 of the five seconds after which the first
// deployments require a revoked key to be refused.
const maxPolicyAge = 3 * time.Second

func viewCodec() Codec {
	return Codec{
		Prefix: "ops/", IsPolicy: func(key string) bool { return key == viewKey },
		Decode: func(value []byte) (*Policy, error) {
			var version int64
			err := json.Unmarshal(value, &version)
			return New(version, nil, nil, nil, Limits{}), err
		},
		Evacuated: func(key string) (string, bool) { return strings.CutPrefix(key, "ops/evacuate/") },
	}
}

// startView runs a view of a store until the test ends.
func startView(t *testing.T, store infra.TxnStore) *View {
	view := NewView(store, clock.Real{}, logr.Discard(), viewCodec())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		view.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return view
}

func put(t *testing.T, store *standin.TxnStore, key, value string) {
	t.Helper()
	_, err := store.Commit(t.Context(), infra.Txn{Writes: []infra.Write{{Key: key, Value: []byte(value)}}})
	assert.NilError(t, err)
}

// Guards against replacing the configuration in force by an older one, or by one that cannot be decoded.
func TestViewKeepsTheNewestVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewTxnStore(clock.Real{})
		put(t, store, viewKey, "7")
		view := startView(t, store)
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, view.Current().Version, int64(7))
		for _, value := range []string{"5", "broken", "6"} {
			put(t, store, viewKey, value)
			time.Sleep(100 * time.Millisecond)
			assert.Equal(t, view.Current().Version, int64(7), "after %s", value)
		}
		put(t, store, viewKey, "9")
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, view.Current().Version, int64(9))
	})
}

// Guards against an evacuation that is missed, or that stays in force after it was withdrawn, because the store compacted
// its history.
func TestViewOfEvacuationsAfterCompaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewTxnStore(clock.Real{})
		put(t, store, "ops/evacuate/a", "{}")
		view := startView(t, store)
		time.Sleep(100 * time.Millisecond)
		assert.DeepEqual(t, view.Evacuated(), map[string]bool{"a": true})
		_, err := store.Commit(t.Context(), infra.Txn{Removes: []string{"ops/evacuate/a"}})
		assert.NilError(t, err)
		put(t, store, "ops/evacuate/b", "{}")
		store.Compact()
		time.Sleep(2 * time.Second)
		assert.DeepEqual(t, view.Evacuated(), map[string]bool{"b": true})
	})
}

// Guards against a configuration that counts as confirmed while the store does not respond.
func TestViewAgesWithoutTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewTxnStore(clock.Real{})
		put(t, store, viewKey, "1")
		view := startView(t, store)
		time.Sleep(3 * time.Second)
		assert.Assert(t, view.Age() < maxPolicyAge)
		store.SetFault(func(string, infra.Txn) standin.TxnFault { return standin.TxnDrop })
		time.Sleep(10 * time.Second)
		assert.Assert(t, view.Age() >= 9*time.Second)
		store.SetFault(nil)
		time.Sleep(2 * time.Second)
		assert.Assert(t, view.Age() < maxPolicyAge)
	})
}

// Guards against machines that call a store without backing off while it is down, although each call is priced, and
// against a view that remains outdated after the store has recovered.
func TestViewCallsLessOftenWhileTheStoreIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewTxnStore(clock.Real{})
		put(t, store, viewKey, "1")
		view := startView(t, store)
		time.Sleep(time.Second)
		var calls atomic.Int64
		store.SetFault(func(string, infra.Txn) standin.TxnFault {
			calls.Add(1)
			return standin.TxnRefuse
		})
		time.Sleep(10 * time.Second)
		assert.Assert(t, calls.Load() < 40, "%d calls in 10 s", calls.Load())
		store.SetFault(nil)
		put(t, store, viewKey, "2")
		time.Sleep(maxRetryDelay + 50*time.Millisecond)
		assert.Equal(t, view.Current().Version, int64(2))
	})
}

// Guards against a reader that sees no evacuation while a listing replaces the entries, and starts work in that moment.
func TestListingReplacesEvacuationsAtOnce(t *testing.T) {
	view := NewView(standin.NewTxnStore(clock.Real{}), clock.Real{}, logr.Discard(), viewCodec())
	entries := []infra.KeyValue{{Key: "ops/evacuate/z"}}
	view.replace(entries, time.Now())
	var ended atomic.Bool
	go func() {
		defer ended.Store(true)
		for range 20_000 {
			view.replace(entries, time.Now())
		}
	}()
	for !ended.Load() {
		assert.Assert(t, view.Evacuated()["z"])
	}
}

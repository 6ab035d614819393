package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"siskinstack.example/siskinstack/clock"
	"siskinstack.example/siskinstack/infra"
)

var errLost = context.DeadlineExceeded // no response: the change may have been made

// fakePath is a path to the store that returns the same error for all calls, after a delay.
type fakePath struct {
	infra.TxnStore
	Peers
	err   error
	after time.Duration
	calls int
}

func (p *fakePath) answer() error {
	p.calls++
	time.Sleep(p.after)
	return p.err
}

// direct is the path straight to the store, relayed the one through the controller.
type direct struct{ *fakePath }

func (d direct) Commit(context.Context, infra.Txn) (infra.Revision, error) { return 1, d.answer() }

func (d direct) Get(context.Context, string) (infra.KeyValue, error) {
	return infra.KeyValue{}, d.answer()
}

type relayed struct{ *fakePath }

func (r relayed) Commit(context.Context, string, infra.Txn) (infra.Revision, error) {
	return 1, r.answer()
}

func (r relayed) Get(context.Context, string, string) (infra.KeyValue, error) {
	return infra.KeyValue{}, r.answer()
}

func newRelayedStore(directPath, relayPath *fakePath, controller string) *relayedStore {
	return &relayedStore{
		store: direct{directPath}, peers: relayed{relayPath}, clock: clock.Real{}, log: logr.Discard(),
		controller: func() string { return controller },
	}
}

// Guards against refusing callers when the store refuses this machine but serves the controller's machine, and against an
// error that says "nothing was done" after an attempt whose outcome is unknown.
func TestCallsUseEitherPathToTheStore(t *testing.T) {
	for _, c := range []struct {
		name          string
		first, second error
		want          error
	}{
		{"served directly", nil, errLost, nil},
		{"refused, served through the controller", infra.ErrRefused, nil, nil},
		{"refused, exists already", infra.ErrRefused, infra.ErrConflict, infra.ErrConflict},
		{"refused twice", infra.ErrRefused, infra.ErrRefused, infra.ErrRefused},
		{"refused, then lost", infra.ErrRefused, errLost, errLost},
		{"lost, then refused", errLost, infra.ErrRefused, errLost},
		{"lost, then served", errLost, nil, nil},
		{"lost, then found again", errLost, infra.ErrConflict, infra.ErrConflict},
	} {
		for _, swapped := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				r := newRelayedStore(&fakePath{err: c.first}, &fakePath{err: c.second}, "controller")
				if swapped {
					r = newRelayedStore(&fakePath{err: c.second}, &fakePath{err: c.first}, "controller")
					r.recordDirect(errLost)
				}
				err := r.commit(t.Context(), infra.Txn{})
				assert.Equal(t, err, c.want, "%s, relayed first: %v", c.name, swapped)
			})
		}
	}
}

// Guards against waiting for an unresponsive store on every call, and against relaying calls after the store has
// recovered.
func TestRelayIsTriedFirstAfterDirectFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		directPath, relayPath := &fakePath{err: errLost, after: storeTimeout}, &fakePath{}
		r := newRelayedStore(directPath, relayPath, "controller")
		for range 10 {
			_, err := r.get(t.Context(), "key")
			assert.NilError(t, err)
		}
		assert.Equal(t, directPath.calls, 1)
		time.Sleep(relayFirstPeriod)
		directPath.err, directPath.after = nil, 0
		for range 10 {
			_, err := r.get(t.Context(), "key")
			assert.NilError(t, err)
		}
		assert.Equal(t, relayPath.calls, 10)
	})
}

// Guards against a relayed call if there is no controller on another machine: it would go to this machine itself or to an
// empty address.
func TestNoRelayWithoutRemoteController(t *testing.T) {
	directPath, relayPath := &fakePath{err: infra.ErrRefused}, &fakePath{}
	assert.Equal(t, newRelayedStore(directPath, relayPath, "").commit(t.Context(), infra.Txn{}), infra.ErrRefused)
	assert.Equal(t, relayPath.calls, 0)
}

package peer

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// listen accepts connections until the listener is closed, and closes each after it was open for the given time.
func listen(t *testing.T, open time.Duration) net.Listener {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			time.AfterFunc(open, func() { _ = conn.Close() })
		}
	}()
	return listener
}

// Guards against a controller that is suspected of having ended while its process runs, because its connections were reset.
func TestResetConnectionIsNotARefusal(t *testing.T) {
	listener := listen(t, 10*time.Millisecond)
	defer func() { _ = listener.Close() }()
	ctx, cancel := context.WithTimeout(t.Context(), 2*refusalRetryDelay)
	defer cancel()
	assert.ErrorIs(t, AwaitRefusal(ctx, listener.Addr().String()), context.DeadlineExceeded)
}

// Guards against waiting for a lease to expire although the process that holds it has ended.
func TestRefusalIsDetectedAtOnce(t *testing.T) {
	listener := listen(t, 50*time.Millisecond)
	time.AfterFunc(40*time.Millisecond, func() { _ = listener.Close() })
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	began := time.Now()
	assert.NilError(t, AwaitRefusal(ctx, listener.Addr().String()))
	assert.Assert(t, time.Since(began) < time.Second)
}

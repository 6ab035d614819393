package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"time"
)

const (
	// refusalDialTimeout bounds one attempt to connect to the watched process.
	refusalDialTimeout = 500 * time.Millisecond
	// refusalRetryDelay is the delay after an inconclusive attempt and after a connection that was reset.
	refusalRetryDelay = 250 * time.Millisecond
	// refusalKeepAliveIdle, refusalKeepAliveInterval and refusalKeepAliveProbes are the TCP keep-alive settings. They close a
	// connection whose other side does not respond after about five seconds.
	refusalKeepAliveIdle     = 2 * time.Second
	refusalKeepAliveInterval = time.Second
	refusalKeepAliveProbes   = 3
)

// AwaitRefusal returns nil once the host of an address refuses connections, and retries until ctx ends while it does not
// respond. A refusal usually means that no process listens there any more, but does not prove it: a firewall between two
// availability zones, or a full queue of new connections, refuses them as well.
func AwaitRefusal(ctx context.Context, address string) error {
	dialer := net.Dialer{Timeout: refusalDialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: refusalKeepAliveIdle, Interval: refusalKeepAliveInterval, Count: refusalKeepAliveProbes,
	}}
	for ctx.Err() == nil {
		conn, err := dialer.DialContext(ctx, "tcp4", address)
		if errors.Is(err, syscall.ECONNREFUSED) {
			return nil
		}
		if err == nil {
			awaitClose(ctx, conn)
			// The connection may have closed because the process ended. If the process still listens, this attempt succeeds
			// at once.
			if conn, err = dialer.DialContext(ctx, "tcp4", address); errors.Is(err, syscall.ECONNREFUSED) {
				return nil
			}
			if err == nil {
				_ = conn.Close()
			}
		}
		pause(ctx, refusalRetryDelay)
	}
	return ctx.Err()
}

// awaitClose reads from a connection until it is closed or ctx ends, and discards what the other side sends.
func awaitClose(ctx context.Context, conn net.Conn) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	_, _ = io.Copy(io.Discard, conn)
	_ = conn.Close()
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

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
	// exitDialTimeout bounds one attempt to connect to the watched process.
	exitDialTimeout = 500 * time.Millisecond
	// exitRetryDelay is the delay after an inconclusive attempt and after a connection that was reset.
	exitRetryDelay = 250 * time.Millisecond
	// exitKeepAliveIdle, exitKeepAliveInterval and exitKeepAliveProbes are the TCP keep-alive settings. They close a
	// connection whose other side does not respond after about five seconds.
	exitKeepAliveIdle     = 2 * time.Second
	exitKeepAliveInterval = time.Second
	exitKeepAliveProbes   = 3
)

// AwaitExit returns nil once no process listens at an address any more, that is, once its host refuses connections. A
// host that does not respond may be partitioned from this one while the process runs, so AwaitExit then retries until
// ctx ends.
func AwaitExit(ctx context.Context, address string) error {
	dialer := net.Dialer{Timeout: exitDialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: exitKeepAliveIdle, Interval: exitKeepAliveInterval, Count: exitKeepAliveProbes,
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
		pause(ctx, exitRetryDelay)
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

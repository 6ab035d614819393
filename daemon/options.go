package daemon

import (
	"context"
	"net"

	"siskinstack.example/siskinstack/clock"
)

// Option replaces the clock or a network function of a daemon; the defaults are the system clock and network.
type Option func(*Daemon)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// ListenFunc opens a listener.
type ListenFunc func(network, address string) (net.Listener, error)

// WithClock replaces the system clock.
func WithClock(c clock.Clock) Option { return func(d *Daemon) { d.clock = c } }

// WithPeerDialer opens the connections to the other entry VMs with dial.
func WithPeerDialer(dial DialFunc) Option { return func(d *Daemon) { d.dialPeer = dial } }

// WithPlatformDialer opens the connections to the platform with dial.
func WithPlatformDialer(dial DialFunc) Option { return func(d *Daemon) { d.dialPlatform = dial } }

// WithListener opens the daemon's listeners with listen.
func WithListener(listen ListenFunc) Option { return func(d *Daemon) { d.listen = listen } }

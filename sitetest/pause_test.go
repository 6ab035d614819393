package sitetest

import (
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"siskinstack.example/siskinstack/clock"
	"siskinstack.example/siskinstack/daemon"
)

// gate holds an entry VM back as a pause of its process does: sleeps do not return, and no data comes in or goes out.
// Time goes on, so that leases expire during the pause. Work between two such points goes on, which a stopped process
// would do right after the pause.
type gate struct {
	mu     sync.Mutex // guards opened and conns
	opened chan struct{}
	conns  map[*gatedConn]bool
}

func newGate() *gate {
	open := make(chan struct{})
	close(open)
	return &gate{opened: open, conns: map[*gatedConn]bool{}}
}

func (g *gate) pause() {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.opened:
		g.opened = make(chan struct{})
	default:
	}
}

func (g *gate) resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.opened:
	default:
		close(g.opened)
	}
}

func (g *gate) passage() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.opened
}

// gatedClock is the machine's clock; its sleeps end after a pause.
type gatedClock struct {
	clock.Real
	gate *gate
}

// Sleep waits for d and for the end of a pause.
func (c gatedClock) Sleep(ctx context.Context, d time.Duration) error {
	err := c.Real.Sleep(ctx, d)
	select {
	case <-c.gate.passage():
	case <-ctx.Done():
		return ctx.Err()
	}
	return err
}

// gatedConn is a connection of a VM that can be paused.
type gatedConn struct {
	net.Conn
	gate   *gate
	once   sync.Once
	closed chan struct{}
}

func newGatedConn(conn net.Conn, g *gate) net.Conn {
	gated := &gatedConn{Conn: conn, gate: g, closed: make(chan struct{})}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.conns[gated] = true
	return gated
}

// closeAll closes all connections, as the end of a process does.
func (g *gate) closeAll() {
	g.mu.Lock()
	open := slices.Collect(maps.Keys(g.conns))
	g.mu.Unlock()
	for _, conn := range open {
		_ = conn.Close()
	}
}

func (c *gatedConn) pass() error {
	select {
	case <-c.gate.passage():
		return nil
	case <-c.closed:
		return net.ErrClosed
	}
}

// Read returns data after a pause.
func (c *gatedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if held := c.pass(); held != nil {
		return 0, held
	}
	return n, err
}

// Write sends data after a pause.
func (c *gatedConn) Write(p []byte) (int, error) {
	if err := c.pass(); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// Close ends the connection and every wait on it.
func (c *gatedConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	c.gate.mu.Lock()
	delete(c.gate.conns, c)
	c.gate.mu.Unlock()
	return c.Conn.Close()
}

// gatedListener accepts connections of a VM that can be paused.
type gatedListener struct {
	net.Listener
	gate *gate
}

// Accept returns the next connection.
func (l gatedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newGatedConn(conn, l.gate), nil
}

func (g *gate) listen(network, address string) (net.Listener, error) {
	listener, err := net.Listen(network, address)
	if err != nil {
		return nil, err
	}
	return gatedListener{listener, g}, nil
}

func (g *gate) dialer(dial daemon.DialFunc) daemon.DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		select {
		case <-g.passage():
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newGatedConn(conn, g), nil
	}
}

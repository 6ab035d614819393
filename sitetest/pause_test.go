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

// pauser simulates a pause of an entry VM's process: sleeps do not return, and no data comes in or goes out. Time goes
// on, so that leases expire during the pause. Work between two such points continues; a stopped process would do it
// right after the pause.
type pauser struct {
	mu      sync.Mutex // guards running and conns
	running chan struct{}
	conns   map[*pausableConn]bool
}

func newPauser() *pauser {
	closed := make(chan struct{})
	close(closed)
	return &pauser{running: closed, conns: map[*pausableConn]bool{}}
}

func (p *pauser) pause() {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.running:
		p.running = make(chan struct{})
	default:
	}
}

func (p *pauser) resume() {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.running:
	default:
		close(p.running)
	}
}

func (p *pauser) resumed() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.running
}

// pausableClock is the real clock, except that sleeps do not end during a pause.
type pausableClock struct {
	clock.Real
	pauser *pauser
}

// Sleep waits for d and then until the VM is not paused.
func (c pausableClock) Sleep(ctx context.Context, d time.Duration) error {
	err := c.Real.Sleep(ctx, d)
	select {
	case <-c.pauser.resumed():
	case <-ctx.Done():
		return ctx.Err()
	}
	return err
}

// pausableConn is a connection of a VM that can be paused.
type pausableConn struct {
	net.Conn
	pauser *pauser
	once   sync.Once
	closed chan struct{}
}

func newPausableConn(conn net.Conn, p *pauser) net.Conn {
	pausable := &pausableConn{Conn: conn, pauser: p, closed: make(chan struct{})}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[pausable] = true
	return pausable
}

// closeAll closes all connections, as the system does when a process ends.
func (p *pauser) closeAll() {
	p.mu.Lock()
	open := slices.Collect(maps.Keys(p.conns))
	p.mu.Unlock()
	for _, conn := range open {
		_ = conn.Close()
	}
}

func (c *pausableConn) waitResumed() error {
	select {
	case <-c.pauser.resumed():
		return nil
	case <-c.closed:
		return net.ErrClosed
	}
}

// Read returns data unless the VM is paused; then it waits for the end of the pause.
func (c *pausableConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if waitErr := c.waitResumed(); waitErr != nil {
		return 0, waitErr
	}
	return n, err
}

// Write sends data unless the VM is paused; then it waits for the end of the pause.
func (c *pausableConn) Write(p []byte) (int, error) {
	if err := c.waitResumed(); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// Close closes the connection and ends every wait on it.
func (c *pausableConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	c.pauser.mu.Lock()
	delete(c.pauser.conns, c)
	c.pauser.mu.Unlock()
	return c.Conn.Close()
}

// pausableListener accepts connections of a VM that can be paused.
type pausableListener struct {
	net.Listener
	pauser *pauser
}

// Accept returns the next connection.
func (l pausableListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newPausableConn(conn, l.pauser), nil
}

func (p *pauser) listen(network, address string) (net.Listener, error) {
	listener, err := net.Listen(network, address)
	if err != nil {
		return nil, err
	}
	return pausableListener{listener, p}, nil
}

func (p *pauser) dialer(dial daemon.DialFunc) daemon.DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		select {
		case <-p.resumed():
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newPausableConn(conn, p), nil
	}
}

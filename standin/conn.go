package standin

import (
	"net"
	"os"
	"sync"
	"time"
)

// cutConn is a connection whose data waits while its link is cut.
type cutConn struct {
	net.Conn
	network  *Network
	from, to string
	closed   chan struct{}
	once     sync.Once
	read     cutDeadline
	write    cutDeadline
	// held and heldErr are what the last read of the inner connection returned; only Read uses them.
	held    []byte
	heldErr error
}

func newCutConn(inner net.Conn, network *Network, from, to string) *cutConn {
	return &cutConn{
		Conn: inner, network: network, from: from, to: to, closed: make(chan struct{}),
		read: cutDeadline{changed: make(chan struct{})}, write: cutDeadline{changed: make(chan struct{})},
	}
}

// Read returns data of the other side. Data that arrived during a cut is held until the link is healed, also over a
// read deadline.
func (c *cutConn) Read(p []byte) (int, error) {
	if len(c.held) == 0 && c.heldErr == nil {
		buffer := make([]byte, len(p))
		n, err := c.Conn.Read(buffer)
		c.held, c.heldErr = buffer[:n], err
	}
	if err := c.pass(c.to, c.from, &c.read); err != nil {
		return 0, err
	}
	n := copy(p, c.held)
	c.held = c.held[n:]
	if len(c.held) > 0 {
		return n, nil
	}
	err := c.heldErr
	c.heldErr = nil
	return n, err
}

// Write sends data once the link is open.
func (c *cutConn) Write(p []byte) (int, error) {
	if err := c.pass(c.from, c.to, &c.write); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// Close ends the connection and every wait on it.
func (c *cutConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// SetDeadline sets both deadlines.
func (c *cutConn) SetDeadline(t time.Time) error {
	c.read.set(t)
	c.write.set(t)
	return c.Conn.SetDeadline(t)
}

// SetReadDeadline sets the deadline of Read.
func (c *cutConn) SetReadDeadline(t time.Time) error {
	c.read.set(t)
	return c.Conn.SetReadDeadline(t)
}

// SetWriteDeadline sets the deadline of Write.
func (c *cutConn) SetWriteDeadline(t time.Time) error {
	c.write.set(t)
	return c.Conn.SetWriteDeadline(t)
}

// pass waits until the link is open.
func (c *cutConn) pass(from, to string, deadline *cutDeadline) error {
	for {
		open, changed := c.network.state(from, to)
		if open {
			return nil
		}
		if err := c.wait(changed, deadline); err != nil {
			return err
		}
	}
}

func (c *cutConn) wait(changed <-chan struct{}, deadline *cutDeadline) error {
	at, moved := deadline.get()
	var over <-chan time.Time
	if !at.IsZero() {
		timer := time.NewTimer(time.Until(at))
		defer timer.Stop()
		over = timer.C
	}
	select {
	case <-changed:
		return nil
	case <-moved:
		return nil
	case <-c.closed:
		return net.ErrClosed
	case <-over:
		return os.ErrDeadlineExceeded
	}
}

// cutDeadline is a deadline that can be moved while something waits on it.
type cutDeadline struct {
	mu      sync.Mutex // guards at and changed
	at      time.Time
	changed chan struct{}
}

func (d *cutDeadline) set(at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.at = at
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *cutDeadline) get() (time.Time, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.at, d.changed
}

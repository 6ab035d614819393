package standin

import (
	"net"
	"os"
	"sync"
	"time"
)

// partitionConn is a connection that holds data back while its link is partitioned.
type partitionConn struct {
	net.Conn
	network  *Network
	from, to string
	closed   chan struct{}
	once     sync.Once
	read     connDeadline
	write    connDeadline
	// received and receivedErr are the result of the last read of the inner connection; only Read uses them.
	received    []byte
	receivedErr error
}

func newPartitionConn(inner net.Conn, network *Network, from, to string) *partitionConn {
	return &partitionConn{
		Conn: inner, network: network, from: from, to: to, closed: make(chan struct{}),
		read: connDeadline{changed: make(chan struct{})}, write: connDeadline{changed: make(chan struct{})},
	}
}

// Read returns data of the other side. Data that arrived during a partition is kept until the link is healed, even
// past a read deadline.
func (c *partitionConn) Read(p []byte) (int, error) {
	if len(c.received) == 0 && c.receivedErr == nil {
		buffer := make([]byte, len(p))
		n, err := c.Conn.Read(buffer)
		c.received, c.receivedErr = buffer[:n], err
	}
	if err := c.awaitLink(c.to, c.from, &c.read); err != nil {
		return 0, err
	}
	n := copy(p, c.received)
	c.received = c.received[n:]
	if len(c.received) > 0 {
		return n, nil
	}
	err := c.receivedErr
	c.receivedErr = nil
	return n, err
}

// Write sends data once the link is open.
func (c *partitionConn) Write(p []byte) (int, error) {
	if err := c.awaitLink(c.from, c.to, &c.write); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// Close closes the connection and unblocks pending reads and writes.
func (c *partitionConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// SetDeadline sets both deadlines.
func (c *partitionConn) SetDeadline(t time.Time) error {
	c.read.set(t)
	c.write.set(t)
	return c.Conn.SetDeadline(t)
}

// SetReadDeadline sets the deadline of Read.
func (c *partitionConn) SetReadDeadline(t time.Time) error {
	c.read.set(t)
	return c.Conn.SetReadDeadline(t)
}

// SetWriteDeadline sets the deadline of Write.
func (c *partitionConn) SetWriteDeadline(t time.Time) error {
	c.write.set(t)
	return c.Conn.SetWriteDeadline(t)
}

// awaitLink waits until the link is open. It fails when the connection is closed or the deadline passes.
func (c *partitionConn) awaitLink(from, to string, deadline *connDeadline) error {
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

func (c *partitionConn) wait(changed <-chan struct{}, deadline *connDeadline) error {
	at, updated := deadline.get()
	var expired <-chan time.Time
	if !at.IsZero() {
		timer := time.NewTimer(time.Until(at))
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case <-changed:
		return nil
	case <-updated:
		return nil
	case <-c.closed:
		return net.ErrClosed
	case <-expired:
		return os.ErrDeadlineExceeded
	}
}

// connDeadline is a deadline that can be changed while a read or write waits for it.
type connDeadline struct {
	mu      sync.Mutex // guards at and changed
	at      time.Time
	changed chan struct{}
}

func (d *connDeadline) set(at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.at = at
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *connDeadline) get() (time.Time, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.at, d.changed
}

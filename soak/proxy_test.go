package soak

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// mode is how a proxy treats its connections.
type mode int

const (
	// modeForward forwards all data.
	modeForward mode = iota
	// modeDelay forwards all data with a delay.
	modeDelay
	// modeReset resets existing and new connections.
	modeReset
	// modeSilent drops all data. A connection on which data was dropped stays silent.
	modeSilent
	// modeOneWay forwards requests and drops responses.
	modeOneWay
	// modeRefuse resets existing connections and refuses new ones.
	modeRefuse
)

func (m mode) String() string {
	return [...]string{"pass", "delay", "reset", "silent", "one way", "refuse"}[m]
}

const (
	// proxyDelay is the delay that modeDelay adds to each read; it is shorter than the product's timeouts.
	proxyDelay  = 150 * time.Millisecond
	proxyBuffer = 32 << 10
	dialTimeout = time.Second

	listenTimeout       = time.Second
	listenRetryInterval = 10 * time.Millisecond
)

// proxy is a TCP proxy for one address.
type proxy struct {
	target string

	mu       sync.Mutex // guards the fields below
	listener net.Listener
	mode     mode
	conns    map[net.Conn]struct{}
}

// newProxy starts a proxy on a free port.
func newProxy(ctx context.Context, target string) (*proxy, error) {
	return newProxyAt(ctx, "127.0.0.1:0", target)
}

func newProxyAt(ctx context.Context, address, target string) (*proxy, error) {
	p := &proxy{target: target, conns: map[net.Conn]struct{}{}}
	return p, p.listen(ctx, address)
}

// listen accepts connections on an address until the listener is closed. It retries for listenTimeout: a process that is
// being started holds copies of closed listeners for a moment.
func (p *proxy) listen(ctx context.Context, address string) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp4", address)
	for deadline := time.Now().Add(listenTimeout); err != nil && time.Now().Before(deadline); {
		time.Sleep(listenRetryInterval)
		listener, err = (&net.ListenConfig{}).Listen(ctx, "tcp4", address)
	}
	if err != nil {
		return eris.Wrap(err, "proxy")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listener = listener
	go p.accept(ctx, listener)
	return nil
}

func (p *proxy) address() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.listener.Addr().String()
}

func (p *proxy) close() { p.set(modeRefuse) }

// reopen forwards again after modeRefuse. The address must not be one that the kernel assigns to other connections.
func (p *proxy) reopen(ctx context.Context) error {
	p.set(modeForward)
	return p.listen(ctx, p.address())
}

// set changes the mode; modeReset and modeRefuse also reset the open connections.
func (p *proxy) set(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m == modeRefuse {
		_ = p.listener.Close()
	}
	if m != modeReset && m != modeRefuse {
		return
	}
	for conn := range p.conns {
		reset(conn)
	}
}

func (p *proxy) current() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// reset closes a connection with a TCP reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (p *proxy) accept(ctx context.Context, listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go p.serve(ctx, conn)
	}
}

func (p *proxy) serve(ctx context.Context, caller net.Conn) {
	if m := p.current(); m == modeReset || m == modeRefuse {
		reset(caller)
		return
	}
	server, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp4", p.target)
	if err != nil {
		reset(caller)
		return
	}
	p.mu.Lock()
	p.conns[caller], p.conns[server] = struct{}{}, struct{}{}
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.copy(server, caller, modeSilent) })
	both.Go(func() { p.copy(caller, server, modeSilent, modeOneWay) })
	both.Wait()
	p.mu.Lock()
	delete(p.conns, caller)
	delete(p.conns, server)
	p.mu.Unlock()
}

// copy forwards data until the connection ends. Once it has read data in one of the dropping modes, it drops all further
// data.
func (p *proxy) copy(to, from net.Conn, dropping ...mode) {
	defer func() { _ = to.Close() }()
	buffer := make([]byte, proxyBuffer)
	dropped := false
	for {
		n, err := from.Read(buffer)
		m := p.current()
		for _, s := range dropping {
			dropped = dropped || m == s
		}
		if m == modeDelay {
			time.Sleep(proxyDelay)
		}
		if n > 0 && !dropped {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				reset(to)
			}
			return
		}
	}
}

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
)

func (m mode) String() string { return [...]string{"pass", "delay", "reset", "silent", "one way"}[m] }

const (
	// proxyDelay is the delay that modeDelay adds to each read; it is shorter than the product's timeouts.
	proxyDelay  = 150 * time.Millisecond
	proxyBuffer = 32 << 10
	dialTimeout = time.Second
)

// proxy is a TCP proxy for one address.
type proxy struct {
	target   string
	listener net.Listener

	mu    sync.Mutex // guards mode and conns
	mode  mode
	conns map[net.Conn]struct{}
}

func newProxy(ctx context.Context, target string) (*proxy, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "proxy")
	}
	p := &proxy{target: target, listener: listener, conns: map[net.Conn]struct{}{}}
	go p.accept(ctx)
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) close() {
	_ = p.listener.Close()
	p.set(modeReset)
}

// set changes the mode; modeReset also resets the open connections.
func (p *proxy) set(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m != modeReset {
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

func (p *proxy) accept(ctx context.Context) {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(ctx, conn)
	}
}

func (p *proxy) serve(ctx context.Context, caller net.Conn) {
	if p.current() == modeReset {
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

package schedules

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"siskinstack.example/siskinstack/infra"
)

var (
	errProcessKilled = eris.New("process was killed")
	errAnswerLost    = eris.New("answer was lost")
)

// process is the state of one VM's process, which runs, is paused or was killed, and the process's clock.
type process struct {
	base   time.Time
	rate   float64 // speed of the monotonic clock relative to true time
	killed chan struct{}

	mu     sync.Mutex // guards paused
	paused chan struct{}
}

func newProcess(rate float64) *process {
	return &process{base: time.Now(), rate: rate, killed: make(chan struct{})}
}

// Now returns the time of the process's clock, which keeps running during a pause.
func (p *process) Now() time.Time {
	return p.base.Add(time.Duration(float64(time.Since(p.base)) * p.rate))
}

// Sleep waits for d on the process's clock, or until the process is killed. It does not return during a pause.
func (p *process) Sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(time.Duration(float64(d) / p.rate))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	case <-p.killed:
	}
	_ = p.wait()
	return ctx.Err()
}

// wait blocks during a pause. It fails if the process was killed.
func (p *process) wait() error {
	for {
		p.mu.Lock()
		paused := p.paused
		p.mu.Unlock()
		select {
		case <-p.killed:
			return errProcessKilled
		default:
		}
		if paused == nil {
			return nil
		}
		select {
		case <-paused:
		case <-p.killed:
		}
	}
}

func (p *process) pause() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.paused == nil {
		p.paused = make(chan struct{})
	}
}

func (p *process) resume() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.paused != nil {
		close(p.paused)
		p.paused = nil
	}
}

func (p *process) kill() { close(p.killed) }

// node is a VM, a worker or the store in the network.
type node struct {
	name string
	zone string
	kind nodeKind
}

type nodeKind int

const (
	kindEntry nodeKind = iota
	kindWorker
	kindStore
)

// network simulates partitions between nodes, and delayed calls, duplicate calls and lost answers between entry VMs.
type network struct {
	mu         sync.Mutex // guards all fields below
	partitions map[int]func(from, to node) bool
	next       int
	changed    chan struct{}
	// delay, duplicate and lose apply to calls from one entry VM to another. The integers count the calls still affected.
	delay     map[[2]string]time.Duration
	duplicate map[[2]string]int
	lose      map[[2]string]int
}

func newNetwork() *network {
	return &network{
		partitions: map[int]func(from, to node) bool{}, changed: make(chan struct{}), delay: map[[2]string]time.Duration{},
		duplicate: map[[2]string]int{}, lose: map[[2]string]int{},
	}
}

// partition blocks all traffic that matches until heal is called.
func (n *network) partition(match func(from, to node) bool) (heal func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	id := n.next
	n.next++
	n.partitions[id] = match
	return func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.partitions, id)
		close(n.changed)
		n.changed = make(chan struct{})
	}
}

// deliver waits until no partition blocks the traffic: data sent during a partition arrives at its end, as over a
// connection that retransmits packets.
func (n *network) deliver(ctx context.Context, from, to node) error {
	for {
		n.mu.Lock()
		reachable := true
		for _, blocked := range n.partitions {
			reachable = reachable && !blocked(from, to)
		}
		changed := n.changed
		n.mu.Unlock()
		if err := ctx.Err(); err != nil {
			return err
		}
		if reachable {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// consume reports whether a fault is left for a call between two nodes, and counts it down.
func (n *network) consume(faults map[[2]string]int, from, to node) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	key := [2]string{from.name, to.name}
	if faults[key] == 0 {
		return false
	}
	faults[key]--
	return true
}

func (n *network) set(change func(*network)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change(n)
}

func (n *network) delayOf(from, to node) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.delay[[2]string{from.name, to.name}]
}

// platformConn carries the calls of one VM to the platform.
type platformConn struct {
	process *process
	network *network
	self    node
}

// callPlatform calls a node. Pauses of the process and partitions of the network delay the call and its answer; the call
// fails if the process is killed.
func callPlatform[A any](ctx context.Context, conn platformConn, to node, call func(context.Context) (A, error)) (A, error) {
	var zero A
	if err := conn.process.wait(); err != nil {
		return zero, eris.Wrap(infra.ErrNotSent, err.Error())
	}
	if err := conn.network.deliver(ctx, conn.self, to); err != nil {
		return zero, err
	}
	answer, err := call(ctx)
	if lost := conn.network.deliver(ctx, to, conn.self); lost != nil {
		return zero, lost
	}
	if killed := conn.process.wait(); killed != nil {
		return zero, killed
	}
	return answer, err
}

package schedules

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"siskinstack.example/siskinstack/infra"
)

var (
	errProcessGone = eris.New("process was killed")
	errAnswerLost  = eris.New("answer was lost")
)

// process is the life of one VM's process: it runs, is paused, or is gone. It is also the process's clock.
type process struct {
	base time.Time
	rate float64 // speed of the monotonic clock relative to true time
	gone chan struct{}

	mu     sync.Mutex // guards paused
	paused chan struct{}
}

func newProcess(rate float64) *process {
	return &process{base: time.Now(), rate: rate, gone: make(chan struct{})}
}

// Now returns the time of the process's own clock, which goes on during a pause.
func (p *process) Now() time.Time {
	return p.base.Add(time.Duration(float64(time.Since(p.base)) * p.rate))
}

// Sleep waits for d of the own clock; in a pause it does not return before the end of the pause.
func (p *process) Sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(time.Duration(float64(d) / p.rate))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	case <-p.gone:
	}
	_ = p.wait()
	return ctx.Err()
}

// wait holds the caller during a pause. It fails if the process is gone.
func (p *process) wait() error {
	for {
		p.mu.Lock()
		paused := p.paused
		p.mu.Unlock()
		select {
		case <-p.gone:
			return errProcessGone
		default:
		}
		if paused == nil {
			return nil
		}
		select {
		case <-paused:
		case <-p.gone:
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

func (p *process) kill() { close(p.gone) }

// node is one end of the network.
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

// network loses and delays what passes between two nodes.
type network struct {
	mu      sync.Mutex // guards all fields below
	cuts    map[int]func(from, to node) bool
	next    int
	changed chan struct{}
	// delay, duplicate and lose apply to calls between two VMs.
	delay     map[[2]string]time.Duration
	duplicate map[[2]string]int
	lose      map[[2]string]int
}

func newNetwork() *network {
	return &network{
		cuts: map[int]func(from, to node) bool{}, changed: make(chan struct{}), delay: map[[2]string]time.Duration{},
		duplicate: map[[2]string]int{}, lose: map[[2]string]int{},
	}
}

// cut loses everything that matches until heal is called.
func (n *network) cut(match func(from, to node) bool) (heal func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	id := n.next
	n.next++
	n.cuts[id] = match
	return func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.cuts, id)
		close(n.changed)
		n.changed = make(chan struct{})
	}
}

// pass waits until data passes; what waits through a cut arrives at its end, as with a connection that repeats packets.
func (n *network) pass(ctx context.Context, from, to node) error {
	for {
		n.mu.Lock()
		open := true
		for _, cut := range n.cuts {
			open = open && !cut(from, to)
		}
		changed := n.changed
		n.mu.Unlock()
		if err := ctx.Err(); err != nil {
			return err
		}
		if open {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// take counts one fault down.
func (n *network) take(faults map[[2]string]int, from, to node) bool {
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

// platformGate takes the calls of one VM to the platform.
type platformGate struct {
	process *process
	network *network
	self    node
}

// through makes one call to a node, if the process runs and the network lets call and answer pass.
func through[A any](ctx context.Context, g platformGate, to node, call func(context.Context) (A, error)) (A, error) {
	var none A
	if err := g.process.wait(); err != nil {
		return none, eris.Wrap(infra.ErrNotSent, err.Error())
	}
	if err := g.network.pass(ctx, g.self, to); err != nil {
		return none, err
	}
	answer, err := call(ctx)
	if lost := g.network.pass(ctx, to, g.self); lost != nil {
		return none, lost
	}
	if gone := g.process.wait(); gone != nil {
		return none, gone
	}
	return answer, err
}

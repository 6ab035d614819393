// Package ownership decides which shards this VM owns. A shard belongs to the VM whose key the store holds under that
// VM's lease. The VM trusts its ownership only as long as its own monotonic clock proves that the lease cannot have
// ended, or, while the store does not answer, as long as every other configured VM has promised not to acquire the
// shard.
package ownership

import (
	"context"
	"fmt"
	"sync"
	"time"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/clock"
	"siskinstack.example/siskinstack/infra"
)

const (
	// LeaseTTL is the life of the VM's store lease without renewal.
	LeaseTTL = 3 * time.Second
	// PromiseDuration is how long a peer that promised does not acquire the shard.
	PromiseDuration = 3 * time.Second
	// DriftMargin covers the difference of two clocks' rates over a lease, and the time between a check and its act. It
	// is enough for clocks that run up to 4.5% too fast or too slow.
	DriftMargin = 300 * time.Millisecond
	// renewInterval is the time between two renewals of the store lease.
	renewInterval = time.Second
	// renewTimeout leaves time to ask for promises and to try again before the lease ends.
	renewTimeout = 800 * time.Millisecond
	// promiseTimeout bounds asking all peers. Together with renewTimeout it is less than half of a lease.
	promiseTimeout = 500 * time.Millisecond
	// otherZoneDelay gives the VMs of the shard's own zone the first chance.
	otherZoneDelay = time.Second
	// rankDelay gives VMs that the shard prefers more the first chance, so that they do not race for it.
	rankDelay = 100 * time.Millisecond
	// callTimeout bounds one store call other than a renewal.
	callTimeout = time.Second
	// watchWait is how long the store holds a watch open. An idle VM makes one read in that time.
	watchWait = 5 * time.Second
	// checkInterval is the time between two looks, without store calls, for shards to acquire or to drop.
	checkInterval = 100 * time.Millisecond
	// declineMin and declineMax bound how long a declined shard is left alone.
	declineMin = 30 * time.Second
	declineMax = 10 * time.Minute
	keyPrefix  = "shards/"
)

// Shard is a shard that exists by configuration.
type Shard struct {
	Name string
	Zone string
}

// Peer is a configured entry VM.
type Peer struct {
	VM   string
	Zone string
}

// PromiseCollector asks for promises while the store does not answer.
type PromiseCollector interface {
	// Ask sends the request to every other configured entry VM and returns the shards that all of them promised. It
	// returns none if any of them did not respond.
	Ask(ctx context.Context, request *siskinv1.PromiseRequest) []string
}

// Options configures a manager.
type Options struct {
	Store       infra.Store
	Clock       clock.Clock
	VM          string
	Zone        string
	Incarnation int64
	// Shards returns the shards of the current configuration.
	Shards func() []Shard
	// Peers are all configured entry VMs with this one. Empty means that this VM does not rank itself.
	Peers []Peer
	// Alive reports whether a peer can be expected to acquire a shard; nil means all can.
	Alive func(vm string) bool
	// PromiseCollector asks the other VMs; nil means that rights end with the lease.
	PromiseCollector PromiseCollector
	// Random returns numbers in [0, 1) for jitter.
	Random func() float64
	// Acquired is called when the VM has become the owner of a shard. It must not block or call the manager.
	Acquired func(*Right)
	// Lost is called when the VM has ceased to be the owner of a shard. It must not block or call the manager.
	Lost    func(shard string)
	Metrics *Metrics
}

// rules are the safety rules of a manager. Tests break them one at a time.
type rules struct {
	driftMargin    time.Duration
	startWait      time.Duration
	honourPromises bool
}

// Manager acquires, keeps and gives up shards for one VM.
type Manager struct {
	options Options
	rules   rules
	started time.Time
	wake    chan struct{} // holds a token when there may be a shard to acquire

	mu        sync.Mutex // guards all fields below
	lease     infra.LeaseID
	leaseSent time.Time // when the last answered grant or renewal of lease was sent
	held      map[string]*Right
	directory directory
	attempts  map[string]*attempt // acquisitions that may still take effect
	promises  map[string]time.Time
	declined  map[string]*declineBackoff
	deletions map[string]infra.Revision // own keys to be deleted
	nonces    int64
	leaving   bool
}

// declineBackoff is a shard that this VM could not serve.
type declineBackoff struct {
	until time.Time
	wait  time.Duration
}

// NewManager returns a manager that does nothing before Run.
func NewManager(options Options) *Manager {
	if options.Metrics == nil {
		options.Metrics = NewMetrics(nil)
	}
	if options.Alive == nil {
		options.Alive = func(string) bool { return true }
	}
	if options.Random == nil {
		options.Random = func() float64 { return 1 }
	}
	return &Manager{
		options:   options,
		rules:     rules{driftMargin: DriftMargin, startWait: PromiseDuration, honourPromises: true},
		started:   options.Clock.Now(),
		wake:      make(chan struct{}, 1),
		held:      map[string]*Right{},
		directory: newDirectory(),
		attempts:  map[string]*attempt{},
		promises:  map[string]time.Time{},
		declined:  map[string]*declineBackoff{},
		deletions: map[string]infra.Revision{},
	}
}

// Run keeps the lease and the shards until ctx ends. Then all rights have ended; the keys vanish with the lease, unless
// Release has deleted them before.
func (m *Manager) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { m.renewLoop(ctx) })
	loops.Go(func() { m.watchLoop(ctx) })
	loops.Go(func() { m.acquireLoop(ctx) })
	loops.Wait()
	m.dropAll()
}

func (m *Manager) renewLoop(ctx context.Context) {
	for ctx.Err() == nil {
		started := m.options.Clock.Now()
		m.renewStep(ctx)
		wait := renewInterval - m.options.Clock.Now().Sub(started)
		_ = m.options.Clock.Sleep(ctx, max(wait, checkInterval))
	}
}

func (m *Manager) acquireLoop(ctx context.Context) {
	for ctx.Err() == nil {
		m.acquireStep(ctx)
		_ = m.options.Clock.Sleep(ctx, checkInterval)
	}
}

// Leave makes the manager acquire no more shards. Shards held are kept until Release.
func (m *Manager) Leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaving = true
}

// Held returns the names of the shards that this VM owns now.
func (m *Manager) Held() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var names []string
	for name, right := range m.held {
		if right.Check() == nil {
			names = append(names, name)
		}
	}
	return names
}

func (m *Manager) dropAll() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lease = 0
	for shard := range m.held {
		m.drop(shard)
	}
}

func (m *Manager) dropExpired() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for shard, right := range m.held {
		if right.Check() != nil {
			m.drop(shard)
		}
	}
}

// drop ends the right to a shard. The caller holds mu.
func (m *Manager) drop(shard string) {
	m.held[shard].end()
	delete(m.held, shard)
	m.options.Metrics.lost.Inc()
	m.options.Metrics.held.Set(float64(len(m.held)))
	m.options.Lost(shard)
}

// nonce returns a value that no other acquisition uses. The caller holds mu.
func (m *Manager) nonce() string {
	m.nonces++
	return fmt.Sprintf("%d-%d", m.options.Incarnation, m.nonces)
}

// leaseEnd returns when a lease that was renewed by a call sent at sent may end.
func (m *Manager) leaseEnd(sent time.Time) time.Time { return sent.Add(LeaseTTL - m.rules.driftMargin) }

// promiseEnd returns when promises that were asked for at sent may end.
func (m *Manager) promiseEnd(sent time.Time) time.Time {
	return sent.Add(PromiseDuration - m.rules.driftMargin)
}

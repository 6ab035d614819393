// Package ownership decides which shards this VM owns. A shard belongs to the VM whose key the store holds under that
// VM's lease. The VM trusts its ownership only as long as its own monotonic clock proves that the lease cannot have
// ended, or, while the store does not respond, as long as every other configured VM has promised not to acquire the
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
	// LeaseTTL is how long the VM's store lease lasts without renewal.
	LeaseTTL = 3 * time.Second
	// PromiseDuration is how long a peer that promised does not acquire the shard.
	PromiseDuration = 3 * time.Second
	// DriftMargin covers the difference of two clocks' rates over a lease, and the time between a check and the action
	// that it permits. It suffices for clocks that run up to 4.5% too fast or too slow.
	DriftMargin = 300 * time.Millisecond
	// renewInterval is the time between two renewals of the store lease.
	renewInterval = time.Second
	// renewTimeout leaves time to ask for promises and to retry before the lease ends.
	renewTimeout = 800 * time.Millisecond
	// promiseTimeout bounds asking all peers. Together with renewTimeout it is less than half of a lease.
	promiseTimeout = 500 * time.Millisecond
	// otherZoneDelay lets the VMs of the shard's own zone acquire it first.
	otherZoneDelay = time.Second
	// rankDelay is the delay per rank: VMs that rank higher for the shard acquire it first, so that VMs do not race.
	rankDelay = 100 * time.Millisecond
	// callTimeout bounds one store call other than a renewal.
	callTimeout = time.Second
	// watchWait is how long the store holds a watch open. An idle VM makes one read per watchWait.
	watchWait = 5 * time.Second
	// checkInterval is the time between two checks for shards to acquire or to drop. Idle checks make no store calls.
	checkInterval = 100 * time.Millisecond
	// declineMin and declineMax bound how long this VM does not acquire a declined shard.
	declineMin = 30 * time.Second
	declineMax = 10 * time.Minute
	keyPrefix  = "shards/"
)

// Shard is a configured shard.
type Shard struct {
	Name string
	Zone string
}

// Peer is a configured entry VM.
type Peer struct {
	VM   string
	Zone string
}

// PromiseCollector asks for promises while the store does not respond.
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
	// Peers are all configured entry VMs, including this one. If it is empty, this VM has rank 0 for every shard.
	Peers []Peer
	// Alive reports whether a peer can be expected to acquire a shard; nil means all can.
	Alive func(vm string) bool
	// PromiseCollector asks the other VMs; nil means that rights end with the lease.
	PromiseCollector PromiseCollector
	// Random returns numbers in [0, 1) for jitter.
	Random func() float64
	// Acquired is called after the VM has become the owner of a shard. It must not block or call the manager.
	Acquired func(*Right)
	// Lost is called after the VM has stopped being the owner of a shard. It must not block or call the manager.
	Lost    func(shard string)
	Metrics *Metrics
}

// rules are the safety rules of a manager. Tests break them one at a time to prove that the checker detects it.
type rules struct {
	driftMargin time.Duration
	// startWait is how long a new process acquires no shard: an earlier process of this VM may have given promises that
	// the new one does not know.
	startWait      time.Duration
	honourPromises bool
}

// Manager acquires, keeps and gives up shards for one VM.
type Manager struct {
	options Options
	rules   rules
	started time.Time
	wake    chan struct{} // holds a token after the directory has changed; acquireLoop polls instead of reading it

	mu        sync.Mutex // guards all fields below
	lease     infra.LeaseID
	leaseSent time.Time // when the last successful grant or renewal of lease was sent
	held      map[string]*Right
	directory directory
	attempts  map[string]*attempt  // acquisitions that may still take effect
	promises  map[string]time.Time // until when this VM has promised not to acquire a shard
	declined  map[string]*declineBackoff
	deletions map[string]infra.Revision // keys of this VM to be deleted
	nonces    int64
	leaving   bool
}

// declineBackoff tells until when this VM does not acquire a shard that it declined or released.
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

// Run maintains the lease and the rights until ctx ends. When it returns, all rights have ended; the store removes the
// keys when the lease expires, unless Release has deleted them before.
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

// Leave stops the manager from acquiring shards. It keeps the shards that it holds until Release.
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

// leaseEnd returns the earliest end, less the drift margin, of a lease whose renewal was sent at sent.
func (m *Manager) leaseEnd(sent time.Time) time.Time { return sent.Add(LeaseTTL - m.rules.driftMargin) }

// promiseEnd returns the earliest end, less the drift margin, of promises that were requested at sent.
func (m *Manager) promiseEnd(sent time.Time) time.Time {
	return sent.Add(PromiseDuration - m.rules.driftMargin)
}

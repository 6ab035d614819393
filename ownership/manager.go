// Package ownership decides which shards this VM owns. A shard belongs to the VM whose key the store holds under that
// VM's lease. The VM trusts its ownership only as long as its own monotonic clock proves that the lease cannot have
// ended.
package ownership

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/clock"
	"siskinstack.example/siskinstack/platform"
)

const (
	// LeaseTTL is the life of the VM's store lease without renewal.
	LeaseTTL = 3 * time.Second
	// DriftMargin covers the difference of two clocks' rates over a lease, and the time between a check and its act.
	DriftMargin = 300 * time.Millisecond
	// renewInterval is the time between two renewals of the store lease.
	renewInterval = time.Second
	// otherZoneDelay gives the VMs of the shard's own zone the first chance.
	otherZoneDelay = time.Second
	// callTimeout bounds one store call.
	callTimeout = time.Second
	// pollInterval is the time between two looks at the ownership keys.
	pollInterval = 200 * time.Millisecond
	keyPrefix    = "shards/"
)

// Shard is a shard that exists by configuration.
type Shard struct {
	Name string
	Zone string
}

// Options configures a manager.
type Options struct {
	Store       platform.Store
	Clock       clock.Clock
	VM          string
	Zone        string
	Incarnation int64
	// Shards returns the shards of the current configuration.
	Shards func() []Shard
	// Acquired is called when the VM has become the owner of a shard. It must not block.
	Acquired func(*Right)
	// Lost is called when the VM has ceased to be the owner of a shard. It must not block.
	Lost func(shard string)
}

// Manager acquires, keeps and gives up shards for one VM.
type Manager struct {
	options Options

	mu      sync.Mutex // guards all fields below
	lease   platform.LeaseID
	held    map[string]*Right
	owners  map[string]string    // shard to VM, as last read from the store
	absent  map[string]time.Time // shards without an owner, and since when
	stopped bool
}

// NewManager returns a manager that does nothing before Run.
func NewManager(options Options) *Manager {
	return &Manager{
		options: options,
		held:    map[string]*Right{},
		owners:  map[string]string{},
		absent:  map[string]time.Time{},
	}
}

// Owner returns the VM that owns a shard, as far as this VM knows.
func (m *Manager) Owner(shard string) (string, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	vm, ok := m.owners[shard]
	return vm, ok
}

// Run keeps the lease and the shards until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	var renewed time.Time
	for ctx.Err() == nil {
		if m.options.Clock.Now().Sub(renewed) >= renewInterval {
			if m.renew(ctx) {
				renewed = m.options.Clock.Now()
			}
		}
		m.dropExpired()
		m.look(ctx)
		_ = m.options.Clock.Sleep(ctx, pollInterval)
	}
}

// renew extends the store lease, or grants a new one, and with it every right held.
func (m *Manager) renew(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := m.options.Clock.Now()
	m.mu.Lock()
	lease := m.lease
	m.mu.Unlock()
	if lease == 0 {
		granted, err := m.options.Store.GrantLease(ctx, LeaseTTL)
		if err != nil {
			return false
		}
		m.mu.Lock()
		m.lease = granted
		m.mu.Unlock()
		return true
	}
	err := m.options.Store.RenewLease(ctx, lease)
	if errors.Is(err, platform.ErrLeaseExpired) {
		m.dropAll()
		return false
	}
	if err != nil {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, right := range m.held {
		right.extend(sent.Add(LeaseTTL - DriftMargin))
	}
	return true
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
	m.options.Lost(shard)
}

// look reads the ownership keys and acquires shards that have no owner.
func (m *Manager) look(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	listing, err := m.options.Store.List(ctx, keyPrefix)
	if err != nil {
		return
	}
	owners := map[string]string{}
	for _, kv := range listing.Entries {
		var owner siskinv1.ShardOwner
		if proto.Unmarshal(kv.Value, &owner) == nil {
			owners[strings.TrimPrefix(kv.Key, keyPrefix)] = owner.GetVm()
		}
	}
	m.mu.Lock()
	m.owners = owners
	m.mu.Unlock()
	for _, shard := range m.options.Shards() {
		if m.mayAcquire(shard) {
			m.acquire(ctx, shard.Name)
		}
	}
}

func (m *Manager) mayAcquire(shard Shard) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, owned := m.owners[shard.Name]; owned || m.stopped || m.lease == 0 {
		delete(m.absent, shard.Name)
		return false
	}
	now := m.options.Clock.Now()
	since, known := m.absent[shard.Name]
	if !known {
		since = now
		m.absent[shard.Name] = now
	}
	return shard.Zone == m.options.Zone || now.Sub(since) >= otherZoneDelay
}

func (m *Manager) acquire(ctx context.Context, shard string) {
	m.mu.Lock()
	lease := m.lease
	m.mu.Unlock()
	value, err := proto.Marshal(&siskinv1.ShardOwner{Vm: m.options.VM, Incarnation: m.options.Incarnation})
	if err != nil {
		return
	}
	// The lease lived when this call was sent, so a successful answer proves it for at most one TTL from the last
	// renewal; the next renewal extends the right.
	sent := m.options.Clock.Now()
	revision, err := m.options.Store.Put(ctx, platform.PutRequest{Key: keyPrefix + shard, Value: value, Lease: lease})
	if err != nil {
		return
	}
	if err := m.options.Store.RenewLease(ctx, lease); err != nil {
		return
	}
	right := NewRight(m.options.Clock, shard, int64(revision), sent.Add(LeaseTTL-DriftMargin))
	m.mu.Lock()
	m.held[shard] = right
	m.owners[shard] = m.options.VM
	m.mu.Unlock()
	m.options.Acquired(right)
}

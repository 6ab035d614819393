// Package membership exchanges heartbeats between the configured entry VMs. It reports which of them are alive, carries
// the load and team usage of shards, and reports the configuration revisions of the other VMs. Nothing that is
// safety-relevant depends on the status of a peer alone.
package membership

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/clock"
)

const (
	// Interval is the time between two rounds of heartbeats.
	Interval = time.Second
	// sendTimeout bounds a heartbeat, so that it ends before the next round.
	sendTimeout = 800 * time.Millisecond
	// defaultFanout bounds the heartbeats of one round. With seven entry VMs, each round reaches all peers.
	defaultFanout = 16
	// suspectRounds and deadRounds count rounds without contact, not time, so that a pause of this process does not mark
	// its peers as dead. Both are multiplied by the number of rounds that it takes to reach all peers.
	suspectRounds = 3
	deadRounds    = 6
	// slowRoundTrip is the average round trip from which a peer counts as slow. It is far above the 1 ms between zones.
	slowRoundTrip = 200 * time.Millisecond
	// roundTripWeight is the weight of a new round trip in the moving average.
	roundTripWeight = 0.3
	// usagePerHeartbeat bounds the team usages in one heartbeat; if there are more, heartbeats carry them in rotation.
	// With 45 teams and two shards per VM, all of them in each heartbeat would be seven times the control budget of 9 KB
	// a second per node.
	usagePerHeartbeat = 6
	// usageLifetime is how long a usage counts without being reported again. A full rotation takes 15 s at that size.
	usageLifetime = time.Minute
	// maxReports bounds the shard loads, and the team usages, that one heartbeat may carry.
	maxReports = 4096
)

// Errors of Receive.
var (
	ErrUnknownPeer = eris.New("heartbeat from a VM that is not configured")
	ErrStale       = eris.New("heartbeat from a replaced incarnation")
	ErrTooMany     = eris.New("heartbeat carries too many reports")
)

// Sender sends a heartbeat to a peer.
type Sender interface {
	Heartbeat(ctx context.Context, vm string, request *siskinv1.HeartbeatRequest) (*siskinv1.HeartbeatResponse, error)
}

// Options configures a manager.
type Options struct {
	VM          string
	Zone        string
	Incarnation int64
	Clock       clock.Clock
	// Peers are the other configured entry VMs.
	Peers  []Peer
	Sender Sender
	// Local returns the state of this VM. Its lists must not be changed afterwards.
	Local func() Local
	// Changed is called when a peer's status or incarnation has changed. It must not block or call the
	// manager; nil ignores changes.
	Changed func(Member)
	// Fanout bounds the heartbeats of one round; 0 selects the default. If there are more peers, the rounds cover them
	// in rotation.
	Fanout  int
	Metrics *Metrics
}

// Manager sends and receives heartbeats for one VM.
type Manager struct {
	options Options

	mu       sync.Mutex // guards all fields below
	peers    map[string]*peerState
	sequence int64
	next     int // index of the first peer of the next round
	stats    Stats
}

// Stats counts heartbeats and the bytes of their encoded requests, without responses and the framing of gRPC.
type Stats struct {
	Sent          int64
	SentBytes     int64
	Received      int64
	ReceivedBytes int64
}

// NewManager returns a manager that sends nothing before Run.
func NewManager(options Options) *Manager {
	if options.Fanout <= 0 {
		options.Fanout = defaultFanout
	}
	if options.Metrics == nil {
		options.Metrics = NewMetrics(nil)
	}
	if options.Changed == nil {
		options.Changed = func(Member) {}
	}
	m := &Manager{options: options, peers: map[string]*peerState{}}
	for _, peer := range options.Peers {
		m.peers[peer.VM] = &peerState{member: Member{Peer: peer}}
	}
	return m
}

// Run sends heartbeats until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	for ctx.Err() == nil {
		started := m.options.Clock.Now()
		m.round(ctx)
		_ = m.options.Clock.Sleep(ctx, max(0, Interval-m.options.Clock.Now().Sub(started)))
	}
}

// round sends one heartbeat to each target and then updates the statuses of peers without contact.
func (m *Manager) round(ctx context.Context) {
	ctx, cancel := clock.WithTimeout(ctx, m.options.Clock, sendTimeout)
	defer cancel()
	request := m.request()
	var calls sync.WaitGroup
	for _, vm := range m.targets() {
		calls.Go(func() { m.send(ctx, vm, request) })
	}
	calls.Wait()
	m.updateStatuses()
}

func (m *Manager) request() *siskinv1.HeartbeatRequest {
	local := m.options.Local()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sequence++
	return &siskinv1.HeartbeatRequest{
		Vm: m.options.VM, Zone: m.options.Zone, Incarnation: m.options.Incarnation, Sequence: m.sequence,
		ConfigRevision: local.ConfigRevision, ConfigAgeMs: local.ConfigAge.Milliseconds(),
		BundleVersion: local.BundleVersion, StoreReachable: local.StoreReachable, Leaving: local.Leaving,
		Shards: local.Shards, Usage: m.usageWindow(local.Usage),
	}
}

// usageWindow returns the usages that the current heartbeat carries. With more peers than the fanout, a window lasts
// for the rounds that it takes to send it to each peer. The caller holds mu.
func (m *Manager) usageWindow(usage []*siskinv1.TeamUsage) []*siskinv1.TeamUsage {
	if len(usage) <= usagePerHeartbeat {
		return usage
	}
	windows := (len(usage) + usagePerHeartbeat - 1) / usagePerHeartbeat
	window := int((m.sequence-1)/int64(m.roundsPerCycle())) % windows
	first := window * usagePerHeartbeat
	return usage[first:min(first+usagePerHeartbeat, len(usage))]
}

// targets returns the peers of this round, in rotation.
func (m *Manager) targets() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := min(m.options.Fanout, len(m.options.Peers))
	targets := make([]string, n)
	for i := range targets {
		targets[i] = m.options.Peers[(m.next+i)%len(m.options.Peers)].VM
	}
	if len(m.options.Peers) > 0 {
		m.next = (m.next + n) % len(m.options.Peers)
	}
	return targets
}

// roundsPerCycle returns the number of rounds in which each peer is sent a heartbeat.
func (m *Manager) roundsPerCycle() int {
	return max(1, (len(m.options.Peers)+m.options.Fanout-1)/m.options.Fanout)
}

func (m *Manager) send(ctx context.Context, vm string, request *siskinv1.HeartbeatRequest) {
	sent := m.options.Clock.Now()
	m.countSent(proto.Size(request))
	response, err := m.options.Sender.Heartbeat(ctx, vm, request)
	took := m.options.Clock.Now().Sub(sent)
	m.mu.Lock()
	defer m.mu.Unlock()
	state := m.peers[vm]
	state.member.RoundTrip += time.Duration(roundTripWeight * float64(took-state.member.RoundTrip))
	state.member.Slow = state.member.RoundTrip >= slowRoundTrip
	if err != nil || response.GetVm() != vm {
		m.options.Metrics.failed.Inc()
		return
	}
	if !m.recordContact(state, response.GetIncarnation()) {
		return
	}
	if sent.After(state.confirmedSent) {
		state.confirmedSent = sent
		state.member.Confirmed = sent
		state.member.ConfigRevision = response.GetConfigRevision()
		state.member.ConfigAge = time.Duration(response.GetConfigAgeMs()) * time.Millisecond
	}
	state.member.BundleVersion = response.GetBundleVersion()
	state.member.StoreReachable = response.GetStoreReachable()
	state.member.Leaving = response.GetLeaving()
}

func (m *Manager) countSent(bytes int) {
	m.options.Metrics.sent.Inc()
	m.options.Metrics.sentBytes.Add(float64(bytes))
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stats.Sent++
	m.stats.SentBytes += int64(bytes)
}

// Receive handles a peer's heartbeat and returns the response.
func (m *Manager) Receive(request *siskinv1.HeartbeatRequest) (*siskinv1.HeartbeatResponse, error) {
	if err := m.accept(request); err != nil {
		m.options.Metrics.rejected.Inc()
		return nil, err
	}
	local := m.options.Local()
	return &siskinv1.HeartbeatResponse{
		Vm: m.options.VM, Incarnation: m.options.Incarnation,
		ConfigRevision: local.ConfigRevision, ConfigAgeMs: local.ConfigAge.Milliseconds(),
		BundleVersion: local.BundleVersion, StoreReachable: local.StoreReachable, Leaving: local.Leaving,
	}, nil
}

func (m *Manager) accept(request *siskinv1.HeartbeatRequest) error {
	size := proto.Size(request)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stats.Received++
	m.stats.ReceivedBytes += int64(size)
	m.options.Metrics.receivedBytes.Add(float64(size))
	state, ok := m.peers[request.GetVm()]
	switch {
	case !ok:
		return eris.Wrapf(ErrUnknownPeer, "%q", request.GetVm())
	case len(request.GetShards()) > maxReports || len(request.GetUsage()) > maxReports:
		return ErrTooMany
	case request.GetIncarnation() < state.member.Incarnation:
		return ErrStale
	case request.GetIncarnation() == state.member.Incarnation && request.GetSequence() <= state.sequence:
		return nil // delayed or duplicated; a newer one was accepted
	}
	m.recordContact(state, request.GetIncarnation())
	state.sequence = request.GetSequence()
	state.mergeReports(request, m.options.Clock.Now())
	state.member.BundleVersion = request.GetBundleVersion()
	state.member.StoreReachable = request.GetStoreReachable()
	state.member.Leaving = request.GetLeaving()
	return nil
}

// recordContact records that a message of the peer arrived; it returns false if the message is from a replaced
// incarnation. A new incarnation supersedes all state of the old one except the round trip. The caller holds mu.
func (m *Manager) recordContact(state *peerState, incarnation int64) bool {
	if incarnation < state.member.Incarnation {
		return false
	}
	replaced := incarnation > state.member.Incarnation
	if replaced {
		*state = peerState{member: Member{Peer: state.member.Peer, RoundTrip: state.member.RoundTrip}}
		state.member.Incarnation = incarnation
	}
	state.missedRounds = 0
	state.member.LastContact = m.options.Clock.Now()
	if replaced || state.member.Status != Alive {
		m.setStatus(state, Alive)
	}
	return true
}

// updateStatuses counts a missed round for each alive or suspect peer and marks those with too many as suspect or dead.
func (m *Manager) updateStatuses() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, state := range m.peers {
		if state.member.Status == Unheard || state.member.Status == Dead {
			continue
		}
		state.missedRounds++
		switch {
		case state.missedRounds > deadRounds*m.roundsPerCycle():
			m.setStatus(state, Dead)
		case state.missedRounds > suspectRounds*m.roundsPerCycle() && state.member.Status == Alive:
			m.setStatus(state, Suspect)
		}
	}
}

// setStatus changes a status and calls Options.Changed. The caller holds mu.
func (m *Manager) setStatus(state *peerState, status Status) {
	state.member.Status = status
	m.options.Metrics.changes.WithLabelValues(status.String()).Inc()
	m.options.Changed(state.member)
}

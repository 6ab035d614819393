package allowance

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/clock"
	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/resource"
)

const (
	// writeInterval is the shortest time between two writes for one team and shard.
	writeInterval = time.Second
	// stepInterval is the time between two looks at the demand.
	stepInterval = 200 * time.Millisecond
	// askBackoffMin and askBackoffMax bound the time between two requests to other shards that brought nothing.
	askBackoffMin = time.Second
	askBackoffMax = 8 * time.Second
	// yieldFor is how long a shard that gave way to an earlier gang job of another shard raises nothing. It spans the
	// longest pause between two requests of that shard.
	yieldFor = askBackoffMax + 2*writeInterval
	// idleFor is how long a shard may need less than its grant before it gives the difference back without being asked. The
	// other shards may be cut off from it and still share the store. It spans the pauses between a team's jobs.
	idleFor = 5 * time.Second
	// callTimeout bounds one store call or one request to another shard.
	callTimeout = time.Second
	// maxRounds bounds how often a write is tried again after a conflict within one step.
	maxRounds = 3
	keyPrefix = "allowance/"
)

// DonorClient asks the owner of another shard to give back what it does not use.
type DonorClient interface {
	GiveBack(ctx context.Context, request *siskinv1.GiveBackAllowanceRequest) (*siskinv1.GiveBackAllowanceResponse, error)
}

// Limiter is the runtime of the owned shards.
type Limiter interface {
	// SetLimit makes limit the bound for further starts of a team in a shard before it returns, and returns what the
	// team runs there, with starts that are under way. It must not call the manager.
	SetLimit(shard, team string, limit resource.Vector) resource.Vector
}

// Ceilings are the ceilings of one bundle version.
type Ceilings struct {
	Version int64
	Teams   map[string]resource.Vector
}

// Options configures a manager.
type Options struct {
	Store infra.Store
	Clock clock.Clock
	// Writer is the identity of this VM: name and incarnation.
	Writer string
	Donors DonorClient
	// Limiter receives each change of a limit.
	Limiter Limiter
	// Ceilings returns the ceilings of the bundle in force.
	Ceilings func() Ceilings
	// Shards returns all configured shards.
	Shards func() []string
	// Check returns an error unless this VM has the right to act for a shard.
	Check   func(shard string) error
	Metrics *Metrics
}

// rules are the safety rules of a manager. Tests break them one at a time.
type rules struct {
	// lowerFirst lowers the local limit before the grant.
	lowerFirst bool
	// adopt writes a split once before a new owner trusts it.
	adopt bool
	// smallerCounts uses the smaller limit while the outcome of a write is not known.
	smallerCounts bool
}

// Manager keeps the allowances of the shards that this VM owns.
type Manager struct {
	options Options
	rules   rules

	// limits is held while a limit is changed and passed on, so that the shard sees the changes in order. It is taken
	// before mu.
	limits sync.Mutex

	mu     sync.Mutex // guards all fields below and those of the states
	shards map[string]map[string]*state
	writes int64
}

// state is the allowance of one team in one shard.
type state struct {
	shard string
	team  string
	// writing is held during a change of the split, so that two changes by this shard do not overlap. It is taken before
	// all other locks.
	writing sync.Mutex
	// limit is what the shard may run; it is at most the grant under every possible outcome of a pending write.
	limit  resource.Vector
	demand resource.Vector
	// gang is the first gang job that waits here; the zero value if none waits.
	gang Gang
	// yieldUntil is when this shard may raise its grant again after it gave way to an earlier gang job.
	yieldUntil time.Time
	split      Split
	// revision is that of split; 0 if it was never read.
	revision infra.Revision
	// adopted is true once this owner has written the split. Before, a write of the former owner may be under way.
	adopted bool
	// pending is the revision expected by a write whose outcome is not known; 0 if there is none. Such a write can
	// take effect as long as the store shows this revision.
	pending infra.Revision
	// creating is true if the write of unknown outcome creates the value.
	creating  bool
	nextWrite time.Time
	// nextServe is when unmet demand is served again. Unlike nextWrite it does not keep the shard from giving back.
	nextServe time.Time
	nextAsk   time.Time
	// idleSince is since when the shard has needed less than its grant, zero if it needs all of it.
	idleSince time.Time
	askWait   time.Duration
}

// NewManager returns a manager without shards.
func NewManager(options Options) *Manager {
	if options.Metrics == nil {
		options.Metrics = NewMetrics(nil)
	}
	return &Manager{
		options: options,
		rules:   rules{lowerFirst: true, adopt: true, smallerCounts: true},
		shards:  map[string]map[string]*state{},
	}
}

// AddShard starts to keep the allowances of a shard. Limits are zero until the store has confirmed them.
func (m *Manager) AddShard(shard string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.shards[shard] = map[string]*state{}
}

// RemoveShard stops keeping the allowances of a shard. The grants stay with the shard.
func (m *Manager) RemoveShard(shard string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.shards, shard)
}

// Limit returns what a team may run in an owned shard.
func (m *Manager) Limit(shard, team string) resource.Vector {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s, ok := m.shards[shard][team]; ok {
		return s.limit
	}
	return resource.Vector{}
}

// SetDemand tells what a team runs and wants to run in an owned shard together. It makes no call; demand is served in
// batches.
func (m *Manager) SetDemand(shard, team string, demand resource.Vector) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s := m.state(shard, team); s != nil {
		s.demand = demand
	}
}

// SetGang tells which gang job of a team comes first among those that wait in an owned shard.
func (m *Manager) SetGang(shard, team string, gang Gang) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s := m.state(shard, team); s != nil {
		s.gang = gang
	}
}

// state returns the state of a team in an owned shard, or nil. The caller holds mu.
func (m *Manager) state(shard, team string) *state {
	teams, owned := m.shards[shard]
	if !owned {
		return nil
	}
	s, ok := teams[team]
	if !ok {
		s = &state{shard: shard, team: team, askWait: askBackoffMin}
		teams[team] = s
	}
	return s
}

// Run serves the demand until ctx ends.
func (m *Manager) Run(ctx context.Context) {
	for ctx.Err() == nil {
		m.Step(ctx)
		_ = m.options.Clock.Sleep(ctx, stepInterval)
	}
}

// Step serves the demand of every shard and team once, each in at most one write a second.
func (m *Manager) Step(ctx context.Context) {
	ceilings := m.options.Ceilings()
	for _, s := range m.states() {
		m.applyCeiling(s, ceilings)
		m.serve(ctx, s, ceilings)
		m.release(ctx, s)
	}
}

// states returns all states in a fixed order.
func (m *Manager) states() []*state {
	m.mu.Lock()
	defer m.mu.Unlock()
	var all []*state
	for _, teams := range m.shards {
		for _, s := range teams {
			all = append(all, s)
		}
	}
	slices.SortFunc(all, func(a, b *state) int {
		return cmp.Or(cmp.Compare(a.team, b.team), cmp.Compare(a.shard, b.shard))
	})
	return all
}

// applyCeiling lowers the limit at once when the ceiling was lowered, before anything is written.
func (m *Manager) applyCeiling(s *state, ceilings Ceilings) {
	m.mu.Lock()
	limit := s.split.WithCeiling(ceilings.Version, ceilings.Teams[s.team]).Limit(s.shard)
	m.mu.Unlock()
	m.lowerLimit(s, limit)
}

// lowerLimit lowers the limit to at most a bound and returns what the team runs in the shard.
func (m *Manager) lowerLimit(s *state, bound resource.Vector) resource.Vector {
	m.limits.Lock()
	defer m.limits.Unlock()
	return m.passOn(s, s.limit.Min(bound))
}

// setLimit replaces the limit.
func (m *Manager) setLimit(s *state, limit resource.Vector) {
	m.limits.Lock()
	defer m.limits.Unlock()
	m.passOn(s, limit)
}

// passOn passes a limit to the shard and returns what the team runs there. A state whose shard this VM has given up or
// acquired anew changes nothing. The caller holds limits.
func (m *Manager) passOn(s *state, limit resource.Vector) resource.Vector {
	if !m.current(s) {
		return s.limit
	}
	running := m.options.Limiter.SetLimit(s.shard, s.team, limit)
	m.mu.Lock()
	defer m.mu.Unlock()
	s.limit = limit
	return running
}

// current reports whether s belongs to the present ownership of its shard.
func (m *Manager) current(s *state) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.shards[s.shard][s.team] == s
}

// serve raises the grant for demand, or brings a new ceiling into the split.
func (m *Manager) serve(ctx context.Context, s *state, ceilings Ceilings) {
	now := m.options.Clock.Now()
	m.mu.Lock()
	missing := s.demand.Sub(s.limit).Max(resource.Vector{})
	outdated := s.adopted && (s.split.Version < ceilings.Version || s.split.Targets != nil)
	due := !now.Before(s.nextWrite) && !now.Before(s.nextServe) && (!missing.IsZero() || outdated || s.pending != 0 || s.creating)
	m.mu.Unlock()
	if !due {
		return
	}
	m.update(ctx, s, func(split Split) Split { return m.wanted(s, split, ceilings) })
	m.mu.Lock()
	missing = s.demand.Sub(s.limit).Max(resource.Vector{})
	if !missing.IsZero() {
		// Demand that the ceiling does not cover would otherwise be read again every second.
		s.nextServe = now.Add(max(writeInterval, s.askWait))
	}
	ask := !missing.IsZero() && s.adopted && s.split.Remainder().Min(missing).IsZero() && !now.Before(s.nextAsk)
	m.mu.Unlock()
	if ask {
		m.ask(ctx, s, missing)
	}
}

// release gives back what the shard has not needed for a while, down to the part that each shard begins with.
func (m *Manager) release(ctx context.Context, s *state) {
	now := m.options.Clock.Now()
	m.mu.Lock()
	begin := Initial(s.split.Version, s.split.Ceiling, m.options.Shards()).Granted[s.shard]
	surplus := s.limit.Sub(s.demand.Max(begin)).Max(resource.Vector{})
	switch {
	case surplus.IsZero() || !s.adopted || s.split.Targets != nil:
		s.idleSince = time.Time{}
	case s.idleSince.IsZero():
		s.idleSince = now
	}
	due := !s.idleSince.IsZero() && now.Sub(s.idleSince) >= idleFor && !now.Before(s.nextWrite)
	if due {
		s.idleSince = time.Time{}
	}
	m.mu.Unlock()
	if due && m.update(ctx, s, func(split Split) Split { return m.lowered(s, split, surplus) }) {
		m.options.Metrics.givenBack.Inc()
	}
}

// wanted returns the split as it should be: with the newest ceiling, and with this shard's grant at its demand. Above a
// lowered ceiling the grant goes down to the target, but not below what runs.
func (m *Manager) wanted(s *state, split Split, ceilings Ceilings) Split {
	next := split.WithCeiling(ceilings.Version, ceilings.Teams[s.team])
	if next.Targets != nil {
		running := m.lowerLimit(s, next.Limit(s.shard))
		return next.Lower(s.shard, next.Limit(s.shard).Max(running))
	}
	m.mu.Lock()
	demand := s.demand
	if m.options.Clock.Now().Before(s.yieldUntil) {
		demand = resource.Vector{}
	}
	m.mu.Unlock()
	return next.Raise(s.shard, demand.Sub(next.Granted[s.shard]).Max(resource.Vector{}))
}

// ask requests allowance from the other shards until it has been given back once.
func (m *Manager) ask(ctx context.Context, s *state, missing resource.Vector) {
	ctx, cancel := clock.WithTimeout(ctx, m.options.Clock, callTimeout)
	defer cancel()
	m.mu.Lock()
	gang := s.gang.proto()
	m.mu.Unlock()
	var received resource.Vector
	for _, shard := range m.donors(s) {
		response, err := m.options.Donors.GiveBack(ctx, &siskinv1.GiveBackAllowanceRequest{
			Shard: shard, Team: s.team, Wanted: missing.Sub(received).Max(resource.Vector{}).Proto(),
			Gang: gang,
		})
		if err == nil {
			received = received.Add(resource.FromProto(response.GetGivenBack()))
		}
		if missing.Fits(received) {
			break
		}
	}
	m.options.Metrics.asked.Inc()
	m.mu.Lock()
	defer m.mu.Unlock()
	s.askWait = min(2*s.askWait, askBackoffMax)
	if !received.IsZero() {
		s.askWait = askBackoffMin
		s.nextServe = m.options.Clock.Now().Add(writeInterval)
	}
	s.nextAsk = m.options.Clock.Now().Add(s.askWait)
}

// donors returns the other shards, those with the largest grants first.
func (m *Manager) donors(s *state) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var donors []string
	for shard, grant := range s.split.Granted {
		if shard != s.shard && !grant.IsZero() {
			donors = append(donors, shard)
		}
	}
	granted, ceiling := s.split.Granted, s.split.Ceiling
	slices.SortFunc(donors, func(a, b string) int {
		byShare := cmp.Compare(granted[b].DominantShare(ceiling), granted[a].DominantShare(ceiling))
		return cmp.Or(byShare, cmp.Compare(a, b))
	})
	return donors
}

func (m *Manager) writer() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.writes++
	return fmt.Sprintf("%s-%d", m.options.Writer, m.writes)
}

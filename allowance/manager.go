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
	// stepInterval is the time between two evaluations of the demand.
	stepInterval = 200 * time.Millisecond
	// requestBackoffMin and requestBackoffMax bound the time between two rounds of requests to other shards that returned
	// nothing.
	requestBackoffMin = time.Second
	requestBackoffMax = 8 * time.Second
	// yieldDuration is how long a shard that yielded to an earlier gang job of another shard does not raise its grant. It
	// spans the longest pause between two requests of that other shard.
	yieldDuration = requestBackoffMax + 2*writeInterval
	// idleDuration is how long a shard may need less than its grant before it gives the difference back without a request:
	// the other shards may be unable to reach it and still share the store. It spans the pauses between a team's jobs.
	idleDuration = 5 * time.Second
	// callTimeout bounds one update of the split with its store calls, or one round of requests to other shards.
	callTimeout = time.Second
	// maxAttempts bounds the attempts of one update; each conflict takes another attempt.
	maxAttempts = 3
	keyPrefix   = "allowance/"
)

// DonorClient asks the owner of another shard to give back unused allowance.
type DonorClient interface {
	GiveBack(ctx context.Context, request *siskinv1.GiveBackAllowanceRequest) (*siskinv1.GiveBackAllowanceResponse, error)
}

// Limiter enforces the limits in the owned shards.
type Limiter interface {
	// SetLimit makes limit the bound for further starts of a team in a shard before it returns, and returns what the
	// team runs there, including starts in progress. It must not call the manager.
	SetLimit(shard, team string, limit resource.Vector) resource.Vector
}

// Ceilings are the ceilings of the teams in one bundle version.
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

// rules are the safety rules of a manager. Tests disable them one at a time.
type rules struct {
	// lowerFirst lowers the local limit before the grant.
	lowerFirst bool
	// adopt makes a new owner write the split once before it relies on it.
	adopt bool
	// useSmallerLimit applies the smaller limit while the outcome of a write is unknown.
	useSmallerLimit bool
}

// Manager manages the allowances of the shards that this VM owns.
type Manager struct {
	options Options
	rules   rules

	// limitMu is held while a limit is changed and passed to the Limiter, so that the shard sees the changes in order. It
	// is acquired before mu.
	limitMu sync.Mutex

	mu     sync.Mutex // guards all fields below and those of the states
	shards map[string]map[string]*state
	writes int64
}

// state is the allowance of one team in one shard.
type state struct {
	shard string
	team  string
	// writeMu is held during a change of the split, so that two changes by this shard do not overlap. It is acquired
	// before all other locks.
	writeMu sync.Mutex
	// limit is what the shard may run; it is at most the grant under every possible outcome of a pending write.
	limit  resource.Vector
	demand resource.Vector
	// gang is the first gang job that waits in the shard; the zero value if none waits.
	gang Gang
	// yieldUntil is when this shard may raise its grant again after it yielded to an earlier gang job.
	yieldUntil time.Time
	split      Split
	// revision is that of split; 0 if the store has no value or was not read yet.
	revision infra.Revision
	// adopted is true once this owner has written the split. Until then, a write of the former owner may be in flight.
	adopted bool
	// pending is the revision expected by a write whose outcome is unknown; 0 if there is none. Such a write can take
	// effect as long as the store shows this revision.
	pending infra.Revision
	// creating is true if the write of unknown outcome creates the value.
	creating  bool
	nextWrite time.Time
	// nextServe is when unmet demand is served again. Unlike nextWrite it does not delay giving back.
	nextServe   time.Time
	nextRequest time.Time
	// idleSince is the time since which the shard has needed less than its grant; zero if it needs all of it.
	idleSince      time.Time
	requestBackoff time.Duration
}

// NewManager returns a manager without shards.
func NewManager(options Options) *Manager {
	if options.Metrics == nil {
		options.Metrics = NewMetrics(nil)
	}
	return &Manager{
		options: options,
		rules:   rules{lowerFirst: true, adopt: true, useSmallerLimit: true},
		shards:  map[string]map[string]*state{},
	}
}

// AddShard starts managing the allowances of a shard. Limits are zero until the store has confirmed them.
func (m *Manager) AddShard(shard string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.shards[shard] = map[string]*state{}
}

// RemoveShard stops managing the allowances of a shard. The grants stay with the shard.
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

// SetDemand sets the total of what a team runs and wants to run in an owned shard. It makes no call; demand is served in
// batches.
func (m *Manager) SetDemand(shard, team string, demand resource.Vector) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s := m.state(shard, team); s != nil {
		s.demand = demand
	}
}

// SetGang sets the first gang job of a team among those that wait in an owned shard.
func (m *Manager) SetGang(shard, team string, gang Gang) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s := m.state(shard, team); s != nil {
		s.gang = gang
	}
}

// state returns the state of a team in a shard, or nil if the shard is not owned. The caller holds mu.
func (m *Manager) state(shard, team string) *state {
	teams, owned := m.shards[shard]
	if !owned {
		return nil
	}
	s, ok := teams[team]
	if !ok {
		s = &state{shard: shard, team: team, requestBackoff: requestBackoffMin}
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
		m.releaseIdle(ctx, s)
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

// applyCeiling lowers the limit at once after the ceiling was lowered, before anything is written.
func (m *Manager) applyCeiling(s *state, ceilings Ceilings) {
	m.mu.Lock()
	limit := s.split.WithCeiling(ceilings.Version, ceilings.Teams[s.team]).Limit(s.shard)
	m.mu.Unlock()
	m.lowerLimit(s, limit)
}

// lowerLimit lowers the limit to at most bound and returns what the team runs in the shard.
func (m *Manager) lowerLimit(s *state, bound resource.Vector) resource.Vector {
	m.limitMu.Lock()
	defer m.limitMu.Unlock()
	return m.applyLimit(s, s.limit.Min(bound))
}

func (m *Manager) setLimit(s *state, limit resource.Vector) {
	m.limitMu.Lock()
	defer m.limitMu.Unlock()
	m.applyLimit(s, limit)
}

// applyLimit passes a limit to the Limiter and returns what the team runs in the shard. If the VM has released the shard
// or acquired it again since s was created, nothing changes. The caller holds limitMu.
func (m *Manager) applyLimit(s *state, limit resource.Vector) resource.Vector {
	if !m.current(s) {
		return s.limit
	}
	running := m.options.Limiter.SetLimit(s.shard, s.team, limit)
	m.mu.Lock()
	defer m.mu.Unlock()
	s.limit = limit
	return running
}

// current reports whether s belongs to the current ownership of its shard.
func (m *Manager) current(s *state) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.shards[s.shard][s.team] == s
}

// serve raises the grant to meet demand, and applies a new ceiling to the split. If the remainder of the ceiling contains
// none of what is missing, it asks the other shards to give back allowance.
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
	m.update(ctx, s, func(split Split) Split { return m.desiredSplit(s, split, ceilings) })
	m.mu.Lock()
	missing = s.demand.Sub(s.limit).Max(resource.Vector{})
	if !missing.IsZero() {
		// Without this delay, demand that the ceiling does not cover would cause a read every second.
		s.nextServe = now.Add(max(writeInterval, s.requestBackoff))
	}
	needDonors := !missing.IsZero() && s.adopted && s.split.Remainder().Min(missing).IsZero() && !now.Before(s.nextRequest)
	m.mu.Unlock()
	if needDonors {
		m.requestAllowance(ctx, s, missing)
	}
}

// releaseIdle gives back what the shard has not needed for idleDuration, down to its initial grant.
func (m *Manager) releaseIdle(ctx context.Context, s *state) {
	now := m.options.Clock.Now()
	m.mu.Lock()
	initial := Initial(s.split.Version, s.split.Ceiling, m.options.Shards()).Granted[s.shard]
	surplus := s.limit.Sub(s.demand.Max(initial)).Max(resource.Vector{})
	switch {
	case surplus.IsZero() || !s.adopted || s.split.Targets != nil:
		s.idleSince = time.Time{}
	case s.idleSince.IsZero():
		s.idleSince = now
	}
	due := !s.idleSince.IsZero() && now.Sub(s.idleSince) >= idleDuration && !now.Before(s.nextWrite)
	if due {
		s.idleSince = time.Time{}
	}
	m.mu.Unlock()
	if due && m.update(ctx, s, func(split Split) Split { return m.loweredSplit(s, split, surplus) }) {
		m.options.Metrics.givenBack.Inc()
	}
}

// desiredSplit returns the split with the newest ceiling and with this shard's grant raised to its demand, as far as the
// ceiling allows. While the shard yields to an earlier gang job, the grant is not raised. Above a lowered ceiling it
// lowers the local limit first, and then the grant to the target, but not below what runs.
func (m *Manager) desiredSplit(s *state, split Split, ceilings Ceilings) Split {
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

// requestAllowance asks the other shards in turn to give back allowance, until they have given back what is missing.
func (m *Manager) requestAllowance(ctx context.Context, s *state, missing resource.Vector) {
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
	s.requestBackoff = min(2*s.requestBackoff, requestBackoffMax)
	if !received.IsZero() {
		s.requestBackoff = requestBackoffMin
		s.nextServe = m.options.Clock.Now().Add(writeInterval)
	}
	s.nextRequest = m.options.Clock.Now().Add(s.requestBackoff)
}

// donors returns the other shards that have a grant, those with the largest dominant share first.
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

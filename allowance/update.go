package allowance

import (
	"context"
	"errors"

	"github.com/rotisserie/eris"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/clock"
	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/resource"
)

var (
	errConflict      = eris.New("another shard changed the split")
	errShardReleased = eris.New("shard was released or acquired again")
)

// update changes the split by compare-and-swap and applies the new limit once the outcome is known. It reports whether
// the change was written.
func (m *Manager) update(ctx context.Context, s *state, change func(Split) Split) bool {
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	ctx, cancel := clock.WithTimeout(ctx, m.options.Clock, callTimeout)
	defer cancel()
	m.mu.Lock()
	s.nextWrite = m.options.Clock.Now().Add(writeInterval)
	m.mu.Unlock()
	for range maxAttempts {
		if err := m.read(ctx, s); err != nil {
			m.options.Metrics.failed.Inc()
			return false
		}
		next := change(s.split)
		if m.trusted(s) && next.equal(s.split) {
			m.acceptSplit(s, s.split, s.revision)
			return false
		}
		err := m.write(ctx, s, next)
		if !errors.Is(err, errConflict) {
			return err == nil
		}
	}
	return false
}

func (s Split) equal(other Split) bool {
	if s.Version != other.Version || s.Ceiling != other.Ceiling || (s.Targets == nil) != (other.Targets == nil) {
		return false
	}
	return equalAmounts(s.Granted, other.Granted) && equalAmounts(s.Targets, other.Targets)
}

func equalAmounts(a, b map[string]resource.Vector) bool {
	for shard := range a {
		if a[shard] != b[shard] {
			return false
		}
	}
	for shard := range b {
		if a[shard] != b[shard] {
			return false
		}
	}
	return true
}

// read loads the split from the store. A pending write is resolved once the store shows a revision other than the one the
// write expects; from then on it cannot take effect.
func (m *Manager) read(ctx context.Context, s *state) error {
	kv, err := m.options.Store.Get(ctx, keyPrefix+s.team)
	if errors.Is(err, infra.ErrNotFound) {
		m.mu.Lock()
		defer m.mu.Unlock()
		ceilings := m.options.Ceilings()
		s.split = Initial(ceilings.Version, ceilings.Teams[s.team], m.options.Shards())
		s.revision, s.adopted = 0, false
		return nil
	}
	if err != nil {
		return err
	}
	split, err := Decode(s.team, kv.Value)
	if err != nil {
		m.options.Metrics.unreadable.Inc()
		return eris.Wrapf(err, "key %s", kv.Key)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if kv.Revision != s.pending {
		s.pending = 0
	}
	s.creating = false
	s.split, s.revision = split, kv.Revision
	return nil
}

// write sends the changed split. The right to act for the shard is checked after the split was read, so that a former
// owner's write expects a revision from before the takeover, which the new owner's first write replaces. The same holds
// for a state that this VM replaced when it acquired the shard again.
func (m *Manager) write(ctx context.Context, s *state, next Split) error {
	value, err := next.Encode(s.team, m.writer())
	if err != nil {
		return err
	}
	if err := m.options.Check(s.shard); err != nil {
		return err
	}
	if !m.current(s) {
		return errShardReleased
	}
	m.lowerBeforeWrite(s, next)
	revision, err := m.options.Store.Put(ctx, infra.PutRequest{
		Key: keyPrefix + s.team, Value: value, Expected: s.revision,
	})
	switch {
	case err == nil:
		m.mu.Lock()
		s.adopted, s.pending, s.creating = true, 0, false
		m.mu.Unlock()
		m.acceptSplit(s, next, revision)
		m.options.Metrics.written.Inc()
		return nil
	case errors.Is(err, infra.ErrConflict):
		m.options.Metrics.conflicts.Inc()
		return errConflict
	case errors.Is(err, infra.ErrNotSent):
		return err
	}
	m.options.Metrics.unknown.Inc()
	m.mu.Lock()
	s.pending, s.creating = s.revision, s.revision == 0
	m.mu.Unlock()
	if !m.rules.useSmallerLimit {
		m.acceptSplit(s, next, s.revision)
	}
	return err
}

// lowerBeforeWrite lowers the limit to that of the next split before the write is sent, so that the smaller of both
// applies whatever the outcome of the write.
func (m *Manager) lowerBeforeWrite(s *state, next Split) {
	if !m.rules.lowerFirst {
		return
	}
	m.lowerLimit(s, next.Limit(s.shard))
}

// acceptSplit records a split whose revision is known to be the store's, and applies its limit. The limit stays as it is
// if this owner has not written the split yet or a pending write expects its revision.
func (m *Manager) acceptSplit(s *state, split Split, revision infra.Revision) {
	m.mu.Lock()
	s.split, s.revision = split, revision
	trusted := m.trusted(s)
	m.mu.Unlock()
	if trusted {
		ceilings := m.options.Ceilings()
		m.setLimit(s, split.WithCeiling(ceilings.Version, ceilings.Teams[s.team]).Limit(s.shard))
	}
}

// trusted reports whether limits may follow the split that was read last: this owner has written the value once, and no
// write of unknown outcome can still take effect.
func (m *Manager) trusted(s *state) bool {
	adopted := s.adopted || !m.rules.adopt
	resolved := s.pending == 0 && !s.creating || !m.rules.useSmallerLimit
	return adopted && resolved
}

// GiveBack serves the request of another shard that needs allowance: it gives back what this shard's demand does not
// need.
func (m *Manager) GiveBack(
	ctx context.Context, request *siskinv1.GiveBackAllowanceRequest,
) *siskinv1.GiveBackAllowanceResponse {
	response := &siskinv1.GiveBackAllowanceResponse{GivenBack: resource.Vector{}.Proto()}
	m.mu.Lock()
	s := m.state(request.GetShard(), request.GetTeam())
	due := s != nil && !m.options.Clock.Now().Before(s.nextWrite)
	m.mu.Unlock()
	if !due {
		return response
	}
	var given resource.Vector
	wanted := resource.FromProto(request.GetWanted()).Max(resource.Vector{})
	m.yieldTo(s, gangFromProto(request.GetGang()))
	written := m.update(ctx, s, func(split Split) Split {
		next := m.loweredSplit(s, split, wanted)
		given = split.Granted[s.shard].Sub(next.Granted[s.shard])
		return next
	})
	if written && !given.IsZero() {
		m.options.Metrics.givenBack.Inc()
		response.GivenBack = given.Proto()
	}
	return response
}

// loweredSplit lowers the local limit first and then returns the split with the remaining grant, never below what runs.
func (m *Manager) loweredSplit(s *state, split Split, wanted resource.Vector) Split {
	granted := split.Granted[s.shard]
	m.mu.Lock()
	demand := s.demand
	if m.options.Clock.Now().Before(s.yieldUntil) {
		demand = resource.Vector{}
	}
	spare := granted.Sub(demand).Max(resource.Vector{}).Min(wanted)
	m.mu.Unlock()
	kept := granted.Sub(spare)
	if !m.rules.lowerFirst {
		return split.Lower(s.shard, kept)
	}
	running := m.lowerLimit(s, kept)
	return split.Lower(s.shard, kept.Max(running.Min(granted)))
}

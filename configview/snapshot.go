package configview

import (
	"maps"
	"slices"
	"time"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/infra"
)

// Snapshot is an immutable state of the configuration. Its messages must not be changed.
type Snapshot struct {
	// Revision is the newest store revision that the snapshot reflects, even if it does not hold all changes up to it.
	Revision     infra.Revision
	proposal     *siskinv1.BundleProposal
	inForceSince time.Time
	keys         map[string]*siskinv1.TeamKey
	zones        map[string]*siskinv1.ZoneStatus
}

// Bundle returns the bundle in force, or nil before the first one.
func (s *Snapshot) Bundle() *siskinv1.Bundle { return s.proposal.GetBundle() }

// Proposal returns the signed proposal of the bundle in force, or nil before the first one.
func (s *Snapshot) Proposal() *siskinv1.BundleProposal { return s.proposal }

// BundleVersion returns the version in force, 0 before the first one.
func (s *Snapshot) BundleVersion() int64 { return s.proposal.GetBundle().GetVersion() }

// InForceSince returns when the bundle came into force on this VM.
func (s *Snapshot) InForceSince() time.Time { return s.inForceSince }

// Key returns the team key with an id, withdrawn or not, or nil.
func (s *Snapshot) Key(id string) *siskinv1.TeamKey { return s.keys[id] }

// Keys returns all team keys in the order of their ids.
func (s *Snapshot) Keys() []*siskinv1.TeamKey { return sorted(s.keys) }

// IsDraining reports whether no task may start in a zone.
func (s *Snapshot) IsDraining(zone string) bool {
	return s.zones[zone].GetState() == siskinv1.ZoneState_ZONE_STATE_DRAINING
}

// Zone returns the state of a zone. A zone that was never drained is in service.
func (s *Snapshot) Zone(zone string) *siskinv1.ZoneStatus {
	if status, ok := s.zones[zone]; ok {
		return status
	}
	return &siskinv1.ZoneStatus{Zone: zone, State: siskinv1.ZoneState_ZONE_STATE_IN_SERVICE}
}

// Zones returns the states of all zones that were ever drained, in the order of their names.
func (s *Snapshot) Zones() []*siskinv1.ZoneStatus { return sorted(s.zones) }

func sorted[T any](byName map[string]T) []T {
	values := make([]T, 0, len(byName))
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		values = append(values, byName[name])
	}
	return values
}

// buildSnapshot returns a snapshot of the entries. The caller holds mu.
func (v *View) buildSnapshot() *Snapshot {
	s := &Snapshot{
		Revision: v.newestRevision(),
		proposal: v.inForce,
		keys:     map[string]*siskinv1.TeamKey{},
		zones:    map[string]*siskinv1.ZoneStatus{},
	}
	if len(v.history) > 0 {
		s.inForceSince = v.history[len(v.history)-1].Since
	}
	for _, e := range v.entries {
		if e.key != nil {
			s.keys[e.key.GetId()] = e.key
		}
		if e.zone != nil {
			s.zones[e.zone.GetZone()] = e.zone
		}
	}
	return s
}

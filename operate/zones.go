package operate

import (
	"encoding/json"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/configstore"
	"siskinstack.example/siskinstack/refusal"
)

func (s *Server) drainZone(c *call) (any, error) {
	return s.setZone(c, siskinv1.ZoneState_ZONE_STATE_DRAINING)
}

func (s *Server) returnZone(c *call) (any, error) {
	return s.setZone(c, siskinv1.ZoneState_ZONE_STATE_IN_SERVICE)
}

// setZone changes the state of a zone by compare-and-swap. A zone that already has the state is left unchanged.
func (s *Server) setZone(c *call, state siskinv1.ZoneState) (any, error) {
	zone, err := s.pathZone(c)
	if err != nil {
		return nil, err
	}
	earlier := &siskinv1.ZoneStatus{}
	revision, err := configstore.Read(c.http.Context(), s.options.Store, configstore.Zone(zone), earlier)
	// A state that can't be decoded is replaced.
	if err != nil && revision == 0 {
		return nil, err
	}
	if revision != 0 && earlier.GetState() == state {
		return earlier, nil
	}
	status := &siskinv1.ZoneStatus{
		Zone: zone, State: state, SinceUnixMs: s.options.Clock.Now().UnixMilli(), ChangedBy: c.operator,
	}
	value, err := configstore.Encode(status)
	if err != nil {
		return nil, refusal.New(refusal.InternalError, "%v", err)
	}
	write := configstore.Write{Key: configstore.Zone(zone), Value: value, Expected: revision}
	if err := configstore.Apply(c.http.Context(), s.options.Store, write); err != nil {
		return nil, err
	}
	s.reportChange(c, "zone state changed", "zone", zone, "state", state.String())
	return status, nil
}

func (s *Server) pathZone(c *call) (string, error) {
	name := c.http.PathValue("zone")
	for _, zone := range s.snapshot().Bundle().GetZones() {
		if zone.GetName() == name {
			return name, nil
		}
	}
	return "", refusal.New(refusal.NotFound, "the bundle in force has no zone %.70q", name)
}

type zoneBody struct {
	Status  json.RawMessage `json:"status"`
	Running int64           `json:"running"`
	Queued  int64           `json:"queued"`
}

func (s *Server) getZone(c *call) (any, error) {
	zone, err := s.pathZone(c)
	if err != nil {
		return nil, err
	}
	usage, err := s.options.Usage.Zone(c.http.Context(), zone)
	if err != nil {
		return nil, err
	}
	status, err := marshalMessage(s.snapshot().Zone(zone))
	if err != nil {
		return nil, refusal.New(refusal.InternalError, "%v", err)
	}
	return zoneBody{Status: status, Running: usage.Running, Queued: usage.Queued}, nil
}

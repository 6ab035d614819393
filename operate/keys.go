package operate

import (
	"net/http"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/refusal"
	"siskinstack.example/siskinstack/resource"
)

// resourcesBody is a resource vector in JSON.
type resourcesBody struct {
	MilliCPU     int64 `json:"milli_cpu"`
	MemoryBytes  int64 `json:"memory_bytes"`
	Accelerators int64 `json:"accelerators"`
}

func newResourcesBody(v resource.Vector) resourcesBody {
	return resourcesBody{MilliCPU: v.MilliCPU, MemoryBytes: v.MemoryBytes, Accelerators: v.Accelerators}
}

type teamBody struct {
	Name    string        `json:"name"`
	Share   int64         `json:"share"`
	Ceiling resourcesBody `json:"ceiling"`
	Running resourcesBody `json:"running"`
	Queued  resourcesBody `json:"queued"`
}

type teamsBody struct {
	Teams []teamBody `json:"teams"`
}

func (s *Server) listTeams(c *call) (any, error) {
	usage, err := s.options.Usage.Teams(c.http.Context())
	if err != nil {
		return nil, err
	}
	response := teamsBody{Teams: []teamBody{}}
	for _, team := range s.snapshot().Bundle().GetTeams() {
		used := usage[team.GetName()]
		response.Teams = append(response.Teams, teamBody{
			Name: team.GetName(), Share: team.GetShare(), Ceiling: newResourcesBody(resource.FromProto(team.GetCeiling())),
			Running: newResourcesBody(used.Running), Queued: newResourcesBody(used.Queued),
		})
	}
	return response, nil
}

type issuedKeyBody struct {
	ID   string `json:"id"`
	Team string `json:"team"`
	// Key is returned only here; the store does not hold it.
	Key string `json:"key"`
}

func (s *Server) issueKey(c *call) (any, error) {
	request := &siskinv1.IssueKeyRequest{}
	if err := s.decode(c, request); err != nil {
		return nil, err
	}
	if !s.hasTeam(request.GetTeam()) {
		return nil, refusal.New(refusal.BadRequest, "$.team: the bundle in force has no team %.70q", request.GetTeam())
	}
	key, stored, err := s.keys.Issue(c.http.Context(), request.GetTeam(), c.operator)
	if err != nil {
		return nil, err
	}
	s.reportChange(c, "key issued", "id", stored.GetId(), "team", stored.GetTeam())
	c.status = http.StatusCreated
	return issuedKeyBody{ID: stored.GetId(), Team: stored.GetTeam(), Key: key.String()}, nil
}

func (s *Server) hasTeam(name string) bool {
	for _, team := range s.snapshot().Bundle().GetTeams() {
		if team.GetName() == name {
			return true
		}
	}
	return false
}

// keyBody is a stored key in JSON. It omits the hash of the secret, with which guesses of the secret could be checked.
type keyBody struct {
	ID              string `json:"id"`
	Team            string `json:"team"`
	Withdrawn       bool   `json:"withdrawn"`
	IssuedBy        string `json:"issued_by"`
	IssuedUnixMs    int64  `json:"issued_unix_ms"`
	WithdrawnUnixMs int64  `json:"withdrawn_unix_ms"`
}

func newKeyBody(key *siskinv1.TeamKey) keyBody {
	return keyBody{
		ID: key.GetId(), Team: key.GetTeam(), Withdrawn: key.GetWithdrawn(), IssuedBy: key.GetIssuedBy(),
		IssuedUnixMs: key.GetIssuedUnixMs(), WithdrawnUnixMs: key.GetWithdrawnUnixMs(),
	}
}

type keysBody struct {
	Keys []keyBody `json:"keys"`
}

func (s *Server) listKeys(*call) (any, error) {
	response := keysBody{Keys: []keyBody{}}
	for _, key := range s.snapshot().Keys() {
		response.Keys = append(response.Keys, newKeyBody(key))
	}
	return response, nil
}

func (s *Server) withdrawKey(c *call) (any, error) {
	key, err := s.keys.Withdraw(c.http.Context(), c.http.PathValue("id"))
	if err != nil {
		return nil, err
	}
	s.reportChange(c, "key withdrawn", "id", key.GetId(), "team", key.GetTeam())
	return newKeyBody(key), nil
}

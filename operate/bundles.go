package operate

import (
	"net/http"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/bundle"
	"siskinstack.example/siskinstack/refusal"
)

// replacesParameter is the query parameter with the content hash of the unsigned proposal that a new one replaces.
const replacesParameter = "replaces"

func (s *Server) propose(c *call) (any, error) {
	body, err := s.readBody(c)
	if err != nil {
		return nil, err
	}
	b, findings, err := bundle.Parse(body)
	if err := findingsRefusal(findings, err); err != nil {
		return nil, err
	}
	proposal, err := s.bundles.Propose(c.http.Context(), b, c.operator, c.http.URL.Query().Get(replacesParameter))
	if err != nil {
		return nil, err
	}
	s.reportChange(c, "bundle proposed", "version", b.GetVersion(), "content", proposal.GetContentSha256())
	c.status = http.StatusCreated
	return proposal, nil
}

func (s *Server) getBundle(c *call) (any, error) {
	version, err := pathVersion(c)
	if err != nil {
		return nil, err
	}
	// The view has the bundle in force even during a store outage.
	if snapshot := s.snapshot(); snapshot.BundleVersion() == version {
		return snapshot.Proposal(), nil
	}
	return s.proposalResponse(s.bundles.Get(c.http.Context(), version))
}

// proposalResponse returns a proposal as a response. After an error it returns nil instead of a nil pointer in a non-nil
// interface.
func (s *Server) proposalResponse(proposal *siskinv1.BundleProposal, err error) (any, error) {
	if err != nil {
		return nil, err
	}
	return proposal, nil
}

type diffBody struct {
	Changes []bundle.Change `json:"changes"`
}

func (s *Server) diffBundle(c *call) (any, error) {
	version, err := pathVersion(c)
	if err != nil {
		return nil, err
	}
	proposal, err := s.bundles.Get(c.http.Context(), version)
	if err != nil {
		return nil, err
	}
	current, _, err := s.bundles.Current(c.http.Context())
	if err != nil {
		return nil, err
	}
	response := diffBody{Changes: bundle.Diff(current.GetBundle(), proposal.GetBundle())}
	if response.Changes == nil {
		response.Changes = []bundle.Change{}
	}
	return response, nil
}

func (s *Server) review(c *call) (any, error) {
	version, err := pathVersion(c)
	if err != nil {
		return nil, err
	}
	request := &siskinv1.ReviewRequest{}
	if err := s.decode(c, request); err != nil {
		return nil, err
	}
	proposal, err := s.bundles.Review(c.http.Context(), version, request.GetContentSha256(), c.operator)
	if err != nil {
		return nil, err
	}
	s.reportChange(c, "bundle reviewed", "version", version, "content", request.GetContentSha256())
	return proposal, nil
}

func (s *Server) signOff(c *call) (any, error) {
	version, err := pathVersion(c)
	if err != nil {
		return nil, err
	}
	request := &siskinv1.SignOffRequest{}
	if err := s.decode(c, request); err != nil {
		return nil, err
	}
	proposal, err := s.bundles.SignOff(c.http.Context(), version, request.GetContentSha256(), c.operator, request.GetSignature())
	if err != nil {
		return nil, err
	}
	s.reportChange(c, "bundle signed off", "version", version, "content", request.GetContentSha256())
	return proposal, nil
}

type bundleStatusBody struct {
	Version int64      `json:"version"`
	VMs     []VMBundle `json:"vms"`
}

func (s *Server) bundleStatus(c *call) (any, error) {
	vms, err := s.options.BundleStates.BundleStates(c.http.Context())
	if err != nil {
		return nil, err
	}
	if vms == nil {
		vms = []VMBundle{}
	}
	return bundleStatusBody{Version: s.snapshot().BundleVersion(), VMs: vms}, nil
}

type vmsBody struct {
	VMs []VMState `json:"vms"`
}

func (s *Server) listVMs(c *call) (any, error) {
	vms, err := s.options.VMs.VMs(c.http.Context())
	if err != nil {
		return nil, refusal.From(err)
	}
	if vms == nil {
		vms = []VMState{}
	}
	return vmsBody{VMs: vms}, nil
}

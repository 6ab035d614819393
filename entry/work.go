package entry

import (
	"context"
	"net/http"
	"time"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/refusal"
)

// workTimeout bounds the calls to shard owners for one request.
const workTimeout = 10 * time.Second

// authenticate returns the team for which the key of the caller is valid.
func (s *Server) authenticate(r *http.Request, target Target) (string, error) {
	bearer, err := parseBearer(r.Header)
	if err != nil {
		return "", err
	}
	return s.options.Auth.Authenticate(r.Context(), bearer, target)
}

func (s *Server) submit(w http.ResponseWriter, r *http.Request) {
	response, err := s.submitWork(w, r)
	if err != nil {
		s.refuse(w, r, err)
		return
	}
	s.writeJSON(w, r, http.StatusAccepted, response)
}

func (s *Server) submitWork(w http.ResponseWriter, r *http.Request) (*siskinv1.SubmitWorkResponse, error) {
	requestKey, err := parseRequestKey(r.Header)
	if err != nil {
		return nil, err
	}
	body, err := s.readBody(w, r)
	if err != nil {
		return nil, err
	}
	spec := &siskinv1.WorkSpec{}
	if err := s.options.Decode(body, spec); err != nil {
		return nil, refusal.New(refusal.BadRequest, "%v", err)
	}
	team, err := s.authenticate(r, Target{Queue: spec.GetQueue()})
	if err != nil {
		return nil, err
	}
	if err := validate(spec); err != nil {
		return nil, err
	}
	release, err := s.options.Limiter.Acquire(team, "", spec.GetUrgency())
	if err != nil {
		return nil, err
	}
	defer release()
	shard, id, err := s.homeShard(team, requestKey)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(r.Context(), workTimeout)
	defer cancel()
	return s.options.Work.Submit(ctx, &siskinv1.SubmitWorkRequest{
		Shard: shard, Id: id, Team: team, Spec: spec, RequestKey: requestKey,
	})
}

// authorizedWork returns a job that the caller may access and the team that it belongs to. The work of other teams is
// reported like work that does not exist.
func (s *Server) authorizedWork(ctx context.Context, r *http.Request, read bool) (*siskinv1.WorkStatus, string, error) {
	id := r.PathValue("id")
	missing := refusal.New(refusal.NotFound, "work %q does not exist, or the request lacks its team's key", id)
	team := ""
	if r.Header.Get("Authorization") != "" {
		var err error
		if team, err = s.authenticate(r, Target{Read: read}); err != nil {
			return nil, "", err
		}
	}
	response, err := s.options.Work.Get(ctx, &siskinv1.GetWorkRequest{Id: id})
	if err != nil {
		return nil, "", err
	}
	status := response.GetStatus()
	if team == "" {
		// Work of a queue open to all is accessible to every caller that knows its identifier.
		if team, err = s.authenticate(r, Target{Queue: status.GetSpec().GetQueue(), Read: read}); err != nil {
			return nil, "", missing
		}
	}
	if team != status.GetTeam() {
		return nil, "", missing
	}
	return status, team, nil
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), workTimeout)
	defer cancel()
	status, _, err := s.authorizedWork(ctx, r, true)
	if err != nil {
		s.refuse(w, r, err)
		return
	}
	s.writeJSON(w, r, http.StatusOK, status)
}

func (s *Server) cancel(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), workTimeout)
	defer cancel()
	status, team, err := s.authorizedWork(ctx, r, false)
	if err != nil {
		s.refuse(w, r, err)
		return
	}
	response, err := s.options.Work.Cancel(ctx, &siskinv1.CancelWorkRequest{Id: status.GetId(), Team: team})
	if err != nil {
		s.refuse(w, r, err)
		return
	}
	s.writeJSON(w, r, http.StatusOK, response.GetStatus())
}

// explanation is the response body of the explain route.
type explanation struct {
	ID            string `json:"id"`
	WaitingReason string `json:"waiting_reason"`
	WaitingRemedy string `json:"waiting_remedy"`
	ReadyByAtRisk bool   `json:"ready_by_at_risk"`
}

func (s *Server) explain(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), workTimeout)
	defer cancel()
	status, _, err := s.authorizedWork(ctx, r, true)
	if err != nil {
		s.refuse(w, r, err)
		return
	}
	s.writeValue(w, r, explanation{
		ID: status.GetId(), WaitingReason: status.GetWaitingReason(), WaitingRemedy: status.GetWaitingRemedy(),
		ReadyByAtRisk: status.GetReadyByAtRisk(),
	})
}

package entry

import (
	"context"
	"net/http"
	"time"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/claim"
	"siskinstack.example/siskinstack/refusal"
	"siskinstack.example/siskinstack/router"
)

// responseMargin reserves time to write the refusal when the deadline of a request expires.
const responseMargin = 20 * time.Millisecond

// Bounds of the statuses that an endpoint may respond with. Others would break the caller's connection.
const (
	minStatus = 200
	maxStatus = 599
)

func (s *Server) request(w http.ResponseWriter, r *http.Request) {
	response, err := s.forward(w, r)
	if err != nil {
		s.refuse(w, r, err)
		return
	}
	s.write(w, response.Status, response.ContentType, response.Body)
}

func (s *Server) forward(w http.ResponseWriter, r *http.Request) (router.Answer, error) {
	start := time.Now()
	service := r.PathValue("service")
	headers, err := parseRequestHeaders(r.Header)
	if err != nil {
		return router.Answer{}, err
	}
	timeout, err := s.timeout(service, headers.timeout)
	if err != nil {
		return router.Answer{}, err
	}
	team, err := s.authenticate(r, Target{Service: service})
	if err != nil {
		return router.Answer{}, err
	}
	release, err := s.options.Limiter.Acquire(team, service, headers.urgency)
	if err != nil {
		return router.Answer{}, err
	}
	defer release()
	body, err := s.readBody(w, r)
	if err != nil {
		return router.Answer{}, err
	}
	request := router.Request{
		ID: RequestID(r.Context()), Service: service, Team: team, Idempotent: headers.idempotent, Urgency: headers.urgency,
		Body: body, ContentType: r.Header.Get("Content-Type"), Deadline: start.Add(timeout - responseMargin),
	}
	return s.send(r.Context(), request, headers.requestKey)
}

// timeout returns the shorter of the service's timeout and the one that the caller requests.
func (s *Server) timeout(service string, requested time.Duration) (time.Duration, error) {
	if s.options.Requests == nil {
		return 0, refusal.New(refusal.NotFound, "this VM serves no services")
	}
	timeout, ok := s.options.Requests.Timeout(service)
	if !ok {
		return 0, refusal.New(refusal.NotFound, "service %q does not exist", service)
	}
	if requested > 0 {
		timeout = min(timeout, requested)
	}
	return timeout, nil
}

// send forwards a request. One that is not idempotent and has a request key is claimed first, so that it runs at most
// once. A request that is not idempotent is completed even if the caller disconnects, so that its outcome becomes known
// and its work is not aborted half way.
func (s *Server) send(ctx context.Context, request router.Request, requestKey string) (router.Answer, error) {
	if !time.Now().Before(request.Deadline) {
		return router.Answer{}, refusal.New(refusal.DeadlineTooShort, "the time allowed by the caller is over")
	}
	if request.Idempotent {
		return s.callRouter(ctx, request)
	}
	ctx = context.WithoutCancel(ctx)
	if requestKey == "" {
		return s.callRouter(ctx, request)
	}
	if s.options.Claims == nil {
		return router.Answer{}, refusal.New(refusal.ShardUnavailable, "this VM does not accept request keys")
	}
	return s.sendClaimed(ctx, request, requestKey)
}

func (s *Server) sendClaimed(ctx context.Context, request router.Request, requestKey string) (router.Answer, error) {
	claimCtx, cancel := context.WithDeadline(ctx, request.Deadline)
	held, earlier, err := s.options.Claims.Begin(claimCtx, claim.Submission{
		Team: request.Team, Service: request.Service, RequestKey: requestKey, RequestID: request.ID,
		BodyHash: claim.BodyHash(request.ContentType, request.Body),
	})
	cancel()
	if err != nil {
		return router.Answer{}, err
	}
	if held == nil {
		return storedResponse(earlier)
	}
	response, err := s.callRouter(ctx, request)
	held.Finish(ctx, outcomeOf(response, err))
	return response, err
}

// callRouter passes the request to the router, which retries it only if it is idempotent or no earlier attempt can have
// run.
func (s *Server) callRouter(ctx context.Context, request router.Request) (router.Answer, error) {
	response, err := s.options.Requests.Send(ctx, request)
	if err == nil && (response.Status < minStatus || response.Status > maxStatus) {
		return router.Answer{}, refusal.New(refusal.EndpointFailed, "endpoint %q answered with status %d", response.Endpoint, response.Status)
	}
	return response, err
}

func outcomeOf(response router.Answer, err error) claim.Outcome {
	switch {
	case err == nil:
		return claim.Outcome{Kind: claim.Answered, Status: response.Status, Body: response.Body, ContentType: response.ContentType}
	case refusal.From(err).NotRun():
		return claim.Outcome{Kind: claim.NotRun}
	default:
		return claim.Outcome{Kind: claim.Lost}
	}
}

// storedResponse returns the response to a repeated submission of a request that has already run.
func storedResponse(earlier *siskinv1.RequestFinished) (router.Answer, error) {
	if !earlier.GetAnswerKept() {
		return router.Answer{}, refusal.New(refusal.OutcomeUnknown,
			"the request ran and was answered with status %d; the response was too large to be kept", earlier.GetHttpStatus())
	}
	return router.Answer{
		Status: int(earlier.GetHttpStatus()), Body: earlier.GetAnswer(), ContentType: earlier.GetContentType(),
	}, nil
}

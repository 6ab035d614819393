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

// answerMargin keeps time to write the refusal when a request runs out of time.
const answerMargin = 20 * time.Millisecond

// Statuses that an endpoint may answer with. Others would break the caller's connection.
const (
	lowestStatus  = 200
	highestStatus = 599
)

func (s *Server) request(w http.ResponseWriter, r *http.Request) {
	answer, err := s.forward(w, r)
	if err != nil {
		s.refuse(w, r, err)
		return
	}
	s.write(w, answer.Status, answer.ContentType, answer.Body)
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
		Body: body, ContentType: r.Header.Get("Content-Type"), Deadline: start.Add(timeout - answerMargin),
	}
	return s.send(r.Context(), request, headers.requestKey)
}

// timeout returns the shorter of what the service allows and what the caller asks for.
func (s *Server) timeout(service string, asked time.Duration) (time.Duration, error) {
	if s.options.Requests == nil {
		return 0, refusal.New(refusal.NotFound, "this VM serves no services")
	}
	timeout, ok := s.options.Requests.Timeout(service)
	if !ok {
		return 0, refusal.New(refusal.NotFound, "service %q does not exist", service)
	}
	if asked > 0 {
		timeout = min(timeout, asked)
	}
	return timeout, nil
}

// send forwards a request, after a claim if it must run at most once under its key. A request that is not idempotent is
// seen through even if the caller goes away, so that its outcome gets known and no booking is cut off half way.
func (s *Server) send(ctx context.Context, request router.Request, requestKey string) (router.Answer, error) {
	if !time.Now().Before(request.Deadline) {
		return router.Answer{}, refusal.New(refusal.DeadlineTooShort, "the time allowed by the caller is over")
	}
	if request.Idempotent {
		return s.sendOnce(ctx, request)
	}
	ctx = context.WithoutCancel(ctx)
	if requestKey == "" {
		return s.sendOnce(ctx, request)
	}
	if s.options.Claims == nil {
		return router.Answer{}, refusal.New(refusal.ShardUnavailable, "this VM takes no request keys")
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
		return keptAnswer(earlier)
	}
	answer, err := s.sendOnce(ctx, request)
	held.Finish(ctx, outcomeOf(answer, err))
	return answer, err
}

// sendOnce passes the request to the router, which sends it again only as far as its promises allow.
func (s *Server) sendOnce(ctx context.Context, request router.Request) (router.Answer, error) {
	answer, err := s.options.Requests.Send(ctx, request)
	if err == nil && (answer.Status < lowestStatus || answer.Status > highestStatus) {
		return router.Answer{}, refusal.New(refusal.EndpointFailed, "endpoint %q answered with status %d", answer.Endpoint, answer.Status)
	}
	return answer, err
}

func outcomeOf(answer router.Answer, err error) claim.Outcome {
	switch {
	case err == nil:
		return claim.Outcome{Kind: claim.Answered, Status: answer.Status, Body: answer.Body, ContentType: answer.ContentType}
	case refusal.From(err).NotRun():
		return claim.Outcome{Kind: claim.NotRun}
	default:
		return claim.Outcome{Kind: claim.Lost}
	}
}

// keptAnswer is the answer to a repeated hand-in whose first one has run.
func keptAnswer(earlier *siskinv1.RequestFinished) (router.Answer, error) {
	if !earlier.GetAnswerKept() {
		return router.Answer{}, refusal.New(refusal.OutcomeUnknown,
			"the request ran and was answered with status %d; the answer was too large to be kept", earlier.GetHttpStatus())
	}
	return router.Answer{
		Status: int(earlier.GetHttpStatus()), Body: earlier.GetAnswer(), ContentType: earlier.GetContentType(),
	}, nil
}

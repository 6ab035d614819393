package router

import (
	"context"
	"errors"
	"strconv"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/refusal"
)

const (
	// maxAttempts bounds the attempts for one request, each at an endpoint of the zone or forwarded to another zone.
	maxAttempts = 3
	// hopMargin is subtracted from the deadline at each hop, so that the answer still gets back in time.
	hopMargin      = 10 * time.Millisecond
	shedRetryAfter = 500 * time.Millisecond
)

// Request is one request to a service.
type Request struct {
	ID      string
	Service string
	Team    string
	// Idempotent requests may be sent again after an unknown outcome.
	Idempotent  bool
	Urgency     siskinv1.Urgency
	Body        []byte
	ContentType string
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// Forwarded requests came from another entry VM and are not forwarded again.
	Forwarded bool
}

// Answer is the complete answer of an endpoint.
type Answer struct {
	Status      int
	Body        []byte
	ContentType string
	Endpoint    string
}

// failure is an attempt without an answer.
type failure struct {
	refused *refusal.Error
	// mayHaveRun is false only if the attempt certainly did not run.
	mayHaveRun bool
	// final failures are not retried.
	final    bool
	endpoint string
}

// Send sends a request and returns its answer. Its error is a refusal that says "not run" only if no attempt can have
// run.
func (r *Router) Send(ctx context.Context, request Request) (Answer, error) {
	ctx, span := r.tracer.Start(ctx, "router.send", trace.WithAttributes(
		attribute.String("siskin.request_id", request.ID), attribute.String("siskin.service", request.Service)))
	defer span.End()
	answer, err := r.send(ctx, request)
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
	}
	return answer, err
}

func (r *Router) send(ctx context.Context, request Request) (Answer, error) {
	p, ok := r.pool(request.Service)
	if !ok {
		return Answer{}, refusal.New(refusal.NotFound, "service %q does not exist", request.Service)
	}
	ctx, cancel := context.WithDeadline(ctx, request.Deadline.Add(-hopMargin))
	defer cancel()
	p.budget.Deposit()
	mayHaveRun := false
	avoid := ""
	for n := 1; ; n++ {
		answer, failed := r.attempt(ctx, p, request, attemptID(request.ID, n), avoid)
		if failed == nil {
			return answer, nil
		}
		mayHaveRun = mayHaveRun || failed.mayHaveRun
		avoid = failed.endpoint
		if !r.mayRetry(ctx, p, request, failed, n) {
			return Answer{}, withoutFalseNotRun(failed.refused, mayHaveRun)
		}
		r.metrics.retries.Inc()
	}
}

// attemptID returns the identifier of attempt n. It differs for each attempt, so that a late answer to an earlier one is
// not accepted for a later one.
func attemptID(id string, n int) string {
	if n == 1 {
		return id
	}
	return id + "-" + strconv.Itoa(n)
}

func (r *Router) mayRetry(ctx context.Context, p *pool, request Request, failed *failure, n int) bool {
	if failed.final || n >= maxAttempts || ctx.Err() != nil {
		return false
	}
	if failed.mayHaveRun && !request.Idempotent {
		return false
	}
	if !p.budget.Withdraw() {
		r.metrics.retriesDenied.Inc()
		return false
	}
	return true
}

// withoutFalseNotRun replaces a refusal that says "not run" if any attempt may have run.
func withoutFalseNotRun(refused *refusal.Error, mayHaveRun bool) *refusal.Error {
	if !mayHaveRun || !refused.NotRun() {
		return refused
	}
	return refusal.New(refusal.EndpointFailed, "an earlier attempt may have run; the last one failed: %s", refused.Message)
}

// attempt calls one endpoint of the zone, or forwards the request to another zone if this one has no usable endpoint or
// sheds the request.
func (r *Router) attempt(ctx context.Context, p *pool, request Request, id, avoid string) (Answer, *failure) {
	if ctx.Err() != nil {
		return Answer{}, &failure{refused: deadlineRefusal(), final: true}
	}
	if !p.hasUsableEndpoint() {
		return r.forwardToOtherZone(ctx, request, refusal.New(refusal.NoEndpoint, "service %q has no endpoint in service", request.Service))
	}
	slot, err := p.acquire(ctx, request, avoid)
	if err != nil {
		refused := refusal.From(err)
		if refused.Reason == refusal.Overloaded {
			return r.forwardToOtherZone(ctx, request, refused)
		}
		return Answer{}, &failure{refused: refused, final: true}
	}
	return r.call(ctx, p, slot, request, id)
}

func deadlineRefusal() *refusal.Error {
	return refusal.New(refusal.DeadlineTooShort, "the deadline of the caller has passed or is too close")
}

// call uses an acquired slot for one call of its endpoint.
func (r *Router) call(ctx context.Context, p *pool, slot acquiredSlot, request Request, id string) (Answer, *failure) {
	result := outcomeUnknown
	defer func() {
		p.release(slot, result)
		r.metrics.attempts.WithLabelValues(result.String()).Inc()
	}()
	if ctx.Err() != nil {
		result = outcomeNotRun
		return Answer{}, &failure{refused: deadlineRefusal(), final: true}
	}
	ctx, span := r.tracer.Start(ctx, "endpoint.call", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("siskin.endpoint", slot.name), attribute.String("siskin.attempt_id", id)))
	defer span.End()
	answer, err := r.options.Endpoints.Call(ctx, infra.EndpointRequest{
		Endpoint: slot.name, Address: slot.address, RequestID: id, From: r.from,
		Body: request.Body, ContentType: request.ContentType, Idempotent: request.Idempotent,
	})
	if err == nil && answer.RequestID != id {
		err = infra.ErrResponseMismatch
	}
	if err == nil {
		result = outcomeAnswered
		return Answer{Status: answer.Status, Body: answer.Body, ContentType: answer.ContentType, Endpoint: slot.name}, nil
	}
	span.SetStatus(codes.Error, err.Error())
	r.countDropped(err)
	result = classify(ctx, err)
	return Answer{}, callFailure(ctx, slot.name, result, err)
}

func (r *Router) countDropped(err error) {
	if errors.Is(err, infra.ErrResponseMismatch) {
		r.metrics.dropped.WithLabelValues(causeMismatch).Inc()
	}
	if errors.Is(err, infra.ErrResponseIncomplete) {
		r.metrics.dropped.WithLabelValues(causeIncomplete).Inc()
	}
}

// classify returns the outcome for an error of an endpoint. Only three errors mean that the request did not run.
func classify(ctx context.Context, err error) outcome {
	switch {
	case errors.Is(err, infra.ErrEndpointBusy):
		return outcomeBusy
	case errors.Is(err, infra.ErrEndpointLeaving):
		return outcomeLeaving
	case errors.Is(err, infra.ErrNotSent) && ctx.Err() != nil:
		return outcomeNotRun
	case errors.Is(err, infra.ErrNotSent):
		return outcomeNotSent
	case ctx.Err() != nil:
		return outcomeContextDone
	default:
		return outcomeUnknown
	}
}

func callFailure(ctx context.Context, endpoint string, result outcome, err error) *failure {
	f := &failure{mayHaveRun: result.mayHaveRun(), endpoint: endpoint}
	switch {
	case result == outcomeContextDone:
		f.refused = refusal.New(refusal.DeadlineExceeded, "endpoint %q did not answer in time: %v", endpoint, context.Cause(ctx))
	case f.mayHaveRun:
		f.refused = refusal.New(refusal.EndpointFailed, "endpoint %q: %v", endpoint, err)
	default:
		f.refused = refusal.New(refusal.NoEndpoint, "endpoint %q: %v", endpoint, err)
	}
	return f
}

package router

import (
	"context"
	"errors"
	"slices"
	"time"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/refusal"
)

// maxForwards bounds how many VMs of other zones are tried for one attempt. The next one is tried only if the request
// is known not to have run.
const maxForwards = 2

// forwardToOtherZone forwards a request to a VM of another zone with endpoints for the service, or fails with refused if
// that is not allowed or not possible. A request that another VM forwarded is not forwarded again.
func (r *Router) forwardToOtherZone(ctx context.Context, request Request, refused *refusal.Error) (Answer, *failure) {
	failed := &failure{refused: refused, final: true}
	if request.Forwarded || r.options.Peers == nil {
		return Answer{}, failed
	}
	candidates := r.forwardTargets(request.Service)
	for range maxForwards {
		vm := r.randomVM(candidates)
		if vm == "" {
			break
		}
		candidates = slices.DeleteFunc(candidates, func(name string) bool { return name == vm })
		var answer Answer
		answer, failed = r.forward(ctx, vm, request)
		if failed == nil {
			return answer, nil
		}
		if failed.mayHaveRun {
			return Answer{}, failed
		}
	}
	return Answer{}, failed
}

// forwardTargets returns the live entry VMs of the other zones that have endpoints for a service.
func (r *Router) forwardTargets(service string) []string {
	zones := r.remoteZones(service)
	var vms []string
	for _, vm := range r.options.EntryVMs {
		if vm.Zone != r.options.Zone && slices.Contains(zones, vm.Zone) && r.alive(vm.Name) {
			vms = append(vms, vm.Name)
		}
	}
	return vms
}

// forward makes one Forward call. After an RPC error other than infra.ErrNotSent the request may have run.
func (r *Router) forward(ctx context.Context, vm string, request Request) (Answer, *failure) {
	deadline, _ := ctx.Deadline()
	left := time.Until(deadline) - hopMargin
	if left <= hopMargin {
		return Answer{}, &failure{refused: deadlineRefusal(), final: true}
	}
	response, err := r.options.Peers.Forward(ctx, vm, &siskinv1.ForwardRequest{
		RequestId: request.ID, Service: request.Service, Team: request.Team, Idempotent: request.Idempotent,
		TimeoutMs: left.Milliseconds(), Body: request.Body, ContentType: request.ContentType, Urgency: request.Urgency,
	})
	switch {
	case errors.Is(err, infra.ErrNotSent):
		r.metrics.forwarded.WithLabelValues("not_sent").Inc()
		return Answer{}, &failure{refused: refusal.New(refusal.NoEndpoint, "VM %q: %v", vm, err)}
	case err != nil && ctx.Err() != nil:
		r.metrics.forwarded.WithLabelValues("late").Inc()
		return Answer{}, &failure{refused: refusal.New(refusal.DeadlineExceeded, "VM %q did not answer in time", vm), mayHaveRun: true, final: true}
	case err != nil:
		r.metrics.forwarded.WithLabelValues("error").Inc()
		return Answer{}, &failure{refused: refusal.New(refusal.EndpointFailed, "VM %q: %v", vm, err), mayHaveRun: true}
	case response.GetRequestId() != request.ID:
		r.metrics.dropped.WithLabelValues(causeMismatch).Inc()
		return Answer{}, &failure{refused: refusal.New(refusal.EndpointFailed, "VM %q returned the answer to a different request", vm), mayHaveRun: true}
	case response.GetRefused() != nil:
		r.metrics.forwarded.WithLabelValues("refused").Inc()
		refused := refusal.FromProto(response.GetRefused())
		return Answer{}, &failure{refused: refused, mayHaveRun: !refused.NotRun() || !response.GetRefused().GetNotRun(), final: true}
	}
	r.metrics.forwarded.WithLabelValues("answered").Inc()
	return Answer{
		Status: int(response.GetHttpStatus()), Body: response.GetBody(),
		ContentType: response.GetContentType(), Endpoint: response.GetEndpoint(),
	}, nil
}

// ServeForward serves a request forwarded by another entry VM.
func (r *Router) ServeForward(ctx context.Context, request *siskinv1.ForwardRequest) (*siskinv1.ForwardResponse, error) {
	answer, err := r.Send(ctx, Request{
		ID: request.GetRequestId(), Service: request.GetService(), Team: request.GetTeam(),
		Idempotent: request.GetIdempotent(), Urgency: request.GetUrgency(), Body: request.GetBody(),
		ContentType: request.GetContentType(), Forwarded: true,
		Deadline: time.Now().Add(time.Duration(request.GetTimeoutMs()) * time.Millisecond),
	})
	if err != nil {
		return &siskinv1.ForwardResponse{RequestId: request.GetRequestId(), Refused: refusal.From(err).Proto()}, nil
	}
	return &siskinv1.ForwardResponse{
		RequestId: request.GetRequestId(), HttpStatus: int32(answer.Status), Body: answer.Body,
		ContentType: answer.ContentType, Endpoint: answer.Endpoint,
	}, nil
}

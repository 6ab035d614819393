package peer

import (
	"context"

	"google.golang.org/grpc"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/refusal"
)

// PartRouter sends calls on parts of jobs to the owner of a shard.
type PartRouter struct {
	Router *WorkRouter
	Local  Parts
}

// OfferPart assigns tasks to a shard.
func (p *PartRouter) OfferPart(ctx context.Context, shard string, request *siskinv1.OfferPartRequest) (*siskinv1.OfferPartResponse, error) {
	return callOwner(ctx, p, shard, request, Parts.OfferPart, siskinv1.PeerServiceClient.OfferPart)
}

// ReleasePart asks a shard to give tasks back.
func (p *PartRouter) ReleasePart(ctx context.Context, shard string, request *siskinv1.ReleasePartRequest) (*siskinv1.ReleasePartResponse, error) {
	return callOwner(ctx, p, shard, request, Parts.ReleasePart, siskinv1.PeerServiceClient.ReleasePart)
}

// ReportPart reports the tasks of a part to the home shard.
func (p *PartRouter) ReportPart(ctx context.Context, shard string, request *siskinv1.ReportPartRequest) (*siskinv1.ReportPartResponse, error) {
	return callOwner(ctx, p, shard, request, Parts.ReportPart, siskinv1.PeerServiceClient.ReportPart)
}

type refusable interface {
	GetRefused() *siskinv1.Refused
}

// callOwner calls the owner of a shard, on this VM or over gRPC.
func callOwner[Q any, A refusable](
	ctx context.Context, p *PartRouter, shard string, request Q,
	local func(Parts, context.Context, string, Q) (A, error),
	remote func(siskinv1.PeerServiceClient, context.Context, Q, ...grpc.CallOption) (A, error),
) (A, error) {
	var none A
	client, isLocal, err := p.Router.owner(shard)
	if err != nil {
		return none, err
	}
	if isLocal {
		return local(p.Local, ctx, shard, request)
	}
	response, err := remote(client, ctx, request)
	if err != nil {
		return none, refusal.New(refusal.ShardUnavailable, "owner of shard %q did not respond: %v", shard, err)
	}
	if refused := response.GetRefused(); refused != nil {
		return none, refusal.FromProto(refused)
	}
	return response, nil
}

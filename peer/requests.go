package peer

import (
	"context"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"
	grpcpeer "google.golang.org/grpc/peer"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/refusal"
)

// MaxMessageBytes bounds one message between VMs: a request or response body of 8 MiB and its other fields.
const MaxMessageBytes = 9 << 20

// Requests serves the part of the request path that other VMs call. Refusals are returned inside the responses.
type Requests interface {
	ServeForward(ctx context.Context, request *siskinv1.ForwardRequest) (*siskinv1.ForwardResponse, error)
	ServeLendSlots(ctx context.Context, request *siskinv1.LendSlotsRequest) (*siskinv1.LendSlotsResponse, error)
}

// Claims decides on at-most-once requests. A returned refusal.Error comes from the owner of the shard; after any
// other error it is unknown whether the call took effect.
type Claims interface {
	Claim(ctx context.Context, request *siskinv1.ClaimRequest) (*siskinv1.ClaimResponse, error)
	FinishClaim(ctx context.Context, request *siskinv1.FinishClaimRequest) (*siskinv1.FinishClaimResponse, error)
}

// Forward serves a request that another VM has forwarded.
func (s *Server) Forward(ctx context.Context, request *siskinv1.ForwardRequest) (*siskinv1.ForwardResponse, error) {
	if s.LocalRequests == nil {
		return s.UnimplementedPeerServiceServer.Forward(ctx, request)
	}
	return s.LocalRequests.ServeForward(ctx, request)
}

// LendSlots lends endpoint slots to a VM of the same zone.
func (s *Server) LendSlots(ctx context.Context, request *siskinv1.LendSlotsRequest) (*siskinv1.LendSlotsResponse, error) {
	if s.LocalRequests == nil {
		return s.UnimplementedPeerServiceServer.LendSlots(ctx, request)
	}
	return s.LocalRequests.ServeLendSlots(ctx, request)
}

// Claim decides on a claim in a shard of this VM.
func (s *Server) Claim(ctx context.Context, request *siskinv1.ClaimRequest) (*siskinv1.ClaimResponse, error) {
	if s.LocalClaims == nil {
		return s.UnimplementedPeerServiceServer.Claim(ctx, request)
	}
	response, err := s.LocalClaims.Claim(ctx, request)
	if err != nil {
		return &siskinv1.ClaimResponse{Refused: refusal.From(err).Proto()}, nil
	}
	return response, nil
}

// FinishClaim records the outcome of a claimed request in a shard of this VM.
func (s *Server) FinishClaim(ctx context.Context, request *siskinv1.FinishClaimRequest) (*siskinv1.FinishClaimResponse, error) {
	if s.LocalClaims == nil {
		return s.UnimplementedPeerServiceServer.FinishClaim(ctx, request)
	}
	response, err := s.LocalClaims.FinishClaim(ctx, request)
	if err != nil {
		return &siskinv1.FinishClaimResponse{Refused: refusal.From(err).Proto()}, nil
	}
	return response, nil
}

// RequestClient calls the request path of other VMs.
type RequestClient struct {
	Clients *Clients
}

// Forward sends a request to another VM. An error that wraps infra.ErrNotSent proves that it was not sent.
func (c *RequestClient) Forward(ctx context.Context, vm string, request *siskinv1.ForwardRequest) (*siskinv1.ForwardResponse, error) {
	client, err := c.Clients.Client(vm)
	if err != nil {
		return nil, eris.Wrap(infra.ErrNotSent, err.Error())
	}
	// gRPC sets the peer's address as soon as the call has a connection.
	var connected grpcpeer.Peer
	response, err := client.Forward(ctx, request, grpc.MaxCallRecvMsgSize(MaxMessageBytes), grpc.Peer(&connected))
	if err != nil && connected.Addr == nil {
		return nil, eris.Wrap(infra.ErrNotSent, err.Error())
	}
	return response, err
}

// LendSlots asks another VM for slots.
func (c *RequestClient) LendSlots(ctx context.Context, vm string, request *siskinv1.LendSlotsRequest) (*siskinv1.LendSlotsResponse, error) {
	client, err := c.Clients.Client(vm)
	if err != nil {
		return nil, err
	}
	return client.LendSlots(ctx, request)
}

// ClaimRouter sends claims to the owner of the shard: to Local on this VM, or to the owner's VM.
type ClaimRouter struct {
	VM        string
	Local     Claims
	Directory Directory
	Clients   Connector
}

// Claim implements Claims.
func (r *ClaimRouter) Claim(ctx context.Context, request *siskinv1.ClaimRequest) (*siskinv1.ClaimResponse, error) {
	client, local, err := r.owner(request.GetShard())
	if err != nil {
		return nil, err
	}
	if local {
		return r.Local.Claim(ctx, request)
	}
	response, err := client.Claim(ctx, request)
	if err != nil {
		return nil, err
	}
	return response, refusedError(response.GetRefused())
}

// FinishClaim implements Claims.
func (r *ClaimRouter) FinishClaim(ctx context.Context, request *siskinv1.FinishClaimRequest) (*siskinv1.FinishClaimResponse, error) {
	client, local, err := r.owner(request.GetShard())
	if err != nil {
		return nil, err
	}
	if local {
		return r.Local.FinishClaim(ctx, request)
	}
	response, err := client.FinishClaim(ctx, request)
	if err != nil {
		return nil, err
	}
	return response, refusedError(response.GetRefused())
}

func (r *ClaimRouter) owner(shard string) (siskinv1.PeerServiceClient, bool, error) {
	router := WorkRouter{VM: r.VM, Directory: r.Directory, Clients: r.Clients}
	return router.owner(shard)
}

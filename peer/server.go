// Package peer carries calls between entry VMs, and between the machines of a cluster, over gRPC.
package peer

import (
	"context"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/refusal"
	"siskinstack.example/siskinstack/sharding"
)

// Work handles calls on jobs of the shards that a VM owns. Errors are refusals.
type Work interface {
	Submit(ctx context.Context, request *siskinv1.SubmitWorkRequest) (*siskinv1.SubmitWorkResponse, error)
	Get(ctx context.Context, request *siskinv1.GetWorkRequest) (*siskinv1.GetWorkResponse, error)
	List(ctx context.Context, request *siskinv1.ListWorkRequest) (*siskinv1.ListWorkResponse, error)
	Cancel(ctx context.Context, request *siskinv1.CancelWorkRequest) (*siskinv1.CancelWorkResponse, error)
}

// Server serves the peer RPC.
type Server struct {
	siskinv1.UnimplementedPeerServiceServer
	// LocalControl serves membership, ownership, configuration and allowances. If nil, its RPCs return Unimplemented.
	LocalControl Control
	// LocalWork serves the shards of this VM only, so that a call is forwarded at most once.
	LocalWork Work
	// LocalParts serves the parts of jobs that are assigned to shards of this VM.
	LocalParts Parts
	// LocalRequests and LocalClaims serve the request path. If nil, their RPCs return Unimplemented.
	LocalRequests Requests
	LocalClaims   Claims
}

// SubmitWork accepts a job for a shard of this VM.
func (s *Server) SubmitWork(ctx context.Context, request *siskinv1.SubmitWorkRequest) (*siskinv1.SubmitWorkResponse, error) {
	response, err := s.LocalWork.Submit(ctx, request)
	if err != nil {
		return &siskinv1.SubmitWorkResponse{Refused: refusal.From(err).Proto()}, nil
	}
	return response, nil
}

// GetWork returns the state of a job of a shard of this VM.
func (s *Server) GetWork(ctx context.Context, request *siskinv1.GetWorkRequest) (*siskinv1.GetWorkResponse, error) {
	response, err := s.LocalWork.Get(ctx, request)
	if err != nil {
		return &siskinv1.GetWorkResponse{Refused: refusal.From(err).Proto()}, nil
	}
	return response, nil
}

// ListWork lists the jobs of a shard of this VM.
func (s *Server) ListWork(ctx context.Context, request *siskinv1.ListWorkRequest) (*siskinv1.ListWorkResponse, error) {
	response, err := s.LocalWork.List(ctx, request)
	if err != nil {
		return &siskinv1.ListWorkResponse{Refused: refusal.From(err).Proto()}, nil
	}
	return response, nil
}

// CancelWork cancels a job of a shard of this VM.
func (s *Server) CancelWork(ctx context.Context, request *siskinv1.CancelWorkRequest) (*siskinv1.CancelWorkResponse, error) {
	response, err := s.LocalWork.Cancel(ctx, request)
	if err != nil {
		return &siskinv1.CancelWorkResponse{Refused: refusal.From(err).Proto()}, nil
	}
	return response, nil
}

// Parts handles calls on parts of jobs for the shards that a VM owns.
type Parts interface {
	OfferPart(ctx context.Context, shard string, request *siskinv1.OfferPartRequest) (*siskinv1.OfferPartResponse, error)
	ReleasePart(ctx context.Context, shard string, request *siskinv1.ReleasePartRequest) (*siskinv1.ReleasePartResponse, error)
	ReportPart(ctx context.Context, shard string, request *siskinv1.ReportPartRequest) (*siskinv1.ReportPartResponse, error)
}

// OfferPart assigns tasks to a shard of this VM.
func (s *Server) OfferPart(ctx context.Context, request *siskinv1.OfferPartRequest) (*siskinv1.OfferPartResponse, error) {
	response, err := s.LocalParts.OfferPart(ctx, request.GetPart().GetHolder(), request)
	if err != nil {
		return &siskinv1.OfferPartResponse{Refused: refusal.From(err).Proto()}, nil
	}
	return response, nil
}

// ReleasePart asks a shard of this VM to give tasks back.
func (s *Server) ReleasePart(ctx context.Context, request *siskinv1.ReleasePartRequest) (*siskinv1.ReleasePartResponse, error) {
	response, err := s.LocalParts.ReleasePart(ctx, request.GetShard(), request)
	if err != nil {
		return &siskinv1.ReleasePartResponse{Refused: refusal.From(err).Proto()}, nil
	}
	return response, nil
}

// ReportPart passes the report of a shard that holds a part to the home shard of the job, on this VM.
func (s *Server) ReportPart(ctx context.Context, request *siskinv1.ReportPartRequest) (*siskinv1.ReportPartResponse, error) {
	home, ok := sharding.OfJob(request.GetJob())
	if !ok {
		return &siskinv1.ReportPartResponse{Refused: refusal.New(refusal.BadRequest, "job %q names no shard", request.GetJob()).Proto()}, nil
	}
	response, err := s.LocalParts.ReportPart(ctx, home, request)
	if err != nil {
		return &siskinv1.ReportPartResponse{Refused: refusal.From(err).Proto()}, nil
	}
	return response, nil
}

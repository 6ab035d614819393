// Package peer carries calls between entry VMs over gRPC.
package peer

import (
	"context"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/refusal"
	"siskinstack.example/siskinstack/sharding"
)

// Work is the work interface of the shards that a VM owns. Errors are refusals.
type Work interface {
	Submit(ctx context.Context, request *siskinv1.SubmitWorkRequest) (*siskinv1.SubmitWorkResponse, error)
	Get(ctx context.Context, request *siskinv1.GetWorkRequest) (*siskinv1.GetWorkResponse, error)
	List(ctx context.Context, request *siskinv1.ListWorkRequest) (*siskinv1.ListWorkResponse, error)
	Cancel(ctx context.Context, request *siskinv1.CancelWorkRequest) (*siskinv1.CancelWorkResponse, error)
}

// Server serves the peer RPC.
type Server struct {
	siskinv1.UnimplementedPeerServiceServer
	// LocalControl serves membership, ownership, configuration and allowances.
	LocalControl Control
	// LocalWork serves the shards of this VM only, so that a call is passed on at most once.
	LocalWork Work
	// LocalParts serves the parts of jobs that shards of this VM hold.
	LocalParts Parts
	// LocalRequests and LocalClaims serve the request path; nil leaves their calls unimplemented.
	LocalRequests Requests
	LocalClaims   Claims
}

// SubmitWork accepts a job for a shard of this VM.
func (s *Server) SubmitWork(ctx context.Context, request *siskinv1.SubmitWorkRequest) (*siskinv1.SubmitWorkResponse, error) {
	answer, err := s.LocalWork.Submit(ctx, request)
	if err != nil {
		return &siskinv1.SubmitWorkResponse{Refused: refusal.From(err).Proto()}, nil
	}
	return answer, nil
}

// GetWork returns the state of a job of a shard of this VM.
func (s *Server) GetWork(ctx context.Context, request *siskinv1.GetWorkRequest) (*siskinv1.GetWorkResponse, error) {
	answer, err := s.LocalWork.Get(ctx, request)
	if err != nil {
		return &siskinv1.GetWorkResponse{Refused: refusal.From(err).Proto()}, nil
	}
	return answer, nil
}

// ListWork lists the jobs of a shard of this VM.
func (s *Server) ListWork(ctx context.Context, request *siskinv1.ListWorkRequest) (*siskinv1.ListWorkResponse, error) {
	answer, err := s.LocalWork.List(ctx, request)
	if err != nil {
		return &siskinv1.ListWorkResponse{Refused: refusal.From(err).Proto()}, nil
	}
	return answer, nil
}

// CancelWork cancels a job of a shard of this VM.
func (s *Server) CancelWork(ctx context.Context, request *siskinv1.CancelWorkRequest) (*siskinv1.CancelWorkResponse, error) {
	answer, err := s.LocalWork.Cancel(ctx, request)
	if err != nil {
		return &siskinv1.CancelWorkResponse{Refused: refusal.From(err).Proto()}, nil
	}
	return answer, nil
}

// Parts is the interface for parts of jobs of the shards that a VM owns.
type Parts interface {
	OfferPart(ctx context.Context, shard string, request *siskinv1.OfferPartRequest) (*siskinv1.OfferPartResponse, error)
	ReleasePart(ctx context.Context, shard string, request *siskinv1.ReleasePartRequest) (*siskinv1.ReleasePartResponse, error)
	ReportPart(ctx context.Context, shard string, request *siskinv1.ReportPartRequest) (*siskinv1.ReportPartResponse, error)
}

// OfferPart assigns tasks to a shard of this VM.
func (s *Server) OfferPart(ctx context.Context, request *siskinv1.OfferPartRequest) (*siskinv1.OfferPartResponse, error) {
	answer, err := s.LocalParts.OfferPart(ctx, request.GetPart().GetHolder(), request)
	if err != nil {
		return &siskinv1.OfferPartResponse{Refused: refusal.From(err).Proto()}, nil
	}
	return answer, nil
}

// ReleasePart asks a shard of this VM to give tasks back.
func (s *Server) ReleasePart(ctx context.Context, request *siskinv1.ReleasePartRequest) (*siskinv1.ReleasePartResponse, error) {
	answer, err := s.LocalParts.ReleasePart(ctx, request.GetShard(), request)
	if err != nil {
		return &siskinv1.ReleasePartResponse{Refused: refusal.From(err).Proto()}, nil
	}
	return answer, nil
}

// ReportPart takes a holder's report for a home shard of this VM.
func (s *Server) ReportPart(ctx context.Context, request *siskinv1.ReportPartRequest) (*siskinv1.ReportPartResponse, error) {
	home, ok := sharding.OfJob(request.GetJob())
	if !ok {
		return &siskinv1.ReportPartResponse{Refused: refusal.New(refusal.BadRequest, "job %q names no shard", request.GetJob()).Proto()}, nil
	}
	answer, err := s.LocalParts.ReportPart(ctx, home, request)
	if err != nil {
		return &siskinv1.ReportPartResponse{Refused: refusal.From(err).Proto()}, nil
	}
	return answer, nil
}

package peer

import (
	"context"

	"google.golang.org/grpc"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/refusal"
)

// MaxConfigBytes bounds a configuration sent between VMs. A key takes about 160 bytes, so 32 MiB hold the largest bundle
// and about 200,000 keys, 40 times the number at the design size.
const MaxConfigBytes = 32 << 20

// Control handles the calls by which VMs coordinate membership, ownership, configuration and allowances.
type Control interface {
	Heartbeat(ctx context.Context, request *siskinv1.HeartbeatRequest) (*siskinv1.HeartbeatResponse, error)
	Promise(ctx context.Context, request *siskinv1.PromiseRequest) (*siskinv1.PromiseResponse, error)
	FetchConfig(ctx context.Context, request *siskinv1.FetchConfigRequest) (*siskinv1.FetchConfigResponse, error)
	TakeOver(ctx context.Context, request *siskinv1.TakeOverRequest) (*siskinv1.TakeOverResponse, error)
	GiveBackAllowance(ctx context.Context, request *siskinv1.GiveBackAllowanceRequest) (*siskinv1.GiveBackAllowanceResponse, error)
}

// Heartbeat exchanges liveness and load.
func (s *Server) Heartbeat(ctx context.Context, request *siskinv1.HeartbeatRequest) (*siskinv1.HeartbeatResponse, error) {
	if s.LocalControl == nil {
		return s.UnimplementedPeerServiceServer.Heartbeat(ctx, request)
	}
	return s.LocalControl.Heartbeat(ctx, request)
}

// Promise returns a promise of this VM not to acquire shards for a limited time.
func (s *Server) Promise(ctx context.Context, request *siskinv1.PromiseRequest) (*siskinv1.PromiseResponse, error) {
	if s.LocalControl == nil {
		return s.UnimplementedPeerServiceServer.Promise(ctx, request)
	}
	return s.LocalControl.Promise(ctx, request)
}

// FetchConfig returns this VM's view of the configuration.
func (s *Server) FetchConfig(ctx context.Context, request *siskinv1.FetchConfigRequest) (*siskinv1.FetchConfigResponse, error) {
	if s.LocalControl == nil {
		return s.UnimplementedPeerServiceServer.FetchConfig(ctx, request)
	}
	return s.LocalControl.FetchConfig(ctx, request)
}

// TakeOver acquires a shard that a VM has released because it shuts down.
func (s *Server) TakeOver(ctx context.Context, request *siskinv1.TakeOverRequest) (*siskinv1.TakeOverResponse, error) {
	if s.LocalControl == nil {
		return s.UnimplementedPeerServiceServer.TakeOver(ctx, request)
	}
	return s.LocalControl.TakeOver(ctx, request)
}

// GiveBackAllowance makes a shard of this VM give back allowance that it does not use.
func (s *Server) GiveBackAllowance(ctx context.Context, request *siskinv1.GiveBackAllowanceRequest) (*siskinv1.GiveBackAllowanceResponse, error) {
	if s.LocalControl == nil {
		return s.UnimplementedPeerServiceServer.GiveBackAllowance(ctx, request)
	}
	response, err := s.LocalControl.GiveBackAllowance(ctx, request)
	if err != nil {
		return &siskinv1.GiveBackAllowanceResponse{Refused: refusal.From(err).Proto()}, nil
	}
	return response, nil
}

// ControlClient sends control calls to one peer by VM name.
type ControlClient struct {
	Clients Connector
}

// Heartbeat implements membership.Sender.
func (c *ControlClient) Heartbeat(ctx context.Context, vm string, request *siskinv1.HeartbeatRequest) (*siskinv1.HeartbeatResponse, error) {
	client, err := c.Clients.Client(vm)
	if err != nil {
		return nil, err
	}
	return client.Heartbeat(ctx, request)
}

// Promise asks a peer for a promise.
func (c *ControlClient) Promise(ctx context.Context, vm string, request *siskinv1.PromiseRequest) (*siskinv1.PromiseResponse, error) {
	client, err := c.Clients.Client(vm)
	if err != nil {
		return nil, err
	}
	return client.Promise(ctx, request)
}

// FetchConfig asks a peer for its view of the configuration.
func (c *ControlClient) FetchConfig(ctx context.Context, vm string, request *siskinv1.FetchConfigRequest) (*siskinv1.FetchConfigResponse, error) {
	client, err := c.Clients.Client(vm)
	if err != nil {
		return nil, err
	}
	return client.FetchConfig(ctx, request, grpc.MaxCallRecvMsgSize(MaxConfigBytes))
}

// TakeOver tells a peer that a shard was released, so that the peer acquires it.
func (c *ControlClient) TakeOver(ctx context.Context, vm string, request *siskinv1.TakeOverRequest) (*siskinv1.TakeOverResponse, error) {
	client, err := c.Clients.Client(vm)
	if err != nil {
		return nil, err
	}
	return client.TakeOver(ctx, request)
}

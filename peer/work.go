package peer

import (
	"context"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/refusal"
	"siskinstack.example/siskinstack/sharding"
)

// Directory looks up the VM that owns a shard.
type Directory interface {
	Owner(shard string) (vm string, ok bool)
}

// WorkRouter sends calls on work to the owner of the shard: to Local on this VM, or to the owner's VM.
type WorkRouter struct {
	VM        string
	Local     Work
	Directory Directory
	Clients   Connector
}

func (r *WorkRouter) owner(shard string) (siskinv1.PeerServiceClient, bool, error) {
	vm, ok := r.Directory.Owner(shard)
	if !ok {
		return nil, false, refusal.New(refusal.ShardUnavailable, "shard %q has no owner at the moment", shard)
	}
	if vm == r.VM {
		return nil, true, nil
	}
	client, err := r.Clients.Client(vm)
	if err != nil {
		return nil, false, refusal.New(refusal.ShardUnavailable, "%v", err)
	}
	return client, false, nil
}

// ownerOfJob returns the owner of the shard that is named in the identifier of a job.
func (r *WorkRouter) ownerOfJob(id string) (siskinv1.PeerServiceClient, bool, error) {
	shard, ok := sharding.OfJob(id)
	if !ok {
		return nil, false, refusal.New(refusal.NotFound, "work %q does not exist", id)
	}
	return r.owner(shard)
}

// Submit sends a job to the owner of its shard.
func (r *WorkRouter) Submit(ctx context.Context, request *siskinv1.SubmitWorkRequest) (*siskinv1.SubmitWorkResponse, error) {
	client, local, err := r.owner(request.GetShard())
	if err != nil {
		return nil, err
	}
	if local {
		return r.Local.Submit(ctx, request)
	}
	response, err := client.SubmitWork(ctx, request)
	if err != nil {
		return nil, refusal.New(refusal.AcceptanceUnknown, "owner of shard %q did not respond: %v", request.GetShard(), err)
	}
	return response, refusedError(response.GetRefused())
}

// Get reads a job from the owner of its shard.
func (r *WorkRouter) Get(ctx context.Context, request *siskinv1.GetWorkRequest) (*siskinv1.GetWorkResponse, error) {
	client, local, err := r.ownerOfJob(request.GetId())
	if err != nil {
		return nil, err
	}
	if local {
		return r.Local.Get(ctx, request)
	}
	response, err := client.GetWork(ctx, request)
	if err != nil {
		return nil, refusal.New(refusal.ShardUnavailable, "owner of work %q did not respond: %v", request.GetId(), err)
	}
	return response, refusedError(response.GetRefused())
}

// List reads the jobs of one shard from its owner.
func (r *WorkRouter) List(ctx context.Context, request *siskinv1.ListWorkRequest) (*siskinv1.ListWorkResponse, error) {
	client, local, err := r.owner(request.GetShard())
	if err != nil {
		return nil, err
	}
	if local {
		return r.Local.List(ctx, request)
	}
	response, err := client.ListWork(ctx, request)
	if err != nil {
		return nil, refusal.New(refusal.ShardUnavailable, "owner of shard %q did not respond: %v", request.GetShard(), err)
	}
	return response, refusedError(response.GetRefused())
}

// Cancel cancels a job at the owner of its shard. Repeating a cancellation has no further effect.
func (r *WorkRouter) Cancel(ctx context.Context, request *siskinv1.CancelWorkRequest) (*siskinv1.CancelWorkResponse, error) {
	client, local, err := r.ownerOfJob(request.GetId())
	if err != nil {
		return nil, err
	}
	if local {
		return r.Local.Cancel(ctx, request)
	}
	response, err := client.CancelWork(ctx, request)
	if err != nil {
		return nil, refusal.New(refusal.ShardUnavailable, "owner of work %q did not respond: %v", request.GetId(), err)
	}
	return response, refusedError(response.GetRefused())
}

// refusedError converts a refusal to an error; nil stays a nil error instead of becoming one that holds a nil pointer.
func refusedError(refused *siskinv1.Refused) error {
	if refused == nil {
		return nil
	}
	return refusal.FromProto(refused)
}

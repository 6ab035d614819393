package owner

import (
	"context"
	"sync"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/refusal"
	"siskinstack.example/siskinstack/shardlog"
)

// Set holds the owners of the shards that a VM owns. It implements peer.Work for them.
type Set struct {
	mu     sync.RWMutex // guards owners
	owners map[string]*Owner
}

// NewSet returns an empty set.
func NewSet() *Set { return &Set{owners: map[string]*Owner{}} }

// Add puts an owner into the set.
func (s *Set) Add(o *Owner) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.owners[o.options.Right.Shard] = o
}

// Remove takes an owner out of the set, unless another one has taken its place.
func (s *Set) Remove(o *Owner) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.owners[o.options.Right.Shard] == o {
		delete(s.owners, o.options.Right.Shard)
	}
}

func (s *Set) get(shard string) (*Owner, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	o, ok := s.owners[shard]
	if !ok {
		return nil, refusal.New(refusal.ShardUnavailable, "this VM does not own shard %q", shard)
	}
	return o, nil
}

func (s *Set) ofJob(id string) (*Owner, error) {
	shard, ok := shardlog.ShardOfJob(id)
	if !ok {
		return nil, refusal.New(refusal.NotFound, "work %q does not exist", id)
	}
	return s.get(shard)
}

// Submit implements peer.Work.
func (s *Set) Submit(ctx context.Context, request *siskinv1.SubmitWorkRequest) (*siskinv1.SubmitWorkResponse, error) {
	o, err := s.get(request.GetShard())
	if err != nil {
		return nil, err
	}
	return o.Submit(ctx, request)
}

// Get implements peer.Work.
func (s *Set) Get(_ context.Context, request *siskinv1.GetWorkRequest) (*siskinv1.GetWorkResponse, error) {
	o, err := s.ofJob(request.GetId())
	if err != nil {
		return nil, err
	}
	status, err := o.Get(request.GetId())
	if err != nil {
		return nil, err
	}
	return &siskinv1.GetWorkResponse{Status: status}, nil
}

// List implements peer.Work.
func (s *Set) List(_ context.Context, request *siskinv1.ListWorkRequest) (*siskinv1.ListWorkResponse, error) {
	o, err := s.get(request.GetShard())
	if err != nil {
		return nil, err
	}
	return &siskinv1.ListWorkResponse{Work: o.List(request)}, nil
}

// Cancel implements peer.Work.
func (s *Set) Cancel(ctx context.Context, request *siskinv1.CancelWorkRequest) (*siskinv1.CancelWorkResponse, error) {
	o, err := s.ofJob(request.GetId())
	if err != nil {
		return nil, err
	}
	status, err := o.Cancel(ctx, request)
	if err != nil {
		return nil, err
	}
	return &siskinv1.CancelWorkResponse{Status: status}, nil
}

package owner

import (
	"context"
	"sync"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/refusal"
	"siskinstack.example/siskinstack/sharding"
)

// Set holds the owners of the shards that a VM owns. It serves calls for them and refuses calls for other shards.
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
	s.owners[o.shard] = o
}

// Remove takes an owner out of the set, unless another one has replaced it.
func (s *Set) Remove(o *Owner) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.owners[o.shard] == o {
		delete(s.owners, o.shard)
	}
}

// All returns the owners in the set.
func (s *Set) All() []*Owner {
	s.mu.RLock()
	defer s.mu.RUnlock()
	all := make([]*Owner, 0, len(s.owners))
	for _, shard := range sortedKeys(s.owners) {
		all = append(all, s.owners[shard])
	}
	return all
}

// owner returns the owner of a shard.
func (s *Set) owner(shard string) (*Owner, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	o, ok := s.owners[shard]
	if !ok {
		return nil, refusal.New(refusal.ShardUnavailable, "this VM does not own shard %q", shard)
	}
	return o, nil
}

func (s *Set) ofJob(id string) (*Owner, error) {
	shard, ok := sharding.OfJob(id)
	if !ok {
		return nil, refusal.New(refusal.NotFound, "work %q does not exist", id)
	}
	return s.owner(shard)
}

// Submit implements peer.Work.
func (s *Set) Submit(ctx context.Context, request *siskinv1.SubmitWorkRequest) (*siskinv1.SubmitWorkResponse, error) {
	o, err := s.owner(request.GetShard())
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
	o, err := s.owner(request.GetShard())
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

// Claim implements claim.Shards for the shards of this VM.
func (s *Set) Claim(ctx context.Context, request *siskinv1.ClaimRequest) (*siskinv1.ClaimResponse, error) {
	o, err := s.owner(request.GetShard())
	if err != nil {
		return nil, err
	}
	return o.Claim(ctx, request)
}

// FinishClaim implements claim.Shards for the shards of this VM.
func (s *Set) FinishClaim(ctx context.Context, request *siskinv1.FinishClaimRequest) (*siskinv1.FinishClaimResponse, error) {
	o, err := s.owner(request.GetShard())
	if err != nil {
		return nil, err
	}
	return o.FinishClaim(ctx, request)
}

// OfferPart implements PartClient for the shards of this VM.
func (s *Set) OfferPart(ctx context.Context, shard string, request *siskinv1.OfferPartRequest) (*siskinv1.OfferPartResponse, error) {
	o, err := s.owner(shard)
	if err != nil {
		return nil, err
	}
	return o.OfferPart(ctx, request)
}

// ReleasePart implements PartClient for the shards of this VM.
func (s *Set) ReleasePart(ctx context.Context, shard string, request *siskinv1.ReleasePartRequest) (*siskinv1.ReleasePartResponse, error) {
	o, err := s.owner(shard)
	if err != nil {
		return nil, err
	}
	return o.ReleasePart(ctx, request)
}

// ReportPart implements PartClient for the shards of this VM.
func (s *Set) ReportPart(ctx context.Context, shard string, request *siskinv1.ReportPartRequest) (*siskinv1.ReportPartResponse, error) {
	o, err := s.owner(shard)
	if err != nil {
		return nil, err
	}
	return o.ReportPart(ctx, request)
}

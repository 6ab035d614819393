package claim

import (
	"context"
	"errors"
	"sync"
	"time"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/clock"
	"siskinstack.example/siskinstack/refusal"
	"siskinstack.example/siskinstack/shardlog"
)

// sweepInterval bounds how long the claims of a failed entry VM stay in progress after its failure is detected.
const sweepInterval = time.Second

// ShardLog returns the log of a shard as a Log. The shard log's Apply must pass its records to the table.
func ShardLog(log *shardlog.Log) Log { return shardLog{log} }

type shardLog struct{ log *shardlog.Log }

// Append implements Log.
func (l shardLog) Append(ctx context.Context, record *siskinv1.Record) (mayBeWritten bool, err error) {
	err = l.log.Append(ctx, record)
	notWritten := errors.Is(err, shardlog.ErrFenced) || errors.Is(err, shardlog.ErrClosed) || errors.Is(err, shardlog.ErrFull)
	return !notWritten, err
}

// Run sweeps until ctx ends. alive reports whether an entry VM may still end its claims.
func (s *Service) Run(ctx context.Context, c clock.Clock, alive func(entryVM string) bool) {
	for c.Sleep(ctx, sweepInterval) == nil {
		// The next sweep retries what could not be written.
		_ = s.Sweep(ctx, c.Now(), alive)
	}
}

// Set holds the services of the shards that a VM owns and dispatches each call to the service of its shard.
type Set struct {
	mu       sync.RWMutex // guards services
	services map[string]*Service
}

// NewSet returns an empty set.
func NewSet() *Set { return &Set{services: map[string]*Service{}} }

// Add adds the service of a shard, in place of any former one.
func (s *Set) Add(shard string, service *Service) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.services[shard] = service
}

// Remove removes the service of a shard, unless another one has replaced it.
func (s *Set) Remove(shard string, service *Service) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.services[shard] == service {
		delete(s.services, shard)
	}
}

func (s *Set) get(shard string) (*Service, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	service, ok := s.services[shard]
	if !ok {
		return nil, refusal.New(refusal.ShardUnavailable, "this VM does not own shard %q", shard)
	}
	return service, nil
}

// Claim decides on a claim of an owned shard.
func (s *Set) Claim(ctx context.Context, request *siskinv1.ClaimRequest) (*siskinv1.ClaimResponse, error) {
	service, err := s.get(request.GetShard())
	if err != nil {
		return nil, err
	}
	return service.Claim(ctx, request)
}

// FinishClaim records the end of a claimed request of an owned shard.
func (s *Set) FinishClaim(ctx context.Context, request *siskinv1.FinishClaimRequest) (*siskinv1.FinishClaimResponse, error) {
	service, err := s.get(request.GetShard())
	if err != nil {
		return nil, err
	}
	return service.FinishClaim(ctx, request)
}

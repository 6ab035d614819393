package standin

import (
	"context"
	"sort"
	"strings"
	"time"

	"siskinstack.example/siskinstack/infra"
)

// leaseSweepInterval is how often a waiting watch checks for expired leases.
const leaseSweepInterval = 50 * time.Millisecond

// Watch returns the changes after a revision, waiting for the first one up to the requested time.
func (s *Store) Watch(ctx context.Context, request infra.WatchRequest) (infra.WatchResult, error) {
	if err := s.injector.before(ctx); err != nil {
		return infra.WatchResult{}, err
	}
	s.openWatch(ctx)
	defer s.closeWatch()
	wait, cancel := context.WithTimeout(ctx, request.Wait)
	defer cancel()
	for {
		result, changed, err := s.changesAfter(ctx, request)
		if err != nil || len(result.Events) > 0 {
			return result, err
		}
		if s.waitForChange(wait, changed) {
			continue
		}
		if ctx.Err() != nil {
			return infra.WatchResult{}, ctx.Err()
		}
		result, _, err = s.changesAfter(ctx, request)
		return result, err
	}
}

func (s *Store) openWatch(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.count(ctx, CallWatch)
	s.counts.OpenWatches++
}

func (s *Store) closeWatch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.OpenWatches--
}

func (s *Store) waitForChange(ctx context.Context, changed <-chan struct{}) bool {
	timer := time.NewTimer(leaseSweepInterval)
	defer timer.Stop()
	select {
	case <-changed:
		return true
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (s *Store) changesAfter(ctx context.Context, request infra.WatchRequest) (infra.WatchResult, <-chan struct{}, error) {
	if s.injector.down(ctx) {
		return infra.WatchResult{}, nil, errUnavailable
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	if request.After < s.compacted {
		return infra.WatchResult{}, nil, infra.ErrCompacted
	}
	result := infra.WatchResult{Revision: s.revision}
	first := sort.Search(len(s.events), func(i int) bool { return s.events[i].Revision > request.After })
	for _, event := range s.events[first:] {
		if strings.HasPrefix(event.Key, request.Prefix) {
			result.Events = append(result.Events, event)
		}
	}
	return result, s.changed, nil
}

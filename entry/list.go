package entry

import (
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/refusal"
)

const (
	defaultListLimit = 100
	maxListLimit     = 1000
	// listTimeout bounds the call to one shard, so that an unresponsive shard only makes the list incomplete.
	listTimeout = 2 * time.Second
	// maxListCalls bounds the concurrent calls to shards.
	maxListCalls = 16
)

// workList is the response body of the list route.
type workList struct {
	Work              []json.RawMessage `json:"work"`
	UnavailableShards []string          `json:"unavailable_shards"`
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	list, err := s.listWork(r)
	if err != nil {
		s.refuse(w, r, err)
		return
	}
	s.writeValue(w, r, list)
}

func (s *Server) writeValue(w http.ResponseWriter, r *http.Request, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		s.refuse(w, r, err)
		return
	}
	s.write(w, http.StatusOK, "application/json", body)
}

func (s *Server) listWork(r *http.Request) (*workList, error) {
	limit, err := parseLimit(r.URL.Query().Get("limit"))
	if err != nil {
		return nil, err
	}
	team, err := s.authenticate(r, Target{Read: true})
	if err != nil {
		return nil, err
	}
	request := &siskinv1.ListWorkRequest{Team: team, Limit: int32(limit), AfterId: r.URL.Query().Get("after_id")}
	found, unavailable := s.listShards(r.Context(), request)
	// Each shard returns its first jobs by identifier, so the first ones of the merged list are the first of all shards.
	slices.SortFunc(found, func(a, b *siskinv1.WorkStatus) int { return cmp.Compare(a.GetId(), b.GetId()) })
	list := &workList{Work: []json.RawMessage{}, UnavailableShards: unavailable}
	for _, status := range found[:min(limit, len(found))] {
		encoded, err := marshal.Marshal(status)
		if err != nil {
			return nil, err
		}
		list.Work = append(list.Work, encoded)
	}
	return list, nil
}

func parseLimit(value string) (int, error) {
	if value == "" {
		return defaultListLimit, nil
	}
	limit, err := strconv.Atoi(value)
	if err != nil || limit < 1 {
		return 0, refusal.New(refusal.BadRequest, "limit must be a number above 0")
	}
	return min(limit, maxListLimit), nil
}

// listShards queries all shards and returns their jobs and the names of the shards whose call failed.
func (s *Server) listShards(ctx context.Context, request *siskinv1.ListWorkRequest) ([]*siskinv1.WorkStatus, []string) {
	var mu sync.Mutex // guards found and unavailable
	found, unavailable := []*siskinv1.WorkStatus{}, []string{}
	var calls sync.WaitGroup
	semaphore := make(chan struct{}, maxListCalls)
	for _, shard := range s.options.Shards() {
		semaphore <- struct{}{}
		calls.Go(func() {
			defer func() { <-semaphore }()
			work, err := s.listShard(ctx, shard, request)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				unavailable = append(unavailable, shard)
				return
			}
			found = append(found, work...)
		})
	}
	calls.Wait()
	slices.Sort(unavailable)
	return found, unavailable
}

func (s *Server) listShard(ctx context.Context, shard string, request *siskinv1.ListWorkRequest) ([]*siskinv1.WorkStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	response, err := s.options.Work.List(ctx, &siskinv1.ListWorkRequest{
		Shard: shard, Team: request.GetTeam(), Limit: request.GetLimit(), AfterId: request.GetAfterId(),
	})
	return response.GetWork(), err
}

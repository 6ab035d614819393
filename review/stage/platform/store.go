package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// valueBytes is the largest value of the store, as in the settings of DEPLOY.md.
	valueBytes = 1 << 20
	pageItems  = 500
	maxEntries = 32
	answerTime = 4 * time.Millisecond
)

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// store is the platform's metadata store.
type store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]item
	events   []item
	leases   map[int64]lease
	changed  chan struct{}
	// refused is the number of transactions with a value that is too large.
	refused int
	// written is called after a write of a node has taken effect and before it is answered.
	written func(node int, keys []string)
}

func newStore() *store {
	s := &store{revision: 1, items: map[string]item{}, leases: map[int64]lease{}, changed: make(chan struct{})}
	go func() {
		for range time.Tick(10 * time.Millisecond) {
			s.expire()
		}
	}()
	return s
}

func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if time.Now().After(l.end) {
			s.endLease(id)
		}
	}
}

// endLease removes a lease with its keys. The caller holds mu.
func (s *store) endLease(id int64) {
	delete(s.leases, id)
	var keys []string
	for key, i := range s.items {
		if i.Lease == id {
			keys = append(keys, key)
		}
	}
	s.apply(nil, keys)
}

// apply makes a change. The caller holds mu.
func (s *store) apply(writes []item, removes []string) {
	if len(writes) == 0 && len(removes) == 0 {
		return
	}
	s.revision++
	for _, w := range writes {
		known := s.items[w.Key]
		w.Revision, w.Created = s.revision, known.Created
		if known.Revision == 0 {
			w.Created = s.revision
		}
		s.items[w.Key] = w
		s.events = append(s.events, w)
	}
	for _, key := range removes {
		if _, ok := s.items[key]; ok {
			delete(s.items, key)
			s.events = append(s.events, item{Key: key, Revision: s.revision, Deleted: true})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key as an operator or a server does.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]item{{Key: key, Value: data}}, nil)
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(nil, []string{key})
}

func (s *store) get(key string) (item, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[key]
	return i, ok
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// handler serves the store to a node. view rewrites the addresses in values that the node reads.
func (s *store) handler(node int, view func([]byte) []byte) http.Handler {
	seen := func(items []item) []item {
		out := make([]item, 0, len(items))
		for _, i := range items {
			i.Value = view(i.Value)
			out = append(out, i)
		}
		return out
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /siskinstack/kv-key", func(w http.ResponseWriter, r *http.Request) {
		i, ok := s.get(r.URL.Query().Get("key"))
		if !ok {
			answer(w, http.StatusNotFound, struct{}{})
			return
		}
		answer(w, http.StatusOK, seen([]item{i})[0])
	})
	mux.HandleFunc("GET /siskinstack/kv-range", func(w http.ResponseWriter, r *http.Request) {
		items, more, revision := s.page(r.URL.Query().Get("prefix"), r.URL.Query().Get("after"))
		answer(w, http.StatusOK, map[string]any{"items": seen(items), "hasMore": more, "currentRev": revision})
	})
	mux.HandleFunc("GET /siskinstack/kv-watch", func(w http.ResponseWriter, r *http.Request) {
		events, revision := s.watch(r)
		answer(w, http.StatusOK, map[string]any{"events": seen(events), "currentRev": revision})
	})
	mux.HandleFunc("POST /siskinstack/kv-txn", func(w http.ResponseWriter, r *http.Request) { s.serveTxn(w, r, node, seen) })
	mux.HandleFunc("POST /siskinstack/kv-lease", s.serveGrant)
	mux.HandleFunc("POST /siskinstack/kv-keep/{id}", s.serveKeep)
	mux.HandleFunc("DELETE /siskinstack/kv-lease-end/{id}", func(w http.ResponseWriter, r *http.Request) {
		id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
		s.mu.Lock()
		s.endLease(id)
		s.mu.Unlock()
		answer(w, http.StatusOK, struct{}{})
	})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(answerTime)
		mux.ServeHTTP(w, r)
	})
}

func (s *store) page(prefix, after string) (items []item, more bool, revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, i)
		}
	}
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	size := 0
	for n, i := range items {
		if size += len(i.Value); n >= pageItems || n > 0 && size > 1<<20 {
			return items[:n], true, s.revision
		}
	}
	return items, false, s.revision
}

func (s *store) watch(r *http.Request) ([]item, int64) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(query.Get("waitMs"), 10, 64)
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		var found []item
		first, _ := slices.BinarySearchFunc(s.events, after+1, func(e item, revision int64) int { return int(e.Revision - revision) })
		for _, event := range s.events[first:] {
			if strings.HasPrefix(event.Key, query.Get("prefix")) {
				found = append(found, event)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(found) > 0 {
			return found, revision
		}
		select {
		case <-changed:
		case <-deadline:
			return nil, revision
		case <-r.Context().Done():
			return nil, revision
		}
	}
}

type txn struct {
	Expected []item   `json:"expected"`
	Writes   []item   `json:"writes"`
	Remove   []string `json:"remove"`
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request, node int, seen func([]item) []item) {
	var body txn
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		answer(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
		return
	}
	status, current, revision := s.commit(body)
	switch status {
	case http.StatusOK:
		var keys []string
		for _, write := range body.Writes {
			keys = append(keys, write.Key)
		}
		if s.written != nil {
			s.written(node, keys)
		}
		answer(w, status, map[string]int64{"revision": revision})
	case http.StatusPreconditionFailed:
		answer(w, status, map[string]any{"items": seen(current)})
	default:
		answer(w, status, struct{}{})
	}
}

func (s *store) commit(body txn) (status int, current []item, revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(body.Expected)+len(body.Writes)+len(body.Remove) > maxEntries {
		return http.StatusBadRequest, nil, 0
	}
	for _, write := range body.Writes {
		if len(write.Value) > valueBytes || len(write.Key) > 200 {
			s.refused++
			return http.StatusBadRequest, nil, 0
		}
		if strings.HasPrefix(write.Key, "op/") || strings.HasPrefix(write.Key, "servers/") {
			return http.StatusForbidden, nil, 0
		}
		if _, ok := s.leases[write.Lease]; write.Lease != 0 && !ok {
			return http.StatusNotFound, nil, 0
		}
	}
	holds := true
	for _, expected := range body.Expected {
		known := s.items[expected.Key]
		known.Key = expected.Key
		current = append(current, known)
		holds = holds && known.Revision == expected.Revision
	}
	if !holds {
		return http.StatusPreconditionFailed, current, 0
	}
	s.apply(body.Writes, body.Remove)
	return http.StatusOK, nil, s.revision
}

func (s *store) serveGrant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTLMs int64 `json:"ttlMs"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		answer(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
		return
	}
	ttl := min(max(time.Duration(body.TTLMs)*time.Millisecond, time.Second), 10*time.Minute)
	s.mu.Lock()
	s.revision++
	id := s.revision
	s.leases[id] = lease{ttl, time.Now().Add(ttl)}
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]int64{"lease": id, "ttlMs": ttl.Milliseconds()})
}

func (s *store) serveKeep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	l, ok := s.leases[id]
	if ok {
		l.end = time.Now().Add(l.ttl)
		s.leases[id] = l
	}
	s.mu.Unlock()
	if !ok {
		answer(w, http.StatusNotFound, struct{}{})
		return
	}
	answer(w, http.StatusOK, map[string]any{"lease": id, "ttlMs": l.ttl.Milliseconds()})
}

// rewriting returns a view that replaces addresses by others of the same length.
func rewriting(addresses map[string]string) func([]byte) []byte {
	return func(value []byte) []byte {
		for from, to := range addresses {
			if len(from) != len(to) {
				panic(fmt.Sprintf("%s and %s differ in length", from, to))
			}
			value = bytes.ReplaceAll(value, []byte(from), []byte(to))
		}
		return value
	}
}

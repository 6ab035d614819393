// Package rig holds the stand-ins of the review's scripts: the platform's store, runners, list of machines, clients, and
// the processes of the product. They speak what PROTOCOL.md says, on loopback addresses and the real clock.
package rig

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// storeLatency is how long the store takes for an answer.
	storeLatency = 4 * time.Millisecond
	// maxEntries is the largest number of entries in a transaction, pageItems that of the items on a page.
	maxEntries = 32
	pageItems  = 500
	// valueBytes is the largest value.
	valueBytes = 1 << 20
	// sweepInterval is the interval at which leases are checked.
	sweepInterval = 20 * time.Millisecond
)

// Item is an entry of the store, or an event of a watch.
type Item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type lease struct {
	ttl  time.Duration
	ends time.Time
}

// StoreMode is how the store treats a call.
type StoreMode int

const (
	// StoreUp answers each call.
	StoreUp StoreMode = iota
	// StoreDown answers each call with 503 and does nothing.
	StoreDown
)

// Store is the platform's metadata store.
type Store struct {
	Address string

	site *Site

	mu        sync.Mutex // guards the fields below
	revision  int64
	items     map[string]Item
	history   []Item
	leases    map[int64]*lease
	lastLease int64
	mode      StoreMode
	lateBy    time.Duration
	changed   chan struct{}
	// losePrefix is the prefix of the keys of which the next write is lost, or "".
	losePrefix string
}

// StartStore serves a store.
func StartStore(site *Site) (*Store, error) {
	s := &Store{site: site, revision: 1, items: map[string]Item{}, leases: map[int64]*lease{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /siskinstack/kv-key", s.get)
	mux.HandleFunc("GET /siskinstack/kv-range", s.list)
	mux.HandleFunc("GET /siskinstack/kv-watch", s.watch)
	mux.HandleFunc("POST /siskinstack/kv-txn", s.txn)
	mux.HandleFunc("POST /siskinstack/kv-lease", s.grant)
	mux.HandleFunc("POST /siskinstack/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /siskinstack/kv-lease-end/{id}", s.endLease)
	var err error
	s.Address, err = site.serve("127.0.0.1:0", s.guard(mux))
	go s.sweep(site)
	return s, err
}

// SetMode changes how calls are treated from now on.
func (s *Store) SetMode(mode StoreMode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = mode
}

// LoseNextWrite leaves the next write of a key with a prefix unanswered, and carries it out later if its condition still
// holds.
func (s *Store) LoseNextWrite(prefix string, lateBy time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.losePrefix, s.lateBy = prefix, lateBy
}

// isLost reports whether a transaction is the one to lose, and how late it is carried out.
func (s *Store) isLost(body txnBody) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lost := s.losePrefix != "" && slices.ContainsFunc(body.Writes, func(i Item) bool { return strings.HasPrefix(i.Key, s.losePrefix) })
	if lost {
		s.losePrefix = ""
	}
	return s.lateBy, lost
}

func (s *Store) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		mode := s.mode
		s.mu.Unlock()
		if mode == StoreDown {
			reply(w, http.StatusServiceUnavailable, struct{}{})
			return
		}
		time.Sleep(storeLatency)
		next.ServeHTTP(w, r)
	})
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	item, ok := s.items[r.URL.Query().Get("key")]
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, struct{}{})
		return
	}
	reply(w, http.StatusOK, item)
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	items := []Item{}
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, item)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b Item) int { return strings.Compare(a.Key, b.Key) })
	more := len(items) > pageItems
	if more {
		items = items[:pageItems]
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "currentRev": revision})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, errAfter := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, errWait := strconv.ParseInt(query.Get("waitMs"), 10, 64)
	if errAfter != nil || errWait != nil {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	timeout := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timeout.Stop()
	for {
		events, revision, changed := s.eventsAfter(query.Get("prefix"), after)
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "currentRev": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			reply(w, http.StatusOK, map[string]any{"events": events, "currentRev": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) eventsAfter(prefix string, after int64) ([]Item, int64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	events := []Item{}
	for i := len(s.history) - 1; i >= 0 && s.history[i].Revision > after; i-- {
		if strings.HasPrefix(s.history[i].Key, prefix) {
			events = append(events, s.history[i])
		}
	}
	slices.Reverse(events)
	return events, s.revision, s.changed
}

type txnBody struct {
	Expected []Item   `json:"expected"`
	Writes   []Item   `json:"writes"`
	Remove   []string `json:"remove"`
}

func (b txnBody) forbidden() bool {
	own := func(key string) bool { return strings.HasPrefix(key, "op/") || strings.HasPrefix(key, "servers/") }
	return slices.ContainsFunc(b.Writes, func(i Item) bool { return own(i.Key) }) || slices.ContainsFunc(b.Remove, own)
}

func (b txnBody) valid() bool {
	tooLarge := func(i Item) bool { return len(i.Value) > valueBytes || len(i.Key) > 200 }
	return len(b.Expected)+len(b.Writes)+len(b.Remove) <= maxEntries && !slices.ContainsFunc(b.Writes, tooLarge)
}

func (s *Store) txn(w http.ResponseWriter, r *http.Request) {
	var body txnBody
	if json.NewDecoder(r.Body).Decode(&body) != nil || !body.valid() {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	if body.forbidden() {
		reply(w, http.StatusForbidden, struct{}{})
		return
	}
	if lateBy, lost := s.isLost(body); lost {
		s.site.Record("the store leaves a write of %s unanswered, and carries it out %v later", body.Writes[0].Key, lateBy)
		time.AfterFunc(lateBy, func() { s.apply(body) })
		<-r.Context().Done() // The channel returns nothing further.
		return
	}
	status, answer := s.apply(body)
	reply(w, status, answer)
}

// Put writes an entry as an operator or a runner does.
func (s *Store) Put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.apply(txnBody{Writes: []Item{{Key: key, Value: data}}})
}

// Remove removes an entry as an operator or a runner does.
func (s *Store) Remove(key string) { s.apply(txnBody{Remove: []string{key}}) }

// Value returns the value of a key, or nil.
func (s *Store) Value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

func (s *Store) apply(body txnBody) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current, holds := []Item{}, true
	for _, e := range body.Expected {
		item, ok := s.items[e.Key]
		if !ok {
			item = Item{Key: e.Key}
		}
		current = append(current, item)
		holds = holds && item.Revision == e.Revision
	}
	if !holds {
		return http.StatusPreconditionFailed, map[string]any{"items": current}
	}
	for _, write := range body.Writes {
		if write.Lease != 0 && s.leases[write.Lease] == nil {
			return http.StatusNotFound, struct{}{}
		}
	}
	s.revision++
	for _, write := range body.Writes {
		created := s.items[write.Key].Created
		if created == 0 {
			created = s.revision
		}
		s.record(Item{Key: write.Key, Value: write.Value, Lease: write.Lease, Revision: s.revision, Created: created})
	}
	for _, key := range body.Remove {
		if _, ok := s.items[key]; ok {
			s.record(Item{Key: key, Revision: s.revision, Deleted: true})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return http.StatusOK, map[string]int64{"revision": s.revision}
}

// record changes an item and adds the event. The caller holds mu.
func (s *Store) record(item Item) {
	if item.Deleted {
		delete(s.items, item.Key)
	} else {
		s.items[item.Key] = item
	}
	s.history = append(s.history, item)
}

func (s *Store) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTLMs int64 `json:"ttlMs"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil || body.TTLMs <= 0 {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	ttl := time.Duration(body.TTLMs) * time.Millisecond
	s.mu.Lock()
	s.lastLease++
	id := s.lastLease
	s.leases[id] = &lease{ttl: ttl, ends: time.Now().Add(ttl)}
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]int64{"lease": id, "ttlMs": body.TTLMs})
}

func leaseID(r *http.Request) int64 {
	id, err := strconv.ParseInt(r.PathValue("id"), 10, 64)
	if err != nil {
		return 0
	}
	return id
}

func (s *Store) keep(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	l := s.leases[leaseID(r)]
	if l != nil {
		l.ends = time.Now().Add(l.ttl)
	}
	s.mu.Unlock()
	if l == nil {
		reply(w, http.StatusNotFound, struct{}{})
		return
	}
	reply(w, http.StatusOK, struct{}{})
}

func (s *Store) endLease(w http.ResponseWriter, r *http.Request) {
	s.removeLease(leaseID(r))
	reply(w, http.StatusOK, struct{}{})
}

func (s *Store) removeLease(id int64) {
	s.mu.Lock()
	var keys []string
	for key, item := range s.items {
		if item.Lease == id && id != 0 {
			keys = append(keys, key)
		}
	}
	delete(s.leases, id)
	s.mu.Unlock()
	if len(keys) > 0 {
		s.apply(txnBody{Remove: keys})
	}
}

// sweep ends leases that have run out.
func (s *Store) sweep(site *Site) {
	for site.running() {
		time.Sleep(sweepInterval)
		s.mu.Lock()
		var ended []int64
		for id, l := range s.leases {
			if time.Now().After(l.ends) {
				ended = append(ended, id)
			}
		}
		s.mu.Unlock()
		for _, id := range ended {
			s.removeLease(id)
		}
	}
}

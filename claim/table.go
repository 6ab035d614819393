// Package claim makes requests run at most once: a claim is durable before the request is forwarded, and its key is free
// again only after proof that the request did not run.
package claim

import (
	"cmp"
	"slices"
	"sync"
	"time"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
)

// Limits of one shard's table.
const (
	// MaxKeptAnswer is the largest answer in bytes that is kept for a repeated submission.
	MaxKeptAnswer = 64 << 10
	// Retention is how long an ended claim is kept. A submission repeated later is a new request.
	Retention = 24 * time.Hour
	// releasedRetention is far above the longest delay of a duplicate Claim call.
	releasedRetention = 10 * time.Minute
	// maxReleased bounds the released submissions that are kept for one key.
	maxReleased = 16
	// DefaultMaxClaims bounds the entries of one shard.
	DefaultMaxClaims = 100_000
	// DefaultMaxKeptBytes bounds the total size of the kept answers of one shard.
	DefaultMaxKeptBytes = 16 << 20
	// DefaultMaxAge ends claims whose entry VM is alive but no longer tracks them. It equals the longest timeout that a
	// bundle may set for a service.
	DefaultMaxAge = time.Hour
)

// key identifies a request that runs at most once.
type key struct{ team, service, requestKey string }

func keyOf(m interface {
	GetTeam() string
	GetService() string
	GetRequestKey() string
}) key {
	return key{m.GetTeam(), m.GetService(), m.GetRequestKey()}
}

// entry is the state of one key. The key is free if claimed is nil.
type entry struct {
	claimed *siskinv1.RequestClaimed
	// finished is nil while the claim is in progress.
	finished *siskinv1.RequestFinished
	// released lists the request IDs of released submissions, oldest first: a late duplicate of their Claim call must not
	// acquire the claim again, because nothing would end it.
	released       []string
	releasedUnixMs int64
}

// Limits bounds a table. Zero values select the defaults.
type Limits struct {
	MaxClaims    int
	MaxKeptBytes int
	MaxAge       time.Duration
}

// Table holds the claims of one shard. Claims start and end only by Apply, so that a replay of the log rebuilds them. Sweep
// deletes entries past their retention without a record.
type Table struct {
	limits Limits

	mu        sync.Mutex // guards all fields below
	entries   map[key]*entry
	keptBytes int
	// pending holds the request IDs of granted claims that are not applied yet: a second claim of the key must not be
	// granted meanwhile.
	pending map[key]string
}

// NewTable returns an empty table.
func NewTable(limits Limits) *Table {
	limits.MaxClaims = cmp.Or(limits.MaxClaims, DefaultMaxClaims)
	limits.MaxKeptBytes = cmp.Or(limits.MaxKeptBytes, DefaultMaxKeptBytes)
	limits.MaxAge = cmp.Or(limits.MaxAge, DefaultMaxAge)
	return &Table{limits: limits, entries: map[key]*entry{}, pending: map[key]string{}}
}

// Apply applies a record of the log or of a snapshot. Records of other kinds, and records that conflict with the state,
// change nothing.
func (t *Table) Apply(record *siskinv1.Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if claimed := record.GetRequestClaimed(); claimed != nil {
		t.applyClaimed(claimed)
	}
	if finished := record.GetRequestFinished(); finished != nil {
		t.applyFinished(finished)
	}
}

func (t *Table) applyClaimed(claimed *siskinv1.RequestClaimed) {
	k := keyOf(claimed)
	if t.pending[k] == claimed.GetRequestId() {
		delete(t.pending, k)
	}
	e := t.entry(k)
	if e.claimed != nil || slices.Contains(e.released, claimed.GetRequestId()) {
		return
	}
	e.claimed, e.finished = claimed, nil
}

func (t *Table) applyFinished(finished *siskinv1.RequestFinished) {
	k := keyOf(finished)
	if finished.GetOutcome() == siskinv1.RequestOutcome_REQUEST_OUTCOME_NOT_RUN {
		t.release(t.entry(k), finished)
		return
	}
	e := t.entries[k]
	if e == nil || !e.changedBy(finished) {
		return
	}
	kept := len(finished.GetAnswer())
	if finished.GetAnswerKept() && (kept > MaxKeptAnswer || t.keptBytes+kept > t.limits.MaxKeptBytes) {
		finished = withoutAnswer(finished)
	}
	t.keptBytes += len(finished.GetAnswer())
	e.finished = finished
}

// changedBy reports whether finished changes the entry: it ends a claim in progress, or replaces an unknown end by a
// definite one.
func (e *entry) changedBy(finished *siskinv1.RequestFinished) bool {
	if e.claimed.GetRequestId() != finished.GetRequestId() {
		return false
	}
	if e.finished == nil {
		return true
	}
	return e.unknown() && finished.GetOutcome() == siskinv1.RequestOutcome_REQUEST_OUTCOME_DONE
}

func (e *entry) unknown() bool {
	return e.finished.GetOutcome() == siskinv1.RequestOutcome_REQUEST_OUTCOME_UNKNOWN
}

func (e *entry) done() bool {
	return e.finished.GetOutcome() == siskinv1.RequestOutcome_REQUEST_OUTCOME_DONE
}

// release records a submission that did not run, and frees the key if that submission held it. Only the entry VM that
// holds the claim can know this, so it also ends an unknown outcome. A recorded answer proves the opposite and stays.
func (t *Table) release(e *entry, finished *siskinv1.RequestFinished) {
	holds := e.claimed != nil && e.claimed.GetRequestId() == finished.GetRequestId()
	if holds && e.done() {
		return
	}
	if holds {
		e.claimed, e.finished = nil, nil
	}
	e.releasedUnixMs = max(e.releasedUnixMs, finished.GetFinishedUnixMs())
	if slices.Contains(e.released, finished.GetRequestId()) {
		return
	}
	e.released = append(e.released, finished.GetRequestId())
	if len(e.released) > maxReleased {
		e.released = e.released[1:]
	}
}

func (t *Table) entry(k key) *entry {
	e := t.entries[k]
	if e == nil {
		e = &entry{}
		t.entries[k] = e
	}
	return e
}

func withoutAnswer(finished *siskinv1.RequestFinished) *siskinv1.RequestFinished {
	return &siskinv1.RequestFinished{
		Team: finished.GetTeam(), Service: finished.GetService(), RequestKey: finished.GetRequestKey(),
		RequestId: finished.GetRequestId(), Outcome: finished.GetOutcome(), HttpStatus: finished.GetHttpStatus(),
		FinishedUnixMs: finished.GetFinishedUnixMs(),
	}
}

// Records returns records that give the same table when applied to an empty one.
func (t *Table) Records() []*siskinv1.Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var records []*siskinv1.Record
	for _, k := range t.sortedKeys() {
		e := t.entries[k]
		for _, id := range e.released {
			records = append(records, finishedRecord(&siskinv1.RequestFinished{
				Team: k.team, Service: k.service, RequestKey: k.requestKey, RequestId: id,
				Outcome:        siskinv1.RequestOutcome_REQUEST_OUTCOME_NOT_RUN,
				FinishedUnixMs: e.releasedUnixMs,
			}))
		}
		if e.claimed != nil {
			records = append(records, claimedRecord(e.claimed))
		}
		if e.finished != nil {
			records = append(records, finishedRecord(e.finished))
		}
	}
	return records
}

func (t *Table) sortedKeys() []key {
	keys := make([]key, 0, len(t.entries))
	for k := range t.entries {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b key) int {
		return cmp.Or(cmp.Compare(a.team, b.team), cmp.Compare(a.service, b.service), cmp.Compare(a.requestKey, b.requestKey))
	})
	return keys
}

func claimedRecord(claimed *siskinv1.RequestClaimed) *siskinv1.Record {
	return &siskinv1.Record{Change: &siskinv1.Record_RequestClaimed{RequestClaimed: claimed}}
}

func finishedRecord(finished *siskinv1.RequestFinished) *siskinv1.Record {
	return &siskinv1.Record{Change: &siskinv1.Record_RequestFinished{RequestFinished: finished}}
}

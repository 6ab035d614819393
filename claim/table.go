// Package claim makes requests run at most once: a claim is durable before the request is forwarded, and it is free
// again only after a proof that the request did not run.
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
	// MaxKeptAnswer is the largest answer that is kept for a repeated hand-in.
	MaxKeptAnswer = 64 << 10
	// Retention is how long an ended claim is known. A hand-in repeated later is a new request.
	Retention = 24 * time.Hour
	// releasedRetention covers the longest delay of a duplicate Claim call, with ample room.
	releasedRetention = 10 * time.Minute
	// maxReleased bounds the remembered hand-ins of one key that were released.
	maxReleased = 16
	// DefaultMaxClaims bounds the entries of one shard.
	DefaultMaxClaims = 100_000
	// DefaultMaxKeptBytes bounds the kept answers of one shard.
	DefaultMaxKeptBytes = 16 << 20
	// DefaultMaxAge ends claims whose entry VM lives but lost track of them; it is far above any service's timeout.
	DefaultMaxAge = time.Hour
)

// key names what runs at most once.
type key struct{ team, service, requestKey string }

func keyOf(m interface {
	GetTeam() string
	GetService() string
	GetRequestKey() string
}) key {
	return key{m.GetTeam(), m.GetService(), m.GetRequestKey()}
}

// entry is what is known of one key. Without claimed the key is free.
type entry struct {
	claimed *siskinv1.RequestClaimed
	// finished is nil while the claim is in progress.
	finished *siskinv1.RequestFinished
	// released names the hand-ins that were released, oldest first: a late duplicate of their Claim call must not
	// take the claim again, because nobody would end it.
	released       []string
	releasedUnixMs int64
}

// Limits bounds a table. Zero selects the defaults.
type Limits struct {
	MaxClaims    int
	MaxKeptBytes int
	MaxAge       time.Duration
}

// Table is the claims of one shard. It changes only by Apply, so that replaying the log gives the same table.
type Table struct {
	limits Limits

	mu        sync.Mutex // guards all fields below
	entries   map[key]*entry
	keptBytes int
	// pending holds granted claims that are not applied yet, by hand-in: a second one must not be granted meanwhile.
	pending map[key]string
}

// NewTable returns an empty table.
func NewTable(limits Limits) *Table {
	limits.MaxClaims = cmp.Or(limits.MaxClaims, DefaultMaxClaims)
	limits.MaxKeptBytes = cmp.Or(limits.MaxKeptBytes, DefaultMaxKeptBytes)
	limits.MaxAge = cmp.Or(limits.MaxAge, DefaultMaxAge)
	return &Table{limits: limits, entries: map[key]*entry{}, pending: map[key]string{}}
}

// Apply takes over a record of the log or of a snapshot. Other records, and records that no longer fit, change nothing.
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

// changedBy reports whether finished adds to what is known: an end of a claim in progress, or a definite end after an
// unknown one.
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

// release remembers a hand-in that did not run, and frees the key if that hand-in held it. Only the entry VM that holds
// the claim can know this, so it also ends an unknown outcome. A recorded answer proves the opposite and stays.
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

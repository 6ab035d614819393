package claim

import (
	"bytes"
	"slices"
	"time"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/refusal"
)

// Verdict is the result of checking a claim against a table.
type Verdict int

// Verdicts of a check.
const (
	// Grant: the key is free. The record must be durable, and applied, before the answer is given.
	Grant Verdict = iota + 1
	// GrantAgain: the same submission already holds the claim, so the answer to its first call was lost.
	GrantAgain
	// Pending: the claim of the same submission is being written. The owner waits for the write and checks again.
	Pending
	// InProgress: another submission holds the claim.
	InProgress
	// Done: the request ran; the outcome is known.
	Done
	// Unknown: the request may have run.
	Unknown
	// KeyReused: the request key was used with another body.
	KeyReused
	// Released: this submission has released its claim, so the call is a late duplicate.
	Released
	// Full: the shard holds too many claims.
	Full
)

// Decision is a verdict with the records that belong to it.
type Decision struct {
	Verdict Verdict
	// Record is what the owner logs for Grant.
	Record *siskinv1.Record
	// Earlier is the known end of the earlier submission, for Done and Unknown.
	Earlier *siskinv1.RequestFinished
}

// Check decides on a claim. A Grant reserves the key until the record is applied or Abandon releases the reservation.
func (t *Table) Check(claim *siskinv1.RequestClaimed) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := keyOf(claim)
	if holder, ok := t.pending[k]; ok {
		if holder == claim.GetRequestId() {
			return Decision{Verdict: Pending}
		}
		return Decision{Verdict: InProgress}
	}
	e := t.entries[k]
	switch {
	case e == nil && len(t.entries)+len(t.pending) >= t.limits.MaxClaims:
		return Decision{Verdict: Full}
	case e != nil && slices.Contains(e.released, claim.GetRequestId()):
		return Decision{Verdict: Released}
	case e == nil || e.claimed == nil:
		t.pending[k] = claim.GetRequestId()
		return Decision{Verdict: Grant, Record: claimedRecord(claim)}
	}
	return e.check(claim)
}

// check decides on a claim of a key that is not free.
func (e *entry) check(claim *siskinv1.RequestClaimed) Decision {
	switch {
	case !bytes.Equal(e.claimed.GetBodySha256(), claim.GetBodySha256()):
		return Decision{Verdict: KeyReused}
	case e.finished == nil && e.heldBy(claim):
		return Decision{Verdict: GrantAgain}
	case e.finished == nil:
		return Decision{Verdict: InProgress}
	case e.done():
		return Decision{Verdict: Done, Earlier: e.finished}
	default:
		return Decision{Verdict: Unknown, Earlier: e.finished}
	}
}

// heldBy reports whether claim comes from the submission that holds the claim. Its identifier is random and created for
// one submission by one process, which repeats the call only before it forwards the request.
func (e *entry) heldBy(claim *siskinv1.RequestClaimed) bool {
	return e.claimed.GetRequestId() == claim.GetRequestId() && e.claimed.GetEntryVm() == claim.GetEntryVm()
}

// Abandon releases the reservation of a grant whose record was certainly not written.
func (t *Table) Abandon(claim *siskinv1.RequestClaimed) {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := keyOf(claim)
	if t.pending[k] == claim.GetRequestId() {
		delete(t.pending, k)
	}
}

// CheckFinish returns the record to log for an end, or nil if the end adds nothing to what is known or would need a new
// entry in a full table.
func (t *Table) CheckFinish(finished *siskinv1.RequestFinished) *siskinv1.Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[keyOf(finished)]
	// The end of a claim that is still being written is logged after it.
	pending := t.pending[keyOf(finished)] == finished.GetRequestId()
	if finished.GetOutcome() == siskinv1.RequestOutcome_REQUEST_OUTCOME_NOT_RUN {
		if e != nil && slices.Contains(e.released, finished.GetRequestId()) {
			return nil
		}
		if e == nil && !pending && len(t.entries) >= t.limits.MaxClaims {
			return nil
		}
		return finishedRecord(finished)
	}
	if !pending && (e == nil || !e.changedBy(finished)) {
		return nil
	}
	return finishedRecord(finished)
}

// Sweep returns the records that end, as unknown, the claims whose entry VM is not alive or that are older than MaxAge, and
// deletes entries past their retention. alive receives the entry VM as named in the claim, including the incarnation, so
// that an entry VM that was replaced is not alive.
func (t *Table) Sweep(now time.Time, alive func(entryVM string) bool) []*siskinv1.Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var records []*siskinv1.Record
	for _, k := range t.sortedKeys() {
		e := t.entries[k]
		switch {
		case e.claimed == nil:
			if before(e.releasedUnixMs, now.Add(-releasedRetention)) && t.pending[k] == "" {
				delete(t.entries, k)
			}
		case e.finished != nil:
			if before(e.finished.GetFinishedUnixMs(), now.Add(-Retention)) {
				t.keptBytes -= len(e.finished.GetAnswer())
				delete(t.entries, k)
			}
		case !alive(e.claimed.GetEntryVm()) || before(e.claimed.GetClaimedUnixMs(), now.Add(-t.limits.MaxAge)):
			records = append(records, finishedRecord(unknownFinish(e.claimed, now)))
		}
	}
	return records
}

func before(unixMs int64, limit time.Time) bool { return unixMs < limit.UnixMilli() }

func unknownFinish(claimed *siskinv1.RequestClaimed, now time.Time) *siskinv1.RequestFinished {
	return &siskinv1.RequestFinished{
		Team: claimed.GetTeam(), Service: claimed.GetService(), RequestKey: claimed.GetRequestKey(),
		RequestId: claimed.GetRequestId(), Outcome: siskinv1.RequestOutcome_REQUEST_OUTCOME_UNKNOWN,
		FinishedUnixMs: now.UnixMilli(),
	}
}

// Response converts a decision for the entry VM. For Grant it is the answer after the record is durable; for Pending it
// tells the entry VM to retry.
func (d Decision) Response() *siskinv1.ClaimResponse {
	refused := func(reason refusal.Reason, text string) *siskinv1.ClaimResponse {
		return &siskinv1.ClaimResponse{Earlier: d.Earlier, Refused: refusal.New(reason, "%s", text).Proto()}
	}
	switch d.Verdict {
	case Grant, GrantAgain:
		return &siskinv1.ClaimResponse{Granted: true}
	case Done:
		return &siskinv1.ClaimResponse{Earlier: d.Earlier}
	case InProgress:
		return refused(refusal.InProgress, "an earlier submission with this request key is in progress")
	case Unknown:
		return refused(refusal.OutcomeUnknown, "an earlier submission with this request key may have run")
	case KeyReused:
		return refused(refusal.RequestKeyReused, "the request key was used with another body")
	case Full:
		return refused(refusal.Overloaded, "the shard holds too many claims")
	case Released:
		return refused(refusal.Conflict, "this submission has released its claim")
	case Pending:
	}
	return refused(refusal.StoreUnavailable, "the claim is being written")
}

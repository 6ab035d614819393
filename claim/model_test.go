package claim

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	_ "siskinstack.example/siskinstack/testseed"
)

const (
	outDone    = siskinv1.RequestOutcome_REQUEST_OUTCOME_DONE
	outNotRun  = siskinv1.RequestOutcome_REQUEST_OUTCOME_NOT_RUN
	outUnknown = siskinv1.RequestOutcome_REQUEST_OUTCOME_UNKNOWN
)

// naive decides by reading the whole history again each time.
type naive struct{ history []*siskinv1.Record }

func (n *naive) check(claim *siskinv1.RequestClaimed) Verdict {
	holder, body, end := "", "", siskinv1.RequestOutcome_REQUEST_OUTCOME_UNSPECIFIED
	gaveUp := map[string]bool{}
	for _, record := range n.history {
		c, f := record.GetRequestClaimed(), record.GetRequestFinished()
		switch {
		case c != nil && c.GetRequestKey() == claim.GetRequestKey():
			if holder == "" && !gaveUp[c.GetRequestId()] {
				holder, body, end = c.GetRequestId(), string(c.GetBodySha256()), 0
			}
		case f == nil || f.GetRequestKey() != claim.GetRequestKey():
		case f.GetOutcome() == outNotRun && (f.GetRequestId() != holder || end != outDone):
			gaveUp[f.GetRequestId()] = true
			if f.GetRequestId() == holder {
				holder = ""
			}
		case f.GetRequestId() == holder && end != outDone && f.GetOutcome() != outNotRun:
			end = f.GetOutcome()
		}
	}
	switch {
	case gaveUp[claim.GetRequestId()]:
		return Released
	case holder == "":
		return Grant
	case body != string(claim.GetBodySha256()):
		return KeyReused
	case end == outDone:
		return Done
	case end == outUnknown:
		return Unknown
	case holder == claim.GetRequestId():
		return GrantAgain
	}
	return InProgress
}

// hand is one hand-in at an entry VM.
type hand struct {
	claim    *siskinv1.RequestClaimed
	state    string // claiming, granted, over
	saidNot  bool
	sentRuns int
}

// world is one shard, its entry VMs and an endpoint, with messages that are lost, late or duplicated.
type world struct {
	table    *Table
	naive    naive
	hands    []*hand
	finishes []*siskinv1.RequestFinished
	versions []int
	nextID   int
	now      time.Time
}

func newWorld() *world {
	return &world{table: NewTable(Limits{}), versions: make([]int, 3), now: time.Unix(1000, 0)}
}

func (w *world) entryVM(vm int) string { return fmt.Sprintf("entry-%d/%d", vm, w.versions[vm]) }

func (w *world) handIn(vm int, key, body string) *hand {
	w.nextID++
	h := &hand{state: "claiming", claim: &siskinv1.RequestClaimed{
		Team: "t", Service: "s", RequestKey: key, RequestId: fmt.Sprintf("r%d", w.nextID), EntryVm: w.entryVM(vm),
		ClaimedUnixMs: w.now.UnixMilli(), BodySha256: BodyHash("", []byte(body)),
	}}
	w.hands = append(w.hands, h)
	return h
}

func (w *world) apply(record *siskinv1.Record) {
	w.table.Apply(record)
	w.naive.history = append(w.naive.history, record)
}

// deliverClaim delivers the Claim call of a hand-in, perhaps again.
func (w *world) deliverClaim(t assert.TestingT, h *hand, answerLost bool) {
	want := w.naive.check(h.claim)
	decision := w.table.Check(h.claim)
	assert.Equal(t, decision.Verdict, want)
	if decision.Verdict == Grant {
		w.apply(decision.Record)
	}
	if answerLost || h.state != "claiming" {
		return
	}
	h.state = "over"
	if decision.Verdict == Grant || decision.Verdict == GrantAgain {
		h.state = "granted"
	}
}

func (w *world) finish(h *hand, outcome siskinv1.RequestOutcome) {
	h.state = "over"
	h.saidNot = outcome == outNotRun
	w.finishes = append(w.finishes, &siskinv1.RequestFinished{
		Team: "t", Service: "s", RequestKey: h.claim.GetRequestKey(), RequestId: h.claim.GetRequestId(),
		Outcome: outcome, Answer: []byte(h.claim.GetRequestId()), AnswerKept: true, FinishedUnixMs: w.now.UnixMilli(),
	})
}

func (w *world) deliverFinish(finished *siskinv1.RequestFinished) {
	if record := w.table.CheckFinish(finished); record != nil {
		w.apply(record)
	}
}

// crash replaces an entry VM; its hand-ins end without a word.
func (w *world) crash(vm int) {
	gone := w.entryVM(vm)
	w.versions[vm]++
	for _, h := range w.hands {
		if h.claim.GetEntryVm() == gone {
			h.state = "over"
		}
	}
}

func (w *world) sweep() {
	alive := []string{w.entryVM(0), w.entryVM(1), w.entryVM(2)}
	for _, record := range w.table.Sweep(w.now, func(vm string) bool { return slices.Contains(alive, vm) }) {
		w.apply(record)
	}
}

func (w *world) restore() {
	restored := NewTable(Limits{})
	for _, record := range w.table.Records() {
		restored.Apply(record)
	}
	w.table = restored
}

// violation returns the broken promise, or "".
func (w *world) violation() string {
	runs := map[string]int{}
	for _, h := range w.hands {
		runs[h.claim.GetRequestKey()] += h.sentRuns
		if h.saidNot && h.sentRuns > 0 {
			return "not-run"
		}
	}
	for _, n := range runs {
		if n > 1 {
			return "at-most-once"
		}
	}
	return ""
}

func (w *world) step(t *rapid.T) {
	actions := []string{"hand in", "hand in", "claim", "claim", "claim", "send", "send", "give up", "finish", "finish", "crash", "sweep", "restore"}
	action := rapid.SampledFrom(actions).Draw(t, "action")
	vm := rapid.IntRange(0, 2).Draw(t, "vm")
	var h *hand
	if len(w.hands) > 0 {
		h = w.hands[rapid.IntRange(max(0, len(w.hands)-6), len(w.hands)-1).Draw(t, "hand")]
	}
	switch {
	case action == "hand in":
		body := rapid.SampledFrom([]string{"a", "a", "a", "b"}).Draw(t, "body")
		w.handIn(vm, rapid.SampledFrom([]string{"k1", "k2"}).Draw(t, "key"), body)
	case action == "crash":
		w.crash(vm)
	case action == "sweep":
		w.sweep()
	case action == "restore":
		w.restore()
	case action == "finish" && len(w.finishes) > 0:
		w.deliverFinish(rapid.SampledFrom(w.finishes).Draw(t, "end"))
	case h == nil:
	case action == "claim":
		w.deliverClaim(t, h, rapid.Bool().Draw(t, "lost"))
	case action == "give up" && h.state == "claiming":
		w.finish(h, outNotRun)
	case action == "send" && h.state == "granted":
		switch rapid.SampledFrom([]string{"ran", "ran, no answer", "did not run", "ran, then crash"}).Draw(t, "send") {
		case "ran":
			h.sentRuns++
			w.finish(h, outDone)
		case "ran, no answer":
			h.sentRuns++
			w.finish(h, outUnknown)
		case "did not run":
			w.finish(h, outNotRun)
		case "ran, then crash":
			h.sentRuns++
			h.state = "over"
		}
	}
}

// TestAtMostOnce guards against a second run of a request key and against a false "not run", under lost, late and
// duplicated calls, entry VMs that die between claim and end, and new owners; and against a table that decides otherwise
// than a reading of the whole history.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			w.step(t)
			assert.Equal(t, w.violation(), "")
		}
	})
}

// TestCheckerCatchesClaimAfterSend proves that the check above fails if a request is forwarded before its claim.
func TestCheckerCatchesClaimAfterSend(t *testing.T) {
	w := newWorld()
	first, second := w.handIn(0, "k", "a"), w.handIn(1, "k", "a")
	first.sentRuns++
	second.sentRuns++
	w.deliverClaim(t, first, false)
	w.deliverClaim(t, second, false)
	assert.Equal(t, w.violation(), "at-most-once")
}

// TestCheckerCatchesRetry proves that the check above fails if a claimed request is sent again after a lost answer.
func TestCheckerCatchesRetry(t *testing.T) {
	w := newWorld()
	h := w.handIn(0, "k", "a")
	w.deliverClaim(t, h, false)
	h.sentRuns++
	h.sentRuns++
	assert.Equal(t, w.violation(), "at-most-once")
}

// TestCheckerCatchesFalseNotRun proves that the check above fails if a lost answer is reported as "not run".
func TestCheckerCatchesFalseNotRun(t *testing.T) {
	w := newWorld()
	h := w.handIn(0, "k", "a")
	w.deliverClaim(t, h, false)
	h.sentRuns++
	w.finish(h, outNotRun)
	assert.Equal(t, w.violation(), "not-run")
}

// TestRecordsRestoreTable guards against a snapshot that loses a claim, an answer or a released hand-in.
func TestRecordsRestoreTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			w.step(t)
		}
		before := w.table.Records()
		w.restore()
		after := w.table.Records()
		assert.Equal(t, len(before), len(after))
		for i := range before {
			assert.Assert(t, proto.Equal(before[i], after[i]))
		}
	})
}

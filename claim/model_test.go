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

// referenceModel decides by replaying the whole history for each claim.
type referenceModel struct{ history []*siskinv1.Record }

func (m *referenceModel) check(claim *siskinv1.RequestClaimed) Verdict {
	holder, body, end := "", "", siskinv1.RequestOutcome_REQUEST_OUTCOME_UNSPECIFIED
	released := map[string]bool{}
	for _, record := range m.history {
		c, f := record.GetRequestClaimed(), record.GetRequestFinished()
		switch {
		case c != nil && c.GetRequestKey() == claim.GetRequestKey():
			if holder == "" && !released[c.GetRequestId()] {
				holder, body, end = c.GetRequestId(), string(c.GetBodySha256()), 0
			}
		case f == nil || f.GetRequestKey() != claim.GetRequestKey():
		case f.GetOutcome() == outNotRun && (f.GetRequestId() != holder || end != outDone):
			released[f.GetRequestId()] = true
			if f.GetRequestId() == holder {
				holder = ""
			}
		case f.GetRequestId() == holder && end != outDone && f.GetOutcome() != outNotRun:
			end = f.GetOutcome()
		}
	}
	switch {
	case released[claim.GetRequestId()]:
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

// testSubmission is one submission at an entry VM.
type testSubmission struct {
	claim          *siskinv1.RequestClaimed
	state          string // claiming, granted, over
	reportedNotRun bool
	executions     int // at the endpoint
}

// simulation is one shard, its entry VMs and an endpoint, with messages that are lost, late or duplicated.
type simulation struct {
	table        *Table
	reference    referenceModel
	submissions  []*testSubmission
	finishes     []*siskinv1.RequestFinished
	incarnations []int
	nextID       int
	now          time.Time
}

func newSimulation() *simulation {
	return &simulation{table: NewTable(Limits{}), incarnations: make([]int, 3), now: time.Unix(1000, 0)}
}

func (sim *simulation) entryVM(vm int) string {
	return fmt.Sprintf("entry-%d/%d", vm, sim.incarnations[vm])
}

func (sim *simulation) submit(vm int, key, body string) *testSubmission {
	sim.nextID++
	s := &testSubmission{state: "claiming", claim: &siskinv1.RequestClaimed{
		Team: "t", Service: "s", RequestKey: key, RequestId: fmt.Sprintf("r%d", sim.nextID), EntryVm: sim.entryVM(vm),
		ClaimedUnixMs: sim.now.UnixMilli(), BodySha256: BodyHash("", []byte(body)),
	}}
	sim.submissions = append(sim.submissions, s)
	return s
}

func (sim *simulation) apply(record *siskinv1.Record) {
	sim.table.Apply(record)
	sim.reference.history = append(sim.reference.history, record)
}

// deliverClaim delivers the Claim call of a submission, possibly a duplicate.
func (sim *simulation) deliverClaim(t assert.TestingT, s *testSubmission, answerLost bool) {
	want := sim.reference.check(s.claim)
	decision := sim.table.Check(s.claim)
	assert.Equal(t, decision.Verdict, want)
	if decision.Verdict == Grant {
		sim.apply(decision.Record)
	}
	if answerLost || s.state != "claiming" {
		return
	}
	s.state = "over"
	if decision.Verdict == Grant || decision.Verdict == GrantAgain {
		s.state = "granted"
	}
}

func (sim *simulation) finish(s *testSubmission, outcome siskinv1.RequestOutcome) {
	s.state = "over"
	s.reportedNotRun = outcome == outNotRun
	sim.finishes = append(sim.finishes, &siskinv1.RequestFinished{
		Team: "t", Service: "s", RequestKey: s.claim.GetRequestKey(), RequestId: s.claim.GetRequestId(),
		Outcome: outcome, Answer: []byte(s.claim.GetRequestId()), AnswerKept: true, FinishedUnixMs: sim.now.UnixMilli(),
	})
}

func (sim *simulation) deliverFinish(finished *siskinv1.RequestFinished) {
	if record := sim.table.CheckFinish(finished); record != nil {
		sim.apply(record)
	}
}

// crash replaces an entry VM; its submissions end without a finish record.
func (sim *simulation) crash(vm int) {
	gone := sim.entryVM(vm)
	sim.incarnations[vm]++
	for _, s := range sim.submissions {
		if s.claim.GetEntryVm() == gone {
			s.state = "over"
		}
	}
}

func (sim *simulation) sweep() {
	alive := []string{sim.entryVM(0), sim.entryVM(1), sim.entryVM(2)}
	for _, record := range sim.table.Sweep(sim.now, func(vm string) bool { return slices.Contains(alive, vm) }) {
		sim.apply(record)
	}
}

func (sim *simulation) restore() {
	restored := NewTable(Limits{})
	for _, record := range sim.table.Records() {
		restored.Apply(record)
	}
	sim.table = restored
}

// violation returns the violated guarantee, or "".
func (sim *simulation) violation() string {
	runs := map[string]int{}
	for _, s := range sim.submissions {
		runs[s.claim.GetRequestKey()] += s.executions
		if s.reportedNotRun && s.executions > 0 {
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

func (sim *simulation) step(t *rapid.T) {
	actions := []string{"submit", "submit", "claim", "claim", "claim", "send", "send", "release", "finish", "finish", "crash", "sweep", "restore"}
	action := rapid.SampledFrom(actions).Draw(t, "action")
	vm := rapid.IntRange(0, 2).Draw(t, "vm")
	var s *testSubmission
	if len(sim.submissions) > 0 {
		s = sim.submissions[rapid.IntRange(max(0, len(sim.submissions)-6), len(sim.submissions)-1).Draw(t, "submission")]
	}
	switch {
	case action == "submit":
		body := rapid.SampledFrom([]string{"a", "a", "a", "b"}).Draw(t, "body")
		sim.submit(vm, rapid.SampledFrom([]string{"k1", "k2"}).Draw(t, "key"), body)
	case action == "crash":
		sim.crash(vm)
	case action == "sweep":
		sim.sweep()
	case action == "restore":
		sim.restore()
	case action == "finish" && len(sim.finishes) > 0:
		sim.deliverFinish(rapid.SampledFrom(sim.finishes).Draw(t, "end"))
	case s == nil:
	case action == "claim":
		sim.deliverClaim(t, s, rapid.Bool().Draw(t, "lost"))
	case action == "release" && s.state == "claiming":
		sim.finish(s, outNotRun)
	case action == "send" && s.state == "granted":
		switch rapid.SampledFrom([]string{"ran", "ran, no answer", "did not run", "ran, then crash"}).Draw(t, "send") {
		case "ran":
			s.executions++
			sim.finish(s, outDone)
		case "ran, no answer":
			s.executions++
			sim.finish(s, outUnknown)
		case "did not run":
			sim.finish(s, outNotRun)
		case "ran, then crash":
			s.executions++
			s.state = "over"
		}
	}
}

// TestAtMostOnce guards against a second run of a request key and against a false "not run", under lost, late and
// duplicated calls, entry VMs that fail between claim and finish, and new owners; and against a table whose decisions
// differ from a replay of the whole history.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation()
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			sim.step(t)
			assert.Equal(t, sim.violation(), "")
		}
	})
}

// TestCheckerCatchesClaimAfterSend shows that violation detects a request that is forwarded before its claim.
func TestCheckerCatchesClaimAfterSend(t *testing.T) {
	sim := newSimulation()
	first, second := sim.submit(0, "k", "a"), sim.submit(1, "k", "a")
	first.executions++
	second.executions++
	sim.deliverClaim(t, first, false)
	sim.deliverClaim(t, second, false)
	assert.Equal(t, sim.violation(), "at-most-once")
}

// TestCheckerCatchesRetry shows that violation detects a claimed request that is sent again after a lost answer.
func TestCheckerCatchesRetry(t *testing.T) {
	sim := newSimulation()
	s := sim.submit(0, "k", "a")
	sim.deliverClaim(t, s, false)
	s.executions++
	s.executions++
	assert.Equal(t, sim.violation(), "at-most-once")
}

// TestCheckerCatchesFalseNotRun shows that violation detects a lost answer that is reported as "not run".
func TestCheckerCatchesFalseNotRun(t *testing.T) {
	sim := newSimulation()
	s := sim.submit(0, "k", "a")
	sim.deliverClaim(t, s, false)
	s.executions++
	sim.finish(s, outNotRun)
	assert.Equal(t, sim.violation(), "not-run")
}

// TestRecordsRestoreTable guards against a snapshot that loses a claim, an answer or a released submission.
func TestRecordsRestoreTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation()
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			sim.step(t)
		}
		before := sim.table.Records()
		sim.restore()
		after := sim.table.Records()
		assert.Equal(t, len(before), len(after))
		for i := range before {
			assert.Assert(t, proto.Equal(before[i], after[i]))
		}
	})
}

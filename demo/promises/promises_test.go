package promises

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/resource"
	"siskinstack.example/siskinstack/standin"
)

var origin = time.Unix(1_800_000_000, 0)

func at(seconds float64) time.Time { return origin.Add(time.Duration(seconds * float64(time.Second))) }

func vector(cores int64) resource.Vector { return resource.Vector{MilliCPU: cores * 1000} }

func run(job string, index, attempt int32, worker string, from, to float64) standin.TaskRun {
	return standin.TaskRun{
		Task: infra.TaskRef{Job: job, Index: index, Attempt: attempt}, Team: "lab", Worker: worker, Zone: "z1",
		Resources: vector(2), Started: at(from), Ended: at(to), Phase: infra.PhaseSucceeded,
		Command: []string{"sleep", "1s", "tag-" + job},
	}
}

func attempt(outcome Outcome, sent, done float64, response string) Attempt {
	return Attempt{VM: "e1", Sent: at(sent), Done: at(done), Outcome: outcome, RequestID: "r-" + response, Response: response}
}

// validRecords returns records in which every guarantee held and was exercised.
func validRecords() Records {
	atMostOnce := run("once", 0, 1, "w2", 1, 2)
	atMostOnce.AtMostOnce = true
	other := run("b", 0, 1, "w3", 15, 16)
	other.Zone = "z2"
	accepted := func(job string, count int32) Work {
		return Work{
			Tag: "tag-" + job, Count: count, Attempts: []Attempt{attempt(Answered, 0, 0.1, job)},
			Final: &siskinv1.WorkStatus{Id: job, Succeeded: count},
		}
	}
	return Records{
		Ended: at(30),
		Fleet: []infra.VM{
			{Name: "w1", Role: infra.RoleWorker, Capacity: vector(4)}, {Name: "w2", Role: infra.RoleWorker, Capacity: vector(4)},
			{Name: "w3", Role: infra.RoleWorker, Capacity: vector(4)},
		},
		Ceilings: map[string]resource.Vector{"lab": vector(6)},
		TaskRuns: []standin.TaskRun{run("a", 0, 1, "w1", 1, 2), run("a", 1, 1, "w1", 1, 2), atMostOnce, other},
		Requests: []Request{
			{Body: "p", Expected: "done p", Idempotent: true, Attempts: []Attempt{attempt(Answered, 1, 2, "done p")}},
			{Body: "q", Expected: "done q", Attempts: []Attempt{
				attempt(Unknown, 1, 2, ""), attempt(Answered, 2, 3, "done q"),
			}},
			{Body: "n", Expected: "done n", Attempts: []Attempt{attempt(RefusedNotRun, 1, 2, "n")}},
			{Body: "s", Expected: "done s", Attempts: []Attempt{attempt(Answered, 19, 21, "done s")}},
		},
		RequestRuns: []standin.RequestRun{
			{Endpoint: "e-1", From: "e1", RequestID: "1", Body: "p", Started: at(1)},
			{Endpoint: "e-2", From: "e1", RequestID: "2", Body: "q", Started: at(2)},
			{Endpoint: "e-2", From: "e1", RequestID: "3", Body: "s", Started: at(19), Ended: at(21)},
		},
		Work:           []Work{accepted("a", 2), accepted("once", 1), accepted("b", 1)},
		KeyChecks:      []KeyCheck{{Credential: Withdrawn, Sent: at(9), WithdrawnAt: at(5), Outcome: RefusedNotRun}},
		Drains:         []Drain{{Zone: "z1", Drained: at(10), ReturnedAt: at(20)}},
		Leaving:        []Leaving{{Endpoint: "e-1", At: at(10)}},
		Stops:          []Stop{{VM: "e1", Begun: at(20), End: at(22)}},
		SignOffs:       []SignOff{{Version: 2, At: at(1)}},
		VersionSamples: []VersionSample{{VM: "e1", At: at(2), Version: 1}, {VM: "e1", At: at(12), Version: 2}},
	}
}

// TestValidRecords guards against checks that report violations in valid or empty records, or that count no
// observations in valid ones.
func TestValidRecords(t *testing.T) {
	for _, verdict := range Check(validRecords()) {
		assert.Assert(t, verdict.Verified(), "%+v", verdict)
	}
	for _, verdict := range Check(Records{}) {
		assert.Assert(t, verdict.Held && verdict.Observations == 0, "%+v", verdict)
	}
}

// TestViolationsAreDetected guards against checks that pass for any records: each case violates one guarantee.
func TestViolationsAreDetected(t *testing.T) {
	for _, test := range []struct {
		name    string
		want    ID
		corrupt func(*Records)
	}{
		{"three tasks on a worker with capacity for two", WorkerCapacity, func(r *Records) {
			r.TaskRuns = append(r.TaskRuns, run("x", 0, 1, "w1", 1.5, 3))
		}},
		{"a worker that is not in the fleet", WorkerCapacity, func(r *Records) { r.TaskRuns[0].Worker = "w9" }},
		{"two runs of a task overlap", SingleRun, func(r *Records) {
			r.TaskRuns = append(r.TaskRuns, run("a", 0, 2, "w3", 1.5, 3))
		}},
		{"a run without end overlaps", SingleRun, func(r *Records) {
			r.TaskRuns[3].Ended = time.Time{}
			r.TaskRuns = append(r.TaskRuns, run("b", 0, 2, "w2", 25, 26))
		}},
		{"a withdrawn key is accepted late", Keys, func(r *Records) { r.KeyChecks[0].Outcome = Answered }},
		{"work without a key is accepted", Keys, func(r *Records) {
			r.KeyChecks = append(r.KeyChecks, KeyCheck{Credential: NoKey, Outcome: Answered})
		}},
		{"a team is over its ceiling", Ceiling, func(r *Records) {
			r.TaskRuns = append(r.TaskRuns, run("x", 0, 1, "w3", 1.5, 3))
		}},
		{"a team without a ceiling runs", Ceiling, func(r *Records) { r.TaskRuns[0].Team = "stranger" }},
		{"a task starts in a drained zone", DrainedZones, func(r *Records) { r.TaskRuns[3].Zone = "z1" }},
		{"a response of another request", Responses, func(r *Records) { r.Requests[0].Attempts[0].Response = "done q" }},
		{"a truncated response", Responses, func(r *Records) { r.Requests[0].Attempts[0].Response = "done" }},
		{"a refused request ran", NotRun, func(r *Records) {
			r.RequestRuns = append(r.RequestRuns, standin.RequestRun{Body: "n", RequestID: "9"})
		}},
		{"a refused request identifier ran", NotRun, func(r *Records) { r.RequestRuns[0].RequestID = "r-n" }},
		{"refused work ran", NotRun, func(r *Records) { r.Work[0].Attempts[0].Outcome = RefusedNotRun }},
		{"a booking ran twice", AtMostOnce, func(r *Records) {
			r.RequestRuns = append(r.RequestRuns, standin.RequestRun{Body: "q", RequestID: "9"})
		}},
		{"a task that must not be repeated ran twice", AtMostOnce, func(r *Records) {
			again := run("once", 0, 2, "w3", 5, 6)
			again.AtMostOnce = true
			r.TaskRuns = append(r.TaskRuns, again)
		}},
		{"a leaving endpoint is sent a request", LeavingEndpoints, func(r *Records) {
			r.RequestRefusals = []standin.RequestRefusal{{Endpoint: "e-1", At: at(14)}}
		}},
		{"a leaving endpoint runs a request", LeavingEndpoints, func(r *Records) { r.RequestRuns[2].Endpoint = "e-1" }},
		{"a stop loses a response", PlannedStops, func(r *Records) { r.Requests[3].Attempts[0].Outcome = Unknown }},
		{"a stop interrupts a request", PlannedStops, func(r *Records) { r.RequestRuns[2].Canceled = true }},
		{"a stop loses a request that started during it", PlannedStops, func(r *Records) {
			r.Requests[3].Attempts[0] = attempt(Unknown, 20.5, 21, "")
			r.RequestRuns[2].Started = at(20.6)
		}},
		{"a bundle reverts", Bundle, func(r *Records) {
			r.VersionSamples = append(r.VersionSamples, VersionSample{VM: "e1", At: at(13), Version: 1})
		}},
		{"a bundle is late", Bundle, func(r *Records) {
			r.VersionSamples = append(r.VersionSamples, VersionSample{VM: "e2", At: at(11), Version: 1})
		}},
		{"accepted work is unknown", Accepted, func(r *Records) { r.Work[0].Final = nil }},
		{"accepted work lost a task", Accepted, func(r *Records) { r.Work[0].Final.Succeeded = 1 }},
		{"accepted work never starts", Accepted, func(r *Records) {
			r.Work[0].Final = &siskinv1.WorkStatus{Queued: 2}
		}},
		{"accepted work is dropped", Accepted, func(r *Records) {
			r.Work[0].Final = &siskinv1.WorkStatus{Succeeded: 1, Cancelled: 1}
		}},
		{"the outcome of repeatable work is unknown", Accepted, func(r *Records) {
			r.Work[0].Final = &siskinv1.WorkStatus{Succeeded: 1, Unknown: 1}
		}},
		{"a repeated submission made a second job", Accepted, func(r *Records) {
			r.Work[0].Attempts = append(r.Work[0].Attempts, attempt(Answered, 1, 2, "c"))
		}},
		{"a second job runs without being accepted", Accepted, func(r *Records) {
			r.TaskRuns[3].Command = []string{"sleep", "1s", "tag-a"}
		}},
		{"a task succeeds twice", Accepted, func(r *Records) {
			r.TaskRuns = append(r.TaskRuns, run("a", 0, 2, "w3", 5, 6))
		}},
	} {
		records := validRecords()
		test.corrupt(&records)
		detected := false
		for _, verdict := range Check(records) {
			if verdict.ID == test.want {
				detected = !verdict.Held && len(verdict.Violations) > 0
			}
		}
		assert.Assert(t, detected, "%s: %s held", test.name, test.want)
	}
}

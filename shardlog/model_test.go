package shardlog

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/clock"
	"siskinstack.example/siskinstack/faultstore"
	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/standin"
	_ "siskinstack.example/siskinstack/testseed"
)

const testShard = "taichung-1-0"

// simulation is one store with successive writers, of which only the newest has the right to write.
type simulation struct {
	line    *clock.TimeLine
	clock   *clock.Stepping
	inner   *standin.Store
	rules   rules
	writers []*testWriter
	// accepted, refused and unknown classify the submitted records by the result of their append.
	accepted, refused, unknown map[string]bool
	next                       int
}

type testWriter struct {
	sim    *simulation
	number int
	faults *faultstore.Store
	log    *Log
	ids    []string // state: every record seen by Apply
	busy   bool
}

func newSimulation() *simulation {
	line := &clock.TimeLine{}
	sim := &simulation{line: line, clock: clock.NewStepping(line, time.Unix(1000, 0), 1)}
	sim.inner = standin.NewStore(sim.clock)
	sim.rules = rules{responseLimit: responseLimit, keyRetention: keyRetention, sameEntry: sameEntry}
	sim.accepted, sim.refused, sim.unknown = map[string]bool{}, map[string]bool{}, map[string]bool{}
	return sim
}

func record(id string) *siskinv1.Record {
	return &siskinv1.Record{Change: &siskinv1.Record_JobCancelled{JobCancelled: &siskinv1.JobCancelled{Id: id}}}
}

// takeOver makes a new writer the current one. Its log is nil if loading fails, as after a crash.
func (sim *simulation) takeOver(faults ...faultstore.Fault) *testWriter {
	t := &testWriter{sim: sim, number: len(sim.writers) + 1, faults: faultstore.New(sim.inner, sim.line.Advance)}
	sim.writers = append(sim.writers, t)
	t.faults.InjectFaults(faults...)
	log, err := load(context.Background(), Options{
		Store: t.faults, Clock: sim.clock, Shard: testShard, Writer: fmt.Sprintf("vm%d", t.number),
		Epoch: int64(t.number), Apply: t.apply, Check: t.check, Snapshot: t.state, Random: func() float64 { return 0.5 },
	})
	if err == nil {
		log.rules = sim.rules
		t.log = log
	}
	return t
}

func (t *testWriter) check() error {
	if t.number != len(t.sim.writers) {
		return eris.New("right has ended")
	}
	return nil
}

func (t *testWriter) apply(r *siskinv1.Record) {
	if id := r.GetJobCancelled().GetId(); id != "" {
		t.ids = append(t.ids, id)
	}
}

func (t *testWriter) state() []*siskinv1.Record {
	var records []*siskinv1.Record
	for _, id := range t.ids {
		records = append(records, record(id))
	}
	return records
}

// append submits one record and classifies it by the result.
func (t *testWriter) append() {
	t.sim.next++
	id := fmt.Sprintf("r%d", t.sim.next)
	p, err := t.log.enqueue([]*siskinv1.Record{record(id)})
	if err == nil {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		for attempts := 0; len(p.done) == 0 && attempts < 20; attempts++ {
			t.log.commitNext(ctx)
		}
		err = <-p.done
	}
	switch {
	case err == nil:
		t.sim.accepted[id] = true
	case IsNotDurable(err):
		t.sim.refused[id] = true
	default:
		t.sim.unknown[id] = true
	}
}

func (t *testWriter) writeSnapshot() {
	if t.check() != nil {
		return
	}
	plan, err := t.log.planSnapshot()
	if err == nil {
		t.log.applySnapshotResult(t.log.writeSnapshot(context.Background(), plan))
	}
}

// verify replays the log and compares it with the results that callers received.
func (sim *simulation) verify() error {
	final := sim.takeOver()
	if final.log == nil {
		return eris.New("log cannot be opened")
	}
	seen := map[string]bool{}
	for _, id := range final.ids {
		if seen[id] {
			return eris.Errorf("record %s is duplicated", id)
		}
		if sim.refused[id] {
			return eris.Errorf("record %s was refused but is durable", id)
		}
		seen[id] = true
	}
	for id := range sim.accepted {
		if !seen[id] {
			return eris.Errorf("accepted record %s is lost", id)
		}
	}
	return nil
}

func genFault(t *rapid.T) faultstore.Fault {
	return faultstore.Fault{
		Drop:         rapid.IntRange(0, 5).Draw(t, "drop") == 0,
		LoseResponse: rapid.IntRange(0, 3).Draw(t, "lose") == 0,
		Delayed:      rapid.IntRange(0, 5).Draw(t, "late") == 0,
		Duplicate:    rapid.IntRange(0, 3).Draw(t, "duplicate") == 0,
		Before:       time.Duration(rapid.IntRange(0, 40).Draw(t, "before")) * time.Second,
	}
}

// Guards against accepted records lost and refused or duplicate records kept when responses are lost, calls are
// delayed, late or duplicated, the writer is paused between its check and its call, and owners change, in any
// combination.
func TestLogAgainstModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sim := newSimulation()
		sim.takeOver()
		sim.steps(rt, rapid.IntRange(1, 30).Draw(rt, "steps"), 0)
		if err := sim.verify(); err != nil {
			rt.Fatal(err)
		}
	})
}

// steps runs random steps of random writers. Further steps may run before a writer's store call, as if it was paused.
func (sim *simulation) steps(rt *rapid.T, n, depth int) {
	for range n {
		actor := sim.writers[rapid.IntRange(0, len(sim.writers)-1).Draw(rt, "actor")]
		if actor.log == nil || actor.busy {
			sim.takeOver(genFault(rt))
			continue
		}
		actor.faults.InjectFaults(genFault(rt), genFault(rt))
		if depth < 2 && rapid.IntRange(0, 3).Draw(rt, "pause") == 0 {
			sim.pauseNextCall(rt, actor, depth)
		}
		actor.busy = true
		switch rapid.IntRange(0, 6).Draw(rt, "step") {
		case 0:
			sim.takeOver(genFault(rt), genFault(rt))
		case 1:
			actor.writeSnapshot()
		case 3:
			sim.writers[rapid.IntRange(0, len(sim.writers)-1).Draw(rt, "late")].faults.Deliver()
		case 2:
			sim.line.Advance(keyRetention)
		default:
			actor.append()
		}
		actor.busy = false
	}
}

func (sim *simulation) pauseNextCall(rt *rapid.T, actor *testWriter, depth int) {
	actor.faults.SetBefore(func(int) {
		actor.faults.SetBefore(nil)
		sim.steps(rt, rapid.IntRange(1, 6).Draw(rt, "inner"), depth+1)
	})
}

// pausedAppend pauses a writer before its append while a successor takes over, writes the same sequence, covers it by a
// snapshot and deletes it.
func pausedAppend(sim *simulation) error {
	first := sim.takeOver()
	first.append()
	first.faults.SetBefore(func(int) {
		first.faults.SetBefore(nil)
		second := sim.takeOver()
		second.append()
		sim.line.Advance(keyRetention)
		second.writeSnapshot()
	})
	first.append()
	return sim.verify()
}

// Guards against a paused writer that recreates a key that its successor has deleted and reports its append as durable.
func TestPausedWriterCannotReuseADeletedSequence(t *testing.T) {
	sim := newSimulation()
	assert.NilError(t, pausedAppend(sim))
	assert.Equal(t, len(sim.unknown), 1)
}

// Verifies that the checker detects a writer that accepts late responses.
func TestCheckerDetectsTrustInLateResponses(t *testing.T) {
	sim := newSimulation()
	sim.rules.responseLimit = time.Hour
	assert.ErrorContains(t, pausedAppend(sim), "accepted record r2 is lost")
}

// Verifies that the checker detects a writer that takes its successor's entry for its own.
func TestCheckerDetectsMissingFenceCheck(t *testing.T) {
	run := func(sim *simulation) error {
		first := sim.takeOver()
		first.faults.SetBefore(func(int) {
			first.faults.SetBefore(nil)
			sim.takeOver()
		})
		first.append()
		return sim.verify()
	}
	assert.NilError(t, run(newSimulation()))
	broken := newSimulation()
	broken.rules.sameEntry = func(_, _ *siskinv1.LogEntry) bool { return true }
	assert.ErrorContains(t, run(broken), "lost")
}

// Guards against a snapshot that loses or duplicates records when the owner crashes between any two of its steps.
func TestCrashAtEveryStepOfASnapshot(t *testing.T) {
	for crash := 1; crash < 20; crash++ {
		sim := newSimulation()
		first := sim.takeOver()
		for range 3 {
			first.append()
		}
		first.writeSnapshot()
		first.append()
		sim.line.Advance(keyRetention)
		base := first.faults.Calls()
		first.faults.SetBefore(func(call int) {
			if call == base+crash {
				sim.takeOver() // ends the right of the first writer, as a crash does
				first.faults.SetPartitioned(true)
			}
		})
		first.writeSnapshot()
		assert.NilError(t, sim.verify(), "crash before call %d", crash)
	}
}

// Guards against values that are overwritten, deleted or skipped although they cannot be decoded.
func TestCorruptValuesAreKept(t *testing.T) {
	for name, damage := range map[string]func([]byte) []byte{
		"bit flip":     func(v []byte) []byte { v[len(v)-1] ^= 1; return v },
		"newer format": func(v []byte) []byte { v[formatOffset]++; return v },
		"truncated":    func(v []byte) []byte { return v[:4] },
	} {
		sim := newSimulation()
		writer := sim.takeOver()
		writer.append()
		writer.writeSnapshot()
		writer.append()
		listing, err := sim.inner.List(context.Background(), "")
		assert.NilError(t, err)
		for _, kv := range listing.Entries {
			damaged := damage(append([]byte(nil), kv.Value...))
			put := infra.PutRequest{Key: kv.Key, Value: damaged, Expected: kv.Revision}
			revision, err := sim.inner.Put(context.Background(), put)
			assert.NilError(t, err)
			_, err = load(context.Background(), Options{
				Store: sim.inner, Clock: sim.clock, Shard: testShard, Epoch: 99, Apply: func(*siskinv1.Record) {},
			})
			assert.ErrorIs(t, err, ErrCorrupt, "%s of %s", name, kv.Key)
			assert.ErrorContains(t, err, kv.Key)
			after, err := sim.inner.Get(context.Background(), kv.Key)
			assert.NilError(t, err)
			assert.DeepEqual(t, after.Value, damaged)
			_, err = sim.inner.Put(context.Background(), infra.PutRequest{Key: kv.Key, Value: kv.Value, Expected: revision})
			assert.NilError(t, err)
		}
	}
}

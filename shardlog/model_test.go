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

// world is one store with a line of writers, of which only the newest has the right to write.
type world struct {
	line    *clock.TimeLine
	clock   *clock.Stepping
	inner   *standin.Store
	rules   rules
	writers []*testWriter
	// accepted, refused and unknown sort the submitted records by the answer of their append.
	accepted, refused, unknown map[string]bool
	next                       int
}

type testWriter struct {
	world  *world
	number int
	faults *faultstore.Store
	log    *Log
	ids    []string // state: every record seen by Apply
	busy   bool
}

func newWorld() *world {
	line := &clock.TimeLine{}
	w := &world{line: line, clock: clock.NewStepping(line, time.Unix(1000, 0), 1)}
	w.inner = standin.NewStore(w.clock)
	w.rules = rules{answerLimit: answerLimit, keyRetention: keyRetention, sameEntry: sameEntry}
	w.accepted, w.refused, w.unknown = map[string]bool{}, map[string]bool{}, map[string]bool{}
	return w
}

func record(id string) *siskinv1.Record {
	return &siskinv1.Record{Change: &siskinv1.Record_JobCancelled{JobCancelled: &siskinv1.JobCancelled{Id: id}}}
}

// takeOver makes a new writer the current one. It has no writer if Open fails, as after a crash.
func (w *world) takeOver(faults ...faultstore.Fault) *testWriter {
	t := &testWriter{world: w, number: len(w.writers) + 1, faults: faultstore.New(w.inner, w.line.Advance)}
	w.writers = append(w.writers, t)
	t.faults.Order(faults...)
	log, err := load(context.Background(), Options{
		Store: t.faults, Clock: w.clock, Shard: testShard, Writer: fmt.Sprintf("vm%d", t.number),
		Epoch: int64(t.number), Apply: t.apply, Check: t.check, Snapshot: t.state, Random: func() float64 { return 0.5 },
	})
	if err == nil {
		log.rules = w.rules
		t.log = log
	}
	return t
}

func (t *testWriter) check() error {
	if t.number != len(t.world.writers) {
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

// append submits one record and sorts it by its answer.
func (t *testWriter) append() {
	t.world.next++
	id := fmt.Sprintf("r%d", t.world.next)
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
		t.world.accepted[id] = true
	case IsNotDurable(err):
		t.world.refused[id] = true
	default:
		t.world.unknown[id] = true
	}
}

func (t *testWriter) writeSnapshot() {
	if t.check() != nil {
		return
	}
	plan, err := t.log.planSnapshot()
	if err == nil {
		t.log.adopt(t.log.writeSnapshot(context.Background(), plan))
	}
}

// verify replays the log and compares it with what the callers were told.
func (w *world) verify() error {
	final := w.takeOver()
	if final.log == nil {
		return eris.New("log cannot be opened")
	}
	seen := map[string]bool{}
	for _, id := range final.ids {
		if seen[id] {
			return eris.Errorf("record %s is there twice", id)
		}
		if w.refused[id] {
			return eris.Errorf("record %s was refused but is durable", id)
		}
		seen[id] = true
	}
	for id := range w.accepted {
		if !seen[id] {
			return eris.Errorf("accepted record %s is lost", id)
		}
	}
	return nil
}

func genFault(t *rapid.T) faultstore.Fault {
	return faultstore.Fault{
		Drop:       rapid.IntRange(0, 5).Draw(t, "drop") == 0,
		LoseAnswer: rapid.IntRange(0, 3).Draw(t, "lose") == 0,
		Late:       rapid.IntRange(0, 5).Draw(t, "late") == 0,
		Duplicate:  rapid.IntRange(0, 3).Draw(t, "duplicate") == 0,
		Before:     time.Duration(rapid.IntRange(0, 40).Draw(t, "before")) * time.Second,
	}
}

// Guards against accepted records lost and refused or doubled records kept when answers are lost, calls are delayed, late or
// doubled, the writer is paused between its check and its call, and owners change, in any combination.
func TestLogAgainstModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld()
		w.takeOver()
		w.steps(rt, rapid.IntRange(1, 30).Draw(rt, "steps"), 0)
		if err := w.verify(); err != nil {
			rt.Fatal(err)
		}
	})
}

// steps runs random steps of random writers. A writer may be interrupted ahead of a store call by further steps.
func (w *world) steps(rt *rapid.T, n, depth int) {
	for range n {
		actor := w.writers[rapid.IntRange(0, len(w.writers)-1).Draw(rt, "actor")]
		if actor.log == nil || actor.busy {
			w.takeOver(genFault(rt))
			continue
		}
		actor.faults.Order(genFault(rt), genFault(rt))
		if depth < 2 && rapid.IntRange(0, 3).Draw(rt, "pause") == 0 {
			w.pauseNextCall(rt, actor, depth)
		}
		actor.busy = true
		switch rapid.IntRange(0, 6).Draw(rt, "step") {
		case 0:
			w.takeOver(genFault(rt), genFault(rt))
		case 1:
			actor.writeSnapshot()
		case 3:
			w.writers[rapid.IntRange(0, len(w.writers)-1).Draw(rt, "late")].faults.Deliver()
		case 2:
			w.line.Advance(keyRetention)
		default:
			actor.append()
		}
		actor.busy = false
	}
}

func (w *world) pauseNextCall(rt *rapid.T, actor *testWriter, depth int) {
	actor.faults.SetBefore(func(int) {
		actor.faults.SetBefore(nil)
		w.steps(rt, rapid.IntRange(1, 6).Draw(rt, "inner"), depth+1)
	})
}

// pausedAppend lets a successor take over, cover and delete the sequence at which a paused writer then appends.
func pausedAppend(w *world) error {
	first := w.takeOver()
	first.append()
	first.faults.SetBefore(func(int) {
		first.faults.SetBefore(nil)
		second := w.takeOver()
		second.append()
		w.line.Advance(keyRetention)
		second.writeSnapshot()
	})
	first.append()
	return w.verify()
}

// Guards against a paused writer that creates a key again that its successor has deleted.
func TestPausedWriterCannotReuseADeletedSequence(t *testing.T) {
	w := newWorld()
	assert.NilError(t, pausedAppend(w))
	assert.Equal(t, len(w.unknown), 1)
}

// Shows that the checker notices when a writer trusts late answers.
func TestCheckerCatchesTrustInLateAnswers(t *testing.T) {
	w := newWorld()
	w.rules.answerLimit = time.Hour
	assert.ErrorContains(t, pausedAppend(w), "accepted record r2 is lost")
}

// Shows that the checker notices when a writer takes its successor's entry for its own.
func TestCheckerCatchesMissingFenceCheck(t *testing.T) {
	run := func(w *world) error {
		first := w.takeOver()
		first.faults.SetBefore(func(int) {
			first.faults.SetBefore(nil)
			w.takeOver()
		})
		first.append()
		return w.verify()
	}
	assert.NilError(t, run(newWorld()))
	broken := newWorld()
	broken.rules.sameEntry = func(_, _ *siskinv1.LogEntry) bool { return true }
	assert.ErrorContains(t, run(broken), "lost")
}

// Guards against a snapshot that loses or doubles records when the owner crashes between any two of its steps.
func TestCrashAtEveryStepOfASnapshot(t *testing.T) {
	for crash := 1; crash < 20; crash++ {
		w := newWorld()
		first := w.takeOver()
		for range 3 {
			first.append()
		}
		first.writeSnapshot()
		first.append()
		w.line.Advance(keyRetention)
		base := first.faults.Calls()
		first.faults.SetBefore(func(call int) {
			if call == base+crash {
				w.takeOver() // ends the right of the first writer, as a crash does
				first.faults.SetCut(true)
			}
		})
		first.writeSnapshot()
		assert.NilError(t, w.verify(), "crash ahead of call %d", crash)
	}
}

// Guards against values that are overwritten, deleted or skipped although they cannot be read.
func TestCorruptValuesAreKept(t *testing.T) {
	for name, spoil := range map[string]func([]byte) []byte{
		"bit flip":     func(v []byte) []byte { v[len(v)-1] ^= 1; return v },
		"newer format": func(v []byte) []byte { v[formatOffset]++; return v },
		"truncated":    func(v []byte) []byte { return v[:4] },
	} {
		w := newWorld()
		writer := w.takeOver()
		writer.append()
		writer.writeSnapshot()
		writer.append()
		listing, err := w.inner.List(context.Background(), "")
		assert.NilError(t, err)
		for _, kv := range listing.Entries {
			spoilt := spoil(append([]byte(nil), kv.Value...))
			put := infra.PutRequest{Key: kv.Key, Value: spoilt, Expected: kv.Revision}
			revision, err := w.inner.Put(context.Background(), put)
			assert.NilError(t, err)
			_, err = load(context.Background(), Options{
				Store: w.inner, Clock: w.clock, Shard: testShard, Epoch: 99, Apply: func(*siskinv1.Record) {},
			})
			assert.ErrorIs(t, err, ErrCorrupt, "%s of %s", name, kv.Key)
			assert.ErrorContains(t, err, kv.Key)
			after, err := w.inner.Get(context.Background(), kv.Key)
			assert.NilError(t, err)
			assert.DeepEqual(t, after.Value, spoilt)
			_, err = w.inner.Put(context.Background(), infra.PutRequest{Key: kv.Key, Value: kv.Value, Expected: revision})
			assert.NilError(t, err)
		}
	}
}

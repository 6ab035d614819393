package shardlog

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/clock"
	"siskinstack.example/siskinstack/faultstore"
	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/standin"
)

const (
	// trialLength is the longest time to a crash; crashRuns is the number of seeded runs per benchmark case.
	trialLength = 5 * time.Second
	crashRuns   = 40
	// flushInterval is the time between two flushes of write-back.
	flushInterval = time.Second
	// writeThroughCalls and writeThroughRate bound write-through: calls in flight, and writes per second of the store.
	writeThroughCalls = 16
	writeThroughRate  = 400
)

// trial is one run of a durability policy up to a simulated crash.
type trial struct {
	delay    time.Duration   // of one store call; the write takes effect halfway
	arrivals []time.Duration // when each record is submitted
	crash    time.Duration   // when the process crashes
	line     *clock.TimeLine
	store    *standin.Store
	clock    *clock.Stepping
}

// outcome records which records were accepted, how long their callers waited, and which records the store holds.
type outcome struct {
	waits    []time.Duration
	accepted map[string]bool
	durable  map[string]bool
	writes   int
}

func newTrial(seed uint64, delay time.Duration, perSecond int) *trial {
	random := rand.New(rand.NewPCG(seed, 1))
	t := &trial{delay: delay, line: &clock.TimeLine{}}
	t.crash = time.Duration((0.2 + 0.8*random.Float64()) * float64(trialLength))
	for at := time.Duration(0); at < t.crash; {
		at += time.Duration(random.ExpFloat64() / float64(perSecond) * float64(time.Second))
		t.arrivals = append(t.arrivals, at)
	}
	t.clock = clock.NewStepping(t.line, time.Unix(1000, 0), 1)
	t.store = standin.NewStore(t.clock)
	return t
}

func id(i int) string { return fmt.Sprintf("r%d", i) }

func newOutcome() *outcome {
	return &outcome{accepted: map[string]bool{}, durable: map[string]bool{}}
}

// accept records that the caller of record i received "accepted" at a time, unless the process had crashed before.
func (o *outcome) accept(t *trial, i int, at time.Duration) {
	if at <= t.crash {
		o.accepted[id(i)] = true
		o.waits = append(o.waits, at-t.arrivals[i])
	}
}

func (o *outcome) lost() int {
	lost := 0
	for id := range o.accepted {
		if !o.durable[id] {
			lost++
		}
	}
	return lost
}

// groupCommit runs the log of this package. The first record starts a commit at once; the next commit starts an
// interval later.
func groupCommit(t *trial) *outcome { return groupCommitEvery(t, defaultCommitInterval) }

// groupCommitSlow is group commit at an interval that keeps three busy shards under 100 writes a second.
func groupCommitSlow(t *trial) *outcome { return groupCommitEvery(t, 70*time.Millisecond) }

func groupCommitEvery(t *trial, interval time.Duration) *outcome {
	o := newOutcome()
	store := faultstore.New(t.store, t.line.Advance)
	options := Options{
		Store: store, Clock: t.clock, Shard: testShard, Writer: "vm1", Epoch: 1, Apply: func(*siskinv1.Record) {},
		CommitInterval: interval,
	}
	log, err := load(context.Background(), options)
	if err != nil {
		panic(err)
	}
	for next := 0; next < len(t.arrivals); {
		t.line.Advance(max(0, t.arrivals[next]-t.line.Elapsed()))
		first := next
		var waiting []*pendingAppend
		for ; next < len(t.arrivals) && t.arrivals[next] <= t.line.Elapsed(); next++ {
			p, err := log.enqueue([]*siskinv1.Record{record(id(next))})
			if err != nil {
				panic(err)
			}
			waiting = append(waiting, p)
		}
		effect := t.line.Elapsed() + t.delay/2
		if effect > t.crash {
			break
		}
		store.InjectFaults(faultstore.Fault{Before: t.delay / 2, After: t.delay / 2})
		started := t.clock.Now()
		log.commitNext(context.Background())
		o.writes++
		for i := range waiting {
			o.accept(t, first+i, t.line.Elapsed())
		}
		t.line.Advance(log.untilNext(started))
	}
	options.Store, options.Epoch = t.store, 2
	options.Apply = func(r *siskinv1.Record) { o.durable[r.GetJobCancelled().GetId()] = true }
	if _, err := load(context.Background(), options); err != nil {
		panic(err)
	}
	return o
}

// writeThrough writes each record in its own value, several concurrently.
func writeThrough(t *trial) *outcome {
	o := newOutcome()
	free := make([]time.Duration, writeThroughCalls)
	var slot time.Duration
	for i, arrival := range t.arrivals {
		writer := slices.Index(free, slices.Min(free))
		sent := max(arrival, free[writer], slot)
		slot = sent + time.Second/writeThroughRate
		free[writer] = sent + t.delay
		if sent+t.delay/2 > t.crash {
			break
		}
		o.put(t, i, i+1)
		o.accept(t, i, sent+t.delay)
	}
	return o
}

// writeBack accepts each record at once and writes all records since the last flush in one value.
func writeBack(t *trial) *outcome {
	o := newOutcome()
	first := 0
	flush := flushInterval
	for i, arrival := range t.arrivals {
		for ; flush <= arrival; flush += flushInterval {
			if flush+t.delay/2 <= t.crash {
				o.put(t, first, i)
			}
			first = i
		}
		o.accept(t, i, arrival)
	}
	return o
}

// put writes the records from first up to but not including end in one value.
func (o *outcome) put(t *trial, first, end int) {
	entry := &siskinv1.LogEntry{}
	for i := first; i < end; i++ {
		entry.Records = append(entry.Records, record(id(i)))
		o.durable[id(i)] = true
	}
	value, err := encode(kindEntry, entry)
	if err != nil {
		panic(err)
	}
	key := entryKey(testShard, int64(first+1))
	if _, err := t.store.Put(context.Background(), infra.PutRequest{Key: key, Value: value}); err != nil {
		panic(err)
	}
	o.writes++
}

var policies = []struct {
	name string
	run  func(*trial) *outcome
}{
	{"write-through", writeThrough},
	{"write-back", writeBack},
	{"group-commit", groupCommit},
	{"group-commit-70ms", groupCommitSlow},
}

// BenchmarkDurability measures, on the store stand-in and in its simulated time, how long callers wait for "accepted"
// and how many accepted records a crash loses.
func BenchmarkDurability(b *testing.B) {
	for _, perSecond := range []int{230, 1600} {
		for _, delay := range []time.Duration{1, 5, 50} {
			for _, policy := range policies {
				name := fmt.Sprintf("%d-per-s/%dms/%s", perSecond, delay, policy.name)
				b.Run(name, func(b *testing.B) {
					for b.Loop() {
						report(b, perSecond, delay*time.Millisecond, policy.run)
					}
				})
			}
		}
	}
}

func report(b *testing.B, perSecond int, delay time.Duration, run func(*trial) *outcome) {
	var waits []time.Duration
	lost, worst, writes, arrived, accepted := 0, 0, 0, 0, 0
	var length time.Duration
	for seed := range uint64(crashRuns) {
		t := newTrial(seed, delay, perSecond)
		o := run(t)
		waits = append(waits, o.waits...)
		lost += o.lost()
		worst = max(worst, o.lost())
		writes += o.writes
		arrived += len(t.arrivals)
		accepted += len(o.accepted)
		length += t.crash
	}
	slices.Sort(waits)
	milliseconds := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	b.ReportMetric(milliseconds(waits[len(waits)/2]), "p50-ms")
	b.ReportMetric(milliseconds(waits[len(waits)*99/100]), "p99-ms")
	b.ReportMetric(float64(writes)/length.Seconds(), "writes/s")
	b.ReportMetric(float64(lost)/crashRuns, "lost/crash")
	b.ReportMetric(float64(worst), "worst-lost")
	b.ReportMetric(100*float64(accepted)/float64(arrived), "accepted-%")
	b.ReportMetric(0, "ns/op")
}

// Guards against group commit losing accepted records in a crash, and against a measurement that does not detect
// losses.
func TestDurabilityOfPolicies(t *testing.T) {
	lost := map[string]int{}
	for seed := range uint64(10) {
		for _, policy := range policies {
			lost[policy.name] += policy.run(newTrial(seed, 5*time.Millisecond, 230)).lost()
		}
	}
	assert.Equal(t, lost["group-commit"], 0)
	assert.Equal(t, lost["group-commit-70ms"], 0)
	assert.Equal(t, lost["write-through"], 0)
	assert.Assert(t, lost["write-back"] > 0)
}

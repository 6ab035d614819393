package shardlog

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/clock"
	"siskinstack.example/siskinstack/faultstore"
	"siskinstack.example/siskinstack/standin"
)

// Guards against a replay of 10,000 tasks that takes more than ReplayCalls store calls, for example one call per entry,
// or more than 2 s at 5 ms per call.
func TestReplayOfTenThousandTasks(t *testing.T) {
	const tasks, perEntry, delay = 10000, 50, 5 * time.Millisecond
	sim := newSimulation()
	writer := sim.takeOver()
	for first := 0; first < tasks; first += perEntry {
		var records []*siskinv1.Record
		for i := range perEntry {
			records = append(records, record(fmt.Sprintf("r%d", first+i)))
		}
		_, err := writer.log.enqueue(records)
		assert.NilError(t, err)
		assert.Assert(t, writer.log.commitNext(context.Background()))
		if first == tasks/2 {
			writer.writeSnapshot()
		}
	}
	started := sim.clock.Now()
	var slow []faultstore.Fault
	for range ReplayCalls {
		slow = append(slow, faultstore.Fault{Before: delay})
	}
	next := sim.takeOver(slow...)
	assert.Equal(t, len(next.ids), tasks)
	assert.Equal(t, next.faults.Calls(), ReplayCalls)
	assert.Equal(t, sim.clock.Now().Sub(started), ReplayCalls*delay)
}

// Guards against an unbounded queue while the store is down, and against appends that are reported with unknown outcome
// although they were never sent.
func TestPendingIsBoundedAndCanBeWithdrawn(t *testing.T) {
	sim := newSimulation()
	writer := sim.takeOver()
	writer.log.options.MaxPendingRecords = 2
	p, err := writer.log.enqueue([]*siskinv1.Record{record("a"), record("b")})
	assert.NilError(t, err)
	_, err = writer.log.enqueue([]*siskinv1.Record{record("c")})
	assert.ErrorIs(t, err, ErrFull)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	err = writer.log.withdraw(ctx, p)
	assert.ErrorIs(t, err, ErrWithdrawn)
	assert.Assert(t, IsNotDurable(err))
	writer.log.options.MaxPendingBytes = 1
	_, err = writer.log.enqueue([]*siskinv1.Record{record("d")})
	assert.ErrorIs(t, err, ErrFull)
}

// Guards against a log that continues at the same sequence after a write whose outcome stayed unknown.
func TestUnknownOutcomeEndsTheLog(t *testing.T) {
	sim := newSimulation()
	writer := sim.takeOver()
	p, err := writer.log.enqueue([]*siskinv1.Record{record("a")})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	writer.faults.SetBefore(func(int) { cancel() })
	writer.faults.SetPartitioned(true)
	assert.Assert(t, !writer.log.commitNext(ctx))
	assert.ErrorIs(t, <-p.done, ErrUnknown)
	assert.ErrorIs(t, writer.log.Err(), ErrUnknown)
	writer.faults.SetPartitioned(false)
	_, err = writer.log.enqueue([]*siskinv1.Record{record("b")})
	assert.ErrorIs(t, err, ErrClosed)
}

// Guards against commits that are closer than the interval, and against Close losing pending appends.
func TestAppendsShareCommitsAndCloseFlushes(t *testing.T) {
	fake := clock.NewFake(time.Unix(1000, 0))
	store := standin.NewStore(fake)
	var applied []string
	log, err := Open(context.Background(), Options{
		Store: store, Clock: fake, Shard: testShard, Writer: "vm1", Epoch: 1,
		Apply: func(r *siskinv1.Record) { applied = append(applied, r.GetJobCancelled().GetId()) },
	})
	assert.NilError(t, err)
	assert.NilError(t, log.Append(context.Background(), record("a")))
	writes := store.Counts().Writes
	results := make(chan error, 10)
	for i := range 10 {
		go func() { results <- log.Append(context.Background(), record(fmt.Sprintf("b%d", i))) }()
	}
	for waiting := 0; waiting < 10; runtime.Gosched() {
		log.mu.Lock()
		waiting = log.pendingCount
		log.mu.Unlock()
	}
	assert.Equal(t, store.Counts().Writes, writes)
	log.Close()
	for range 10 {
		assert.NilError(t, <-results)
	}
	assert.Equal(t, store.Counts().Writes, writes+1)
	assert.Equal(t, len(applied), 12) // the fence, a, and ten more
	assert.ErrorIs(t, log.Append(context.Background(), record("late")), ErrClosed)
}

// Guards against records lost or duplicated when snapshots are written during concurrent appends; run with -race.
func TestConcurrentAppendsAndSnapshots(t *testing.T) {
	const appenders, each = 8, 20
	store := standin.NewStore(clock.Real{})
	var mu sync.Mutex // guards state
	var state []string
	options := Options{
		Store: store, Clock: clock.Real{}, Shard: testShard, Writer: "vm1", Epoch: 1,
		CommitInterval: time.Millisecond, SnapshotEntries: 2,
	}
	options.Apply = func(r *siskinv1.Record) {
		mu.Lock()
		defer mu.Unlock()
		if id := r.GetJobCancelled().GetId(); id != "" {
			state = append(state, id)
		}
	}
	options.Snapshot = func() []*siskinv1.Record {
		mu.Lock()
		defer mu.Unlock()
		var records []*siskinv1.Record
		for _, id := range state {
			records = append(records, record(id))
		}
		return records
	}
	log, err := Open(context.Background(), options)
	assert.NilError(t, err)
	var group sync.WaitGroup
	for i := range appenders {
		group.Go(func() {
			for j := range each {
				assert.Check(t, log.Append(context.Background(), record(fmt.Sprintf("%d-%d", i, j))))
			}
		})
	}
	group.Wait()
	log.Close()
	assert.ErrorIs(t, log.Err(), ErrClosed)
	_, err = store.Get(context.Background(), HeadKey(testShard))
	assert.NilError(t, err)
	state, options.Epoch = nil, 2
	second, err := Open(context.Background(), options)
	assert.NilError(t, err)
	second.Close()
	seen := map[string]bool{}
	for _, id := range state {
		seen[id] = true
	}
	assert.Equal(t, len(state), appenders*each)
	assert.Equal(t, len(seen), appenders*each)
}

package shardlog

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/faultstore"
	"siskinstack.example/siskinstack/storeclient"
)

// Guards against records lost, duplicated or wrongly refused, and against a store that is called at full rate, when the
// store is down for 30 minutes while appends continue.
func TestThirtyMinutesOfOutage(t *testing.T) {
	const outage, step = 30 * time.Minute, 100 * time.Millisecond
	sim := newSimulation()
	faults := faultstore.New(sim.inner, sim.line.Advance)
	random := func() float64 { return 0.5 }
	client := storeclient.New(faults, storeclient.Options{Clock: sim.clock, Random: random})
	defer client.Close()
	log, err := load(context.Background(), Options{
		Store: client.For(storeclient.KindLog), Clock: sim.clock, Shard: testShard, Writer: "vm1", Epoch: 1,
		Apply: func(*siskinv1.Record) {}, Random: random,
	})
	assert.NilError(t, err)
	inFlight, err := log.enqueue([]*siskinv1.Record{record("in-flight")})
	assert.NilError(t, err)

	ended := sim.line.Elapsed() + outage
	faults.SetPartitioned(true)
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	during, refused := 0, 0
	faults.SetBefore(func(int) {
		during++
		sim.line.Advance(step)
		p, err := log.enqueue([]*siskinv1.Record{record("during")})
		assert.NilError(t, err)
		if IsNotDurable(log.withdraw(canceled, p)) {
			refused++
		}
		if sim.line.Elapsed() >= ended {
			faults.SetBefore(nil)
			faults.SetPartitioned(false)
		}
	})
	assert.Assert(t, log.commitNext(context.Background()))
	assert.NilError(t, <-inFlight.done)
	assert.Equal(t, refused, during)
	assert.Assert(t, during < int(outage/time.Second), "%d calls during the outage", during)

	after, err := log.enqueue([]*siskinv1.Record{record("after")})
	assert.NilError(t, err)
	assert.Assert(t, log.commitNext(context.Background()))
	assert.NilError(t, <-after.done)
	assert.DeepEqual(t, sim.takeOver().ids, []string{"in-flight", "after"})
}

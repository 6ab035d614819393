package demo

import (
	"context"
	"fmt"
	"maps"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/standin"
	"siskinstack.example/siskinstack/standin/site"
)

const (
	// settleTime lets the load reach the state that is measured, measureTime is the length of each measurement.
	settleTime  = 3 * time.Second
	measureTime = 12 * time.Second
	// peakSubmitters hand batches in besides the load of the demo, so that every shard has records to commit all the time.
	peakSubmitters = 6
)

// BenchmarkStoreLoad measures the calls that the store of a whole site sees a second, without load and with the load of
// the demo and more work. Open watches count as one call each.
func BenchmarkStoreLoad(b *testing.B) {
	for b.Loop() {
		measureStoreLoad(b)
	}
}

func measureStoreLoad(b *testing.B) {
	ctx, cancel := context.WithTimeout(b.Context(), time.Minute)
	defer cancel()
	r, err := newRun(ctx, site.Jadeleaf(), startDaemon)
	assert.NilError(b, err)
	defer r.close()
	for _, step := range []func(*run, context.Context) (string, error){(*run).stepReady, (*run).stepBundle, (*run).stepKeys} {
		_, err = step(r, ctx)
		assert.NilError(b, err)
	}
	reportStore(ctx, b, r, "idle")
	for _, step := range []func(*run, context.Context) (string, error){(*run).stepRequests, (*run).stepWork} {
		_, err = step(r, ctx)
		assert.NilError(b, err)
	}
	for i := range peakSubmitters {
		r.load = append(r.load, startBackground(ctx, func(ctx context.Context) { r.submitPeak(ctx, i) }))
	}
	reportStore(ctx, b, r, "peak")
	b.ReportMetric(0, "ns/op")
}

// submitPeak hands in batches of one team without pause.
func (r *run) submitPeak(ctx context.Context, i int) {
	team := r.cluster.site.Teams[i].Name
	for n := i; ctx.Err() == nil; n++ {
		spec := &siskinv1.WorkSpec{
			Kind: siskinv1.WorkKind_WORK_KIND_BATCH, Count: 5, Command: []string{"sleep", "200ms"},
			Each: &siskinv1.Resources{MilliCpu: core, MemoryBytes: gib},
		}
		_, _ = r.submit(context.WithoutCancel(ctx), n, team, r.key(team), spec)
		pause(ctx, 20*time.Millisecond)
	}
}

func reportStore(ctx context.Context, b *testing.B, r *run, name string) {
	pause(ctx, settleTime)
	before, runs, processor, began := r.cluster.platform.Store.Counts(), len(r.cluster.platform.Workers.Runs()), processorTime(), time.Now()
	kinds := maps.Clone(before.Kinds)
	pause(ctx, measureTime)
	after := r.cluster.platform.Store.Counts()
	seconds := time.Since(began).Seconds()
	rate := func(n int64) float64 { return float64(n) / seconds }
	b.ReportMetric(rate(after.Writes-before.Writes), name+"-writes/s")
	b.ReportMetric(rate(after.Reads-before.Reads+after.Watches-before.Watches), name+"-reads/s")
	for _, kind := range []standin.StoreCall{
		standin.CallGet, standin.CallList, standin.CallPut, standin.CallDelete, standin.CallRenew, standin.CallWatch,
	} {
		b.ReportMetric(rate(after.Kinds[kind]-kinds[kind]), fmt.Sprintf("%s-%s/s", name, kind))
	}
	b.ReportMetric(rate(int64(len(r.cluster.platform.Workers.Runs())-runs)), name+"-starts/s")
	b.ReportMetric((processorTime()-processor).Seconds()/seconds, name+"-cores-of-all")
}

// processorTime is the time that this process has used on all cores.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

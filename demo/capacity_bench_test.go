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
	// settleTime lets the load reach a steady state; measureTime is the length of each measurement.
	settleTime  = 3 * time.Second
	measureTime = 12 * time.Second
	// peakSubmitters submit batches besides the load of the demo, so that every shard always has records to commit.
	peakSubmitters = 6
	// deletionTime covers a snapshot, which is taken after 1,024 commits of 70 ms, and the deletions after it.
	deletionTime = 110 * time.Second
	// deletionSample is the length of the intervals of which the busiest is reported.
	deletionSample = 5 * time.Second
)

// BenchmarkStoreLoad measures the calls a second that the store of a whole site receives, without load and with the
// load of the demo and additional batches. Open watches count as one call each.
func BenchmarkStoreLoad(b *testing.B) {
	for b.Loop() {
		measureStoreLoad(b)
	}
}

// BenchmarkStoreDeletions measures the writes of the same load over a period that includes the deletions after
// snapshots: their mean, and the busiest 5 s.
func BenchmarkStoreDeletions(b *testing.B) {
	for b.Loop() {
		ctx, cancel := context.WithTimeout(b.Context(), 3*time.Minute)
		r := startLoaded(ctx, b, func(*run) {})
		store := r.cluster.platform.Store
		pause(ctx, settleTime)
		first, busiest, began := store.Counts().Writes, int64(0), time.Now()
		for time.Since(began) < deletionTime {
			before := store.Counts().Writes
			pause(ctx, deletionSample)
			busiest = max(busiest, store.Counts().Writes-before)
		}
		after := store.Counts()
		b.ReportMetric(float64(after.Writes-first)/time.Since(began).Seconds(), "mean-writes/s")
		b.ReportMetric(float64(busiest)/deletionSample.Seconds(), "busiest-writes/s")
		b.ReportMetric(float64(after.Kinds[standin.CallDelete]), "deletions")
		b.ReportMetric(0, "ns/op")
		cancel()
		r.close()
	}
}

func measureStoreLoad(b *testing.B) {
	ctx, cancel := context.WithTimeout(b.Context(), time.Minute)
	defer cancel()
	r := startLoaded(ctx, b, func(r *run) { reportStore(ctx, b, r, "idle") })
	defer r.close()
	reportStore(ctx, b, r, "peak")
	b.ReportMetric(0, "ns/op")
}

// startLoaded starts a site, calls idle, and puts it under load.
func startLoaded(ctx context.Context, b *testing.B, idle func(*run)) *run {
	r, err := newRun(ctx, site.Jadeleaf(), startDaemon)
	assert.NilError(b, err)
	for _, step := range []func(*run, context.Context) (string, error){(*run).stepReady, (*run).stepBundle, (*run).stepKeys} {
		_, err = step(r, ctx)
		assert.NilError(b, err)
	}
	idle(r)
	for _, step := range []func(*run, context.Context) (string, error){(*run).stepRequests, (*run).stepWork} {
		_, err = step(r, ctx)
		assert.NilError(b, err)
	}
	for i := range peakSubmitters {
		r.load = append(r.load, startBackground(ctx, func(ctx context.Context) { r.submitPeak(ctx, i) }))
	}
	return r
}

// submitPeak submits batches of one team, with 20 ms between two submissions.
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
	before, runs, cpu, began := r.cluster.platform.Store.Counts(), len(r.cluster.platform.Workers.Runs()), cpuTime(), time.Now()
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
	b.ReportMetric((cpuTime()-cpu).Seconds()/seconds, name+"-cores-of-all")
}

// cpuTime returns the user and system time that this process has used on all cores.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

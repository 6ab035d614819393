package storeclient

import (
	"context"
	"errors"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"gotest.tools/v3/assert"

	"siskinstack.example/siskinstack/clock"
	"siskinstack.example/siskinstack/faultstore"
	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/standin"
)

var start = time.Unix(1000, 0)

type fixture struct {
	clock  *clock.Stepping
	inner  *standin.Store
	faults *faultstore.Store
	client *Client
}

func newFixture(t *testing.T, options Options) *fixture {
	t.Helper()
	line := &clock.TimeLine{}
	f := &fixture{clock: clock.NewStepping(line, start, 1)}
	f.inner = standin.NewStore(f.clock)
	f.faults = faultstore.New(f.inner, line.Advance)
	options.Clock = f.clock
	options.Random = func() float64 { return 0.5 }
	f.client = New(f.faults, options)
	t.Cleanup(f.client.Close)
	return f
}

// Guards against a wrapper that turns a known outcome into an unknown one, or the reverse.
func TestErrorsKeepTheirIdentity(t *testing.T) {
	f := newFixture(t, Options{})
	store := f.client.For(KindLog)
	ctx := context.Background()
	_, err := store.Get(ctx, "a")
	assert.ErrorIs(t, err, infra.ErrNotFound)
	f.faults.InjectFaults(faultstore.Fault{LoseResponse: true})
	_, err = store.Put(ctx, infra.PutRequest{Key: "a"})
	assert.Assert(t, err != nil && !errors.Is(err, infra.ErrNotSent))
	_, err = store.Put(ctx, infra.PutRequest{Key: "a"})
	assert.ErrorIs(t, err, infra.ErrConflict)
	assert.ErrorIs(t, store.RenewLease(ctx, 99), infra.ErrLeaseExpired)
}

// Guards against a call that is refused by the rate limit but still reaches the store.
func TestRateLimitedCallIsNotSent(t *testing.T) {
	f := newFixture(t, Options{WritesPerSecond: 1})
	store := f.client.For(KindSnapshot)
	_, err := store.Put(context.Background(), infra.PutRequest{Key: "a"})
	assert.NilError(t, err)
	f.client.limiter.tokens[classWrite] = -1e9
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = store.Put(ctx, infra.PutRequest{Key: "b"})
	assert.ErrorIs(t, err, infra.ErrNotSent)
	assert.Equal(t, f.faults.Calls(), 1)
}

// Guards against a store that is down being called at the full rate, and against renewals being refused meanwhile.
func TestOutageOpensTheCircuit(t *testing.T) {
	f := newFixture(t, Options{})
	f.faults.SetPartitioned(true)
	ctx := context.Background()
	refused := 0
	for range 300 {
		_, err := f.client.For(KindLog).Get(ctx, "a")
		if errors.Is(err, ErrDown) {
			assert.ErrorIs(t, err, infra.ErrNotSent)
			refused++
		}
		_ = f.clock.Sleep(ctx, 100*time.Millisecond)
	}
	assert.Equal(t, f.client.State().Condition, Down)
	assert.Assert(t, f.faults.Calls() < 60, "30 s of outage sent %d calls", f.faults.Calls())
	assert.Assert(t, refused > 200)
	sent := f.faults.Calls()
	_ = f.client.For(KindLease).RenewLease(ctx, 1)
	assert.Equal(t, f.faults.Calls(), sent+1)
	f.faults.SetPartitioned(false)
	_ = f.clock.Sleep(ctx, probeMaximum)
	_, err := f.client.For(KindLog).Get(ctx, "a")
	assert.ErrorIs(t, err, infra.ErrNotFound)
	assert.Equal(t, f.client.State().Condition, Healthy)
	assert.Equal(t, f.client.State().LastResponse, f.clock.Now())
}

// Guards against a slow store being classified as down, which would stop all writes.
func TestSlowIsNotDown(t *testing.T) {
	f := newFixture(t, Options{})
	for range 20 {
		f.faults.InjectFaults(faultstore.Fault{Before: 400 * time.Millisecond})
		_, err := f.client.For(KindLog).Get(context.Background(), "a")
		assert.ErrorIs(t, err, infra.ErrNotFound)
	}
	assert.Equal(t, f.client.State().Condition, Slow)
}

// Guards against snapshots delaying the log when the rate is exhausted.
func TestHigherPriorityIsAdmittedFirst(t *testing.T) {
	fake := clock.NewFake(start)
	l := newLimiter(Options{Clock: fake, WritesPerSecond: 1}.withDefaults())
	l.tokens[classWrite] = 0
	admitted := make(chan Kind, 2)
	ctx := t.Context()
	for _, kind := range []Kind{KindSnapshot, KindLog} {
		go func() {
			if l.acquire(ctx, ctx, kind, classWrite, true) {
				admitted <- kind
			}
		}()
		for waiting := 0; waiting == 0; runtime.Gosched() {
			l.mu.Lock()
			waiting = len(l.waiting[kind])
			l.mu.Unlock()
		}
	}
	for _, want := range []Kind{KindLog, KindSnapshot} {
		for fake.Waiters() == 0 {
			runtime.Gosched()
		}
		fake.Advance(time.Second)
		assert.Equal(t, <-admitted, want)
	}
}

// Guards against the full load returning at once after an outage.
func TestConcurrencyReturnsGradually(t *testing.T) {
	line := &clock.TimeLine{}
	l := newLimiter(Options{Clock: clock.NewStepping(line, start, 1), MaxConcurrent: 16}.withDefaults())
	for range 10 {
		line.Advance(time.Second)
		l.adapt(false)
	}
	assert.Equal(t, l.limit, 1.0)
	for range 20 {
		l.adapt(true)
	}
	assert.Assert(t, l.limit > 4 && l.limit < 8, "limit %v after 20 responses", l.limit)
}

// Guards against calls, including open watches, that are not counted.
func TestEveryCallIsCounted(t *testing.T) {
	registry := prometheus.NewRegistry()
	f := newFixture(t, Options{Registerer: registry})
	_, _ = f.client.For(KindConfig).Watch(context.Background(), infra.WatchRequest{Prefix: "config/"})
	_, _ = f.client.For(KindClaim).Get(context.Background(), "a")
	calls := f.client.metrics.calls
	assert.Equal(t, testutil.ToFloat64(calls.WithLabelValues("config", "watch", "ok")), 1.0)
	assert.Equal(t, testutil.ToFloat64(calls.WithLabelValues("claim", "get", "refused")), 1.0)
}

// Guards against more calls in flight than allowed, and against slots that are not released; run with -race.
func TestConcurrencyIsBounded(t *testing.T) {
	const bound, callers = 4, 32
	inner := faultstore.New(standin.NewStore(clock.Real{}), nil)
	client := New(inner, Options{MaxConcurrent: bound, ReadsPerSecond: 1e6})
	defer client.Close()
	var inFlight, most atomic.Int64
	inner.SetBefore(func(int) {
		now := inFlight.Add(1)
		defer inFlight.Add(-1)
		for seen := most.Load(); now > seen && !most.CompareAndSwap(seen, now); seen = most.Load() {
		}
		runtime.Gosched()
	})
	var group sync.WaitGroup
	for range callers {
		group.Go(func() {
			_, err := client.For(KindLog).Get(context.Background(), "a")
			assert.Check(t, errors.Is(err, infra.ErrNotFound))
		})
	}
	group.Wait()
	assert.Assert(t, most.Load() <= bound)
	assert.Equal(t, inner.Calls(), callers)
	assert.Equal(t, client.limiter.inFlight, 0)
}

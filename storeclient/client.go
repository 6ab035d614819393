package storeclient

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"siskinstack.example/siskinstack/clock"
	"siskinstack.example/siskinstack/infra"
)

const (
	// defaultWrites and defaultReads are the rates per second of one VM. They exceed an even share of the system's
	// budget of 100 writes and 400 reads per second, because one VM may own most shards for a while.
	defaultWrites = 50
	defaultReads  = 150
	// burstSeconds is how many seconds of unused rate are kept for a burst.
	burstSeconds = 0.5
	// defaultConcurrent bounds the calls in flight, not counting watches and lease calls.
	defaultConcurrent = 16
	// defaultTimeout bounds one call. It is half of what remains of a lease after its first missed renewal.
	defaultTimeout = time.Second
)

// Options configures a client. Zero values select defaults.
type Options struct {
	Clock           clock.Clock
	Registerer      prometheus.Registerer
	Random          func() float64
	WritesPerSecond float64
	ReadsPerSecond  float64
	MaxConcurrent   int
	CallTimeout     time.Duration
}

// Client sends calls to one store. It limits their rate, number and duration, and counts them.
type Client struct {
	store   infra.Store
	options Options
	limiter *limiter
	health  *health
	metrics *metrics
	baseCtx context.Context
	stop    context.CancelFunc
}

// New returns a client for store.
func New(store infra.Store, options Options) *Client {
	options = options.withDefaults()
	c := &Client{store: store, options: options, limiter: newLimiter(options)}
	c.health = newHealth(options.Clock, options.Random)
	c.metrics = newMetrics(options.Registerer, c)
	c.baseCtx, c.stop = context.WithCancel(context.Background())
	return c
}

func (o Options) withDefaults() Options {
	if o.Clock == nil {
		o.Clock = clock.Real{}
	}
	if o.Random == nil {
		o.Random = rand.Float64
	}
	if o.WritesPerSecond <= 0 {
		o.WritesPerSecond = defaultWrites
	}
	if o.ReadsPerSecond <= 0 {
		o.ReadsPerSecond = defaultReads
	}
	if o.MaxConcurrent <= 0 {
		o.MaxConcurrent = defaultConcurrent
	}
	if o.CallTimeout <= 0 {
		o.CallTimeout = defaultTimeout
	}
	return o
}

// Close makes all waiting and later calls fail with infra.ErrNotSent.
func (c *Client) Close() { c.stop() }

// State returns the health of the store.
func (c *Client) State() State { return c.health.state() }

// For returns the store for calls of one kind.
func (c *Client) For(kind Kind) infra.Store { return &kindStore{client: c, kind: kind} }

// call describes one call to the store.
type call struct {
	name    string
	class   class
	timeout time.Duration // in addition to Options.CallTimeout
	watch   bool
}

// do waits for admission of a call, sends it, and records its result.
func (c *Client) do(ctx context.Context, kind Kind, op call, send func(context.Context) error) error {
	timeout := op.timeout + c.options.CallTimeout
	bounded, cancel := clock.WithTimeout(ctx, c.options.Clock, timeout)
	defer cancel()
	if err := c.admit(bounded, kind, op); err != nil {
		c.metrics.count(kind, op.name, resultNotSent)
		return err
	}
	started := c.options.Clock.Now()
	err := send(bounded)
	c.finish(ctx, kind, op, started, err)
	return err
}

func (c *Client) admit(ctx context.Context, kind Kind, op call) error {
	if c.baseCtx.Err() != nil {
		return notSent(errors.New("client is closed"))
	}
	if !c.health.admit(kind) {
		return notSent(ErrDown)
	}
	if !c.limiter.acquire(ctx, c.baseCtx, kind, op.class, !op.watch) {
		return notSent(contextReason(ctx))
	}
	if ctx.Err() != nil {
		c.limiter.release(kind, !op.watch)
		return notSent(ctx.Err())
	}
	return nil
}

func (c *Client) finish(ctx context.Context, kind Kind, op call, started time.Time, err error) {
	took := c.options.Clock.Now().Sub(started)
	outcome := resultOf(err, ctx.Err() != nil)
	c.metrics.count(kind, op.name, outcome)
	switch {
	case outcome == resultOK || outcome == resultRefused:
		c.health.responded(took, !op.watch)
		c.limiter.adapt(true)
	case outcome != resultCanceled || took >= c.options.CallTimeout/2:
		// A call ended by its caller's context counts as a failure of the store if it lasted at least half of
		// CallTimeout: then the caller's own deadline passed without a response, unlike with an early cancellation.
		c.health.failed(took)
		c.limiter.adapt(false)
	}
	if !op.watch {
		c.metrics.observe(kind, took)
	}
	c.limiter.release(kind, !op.watch)
}

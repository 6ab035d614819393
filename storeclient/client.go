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
	// defaultWrites and defaultReads are the rates of one VM. They exceed the even part of the system's budget of 100
	// writes and 400 reads a second, because one VM may own most shards for a while.
	defaultWrites = 50
	defaultReads  = 150
	// burstSeconds is how much unused rate is kept for a burst.
	burstSeconds = 0.5
	// defaultConcurrent bounds the calls in flight, watches and lease calls excepted.
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

// Client admits, bounds and counts the calls to one store.
type Client struct {
	store   infra.Store
	options Options
	gate    *gate
	health  *health
	metrics *metrics
	life    context.Context
	stop    context.CancelFunc
}

// New returns a client for store.
func New(store infra.Store, options Options) *Client {
	options = options.withDefaults()
	c := &Client{store: store, options: options, gate: newGate(options)}
	c.health = newHealth(options.Clock, options.Random)
	c.metrics = newMetrics(options.Registerer, c)
	c.life, c.stop = context.WithCancel(context.Background())
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

// Close refuses all waiting and later calls with infra.ErrNotSent.
func (c *Client) Close() { c.stop() }

// State returns the health of the store.
func (c *Client) State() State { return c.health.state() }

// For returns the store for calls of one kind.
func (c *Client) For(kind Kind) infra.Store { return &view{client: c, kind: kind} }

// call describes one call to the store.
type call struct {
	name    string
	class   class
	timeout time.Duration
	watch   bool
}

// do admits a call, sends it, and records what came back.
func (c *Client) do(ctx context.Context, kind Kind, what call, send func(context.Context) error) error {
	timeout := what.timeout + c.options.CallTimeout
	bounded, cancel := clock.WithTimeout(ctx, c.options.Clock, timeout)
	defer cancel()
	if err := c.admit(bounded, kind, what); err != nil {
		c.metrics.count(kind, what.name, resultNotSent)
		return err
	}
	started := c.options.Clock.Now()
	err := send(bounded)
	c.finish(ctx, kind, what, started, err)
	return err
}

func (c *Client) admit(ctx context.Context, kind Kind, what call) error {
	if c.life.Err() != nil {
		return notSent(errors.New("client is closed"))
	}
	if !c.health.admit(kind) {
		return notSent(ErrDown)
	}
	if !c.gate.enter(ctx, c.life, kind, what.class, !what.watch) {
		return notSent(contextReason(ctx))
	}
	if ctx.Err() != nil {
		c.gate.leave(kind, !what.watch)
		return notSent(ctx.Err())
	}
	return nil
}

func (c *Client) finish(ctx context.Context, kind Kind, what call, started time.Time, err error) {
	took := c.options.Clock.Now().Sub(started)
	outcome := resultOf(err, ctx.Err() != nil)
	c.metrics.count(kind, what.name, outcome)
	switch {
	case outcome == resultOK || outcome == resultRefused:
		c.health.answered(took, !what.watch)
		c.gate.adapt(true)
	case outcome != resultCanceled || took >= c.options.CallTimeout/2:
		// A caller with a deadline of its own that waited this long has seen the store fail, not changed its mind.
		c.health.failed(took)
		c.gate.adapt(false)
	}
	if !what.watch {
		c.metrics.observe(kind, took)
	}
	c.gate.leave(kind, !what.watch)
}

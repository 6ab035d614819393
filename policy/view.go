package policy

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"siskinstack.example/siskinstack/clock"
	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/maintenance"
)

const (
	// watchWait is how long the store holds a watch open. A response confirms the state at the time its watch was sent,
	// so the view's age reaches twice this plus the latency of two calls. That is below the three seconds after which
	// keys are no longer accepted.
	watchWait = time.Second
	// watchSlack is added to watchWait to get the timeout of the call.
	watchSlack = 600 * time.Millisecond
	// retryDelay is the delay after a failed call. It doubles up to maxRetryDelay while calls fail, because the store may
	// be down for seconds and each call is priced even then.
	retryDelay    = 100 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
)

// Codec decodes the entries that operators write.
type Codec struct {
	Prefix string
	// IsPolicy reports whether a key holds the configuration; Decode decodes its value.
	IsPolicy func(key string) bool
	Decode   func(value []byte) (*Policy, error)
	// Evacuated returns the availability zone that a key requests to evacuate, and false for other keys.
	Evacuated func(key string) (string, bool)
	// IsWave reports whether a key requests a maintenance wave; DecodeWave decodes its value. Both are nil if maintenance
	// waves are not supported.
	IsWave     func(key string) bool
	DecodeWave func(value []byte) (maintenance.Wave, error)
}

// View watches the configuration in the store.
type View struct {
	store infra.TxnStore
	clock clock.Clock
	log   logr.Logger
	codec Codec

	mu        sync.Mutex // guards all fields below
	policy    *Policy
	evacuated map[string]bool
	// waves are the requested maintenance waves by key.
	waves map[string]maintenance.Wave
	// confirmedAt is when the view was last known to be up to date.
	confirmedAt  time.Time
	disconnected bool
}

// NewView returns an empty view. Run fills it.
func NewView(store infra.TxnStore, c clock.Clock, log logr.Logger, codec Codec) *View {
	return &View{store: store, clock: c, log: log, codec: codec, evacuated: map[string]bool{}, waves: map[string]maintenance.Wave{}}
}

// Current returns the configuration in force, or nil.
func (v *View) Current() *Policy {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.policy
}

// Evacuated returns the evacuated availability zones.
func (v *View) Evacuated() map[string]bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.evacuated
}

// Waves returns the requested maintenance waves in the order of their numbers.
func (v *View) Waves() []maintenance.Wave {
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.SortedFunc(maps.Values(v.waves), func(a, b maintenance.Wave) int { return cmp.Compare(a.Number, b.Number) })
}

// Age returns how long ago the view was last known to be up to date.
func (v *View) Age() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.clock.Now().Sub(v.confirmedAt)
}

// Run keeps the view up to date until ctx ends.
func (v *View) Run(ctx context.Context) {
	delay := retryDelay
	for ctx.Err() == nil {
		sent := v.clock.Now()
		call, cancel := context.WithTimeout(ctx, watchWait+watchSlack)
		listing, err := v.store.List(call, v.codec.Prefix)
		cancel()
		if err != nil {
			v.setDisconnected(err)
			_ = v.clock.Sleep(ctx, delay)
			delay = min(2*delay, maxRetryDelay)
			continue
		}
		delay = retryDelay
		v.replace(listing.Entries, sent)
		v.watch(ctx, listing.Revision)
	}
}

// watch applies changes until a watch fails. Changes may then be missed, so Run lists all entries again.
func (v *View) watch(ctx context.Context, after infra.Revision) {
	for ctx.Err() == nil {
		sent := v.clock.Now()
		call, cancel := context.WithTimeout(ctx, watchWait+watchSlack)
		result, err := v.store.Watch(call, infra.WatchRequest{Prefix: v.codec.Prefix, After: after, Wait: watchWait})
		cancel()
		if err != nil {
			v.setDisconnected(err)
			_ = v.clock.Sleep(ctx, retryDelay)
			return
		}
		after = result.Revision
		v.apply(result.Events, sent)
	}
}

func (v *View) setDisconnected(err error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.disconnected {
		v.log.Info("configuration not followed", "reason", err.Error())
	}
	v.disconnected = true
}

func (v *View) replace(entries []infra.KeyValue, sent time.Time) {
	events := make([]infra.Event, 0, len(entries))
	for _, entry := range entries {
		events = append(events, infra.Event{KeyValue: entry})
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.evacuated, v.waves = map[string]bool{}, map[string]maintenance.Wave{}
	v.applyEvents(events, sent)
}

func (v *View) apply(events []infra.Event, sent time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.applyEvents(events, sent)
}

// applyEvents applies changes that were current when a call was sent. The caller holds mu.
func (v *View) applyEvents(events []infra.Event, sent time.Time) {
	for _, event := range events {
		v.applyEvent(event)
	}
	v.confirmedAt = sent
	if v.disconnected {
		v.disconnected = false
		v.log.Info("configuration followed again")
	}
}

// applyEvent applies a change of one key. The caller holds mu.
func (v *View) applyEvent(event infra.Event) {
	if zone, ok := v.codec.Evacuated(event.Key); ok {
		v.evacuated = maps.Clone(v.evacuated)
		if event.Deleted {
			delete(v.evacuated, zone)
		} else {
			v.evacuated[zone] = true
		}
		v.log.Info("evacuation", "zone", zone, "in_force", !event.Deleted)
		return
	}
	if v.codec.IsWave != nil && v.codec.IsWave(event.Key) {
		v.applyWave(event)
		return
	}
	if !v.codec.IsPolicy(event.Key) || event.Deleted {
		return
	}
	next, err := v.codec.Decode(event.Value)
	if err != nil {
		v.log.Error(err, "cannot decode configuration; keeping the one in force")
		return
	}
	// A version is never replaced by an older one, in whatever order responses arrive.
	if v.policy != nil && next.Version < v.policy.Version {
		return
	}
	if v.policy == nil || next.Version != v.policy.Version {
		v.log.Info("configuration in force", "version", next.Version, "queues", len(next.Queues), "teams", len(next.Teams))
	}
	if v.policy != nil {
		for team, keys := range v.policy.RemovedKeys(next) {
			v.log.Info("keys removed", "version", next.Version, "team", team, "keys", keys)
		}
	}
	v.policy = next
}

// applyWave applies a change or deletion of a request for a maintenance wave. The caller holds mu.
func (v *View) applyWave(event infra.Event) {
	if event.Deleted {
		delete(v.waves, event.Key)
		return
	}
	wave, err := v.codec.DecodeWave(event.Value)
	if err != nil {
		v.log.Error(err, "cannot decode maintenance wave; ignoring it", "key", event.Key)
		return
	}
	v.waves[event.Key] = wave
}

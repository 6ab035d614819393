package configstore

import (
	"context"
	"errors"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/clock"
	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/telemetry"
)

const (
	// RetainedVersions is the number of the newest signed versions whose proposals are kept.
	RetainedVersions = 20
	// TombstoneRetention is how long a withdrawn key is kept. It is far beyond the deadline of any call that could still write
	// the key, and beyond any error of a VM's wall clock that goes unnoticed.
	TombstoneRetention = 24 * time.Hour
	// purgeBatch is the maximum number of proposals, and of tombstones, in one run. At 4,500 changes a day each run finds one
	// or two new ones, so a backlog shrinks.
	purgeBatch = 64
	// purgeInterval is the shortest time between two runs. It is below the 19 s between two changes at 4,500 changes a day.
	purgeInterval = 10 * time.Second
	// purgeTimeout bounds a run. Two full batches take about 260 store calls of a few milliseconds each, which have a lower
	// priority than all other calls.
	purgeTimeout = 30 * time.Second
)

// VerifiedConfig is the configuration that a VM has verified.
type VerifiedConfig interface {
	BundleVersion() int64
	Keys() []*siskinv1.TeamKey
}

// PurgerOptions configure a purger.
type PurgerOptions struct {
	Store  infra.Store
	Clock  clock.Clock
	Logger logr.Logger
	// Config returns the newest configuration of this VM. Its bundle version has been verified, so a forged value in the
	// store can't make the purger delete proposals that are still needed.
	Config func() VerifiedConfig
	// Registerer registers the counters; nil leaves them unregistered.
	Registerer prometheus.Registerer
}

// Purger deletes old proposals and old tombstones of withdrawn keys after changes of the configuration. Several VMs may
// purge at once: every deletion expects the revision that was read, and repeating one has no effect.
type Purger struct {
	options  PurgerOptions
	counters *purgeCounters
	changed  chan struct{}
}

// NewPurger returns a purger that does nothing before Run.
func NewPurger(options PurgerOptions) *Purger {
	return &Purger{options: options, counters: newPurgeCounters(options.Registerer), changed: make(chan struct{}, 1)}
}

// Notify requests a run. Requests that follow each other closely cause one run.
func (p *Purger) Notify() {
	select {
	case p.changed <- struct{}{}:
	default:
	}
}

// Run purges after each Notify until ctx ends.
func (p *Purger) Run(ctx context.Context) {
	for {
		select {
		case <-p.changed:
			p.runOnce(ctx)
		case <-ctx.Done():
			return
		}
		if p.options.Clock.Sleep(ctx, purgeInterval) != nil {
			return
		}
	}
}

func (p *Purger) runOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, purgeTimeout)
	defer cancel()
	if err := p.Purge(ctx); err != nil && ctx.Err() == nil {
		p.counters.failures.Inc()
		p.options.Logger.V(1).Info("purge of the configuration failed; it continues after the next change", "reason", err.Error())
	}
}

// Purge deletes one batch of old proposals and one of old tombstones. After an error, the next call continues the purge.
func (p *Purger) Purge(ctx context.Context) error {
	config := p.options.Config()
	return errors.Join(p.purgeProposals(ctx, config.BundleVersion()-RetainedVersions), p.purgeTombstones(ctx, config.Keys()))
}

// purgeProposals deletes proposals up to a version. The mark in the store is advanced after the deletions, so no version is
// skipped when a run ends early. A proposal written by a process that was paused for 20 versions can remain below the mark;
// it can be neither reviewed nor signed, because a later version is in force.
func (p *Purger) purgeProposals(ctx context.Context, last int64) error {
	if last < 1 {
		return nil
	}
	mark := &siskinv1.PurgeMark{}
	// A mark that can't be decoded is replaced; the purge then begins with the first version again.
	revision, err := Read(ctx, p.options.Store, purgeMark, mark)
	if err != nil && revision == 0 {
		return err
	}
	first := max(1, mark.GetNextVersion())
	next := first
	for next <= last && next < first+purgeBatch {
		var removed bool
		if removed, err = p.remove(ctx, Proposal(next), func([]byte) bool { return true }); err != nil {
			break
		}
		if removed {
			p.counters.proposals.Inc()
		}
		next++
	}
	if next == first {
		return err
	}
	value, encodeErr := Encode(&siskinv1.PurgeMark{NextVersion: next})
	if encodeErr != nil {
		return encodeErr
	}
	// A conflict means that another VM has purged in the meantime. Both marks are correct.
	markErr := Apply(ctx, p.options.Store, Write{Key: purgeMark, Value: value, Expected: revision})
	return errors.Join(err, markErr)
}

// purgeTombstones deletes the tombstones of keys that were withdrawn long ago. A VM that has not seen a withdrawal does not
// accept the key after the purge either: it sees the deletion, or finds the key missing in a listing, before its view is
// fresh again.
func (p *Purger) purgeTombstones(ctx context.Context, keys []*siskinv1.TeamKey) error {
	remaining := purgeBatch
	for _, key := range keys {
		if remaining == 0 {
			return nil
		}
		if !p.isOldTombstone(key) {
			continue
		}
		remaining--
		removed, err := p.remove(ctx, TeamKey(key.GetId()), func(value []byte) bool {
			stored := &siskinv1.TeamKey{}
			return proto.Unmarshal(value, stored) == nil && p.isOldTombstone(stored)
		})
		if err != nil {
			return err
		}
		if removed {
			p.counters.tombstones.Inc()
		}
	}
	return nil
}

func (p *Purger) isOldTombstone(key *siskinv1.TeamKey) bool {
	return key.GetWithdrawn() && p.options.Clock.Now().Sub(time.UnixMilli(key.GetWithdrawnUnixMs())) > TombstoneRetention
}

// remove deletes a key if isDeletable returns true for its value, and reports whether it was deleted. A key that is missing
// after a deletion with an unknown outcome counts as deleted.
func (p *Purger) remove(ctx context.Context, key string, isDeletable func(value []byte) bool) (bool, error) {
	outcomeUnknown := false
	for range maxAttempts {
		found, err := p.options.Store.Get(ctx, key)
		switch {
		case errors.Is(err, infra.ErrNotFound):
			return outcomeUnknown, nil
		case err != nil:
			return false, eris.Wrapf(err, "read %s before its purge", key)
		case !isDeletable(found.Value):
			return false, nil
		}
		err = p.options.Store.Delete(ctx, key, found.Revision)
		switch {
		case err == nil:
			return true, nil
		case errors.Is(err, infra.ErrNotSent):
			return false, eris.Wrapf(err, "purge %s", key)
		}
		// The response was lost or another VM has changed the key; the key is read again.
		outcomeUnknown = true
	}
	return false, eris.Errorf("outcome of the purge of %s is unknown", key)
}

type purgeCounters struct {
	proposals, tombstones, failures prometheus.Counter
}

func newPurgeCounters(registerer prometheus.Registerer) *purgeCounters {
	factory := promauto.With(registerer)
	counter := func(name, help string) prometheus.Counter {
		return factory.NewCounter(prometheus.CounterOpts{Namespace: telemetry.Namespace, Subsystem: "config", Name: name, Help: help})
	}
	return &purgeCounters{
		proposals:  counter("purged_proposals_total", "Old bundle proposals deleted by this VM."),
		tombstones: counter("purged_tombstones_total", "Old tombstones of withdrawn keys deleted by this VM."),
		failures:   counter("purge_failures_total", "Runs of the purge that ended early."),
	}
}

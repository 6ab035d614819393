package configview

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"siskinstack.example/siskinstack/configstore"
	"siskinstack.example/siskinstack/infra"
)

const (
	// watchWait is how long the store holds a watch open. A confirmation counts from the time when its watch was sent, so
	// its age reaches twice this time plus the latency. 600 ms leaves 800 ms of MaxConfirmationAge for a slow store.
	watchWait = 600 * time.Millisecond
	// callTimeout is how long a poll of the store may take beyond the wait of a watch. A poll that lists the prefixes has the
	// same bound.
	callTimeout = time.Second
	// pollDelay is the time between two watches. It limits their rate during a burst of changes.
	pollDelay = 20 * time.Millisecond
	// retryDelay is the time before the next store call after a failed one.
	retryDelay = 250 * time.Millisecond
	// peerCheckInterval is the time between two checks whether the peers have to confirm the view.
	peerCheckInterval = 500 * time.Millisecond
	// peerFallbackAge is the age of the store's last confirmation above which the peers are polled.
	peerFallbackAge = 1400 * time.Millisecond
)

var errRevisionRegressed = eris.New("store revision regressed")

// remedyRegression is what an operator has to do about a store whose revision regressed.
const remedyRegression = "ask the platform's operators whether the store was restored from a backup; until it reaches " +
	"the earlier revision again, no VM applies changes from it; see docs/operations/store-outage.md"

// Run follows the configuration until ctx ends.
func (v *View) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { v.followStore(ctx) })
	loops.Go(func() { v.followPeers(ctx) })
	loops.Wait()
}

func (v *View) followStore(ctx context.Context) {
	for {
		pause := pollDelay
		if err := v.pollStore(ctx, watchWait); err != nil {
			v.counters.storeFailures.Inc()
			pause = retryDelay
		}
		if v.options.Clock.Sleep(ctx, pause) != nil {
			return
		}
	}
}

func (v *View) followPeers(ctx context.Context) {
	for {
		if v.needsPeerConfirmation() {
			v.pollPeers(ctx)
		}
		if v.options.Clock.Sleep(ctx, peerCheckInterval) != nil {
			return
		}
	}
}

func (v *View) needsPeerConfirmation() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return !v.listed || v.options.Clock.Now().Sub(v.storeConfirmed) > peerFallbackAge
}

// pollStore lists the configuration if a listing is due, and waits for changes otherwise.
func (v *View) pollStore(ctx context.Context, wait time.Duration) error {
	v.mu.Lock()
	mustList, after := v.mustList, v.completeRevision
	v.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	if mustList {
		return v.list(ctx, after)
	}
	return v.watch(ctx, wait, after)
}

// list replaces the entries by listings of the store. The prefixes are listed one after the other, so the view is complete
// up to the revision of the first listing; the watch repeats what changed in between.
func (v *View) list(ctx context.Context, earlier infra.Revision) error {
	sent := v.options.Clock.Now()
	listings := make([]infra.Listing, len(prefixes))
	for i, prefix := range prefixes {
		listing, err := v.options.Store.List(ctx, prefix)
		if err != nil {
			return err
		}
		if listing.Revision < earlier {
			return v.handleRegression(listing.Revision, earlier)
		}
		listings[i] = listing
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	for i, listing := range listings {
		v.replace(prefixes[i], listing.Entries, listing.Revision)
	}
	v.counters.listings.Inc()
	v.listed = true
	v.mustList = false
	v.confirm(listings[0].Revision, sent)
	return nil
}

func (v *View) handleRegression(revision, earlier infra.Revision) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.reportRegression(revision, earlier)
}

// reportRegression counts a revision lower than an earlier one. Only the first one is logged until the store confirms the
// view again. The caller holds mu.
func (v *View) reportRegression(revision, earlier infra.Revision) error {
	v.mustList = true
	v.counters.regressions.Inc()
	err := eris.Wrapf(errRevisionRegressed, "revision %d after %d", revision, earlier)
	if !v.regressionReported {
		v.regressionReported = true
		v.options.Logger.Error(err, "store is not followed until it reaches the earlier revision again",
			"revision", int64(revision), "earlier", int64(earlier), "remedy", remedyRegression)
	}
	return err
}

// replace makes the entries of a prefix equal to a listing. The caller holds mu.
func (v *View) replace(prefix string, listed []infra.KeyValue, revision infra.Revision) {
	present := make(map[string]bool, len(listed))
	for _, kv := range listed {
		present[kv.Key] = true
		v.apply(kv.Key, kv.Value, kv.Revision)
	}
	for key := range v.entries {
		if strings.HasPrefix(key, prefix) && !present[key] {
			v.remove(key, revision)
		}
	}
}

// confirm records that the view is complete up to a revision. sent is when the call that showed it was sent. The caller
// holds mu.
func (v *View) confirm(revision infra.Revision, sent time.Time) {
	v.completeRevision = max(v.completeRevision, revision)
	v.regressionReported = false
	v.publish()
	if sent.After(v.storeConfirmed) {
		v.storeConfirmed = sent
	}
}

func (v *View) watch(ctx context.Context, wait time.Duration, after infra.Revision) error {
	sent := v.options.Clock.Now()
	result, err := v.options.Store.Watch(ctx, infra.WatchRequest{Prefix: configstore.Prefix, After: after, Wait: wait})
	v.mu.Lock()
	defer v.mu.Unlock()
	switch {
	case errors.Is(err, infra.ErrCompacted):
		v.mustList = true
		return err
	case err != nil:
		return err
	case result.Revision < after:
		return v.reportRegression(result.Revision, after)
	case hasGap(result, after):
		v.mustList = true
		return eris.Wrapf(errRevisionRegressed, "watch after %d", after)
	}
	for _, event := range result.Events {
		if event.Deleted {
			v.remove(event.Key, event.Revision)
		} else {
			v.apply(event.Key, event.Value, event.Revision)
		}
	}
	v.confirm(result.Revision, sent)
	return nil
}

// hasGap reports whether the result of a watch contradicts the requested revision or itself.
func hasGap(result infra.WatchResult, after infra.Revision) bool {
	last := after
	for _, event := range result.Events {
		if event.Revision < last || event.Revision == after {
			return true
		}
		last = event.Revision
	}
	return last > result.Revision
}

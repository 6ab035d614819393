// Package configview follows the operator configuration in the store and publishes it as immutable snapshots.
//
// A view is complete up to a store revision. It is fresh while that completeness was confirmed within the last two
// seconds, by the store or by all other entry VMs. A confirmation counts from the time at which the confirming call was
// sent, so a fresh view contains every change that was answered as done more than two seconds ago.
//
// Entries that are newer than the complete revision are known too: a VM adds its own writes at once. The other VMs fetch
// them, so a change that one VM has answered as done is not missed when the store fails right after it.
package configview

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/bundle"
	"siskinstack.example/siskinstack/clock"
	"siskinstack.example/siskinstack/infra"
)

const (
	// FreshFor is how long a confirmation keeps the view fresh.
	FreshFor = 2 * time.Second
	// maxHistory bounds the record of the versions that came into force.
	maxHistory = 64
)

// Options are what a view needs.
type Options struct {
	Store   infra.Store
	Clock   clock.Clock
	Logger  logr.Logger
	Signers bundle.Signers
	// Peers gives access to the other entry VMs.
	Peers Peers
	// Others names all other configured entry VMs.
	Others []string
	// Registerer takes the counters; nil leaves them unregistered.
	Registerer prometheus.Registerer
}

// View is the configuration as one entry VM knows it.
type View struct {
	options  Options
	counters *counters
	snapshot atomic.Pointer[Snapshot]
	// supersedes decides whether a verified bundle may replace the one in force. Only a test of the checker replaces it.
	supersedes func(inForce, candidate *siskinv1.BundleProposal) bool

	mu      sync.Mutex // guards all fields below
	entries map[string]entry
	// rejected holds the revision of the last value of a key that was not good, so that it is reported once.
	rejected map[string]infra.Revision
	// bundleDeleted is true after a report that the bundle in force is missing in the store.
	bundleDeleted bool
	// behind is true after a report that the store went back, until it confirms this view again.
	behind bool
	// complete is the revision up to which all changes are in entries.
	complete infra.Revision
	// listed is true once the store has been listed since the start of the process.
	listed bool
	// mustList is true if the watch has a gap.
	mustList       bool
	storeConfirmed time.Time
	peersConfirmed time.Time
	inForce        *siskinv1.BundleProposal
	history        []InForce
	subscribers    map[int]chan struct{}
	nextSubscriber int
	unpublished    bool
}

// entry is the last good value of a key.
type entry struct {
	value    []byte
	revision infra.Revision
	key      *siskinv1.TeamKey
	zone     *siskinv1.ZoneStatus
}

// InForce says since when a bundle version is in force on this VM.
type InForce struct {
	Version int64
	Since   time.Time
}

// New returns an empty view, which is not fresh.
func New(options Options) *View {
	v := &View{
		options:     options,
		counters:    newCounters(options.Registerer),
		supersedes:  isHigherVersion,
		entries:     map[string]entry{},
		rejected:    map[string]infra.Revision{},
		mustList:    true,
		subscribers: map[int]chan struct{}{},
	}
	v.snapshot.Store(&Snapshot{})
	return v
}

func isHigherVersion(inForce, candidate *siskinv1.BundleProposal) bool {
	return candidate.GetBundle().GetVersion() > inForce.GetBundle().GetVersion()
}

// Snapshot returns the newest configuration, fresh or not.
func (v *View) Snapshot() *Snapshot { return v.snapshot.Load() }

// Fresh reports whether the view is fresh at a time.
func (v *View) Fresh(now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.isFresh(now)
}

// Current returns the newest configuration and whether it is fresh. The snapshot is at least as new as the confirmation
// that makes it fresh, which a call of Snapshot before a call of Fresh does not ensure.
func (v *View) Current(now time.Time) (*Snapshot, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.snapshot.Load(), v.isFresh(now)
}

func (v *View) isFresh(now time.Time) bool {
	confirmed := v.storeConfirmed
	if v.peersConfirmed.After(confirmed) {
		confirmed = v.peersConfirmed
	}
	return now.Sub(confirmed) <= FreshFor
}

// State is what a VM tells the others about its view, in heartbeats.
type State struct {
	// Revision is the newest revision of which anything is known.
	Revision infra.Revision
	// Age is how long ago the store confirmed the view; negative if it has not done so since the start of the process.
	Age           time.Duration
	BundleVersion int64
}

// FillHeartbeat writes the state into the answer to a heartbeat. An unknown age is written as a negative one.
func (s State) FillHeartbeat(response *siskinv1.HeartbeatResponse) {
	response.ConfigRevision = int64(s.Revision)
	response.ConfigAgeMs = s.Age.Milliseconds()
	response.BundleVersion = s.BundleVersion
}

// unknownAge is the age of a view that the store has not confirmed since the start of the process.
const unknownAge = -time.Millisecond

// State returns the state of the view.
func (v *View) State(now time.Time) State {
	v.mu.Lock()
	defer v.mu.Unlock()
	return State{Revision: v.known(), Age: v.age(now), BundleVersion: v.inForce.GetBundle().GetVersion()}
}

// age returns the age of the view. The caller holds mu.
func (v *View) age(now time.Time) time.Duration {
	if !v.listed {
		return unknownAge
	}
	return max(0, now.Sub(v.storeConfirmed))
}

// known returns the newest revision of which anything is known. The caller holds mu.
func (v *View) known() infra.Revision {
	newest := v.complete
	for _, e := range v.entries {
		newest = max(newest, e.revision)
	}
	return newest
}

// History returns the bundle versions that came into force on this VM, oldest first.
func (v *View) History() []InForce {
	v.mu.Lock()
	defer v.mu.Unlock()
	return append([]InForce(nil), v.history...)
}

// Subscribe returns a channel that gets a value after each change of the snapshot. Changes that follow each other before
// the value is taken are reported once. The returned function ends the subscription.
func (v *View) Subscribe() (<-chan struct{}, func()) {
	changed := make(chan struct{}, 1)
	v.mu.Lock()
	defer v.mu.Unlock()
	id := v.nextSubscriber
	v.nextSubscriber++
	v.subscribers[id] = changed
	return changed, func() {
		v.mu.Lock()
		defer v.mu.Unlock()
		delete(v.subscribers, id)
	}
}

// publish replaces the snapshot and notifies subscribers if anything has changed. The caller holds mu.
func (v *View) publish() {
	if !v.unpublished {
		return
	}
	v.unpublished = false
	v.snapshot.Store(v.buildSnapshot())
	for _, changed := range v.subscribers {
		select {
		case changed <- struct{}{}:
		default:
		}
	}
}

// Package configview follows the operator configuration in the store and publishes it as immutable snapshots.
//
// A view is complete up to a store revision. It is fresh if that completeness was confirmed within the last two seconds,
// by the store or by all other entry VMs. A confirmation counts from the time when the confirming call was sent, so a fresh
// view contains every change that was acknowledged more than two seconds ago.
//
// A view also holds entries newer than its complete revision: a VM adds its own writes at once. The other VMs fetch them,
// so a change that one VM has acknowledged is not lost if the store fails right afterwards.
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
	// MaxConfirmationAge is the age of the last confirmation up to which the view is fresh.
	MaxConfirmationAge = 2 * time.Second
	// maxHistory bounds the number of recorded versions that came into force.
	maxHistory = 64
)

// Options configure a view.
type Options struct {
	Store   infra.Store
	Clock   clock.Clock
	Logger  logr.Logger
	Signers bundle.Signers
	// Peers gives access to the other entry VMs.
	Peers Peers
	// Others names all other configured entry VMs.
	Others []string
	// Registerer registers the counters; nil leaves them unregistered.
	Registerer prometheus.Registerer
}

// View is the configuration known to one entry VM.
type View struct {
	options  Options
	counters *counters
	snapshot atomic.Pointer[Snapshot]
	// supersedes reports whether a verified bundle may replace the one in force. Only
	// TestCheckerCatchesADisabledVersionCheck replaces this function.
	supersedes func(inForce, candidate *siskinv1.BundleProposal) bool

	mu      sync.Mutex // guards all fields below
	entries map[string]entry
	// rejected holds the revision of the last invalid value of each key, so that it is reported once.
	rejected map[string]infra.Revision
	// bundleDeleted is true after the deletion of the bundle in force from the store was reported.
	bundleDeleted bool
	// regressionReported is true after a regression of the store's revision was reported, until the store confirms this view
	// again.
	regressionReported bool
	// completeRevision is the revision up to which entries contains all changes.
	completeRevision infra.Revision
	// listed is true once the store has been listed since the start of the process.
	listed bool
	// mustList is true if the store has to be listed before the next watch: at the start, after a gap in the watch, a
	// compaction or a regression, and after an import of all entries of a peer.
	mustList bool
	// storeConfirmed and peersConfirmed are the times from which the last confirmations by the store and by the peers count.
	storeConfirmed time.Time
	peersConfirmed time.Time
	inForce        *siskinv1.BundleProposal
	history        []InForce
	subscribers    map[int]chan struct{}
	nextSubscriber int
	// unpublished is true if entries has changed since the last snapshot.
	unpublished bool
}

// entry is the last valid value of a key.
type entry struct {
	value    []byte
	revision infra.Revision
	key      *siskinv1.TeamKey
	zone     *siskinv1.ZoneStatus
}

// InForce is a bundle version and the time when it came into force on this VM.
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

// isFresh reports whether the view is fresh at a time. The caller holds mu.
func (v *View) isFresh(now time.Time) bool {
	confirmed := v.storeConfirmed
	if v.peersConfirmed.After(confirmed) {
		confirmed = v.peersConfirmed
	}
	return now.Sub(confirmed) <= MaxConfirmationAge
}

// State is the state of a VM's view, which the VM reports to the others in heartbeats.
type State struct {
	// Revision is the newest revision that the view reflects, even if it does not hold all changes up to it.
	Revision infra.Revision
	// Age is how long ago the store confirmed the view; negative if it has not done so since the start of the process.
	Age           time.Duration
	BundleVersion int64
}

// FillHeartbeat writes the state into the response to a heartbeat. An unknown age is written as a negative value.
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
	return State{Revision: v.newestRevision(), Age: v.age(now), BundleVersion: v.inForce.GetBundle().GetVersion()}
}

// age returns the age of the view. The caller holds mu.
func (v *View) age(now time.Time) time.Duration {
	if !v.listed {
		return unknownAge
	}
	return max(0, now.Sub(v.storeConfirmed))
}

// newestRevision returns the newest revision that the view reflects. The caller holds mu.
func (v *View) newestRevision() infra.Revision {
	newest := v.completeRevision
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

// Subscribe returns a channel that receives a value after each change of the snapshot. Changes that occur before the value
// is received are reported once. The returned function ends the subscription.
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

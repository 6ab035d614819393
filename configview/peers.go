package configview

import (
	"context"
	"time"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/infra"
)

// fetchTimeout bounds the transfer of a view from a peer.
const fetchTimeout = 500 * time.Millisecond

// PeerState is the state of another entry VM's view as that VM reported it.
type PeerState struct {
	VM        string
	Reachable bool
	// State is the state in the peer's response; a negative age means that the store has not confirmed the peer's view
	// since the start of its process.
	State State
	// AsOf is when the request that the peer answered was sent, on this VM's monotonic clock.
	AsOf time.Time
}

// NewPeerState returns the state in a heartbeat's response; sent is when the request was sent, on this VM's clock. The
// state in a heartbeat's request can't be used in this way: this VM does not know at which time of its own clock the peer
// read that state.
func NewPeerState(response *siskinv1.HeartbeatResponse, sent time.Time) PeerState {
	return PeerState{
		VM:        response.GetVm(),
		Reachable: true,
		State: State{
			Revision:      infra.Revision(response.GetConfigRevision()),
			Age:           time.Duration(response.GetConfigAgeMs()) * time.Millisecond,
			BundleVersion: response.GetBundleVersion(),
		},
		AsOf: sent,
	}
}

// Peers gives access to the views of the other entry VMs.
type Peers interface {
	// States returns the newest known state of all other configured entry VMs.
	States() []PeerState
	// FetchConfig fetches from a peer what is newer than the revision of the request.
	FetchConfig(ctx context.Context, vm string, request *siskinv1.FetchConfigRequest) (*siskinv1.FetchConfigResponse, error)
}

// pollPeers imports what the other VMs know, and confirms the view if all of them have responded. The store must have
// confirmed each peer's view since the start of the peer's process: a VM may have acknowledged a change right before it
// restarted, and during a store outage possibly no VM knows that change.
func (v *View) pollPeers(ctx context.Context) {
	states := map[string]PeerState{}
	for _, state := range v.options.Peers.States() {
		states[state.VM] = state
	}
	confirmed := v.options.Clock.Now()
	all := true
	for _, vm := range v.options.Others {
		state, ok := states[vm]
		if !ok || !state.Reachable || !v.catchUp(ctx, state) {
			all = false
			continue
		}
		// A view without a revision is empty, and a state that was never filled in has revision 0.
		all = all && state.State.Age >= 0 && state.State.Revision > 0
		if state.AsOf.Before(confirmed) {
			confirmed = state.AsOf
		}
	}
	if !all {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.listed && confirmed.After(v.peersConfirmed) {
		v.peersConfirmed = confirmed
		v.counters.peerConfirmations.Inc()
	}
}

// catchUp fetches what a peer knows beyond this view, and reports whether this view now contains all of it.
func (v *View) catchUp(ctx context.Context, peer PeerState) bool {
	v.mu.Lock()
	complete := v.completeRevision
	v.mu.Unlock()
	if peer.State.Revision <= complete {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	request := &siskinv1.FetchConfigRequest{Revision: int64(complete)}
	response, err := v.options.Peers.FetchConfig(ctx, peer.VM, request)
	if err != nil {
		return false
	}
	v.Import(request, response)
	// The peer may have restarted since it reported its state, and may have lost what it knew then.
	return response.GetAgeMs() >= 0
}

// Export returns the response to another VM's request. If this view is complete beyond the requested revision, the response
// holds all entries and this view's complete revision. Otherwise it holds the entries that are newer than the requested
// revision, and that revision.
func (v *View) Export(request *siskinv1.FetchConfigRequest) *siskinv1.FetchConfigResponse {
	v.mu.Lock()
	defer v.mu.Unlock()
	after := infra.Revision(request.GetRevision())
	exportAll := v.completeRevision > after
	response := &siskinv1.FetchConfigResponse{
		Revision: int64(max(v.completeRevision, after)),
		AgeMs:    v.age(v.options.Clock.Now()).Milliseconds(),
	}
	for key, e := range v.entries {
		if exportAll || e.revision > after {
			response.Entries = append(response.Entries, &siskinv1.ConfigEntry{
				Key: key, Value: e.value, Revision: int64(e.revision),
			})
		}
	}
	return response
}

// add applies entries that are newer than the complete revision. Older ones are known, or have been deleted since. The
// caller holds mu.
func (v *View) add(entries []infra.KeyValue) {
	for _, kv := range entries {
		if kv.Revision > v.completeRevision {
			v.apply(kv.Key, kv.Value, kv.Revision)
		}
	}
}

// Import applies the response of another VM to a request. It does not make the view fresh.
func (v *View) Import(request *siskinv1.FetchConfigRequest, response *siskinv1.FetchConfigResponse) {
	v.mu.Lock()
	defer v.mu.Unlock()
	listed := make([]infra.KeyValue, 0, len(response.GetEntries()))
	for _, e := range response.GetEntries() {
		listed = append(listed, infra.KeyValue{Key: e.GetKey(), Value: e.GetValue(), Revision: infra.Revision(e.GetRevision())})
	}
	complete := infra.Revision(response.GetRevision())
	if response.GetRevision() > request.GetRevision() && complete > v.completeRevision {
		v.replace("", listed, complete)
		v.completeRevision = complete
		// The peer exports the last valid value of an entry whose newest value it rejected, so the store is listed again.
		v.mustList = true
	} else {
		v.add(listed)
	}
	v.counters.imports.Inc()
	v.publish()
}

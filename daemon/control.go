package daemon

import (
	"context"
	"time"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/configview"
	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/membership"
)

// maxStoreResponseAge is how old the last response of the store may be for it to count as reachable.
const maxStoreResponseAge = 2 * time.Second

// localState returns what this VM reports to the others in heartbeats.
func (d *Daemon) localState() membership.Local {
	now := d.clock.Now()
	state := d.config.State(now)
	local := membership.Local{
		ConfigRevision: int64(state.Revision), ConfigAge: state.Age, BundleVersion: state.BundleVersion,
		StoreReachable: now.Sub(d.store.State().LastResponse) < maxStoreResponseAge, Leaving: d.leaving.Load(),
	}
	for _, o := range d.owners.All() {
		load, usage := o.Load()
		local.Shards = append(local.Shards, load)
		local.Usage = append(local.Usage, usage...)
	}
	return local
}

func (d *Daemon) localUsage() []*siskinv1.TeamUsage {
	var all []*siskinv1.TeamUsage
	for _, o := range d.owners.All() {
		_, usage := o.Load()
		all = append(all, usage...)
	}
	return all
}

// configPeers gives the configuration view access to the configurations of the other VMs.
type configPeers struct{ *Daemon }

// States implements configview.Peers.
func (p configPeers) States() []configview.PeerState {
	members := p.members.Members()
	states := make([]configview.PeerState, len(members))
	for i, member := range members {
		states[i] = configview.PeerState{
			VM: member.VM, Reachable: member.Status == membership.Alive, AsOf: member.Confirmed,
			State: configview.State{
				Revision: infra.Revision(member.ConfigRevision), Age: member.ConfigAge, BundleVersion: member.BundleVersion,
			},
		}
	}
	return states
}

// FetchConfig implements configview.Peers.
func (p configPeers) FetchConfig(ctx context.Context, vm string, request *siskinv1.FetchConfigRequest) (*siskinv1.FetchConfigResponse, error) {
	return p.controlClient.FetchConfig(ctx, vm, request)
}

// control serves the control calls of other VMs.
type control struct{ *Daemon }

// Heartbeat implements peer.Control.
func (c control) Heartbeat(_ context.Context, request *siskinv1.HeartbeatRequest) (*siskinv1.HeartbeatResponse, error) {
	return c.members.Receive(request)
}

// Promise implements peer.Control.
func (c control) Promise(_ context.Context, request *siskinv1.PromiseRequest) (*siskinv1.PromiseResponse, error) {
	return c.shardOwnership.Promise(request), nil
}

// FetchConfig implements peer.Control.
func (c control) FetchConfig(_ context.Context, request *siskinv1.FetchConfigRequest) (*siskinv1.FetchConfigResponse, error) {
	return c.config.Export(request), nil
}

// TakeOver implements peer.Control.
func (c control) TakeOver(ctx context.Context, request *siskinv1.TakeOverRequest) (*siskinv1.TakeOverResponse, error) {
	return c.shardOwnership.TakeOver(ctx, request), nil
}

// GiveBackAllowance implements peer.Control.
func (c control) GiveBackAllowance(ctx context.Context, request *siskinv1.GiveBackAllowanceRequest) (*siskinv1.GiveBackAllowanceResponse, error) {
	return c.allowance.GiveBack(ctx, request), nil
}

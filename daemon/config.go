package daemon

import (
	"context"

	"google.golang.org/protobuf/proto"

	"siskinstack.example/siskinstack/allowance"
	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/entry"
	"siskinstack.example/siskinstack/ownership"
	"siskinstack.example/siskinstack/refusal"
	"siskinstack.example/siskinstack/resource"
	"siskinstack.example/siskinstack/sharding"
	"siskinstack.example/siskinstack/teamkey"
)

type protoMessage = proto.Message

// Fresh implements owner.Config.
func (d *Daemon) Fresh() bool { return d.config.Fresh(d.clock.Now()) }

// Draining implements owner.Config.
func (d *Daemon) Draining(zone string) bool { return d.config.Snapshot().IsDraining(zone) }

// Teams implements owner.Config.
func (d *Daemon) Teams() []*siskinv1.Team { return d.config.Snapshot().Bundle().GetTeams() }

// Shards implements owner.Config.
func (d *Daemon) Shards() []ownership.Shard {
	current := d.config.Snapshot().Bundle()
	if current == nil {
		return d.initialShards()
	}
	var shards []ownership.Shard
	for _, zone := range current.GetZones() {
		for i := range max(1, int(current.GetShardsPerZone())) {
			shards = append(shards, ownership.Shard{Name: sharding.Name(zone.GetName(), i), Zone: zone.GetName()})
		}
	}
	return shards
}

// initialShards returns one shard for each zone of the configured entry VMs, until the first bundle names the zones.
func (d *Daemon) initialShards() []ownership.Shard {
	seen := map[string]bool{}
	var shards []ownership.Shard
	for _, p := range d.settings.GetPeers() {
		if !seen[p.GetZone()] {
			seen[p.GetZone()] = true
			shards = append(shards, ownership.Shard{Name: sharding.Name(p.GetZone(), 0), Zone: p.GetZone()})
		}
	}
	return shards
}

func (d *Daemon) shardNames() []string {
	shards := d.Shards()
	names := make([]string, len(shards))
	for i, shard := range shards {
		names[i] = shard.Name
	}
	return names
}

func (d *Daemon) services() []*siskinv1.Service { return d.config.Snapshot().Bundle().GetServices() }

func (d *Daemon) ceilings() allowance.Ceilings {
	snapshot := d.config.Snapshot()
	ceilings := allowance.Ceilings{Version: snapshot.BundleVersion(), Teams: map[string]resource.Vector{}}
	for _, team := range snapshot.Bundle().GetTeams() {
		ceilings.Teams[team.GetName()] = resource.FromProto(team.GetCeiling())
	}
	return ceilings
}

// followConfig refreshes the router when the configuration changes, because the router does not read it on each call.
func (d *Daemon) followConfig(ctx context.Context) {
	changes, unsubscribe := d.config.Subscribe()
	defer unsubscribe()
	for {
		select {
		case <-changes:
			d.router.RefreshList(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// unknownLoad ranks shards without a reported load, or in draining zones, after all others.
const unknownLoad = 1 << 20

// shardLoad returns the dominant share of the shard's capacity in use plus its number of queued tasks.
func (d *Daemon) shardLoad(shard string) float64 {
	for _, load := range d.fleet.Loads() {
		if load.GetShard() != shard {
			continue
		}
		if load.GetDraining() {
			return unknownLoad
		}
		total := resource.FromProto(load.GetTotal())
		used := total.Sub(resource.FromProto(load.GetFree()))
		return used.DominantShare(total) + float64(load.GetQueuedTasks())
	}
	return unknownLoad
}

// authenticator determines the team of a caller from the configuration in force.
type authenticator struct{ *Daemon }

// Authenticate implements entry.Authenticator.
func (a authenticator) Authenticate(_ context.Context, bearer string, target entry.Target) (string, error) {
	snapshot, fresh := a.config.Current(a.clock.Now())
	owner, open, err := targetTeam(snapshot.Bundle(), target)
	if err != nil {
		return "", err
	}
	if open {
		return owner, nil
	}
	if !fresh && !target.Read {
		return "", refusal.New(refusal.KeyUnverifiable, "this VM cannot confirm which keys are withdrawn")
	}
	if bearer == "" {
		return "", refusal.New(refusal.KeyMissing, "the header Authorization: Bearer sk_... is missing")
	}
	team, err := teamkey.Authenticate("Bearer "+bearer, snapshot.Key)
	if err != nil {
		return "", err
	}
	if owner != "" && owner != team {
		return "", refusal.New(refusal.KeyWrongTeam, "the key belongs to team %q, not to %q", team, owner)
	}
	return team, nil
}

// targetTeam returns the team that a queue or service belongs to, and whether it is open to all.
func targetTeam(current *siskinv1.Bundle, target entry.Target) (team string, open bool, err error) {
	if target.Queue != "" {
		for _, queue := range current.GetQueues() {
			if queue.GetName() == target.Queue {
				if queue.GetOpenToAll() {
					return queue.GetOpenTeam(), true, nil
				}
				return queue.GetTeam(), false, nil
			}
		}
		return "", false, refusal.New(refusal.NotFound, "queue %q does not exist", target.Queue)
	}
	if target.Service != "" {
		for _, service := range current.GetServices() {
			if service.GetName() == target.Service {
				return service.GetTeam(), service.GetOpenToAll(), nil
			}
		}
		return "", false, refusal.New(refusal.NotFound, "service %q does not exist", target.Service)
	}
	return "", false, nil
}

package daemon

import (
	"context"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/owner"
	"siskinstack.example/siskinstack/ownership"
	"siskinstack.example/siskinstack/refusal"
	"siskinstack.example/siskinstack/resource"
	"siskinstack.example/siskinstack/sharding"
	"siskinstack.example/siskinstack/storeclient"
)

const (
	// openTimeout bounds the replay of a shard's log.
	openTimeout = 10 * time.Second
	// drainPollInterval is how often a handover checks for start calls in flight.
	drainPollInterval = 10 * time.Millisecond
)

// ownedShard is a shard of this VM, from acquisition to loss.
type ownedShard struct {
	right  *ownership.Right
	cancel context.CancelFunc
	done   chan struct{}
	owner  *owner.Owner // nil while the log is replayed
}

// acquired implements ownership.Options.Acquired.
func (d *Daemon) acquired(right *ownership.Right) {
	ctx, cancel := context.WithCancel(d.background)
	shard := &ownedShard{right: right, cancel: cancel, done: make(chan struct{})}
	d.mu.Lock()
	previous := d.shards[right.Shard]
	d.shards[right.Shard] = shard
	d.mu.Unlock()
	d.logger.Info("shard acquired", "shard", right.Shard, "epoch", right.Epoch)
	d.goroutines.Go(func() {
		defer close(shard.done)
		defer cancel()
		if previous != nil {
			<-previous.done
		}
		d.runShard(ctx, shard)
	})
}

// lost implements ownership.Options.Lost.
func (d *Daemon) lost(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if shard, ok := d.shards[name]; ok {
		shard.cancel()
	}
	d.logger.Info("shard lost", "shard", name)
}

// runShard opens a shard and runs its owner until the ownership right ends.
func (d *Daemon) runShard(ctx context.Context, shard *ownedShard) {
	o, err := d.openShard(ctx, shard.right)
	if err != nil {
		d.logger.Error(err, "cannot open shard", "shard", shard.right.Shard)
		d.shardOwnership.Decline(shard.right.Shard)
		return
	}
	d.shardOwnership.MarkServing(shard.right.Shard)
	d.mu.Lock()
	shard.owner = o
	d.mu.Unlock()
	d.owners.Add(o)
	d.allowance.AddShard(shard.right.Shard)
	o.Run(ctx)
	d.owners.Remove(o)
	d.allowance.RemoveShard(shard.right.Shard)
	if shard.right.Check() == nil && ctx.Err() == nil {
		// The owner stopped although its right is valid, for example because its log failed. Another VM can take over.
		d.shardOwnership.Decline(shard.right.Shard)
	}
}

func (d *Daemon) openShard(ctx context.Context, right *ownership.Right) (*owner.Owner, error) {
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	return owner.Open(ctx, owner.Options{
		Right: right, Store: d.store.For(storeclient.KindLog), SnapshotStore: d.store.For(storeclient.KindSnapshot),
		Workers: d.platform, VMs: d.fleet, Clock: d.clock, Logger: d.logger,
		Tracer: d.traces.Tracer("siskinstack/owner"), Metrics: d.ownerMetrics, LogMetrics: d.logMetrics,
		Config: d, Demand: d.allowance, Fleet: d.fleet, Parts: d.partRouter,
		VM: d.settings.GetVm(), Zone: sharding.Zone(right.Shard),
		Writer:         d.settings.GetVm() + "@" + strconv.FormatInt(d.incarnation, 10),
		MaxQueuedTasks: d.settings.GetLimits().GetMaxQueuedTasks(),
	})
}

// handOver releases all shards one by one. For each it waits until no start call is in flight and the log is flushed, and
// then notifies the successor.
func (d *Daemon) handOver(ctx context.Context) {
	d.mu.Lock()
	held := make([]*ownedShard, 0, len(d.shards))
	for _, shard := range d.shards {
		held = append(held, shard)
	}
	d.mu.Unlock()
	for _, shard := range held {
		if shard.right.Check() == nil {
			d.handOverShard(ctx, shard)
		}
	}
}

func (d *Daemon) handOverShard(ctx context.Context, shard *ownedShard) {
	d.mu.Lock()
	o := shard.owner
	d.mu.Unlock()
	if o != nil {
		o.StopStarting()
		for !o.Drained() && ctx.Err() == nil {
			_ = d.clock.Sleep(ctx, drainPollInterval)
		}
	}
	shard.cancel()
	select {
	case <-shard.done:
	case <-ctx.Done():
		return
	}
	successor, err := d.shardOwnership.Release(ctx, shard.right.Shard)
	if err != nil || successor == "" {
		return
	}
	_, _ = d.controlClient.TakeOver(ctx, successor, &siskinv1.TakeOverRequest{Shard: shard.right.Shard, FromVm: d.settings.GetVm()})
}

var errNotOwned = eris.New("this VM does not own the shard")

// checkRight implements allowance.Options.Check.
func (d *Daemon) checkRight(name string) error {
	d.mu.Lock()
	shard, ok := d.shards[name]
	d.mu.Unlock()
	if !ok {
		return errNotOwned
	}
	return shard.right.Check()
}

// limiter sets the limits of teams at the owners on this VM.
type limiter struct{ *Daemon }

// SetLimit implements allowance.Limiter.
func (l limiter) SetLimit(shard, team string, limit resource.Vector) resource.Vector {
	for _, o := range l.owners.All() {
		if o.Shard() == shard {
			return o.SetLimit(team, limit)
		}
	}
	return resource.Vector{}
}

// donorClient asks the owners of other shards for allowance, on this VM or over gRPC.
type donorClient struct{ *Daemon }

// GiveBack implements allowance.DonorClient.
func (a donorClient) GiveBack(ctx context.Context, request *siskinv1.GiveBackAllowanceRequest) (*siskinv1.GiveBackAllowanceResponse, error) {
	vm, ok := a.shardOwnership.Owner(request.GetShard())
	if !ok {
		return nil, refusal.New(refusal.ShardUnavailable, "shard %q has no owner at the moment", request.GetShard())
	}
	if vm == a.settings.GetVm() {
		return a.allowance.GiveBack(ctx, request), nil
	}
	client, err := a.clients.Client(vm)
	if err != nil {
		return nil, err
	}
	return client.GiveBackAllowance(ctx, request)
}

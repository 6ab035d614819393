package demo

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"siskinstack.example/siskinstack/demo/promises"
)

const (
	// stopRequests is the number of slow requests that are in flight when the stop begins.
	stopRequests = 6
	// beforeStop is enough for the requests to reach their endpoints, and shorter than their run time.
	beforeStop = slowRequestTime / 4
	// afterStop lets requests and work continue under the new owner.
	afterStop = 500 * time.Millisecond
)

// stepStop performs a planned stop of the owner of the third zone's first shard under load.
func (r *run) stepStop(ctx context.Context) (string, error) {
	zone := r.cluster.site.Zones[2]
	vm, err := r.cluster.waitOwner(ctx, zone)
	if err != nil {
		return "", err
	}
	inFlight := r.sendThroughVM(ctx, vm)
	defer inFlight.Wait()
	pause(ctx, beforeStop)
	stop := promises.Stop{VM: vm.name(), Begun: time.Now()}
	err = r.cluster.stop(ctx, vm)
	stop.End = time.Now()
	r.recorder.update(func(records *promises.Records) { records.Stops = append(records.Stops, stop) })
	if err != nil {
		return "", err
	}
	newOwner, err := r.cluster.waitOwner(ctx, zone)
	if err != nil {
		return "", err
	}
	took := since(stop.Begun)
	pause(ctx, afterStop)
	return fmt.Sprintf("%s took %s over from %s after %s", newOwner.name(), zone, vm.name(), took), nil
}

// sendThroughVM sends slow requests through one VM. The caller waits for them with the returned WaitGroup.
func (r *run) sendThroughVM(ctx context.Context, vm *entryVM) *sync.WaitGroup {
	first := slices.Index(r.cluster.live(), vm)
	var sent sync.WaitGroup
	for range stopRequests {
		sent.Go(func() { r.sendOne(ctx, first, kindSlow) })
	}
	return &sent
}

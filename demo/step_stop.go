package demo

import (
	"context"
	"fmt"
	"time"

	"siskinstack.example/siskinstack/demo/promises"
)

// afterStop lets requests and work go on under the new owner.
const afterStop = 500 * time.Millisecond

// stepStop makes a planned stop of the owner of the third zone under load.
func (r *run) stepStop(ctx context.Context) (string, error) {
	zone := r.cluster.site.Zones[2]
	vm, err := r.cluster.waitOwner(ctx, zone)
	if err != nil {
		return "", err
	}
	stop := promises.Stop{VM: vm.name(), Begun: time.Now()}
	err = r.cluster.stop(ctx, vm)
	stop.End = time.Now()
	r.recorder.update(func(records *promises.Records) { records.Stops = append(records.Stops, stop) })
	if err != nil {
		return "", err
	}
	heir, err := r.cluster.waitOwner(ctx, zone)
	if err != nil {
		return "", err
	}
	took := since(stop.Begun)
	pause(ctx, afterStop)
	return fmt.Sprintf("%s took %s over from %s after %s", heir.name(), zone, vm.name(), took), nil
}

package demo

import (
	"context"
	"fmt"
	"time"

	"siskinstack.example/siskinstack/demo/promises"
)

// afterTakeover lets requests and work continue under the new owner.
const afterTakeover = time.Second

// stepKill kills the owner of the second zone's first shard without notice and waits until another VM has taken the
// shard over.
func (r *run) stepKill(ctx context.Context) (string, error) {
	zone := r.cluster.site.Zones[1]
	oldOwner, err := r.cluster.waitOwner(ctx, zone)
	if err != nil {
		return "", err
	}
	killed := time.Now()
	r.cluster.kill(oldOwner)
	r.recorder.update(func(records *promises.Records) {
		records.Killed = map[string]time.Time{oldOwner.name(): killed}
	})
	newOwner, err := r.cluster.waitOwner(ctx, zone)
	if err != nil {
		return "", err
	}
	took := since(killed)
	pause(ctx, afterTakeover)
	return fmt.Sprintf("%s took %s over from %s after %s", newOwner.name(), zone, oldOwner.name(), took), nil
}

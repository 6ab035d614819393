package demo

import (
	"context"
	"fmt"
	"time"

	"siskinstack.example/siskinstack/demo/promises"
)

// afterTakeover lets requests and work go on under the new owner.
const afterTakeover = time.Second

// stepKill ends the owner of the second zone without notice and waits for another VM to take its shard over.
func (r *run) stepKill(ctx context.Context) (string, error) {
	zone := r.cluster.site.Zones[1]
	victim, err := r.cluster.waitOwner(ctx, zone)
	if err != nil {
		return "", err
	}
	killed := time.Now()
	r.cluster.kill(victim)
	r.recorder.update(func(records *promises.Records) {
		records.Killed = map[string]time.Time{victim.name(): killed}
	})
	heir, err := r.cluster.waitOwner(ctx, zone)
	if err != nil {
		return "", err
	}
	took := since(killed)
	pause(ctx, afterTakeover)
	return fmt.Sprintf("%s took %s over from %s after %s", heir.name(), zone, victim.name(), took), nil
}

package demo

import (
	"context"
	"fmt"
	"time"
)

// stepReady waits until the first shard of every zone has a live owner.
func (r *run) stepReady(ctx context.Context) (string, error) {
	began := time.Now()
	for _, zone := range r.cluster.site.Zones {
		if _, err := r.cluster.waitOwner(ctx, zone); err != nil {
			return "", err
		}
	}
	return fmt.Sprintf("%d zones owned after %s", len(r.cluster.site.Zones), since(began)), nil
}

func since(began time.Time) time.Duration { return time.Since(began).Round(time.Millisecond) }

package demo

import (
	"context"
	"fmt"
	"time"

	"siskinstack.example/siskinstack/demo/promises"
)

// drainFor goes on for a while after the few seconds in which tasks may still start.
const drainFor = 5 * time.Second

// drainZone takes the second zone out of service and back.
func (r *run) drainZone(ctx context.Context) (string, error) {
	zone := r.cluster.site.Zones[1]
	client, err := r.operator(author)
	if err != nil {
		return "", err
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := client.DrainZone(call, zone); err != nil {
		return "", available("POST /v1/zones/{zone}/drain", err)
	}
	drain := promises.Drain{Zone: zone, Drained: time.Now()}
	pause(ctx, drainFor)
	// The zone may be in service again from the moment at which the return is sent.
	drain.ReturnedAt = time.Now()
	r.recorder.update(func(records *promises.Records) { records.Drains = append(records.Drains, drain) })
	call, cancel = context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := client.ReturnZone(call, zone); err != nil {
		return "", available("POST /v1/zones/{zone}/return", err)
	}
	return fmt.Sprintf("%s was drained for %s", zone, drainFor), nil
}

package demo

import (
	"context"
	"fmt"
	"time"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/demo/promises"
)

const (
	// drainFor goes on for a while after the few seconds in which tasks may still start.
	drainFor = 5 * time.Second
	// wideAfter is past these few seconds.
	wideAfter = 3200 * time.Millisecond
	// wideTasks of wideCores each need about as much as all workers of one zone have, so that a placement that ignores
	// the drain uses the drained zone too.
	wideTasks = 128
	wideCores = 8
)

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
	pause(ctx, wideAfter)
	if err := r.submitWide(ctx); err != nil {
		return "", err
	}
	pause(ctx, time.Until(drain.Drained.Add(drainFor)))
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

// submitWide hands in a batch of the team with the highest ceiling.
func (r *run) submitWide(ctx context.Context) error {
	team := r.cluster.site.Teams[0].Name
	_, err := r.submit(ctx, 0, team, r.key(team), &siskinv1.WorkSpec{
		Kind: siskinv1.WorkKind_WORK_KIND_BATCH, Count: wideTasks, Command: []string{"sleep", "400ms"},
		Each: &siskinv1.Resources{MilliCpu: wideCores * core, MemoryBytes: wideCores * gib},
	})
	return available("POST /v1/work", err)
}

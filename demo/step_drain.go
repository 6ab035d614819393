package demo

import (
	"context"
	"fmt"
	"time"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/demo/promises"
)

const (
	// drainDuration exceeds the 3 s in which tasks may still start in the drained zone.
	drainDuration = 5 * time.Second
	// largeBatchDelay exceeds these 3 s.
	largeBatchDelay = 3200 * time.Millisecond
	// largeBatchTasks of largeBatchCores each need about as much as all workers of one zone have, so that a placement
	// that ignores the drain also uses the drained zone.
	largeBatchTasks = 128
	largeBatchCores = 8
)

// drainZone takes the second zone out of service and back.
func (r *run) drainZone(ctx context.Context) (string, error) {
	zone := r.cluster.site.Zones[1]
	client, err := r.operatorClient(author)
	if err != nil {
		return "", err
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := client.DrainZone(call, zone); err != nil {
		return "", asNotAvailable("POST /v1/zones/{zone}/drain", err)
	}
	drain := promises.Drain{Zone: zone, Drained: time.Now()}
	pause(ctx, largeBatchDelay)
	if err := r.submitLargeBatch(ctx); err != nil {
		return "", err
	}
	pause(ctx, time.Until(drain.Drained.Add(drainDuration)))
	// The zone may be in service again as soon as the return is sent.
	drain.ReturnedAt = time.Now()
	r.recorder.update(func(records *promises.Records) { records.Drains = append(records.Drains, drain) })
	call, cancel = context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := client.ReturnZone(call, zone); err != nil {
		return "", asNotAvailable("POST /v1/zones/{zone}/return", err)
	}
	return fmt.Sprintf("%s was drained for %s", zone, drainDuration), nil
}

// submitLargeBatch submits a large batch of the team with the highest ceiling.
func (r *run) submitLargeBatch(ctx context.Context) error {
	team := r.cluster.site.Teams[0].Name
	_, err := r.submit(ctx, 0, team, r.key(team), &siskinv1.WorkSpec{
		Kind: siskinv1.WorkKind_WORK_KIND_BATCH, Count: largeBatchTasks, Command: []string{"sleep", "400ms"},
		Each: &siskinv1.Resources{MilliCpu: largeBatchCores * core, MemoryBytes: largeBatchCores * gib},
	})
	return asNotAvailable("POST /v1/work", err)
}

package demo

import (
	"context"
	"errors"
	"strings"
	"sync"
)

// stepChanges withdraws a key, drains a zone, lets an endpoint leave and signs a second bundle off, at the same time to
// keep the demo short.
func (r *run) stepChanges(ctx context.Context) (string, error) {
	changes := []func(context.Context) (string, error){r.withdrawKey, r.drainZone, r.leaveEndpoint, r.nextBundle}
	details, failures := make([]string, len(changes)), make([]error, len(changes))
	var running sync.WaitGroup
	for i, change := range changes {
		running.Go(func() { details[i], failures[i] = change(ctx) })
	}
	running.Wait()
	return strings.Join(details, "; "), errors.Join(failures...)
}

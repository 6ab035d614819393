package demo

import (
	"context"
	"errors"
	"strings"
	"sync"
)

// stepChanges withdraws a key, drains a zone, marks an endpoint as leaving and signs off a second bundle, all at the
// same time to keep the demo short.
func (r *run) stepChanges(ctx context.Context) (string, error) {
	changes := []func(context.Context) (string, error){r.withdrawKey, r.drainZone, r.leaveEndpoint, r.secondBundle}
	details, failures := make([]string, len(changes)), make([]error, len(changes))
	var running sync.WaitGroup
	for i, change := range changes {
		running.Go(func() { details[i], failures[i] = change(ctx) })
	}
	running.Wait()
	return strings.Join(details, "; "), errors.Join(failures...)
}

package soak

import (
	"bytes"
	"context"
	"net"
	"strconv"
	"sync"
	"time"
)

// link is the proxy through which one machine reaches a machine or a worker.
type link struct {
	*proxy
	zone string
	// cuts is the number of cuts in force; the link refuses connections while there are any.
	cuts int
}

// links are the links of one machine. It reads their addresses from the store in place of the addresses of its targets.
type links struct {
	mu       sync.Mutex // guards byTarget and the cuts
	byTarget map[string]*link
}

// add opens a link to a target in a zone.
func (l *links) add(ctx context.Context, target, zone string) error {
	// A port that the kernel does not assign can be opened again after a cut.
	port, err := freePort(ctx)
	if err != nil {
		return err
	}
	p, err := newProxyAt(ctx, net.JoinHostPort("127.0.0.1", strconv.Itoa(port)), target)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byTarget[target] = &link{proxy: p, zone: zone}
	return nil
}

// view replaces the addresses of targets in a value by those of their links. All addresses have the same length, so the
// encoding of the value does not matter.
func (l *links) view(value []byte) []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	for target, link := range l.byTarget {
		value = bytes.ReplaceAll(value, []byte(target), []byte(link.address()))
	}
	return value
}

// cut changes the number of cuts of the links that cross the border of a zone, for a machine within or outside it.
func (l *links) cut(ctx context.Context, zone string, within bool, change int) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, link := range l.byTarget {
		if (link.zone == zone) == within {
			continue
		}
		if err := link.change(ctx, change); err != nil {
			return err
		}
	}
	return nil
}

// change changes the number of cuts of a link.
func (l *link) change(ctx context.Context, change int) error {
	before := l.cuts
	l.cuts += change
	switch {
	case before == 0 && l.cuts > 0:
		l.set(modeRefuse)
	case before > 0 && l.cuts == 0:
		return l.reopen(ctx)
	}
	return nil
}

// openAll ends all cuts.
func (l *links) openAll(ctx context.Context) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, link := range l.byTarget {
		if err := link.change(ctx, -link.cuts); err != nil {
			return err
		}
	}
	return nil
}

func (l *links) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, link := range l.byTarget {
		link.close()
	}
}

// lastingJobsFor is how long jobs with tasks that last are submitted before a zone is cut off.
const lastingJobsFor = 600 * time.Millisecond

// cutZone makes a zone and the others refuse each other's connections, while all reach the store. Tasks that last are at
// work when the cut begins.
func cutZone(r *run, f Fault) (func() error, error) {
	zone := zones[f.Target%len(zones)]
	r.jobs.lasting.Store(true)
	time.Sleep(lastingJobsFor)
	r.jobs.lasting.Store(false)
	change := func(by int) error {
		for _, m := range r.machines {
			if err := m.links.cut(context.Background(), zone, m.zone == zone, by); err != nil {
				return err
			}
		}
		return nil
	}
	return func() error { return change(-1) }, change(1)
}

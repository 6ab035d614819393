package standin

import (
	"context"
	"sync"
	"time"

	"siskinstack.example/siskinstack/clock"
	"siskinstack.example/siskinstack/infra"
)

// VMList is a list of VMs whose readers see each change after a fixed lag.
type VMList struct {
	clock    clock.Clock
	lag      time.Duration
	injector *faultInjector

	mu       sync.Mutex // guards versions
	versions []vmVersion
}

type vmVersion struct {
	at  time.Time
	vms []infra.VM
}

// NewVMList returns a list that shows changes after lag; the first contents are visible at once.
func NewVMList(c clock.Clock, lag time.Duration, vms []infra.VM) *VMList {
	first := vmVersion{at: c.Now().Add(-lag), vms: append([]infra.VM(nil), vms...)}
	return &VMList{clock: c, lag: lag, injector: newFaultInjector(c), versions: []vmVersion{first}}
}

// SetFaults replaces the faults that apply to VMs without faults of their own.
func (l *VMList) SetFaults(faults Faults) { l.injector.set(faults) }

// SetFaultsFor sets the faults that apply to the calls of one VM.
func (l *VMList) SetFaultsFor(vm string, faults Faults) { l.injector.setFor(vm, faults) }

// Update changes the list; readers see it after the lag.
func (l *VMList) Update(change func(vms []infra.VM) []infra.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	latest := l.versions[len(l.versions)-1].vms
	next := change(append([]infra.VM(nil), latest...))
	l.versions = append(l.versions, vmVersion{at: l.clock.Now(), vms: next})
}

// List returns the newest version of the list that is at least as old as the lag.
func (l *VMList) List(ctx context.Context) (infra.VMs, error) {
	if err := l.injector.before(ctx); err != nil {
		return infra.VMs{}, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	visible := l.clock.Now().Add(-l.lag)
	newest := 0
	for i, version := range l.versions {
		if !version.at.After(visible) {
			newest = i
		}
	}
	l.versions = l.versions[newest:]
	return infra.VMs{VMs: append([]infra.VM(nil), l.versions[0].vms...), Lag: l.lag}, nil
}

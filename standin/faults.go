package standin

import (
	"context"
	"sync"
	"time"

	"siskinstack.example/siskinstack/clock"
)

type callerKey struct{}

// WithCaller returns a context that names the VM that makes a call, so that faults can be injected per VM.
func WithCaller(ctx context.Context, vm string) context.Context {
	return context.WithValue(ctx, callerKey{}, vm)
}

// Caller returns the VM that makes a call, or an empty string if it is not known.
func Caller(ctx context.Context) string {
	vm, _ := ctx.Value(callerKey{}).(string)
	return vm
}

// Faults are the faults injected into calls to one part of the platform.
type Faults struct {
	// Down makes every call fail without effect.
	Down bool
	// Delay is added to every call.
	Delay time.Duration
	// LoseResponses makes the next n writes take effect but return an error.
	LoseResponses int
}

// StoreFaults are the faults of the store.
type StoreFaults = Faults

// faultInjector applies faults to calls. Faults for one VM replace those for all VMs.
type faultInjector struct {
	clock clock.Clock

	mu  sync.Mutex // guards all and vms
	all Faults
	vms map[string]*Faults
}

func newFaultInjector(c clock.Clock) *faultInjector {
	return &faultInjector{clock: c, vms: map[string]*Faults{}}
}

func (i *faultInjector) set(faults Faults) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.all = faults
}

func (i *faultInjector) setFor(vm string, faults Faults) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.vms[vm] = &faults
}

func (i *faultInjector) clear() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.all = Faults{}
	i.vms = map[string]*Faults{}
}

// faults returns the faults that apply to a VM. The caller holds mu.
func (i *faultInjector) faults(vm string) *Faults {
	if faults, ok := i.vms[vm]; ok {
		return faults
	}
	return &i.all
}

// before applies outage and delay ahead of a call.
func (i *faultInjector) before(ctx context.Context) error {
	vm := Caller(ctx)
	i.mu.Lock()
	faults := *i.faults(vm)
	i.mu.Unlock()
	if faults.Down {
		return errUnavailable
	}
	if faults.Delay > 0 {
		if err := i.clock.Sleep(ctx, faults.Delay); err != nil {
			return err
		}
	}
	if i.down(ctx) {
		return errUnavailable
	}
	return ctx.Err()
}

func (i *faultInjector) down(ctx context.Context) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.faults(Caller(ctx)).Down
}

// loseResponse returns errResponseLost if such a fault is set for the caller.
func (i *faultInjector) loseResponse(ctx context.Context) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	faults := i.faults(Caller(ctx))
	if faults.LoseResponses <= 0 {
		return nil
	}
	faults.LoseResponses--
	return errResponseLost
}

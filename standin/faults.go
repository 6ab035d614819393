package standin

import (
	"context"
	"sync"
	"time"

	"siskinstack.example/siskinstack/clock"
)

type callerKey struct{}

// WithCaller returns a context that names the VM which makes a call, so that faults can be ordered per VM.
func WithCaller(ctx context.Context, vm string) context.Context {
	return context.WithValue(ctx, callerKey{}, vm)
}

// Caller returns the VM that makes a call; empty if it is not known.
func Caller(ctx context.Context) string {
	vm, _ := ctx.Value(callerKey{}).(string)
	return vm
}

// Faults are faults to order for the calls to one part of the platform.
type Faults struct {
	// Down makes every call fail without effect.
	Down bool
	// Delay is added to every call.
	Delay time.Duration
	// LoseResponses makes the next n writes take effect and then fail.
	LoseResponses int
}

// StoreFaults are the faults of the store.
type StoreFaults = Faults

// gate applies the ordered faults to calls. Faults for one VM replace those for all.
type gate struct {
	clock clock.Clock

	mu  sync.Mutex // guards all and perVM
	all Faults
	vms map[string]*Faults
}

func newGate(c clock.Clock) *gate { return &gate{clock: c, vms: map[string]*Faults{}} }

func (g *gate) set(faults Faults) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.all = faults
}

func (g *gate) setFor(vm string, faults Faults) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.vms[vm] = &faults
}

func (g *gate) heal() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.all = Faults{}
	g.vms = map[string]*Faults{}
}

// faults returns the faults that apply to a VM. The caller holds mu.
func (g *gate) faults(vm string) *Faults {
	if faults, ok := g.vms[vm]; ok {
		return faults
	}
	return &g.all
}

// enter applies delay and outage before a call.
func (g *gate) enter(ctx context.Context) error {
	vm := Caller(ctx)
	g.mu.Lock()
	faults := *g.faults(vm)
	g.mu.Unlock()
	if faults.Down {
		return errUnavailable
	}
	if faults.Delay > 0 {
		if err := g.clock.Sleep(ctx, faults.Delay); err != nil {
			return err
		}
	}
	if g.down(ctx) {
		return errUnavailable
	}
	return ctx.Err()
}

func (g *gate) down(ctx context.Context) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.faults(Caller(ctx)).Down
}

// loseAnswer reports an unknown outcome if such a fault was ordered.
func (g *gate) loseAnswer(ctx context.Context) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	faults := g.faults(Caller(ctx))
	if faults.LoseResponses <= 0 {
		return nil
	}
	faults.LoseResponses--
	return errAnswerLost
}

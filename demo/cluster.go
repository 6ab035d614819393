package demo

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/clock"
	"siskinstack.example/siskinstack/daemon"
	"siskinstack.example/siskinstack/standin"
	"siskinstack.example/siskinstack/standin/server"
	"siskinstack.example/siskinstack/standin/site"
)

const (
	// stopTimeout bounds the wait for an entry VM to stop.
	stopTimeout = 8 * time.Second
	// closeTimeout bounds the shutdown of all entry VMs at the end of the demo.
	closeTimeout = 5 * time.Second
)

// process is the daemon of one entry VM. Run serves until ctx ends.
type process interface {
	Run(ctx context.Context) error
}

// startFunc returns the daemon of one entry VM.
type startFunc func(*cluster, *siskinv1.Settings) process

func startDaemon(_ *cluster, settings *siskinv1.Settings) process {
	return daemon.New(settings, logr.Discard())
}

// entryVM is one entry VM of the site.
type entryVM struct {
	settings *siskinv1.Settings
	daemon   process
	cancel   context.CancelFunc
	ended    chan struct{}
}

func (vm *entryVM) name() string { return vm.settings.GetVm() }

// cluster is the stand-in platform with its entry VMs.
type cluster struct {
	site     site.Site
	platform *server.Platform
	vms      []*entryVM

	mu      sync.Mutex // guards stopped
	stopped map[string]bool
}

// startCluster starts the platform and all entry VMs.
func startCluster(
	ctx context.Context, chosen site.Site, operators []*siskinv1.Operator, start startFunc,
) (*cluster, error) {
	platformServer, err := server.Start(server.Options{
		Site: chosen, Clock: clock.Real{}, Plan: standin.CommandPlan, RequestDuration: requestTime,
	})
	if err != nil {
		return nil, err
	}
	c := &cluster{site: chosen, platform: platformServer, stopped: map[string]bool{}}
	listens, err := chosen.Addresses(0)
	if err != nil {
		platformServer.Close()
		return nil, err
	}
	for _, settings := range chosen.Settings(listens, operators, platformServer.URLFor) {
		c.vms = append(c.vms, startVM(ctx, settings, start(c, settings)))
	}
	return c, nil
}

func startVM(ctx context.Context, settings *siskinv1.Settings, daemon process) *entryVM {
	ctx, cancel := context.WithCancel(ctx)
	vm := &entryVM{settings: settings, daemon: daemon, cancel: cancel, ended: make(chan struct{})}
	go func() {
		defer close(vm.ended)
		_ = vm.daemon.Run(ctx)
	}()
	return vm
}

// close stops all entry VMs and the platform.
func (c *cluster) close() {
	for _, vm := range c.vms {
		vm.cancel()
	}
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	for _, vm := range c.vms {
		_ = waitEnded(ctx, vm)
	}
	c.platform.Close()
}

func waitEnded(ctx context.Context, vm *entryVM) error {
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	select {
	case <-vm.ended:
		return nil
	case <-ctx.Done():
		return eris.Errorf("%s has not ended after %s", vm.name(), stopTimeout)
	}
}

// live returns the entry VMs that were neither killed nor stopped.
func (c *cluster) live() []*entryVM {
	c.mu.Lock()
	defer c.mu.Unlock()
	var live []*entryVM
	for _, vm := range c.vms {
		if !c.stopped[vm.name()] {
			live = append(live, vm)
		}
	}
	return live
}

func (c *cluster) markStopped(vm *entryVM) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped[vm.name()] = true
}

// killer is a daemon that can be killed without notice: listeners and connections close, nothing is handed over.
type killer interface{ Kill() }

// kill stops an entry VM without notice. It isolates the VM from the platform, its workers and its endpoints first, so
// that the VM can hand nothing over. A daemon without Kill stops when its context is cancelled, which its callers see
// as a planned stop.
func (c *cluster) kill(vm *entryVM) {
	c.platform.Network.Isolate(vm.name())
	if killable, ok := vm.daemon.(killer); ok {
		killable.Kill()
	}
	vm.cancel()
	c.markStopped(vm)
}

// stopper is a daemon that implements a planned stop. The planned stop of other daemons is the cancellation of their
// context.
type stopper interface {
	Stop(ctx context.Context) error
}

// stop performs a planned stop of an entry VM and waits until its daemon has ended.
func (c *cluster) stop(ctx context.Context, vm *entryVM) error {
	if stoppable, ok := vm.daemon.(stopper); ok {
		if err := stoppable.Stop(ctx); err != nil {
			return err
		}
	}
	vm.cancel()
	defer c.markStopped(vm)
	return waitEnded(ctx, vm)
}

// owner returns the live entry VM that owns a zone's first shard; nil if none does.
func (c *cluster) owner(ctx context.Context, zone string) *entryVM {
	kv, err := c.platform.Store.Get(ctx, "shards/"+zone+"-0")
	if err != nil {
		return nil
	}
	for _, vm := range c.live() {
		if bytes.Contains(kv.Value, []byte(vm.name())) {
			return vm
		}
	}
	return nil
}

// ownerLimit is twice the target of 5 s for a takeover, so that a late one is still measured.
const ownerLimit = 10 * time.Second

// waitOwner waits until a zone's first shard has a live owner.
func (c *cluster) waitOwner(ctx context.Context, zone string) (*entryVM, error) {
	var vm *entryVM
	err := waitFor(ctx, ownerLimit, "an owner of "+zone, func() bool {
		vm = c.owner(ctx, zone)
		return vm != nil
	})
	return vm, err
}

// pollInterval is the time between two checks of an awaited condition.
const pollInterval = 50 * time.Millisecond

func waitFor(ctx context.Context, limit time.Duration, condition string, done func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for !done() {
		if !pause(ctx, pollInterval) {
			return eris.Errorf("waited %s for %s", limit, condition)
		}
	}
	return nil
}

// pause waits for d and returns true, or false if ctx ends first.
func pause(ctx context.Context, d time.Duration) bool { return clock.Real{}.Sleep(ctx, d) == nil }

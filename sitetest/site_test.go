package sitetest

import (
	"bytes"
	"context"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/stdr"
	"gotest.tools/v3/assert"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/apiclient"
	"siskinstack.example/siskinstack/clock"
	"siskinstack.example/siskinstack/daemon"
	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/resource"
	"siskinstack.example/siskinstack/standin"
	"siskinstack.example/siskinstack/standin/server"
	"siskinstack.example/siskinstack/standin/site"
)

const (
	gib  = 1 << 30
	core = 1000
	// takeoverTarget, keyTarget, drainTarget and bundleTarget are the targets of docs/design.md, 1.2 and 2.9.
	takeoverTarget = 5 * time.Second
	keyTarget      = 3 * time.Second
	drainTarget    = 3 * time.Second
	bundleTarget   = 9 * time.Second
	// leaseTTL is the time to live of the lease with which a VM holds its shards.
	leaseTTL = 3 * time.Second
	// startLimit bounds the time until a site serves; a VM acquires no shard in its first 3 s.
	startLimit = 20 * time.Second
	closeLimit = 15 * time.Second
	// shutdownLimit is the shutdown timeout in the settings, which bounds a planned stop.
	shutdownLimit = 6 * time.Second
	pollInterval  = 20 * time.Millisecond
	// testCaller is the caller name of the tests' own store calls, which are exempt from faults.
	testCaller = "observer"
)

// smallSite returns a site with few workers and endpoints, so that many sites can run in parallel.
func smallSite() site.Site {
	s := site.Kvarali()
	s.Workers, s.WorkersPerRack, s.Endpoints = 9, 2, 6
	s.WorkerCapacity = resource.Vector{MilliCPU: 16 * core, MemoryBytes: 64 * gib}
	s.VMListLag = 500 * time.Millisecond
	s.Teams = []site.Team{
		{Name: "bookings", Share: 4, CeilingPercent: 60},
		{Name: "rosters", Share: 2, CeilingPercent: 60},
		{Name: "ledgers", Share: 1, CeilingPercent: 40},
	}
	return s
}

// entryVM is one entry VM. A replacement has the same settings and a new process.
type entryVM struct {
	name     string
	settings *siskinv1.Settings
	pauser   *pauser

	daemon *daemon.Daemon
	cancel context.CancelFunc
	ended  chan struct{}
}

// cluster is a running site and the records of its callers' calls.
type cluster struct {
	t         *testing.T
	site      site.Site
	platform  *server.Platform
	operators map[string]apiclient.OperatorKey
	options   clusterOptions
	vms       []*entryVM
	records   *recorder
	clients   *clients
	load      load

	mu      sync.Mutex // guards stopped, keys, bundle
	stopped map[string]bool
	keys    map[string]apiclient.IssuedKey
	// bundle is the newest signed-off bundle.
	bundle *siskinv1.Bundle
}

// clusterOptions are the options of a test case's site.
type clusterOptions struct {
	// pausable makes sleeps of the VMs wait during a pause; their connections always do.
	pausable bool
	// openToAll makes the service accept requests without a key.
	openToAll bool
	// plan defines how tasks behave; nil derives it from the command.
	plan standin.RunPlan
	// noAtMostOnce leaves out at-most-once work, which may legitimately fail when workers fail tasks.
	noAtMostOnce bool
}

func startCluster(t *testing.T, options clusterOptions) *cluster {
	chosen := smallSite()
	plan := options.plan
	if plan == nil {
		plan = standin.CommandPlan
	}
	running, err := server.Start(server.Options{Site: chosen, Clock: clock.Real{}, Plan: plan, RequestDuration: requestWork})
	assert.NilError(t, err)
	c := &cluster{
		t: t, site: chosen, platform: running, operators: map[string]apiclient.OperatorKey{}, options: options,
		records: &recorder{}, clients: newClients(), stopped: map[string]bool{}, keys: map[string]apiclient.IssuedKey{},
	}
	c.healStore()
	var operators []*siskinv1.Operator
	for _, name := range []string{author, reviewer, signer} {
		key, err := apiclient.NewOperatorKey(name)
		assert.NilError(t, err)
		c.operators[name] = key
		operators = append(operators, key.Settings())
	}
	listens := listenAddresses(t, chosen)
	for i, settings := range chosen.Settings(listens, operators, running.URLFor) {
		settings.Limits = &siskinv1.Limits{ShutdownTimeoutMs: shutdownLimit.Milliseconds()}
		vm := &entryVM{name: settings.GetVm(), settings: settings}
		running.Network.Register(vm.name, chosen.Zone(i), settings.GetListen().GetPeers())
		c.vms = append(c.vms, vm)
		c.start(vm)
	}
	t.Cleanup(c.close)
	c.prepare()
	return c
}

const (
	// firstPort and lastPort are below the ports that the system assigns to outgoing connections, so that the ports of a
	// replaced VM are still free.
	firstPort, lastPort = 12_000, 32_000
	// portsPerSite is the number of addresses of six entry VMs.
	portsPerSite = 18
)

// nextPortBlock is the next block of ports to try. Each process starts at a different block.
var nextPortBlock atomic.Int64

func listenAddresses(t *testing.T, chosen site.Site) []*siskinv1.Listen {
	const blocks = (lastPort - firstPort) / portsPerSite
	nextPortBlock.CompareAndSwap(0, int64(os.Getpid()*64))
	var err error
	for range blocks {
		first := firstPort + int(nextPortBlock.Add(1)%blocks)*portsPerSite
		var listens []*siskinv1.Listen
		if listens, err = chosen.Addresses(first); err == nil {
			return listens
		}
	}
	t.Fatal(err)
	return nil
}

// prepare signs off the first bundle, issues the keys and waits until every VM accepts them.
func (c *cluster) prepare() {
	for _, zone := range c.site.Zones {
		c.waitFor(startLimit, "an owner of "+zone, func() bool { return c.owner(zone) != nil })
	}
	first := c.site.Bundle(1)
	first.Services[0].OpenToAll = c.options.openToAll
	c.signOff(first)
	c.waitInForce(bundleTarget, 1, c.vms...)
	for _, team := range c.site.Teams {
		key := c.issueKey(team.Name)
		c.mu.Lock()
		c.keys[team.Name] = key
		c.mu.Unlock()
	}
	for _, vm := range c.vms {
		for _, team := range c.site.Teams {
			c.waitFor(startLimit, "the key of "+team.Name+" on "+vm.name, func() bool {
				_, err := c.client(vm, c.key(team.Name)).ListWork(c.t.Context(), 1, "")
				return err == nil
			})
		}
	}
	c.waitFor(startLimit, "a first answer", func() bool {
		_, err := c.sendThrough(c.t.Context(), c.vms[0], probeRequest(c.records.uniqueName("first")))
		return err == nil
	})
}

func testLogger(vm string) logr.Logger {
	if os.Getenv("SITETEST_LOG") == "" {
		return logr.Discard()
	}
	return stdr.New(nil).WithName(vm)
}

// start starts the process of an entry VM.
func (c *cluster) start(vm *entryVM) {
	vm.pauser = newPauser()
	plain := (&net.Dialer{Timeout: time.Second}).DialContext
	options := []daemon.Option{
		daemon.WithPeerDialer(vm.pauser.dialer(c.platform.Network.Dialer(vm.name))),
		daemon.WithPlatformDialer(vm.pauser.dialer(plain)), daemon.WithListener(vm.pauser.listen),
	}
	if c.options.pausable {
		options = append(options, daemon.WithClock(pausableClock{pauser: vm.pauser}))
	}
	vm.daemon = daemon.New(vm.settings, testLogger(vm.name), options...)
	ctx, cancel := context.WithCancel(context.Background())
	vm.cancel, vm.ended = cancel, make(chan struct{})
	started, ended := vm.daemon, vm.ended
	go func() {
		defer close(ended)
		if err := started.Run(ctx); err != nil {
			c.t.Errorf("%s: %v", vm.name, err)
		}
	}()
	c.setStopped(vm, false)
}

func (c *cluster) setStopped(vm *entryVM, stopped bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped[vm.name] = stopped
}

// live returns the VMs whose processes run, including those that are paused or partitioned: callers cannot tell.
func (c *cluster) live() []*entryVM {
	c.mu.Lock()
	defer c.mu.Unlock()
	var live []*entryVM
	for _, vm := range c.vms {
		if !c.stopped[vm.name] {
			live = append(live, vm)
		}
	}
	return live
}

func (c *cluster) close() {
	c.load.stop()
	c.heal()
	for _, vm := range c.vms {
		vm.daemon.Kill()
		vm.cancel()
	}
	deadline := time.After(closeLimit)
	for _, vm := range c.vms {
		select {
		case <-vm.ended:
		case <-deadline:
			c.t.Errorf("%s has not ended after %s", vm.name, closeLimit)
		}
	}
	c.clients.close()
	c.platform.Close()
}

// heal removes all faults of the platform and the network and resumes paused VMs. Killed VMs are not restarted.
func (c *cluster) heal() {
	c.healStore()
	c.platform.VMs.SetFaults(standin.Faults{})
	for _, zone := range c.site.Zones {
		c.platform.Network.HealZone(zone)
	}
	for _, vm := range c.vms {
		vm.pauser.resume()
		c.healVM(vm)
	}
	for _, target := range c.platform.Fleet {
		switch target.Role {
		case infra.RoleWorker:
			c.platform.Workers.SetFaults(target.Name, standin.WorkerFaults{})
		case infra.RoleEndpoint:
			c.platform.Endpoints.SetFaults(target.Name, standin.EndpointFaults{})
		}
	}
}

func (c *cluster) healVM(vm *entryVM) {
	for _, other := range c.platform.Fleet {
		c.platform.Network.Heal(vm.name, other.Name)
	}
	c.platform.Network.Heal(vm.name, server.StoreName)
}

// healStore removes the store's faults and exempts the tests' own calls from later ones.
func (c *cluster) healStore() {
	c.platform.Store.ClearFaults()
	c.platform.Store.SetFaultsFor(testCaller, standin.Faults{})
}

// ownership returns the store entry that records the owner of a zone's shard.
func (c *cluster) ownership(zone string) (infra.KeyValue, bool) {
	kv, err := c.platform.Store.Get(standin.WithCaller(context.Background(), testCaller), "shards/"+zone+"-0")
	return kv, err == nil
}

// owner returns the VM that owns a zone's shard; nil if none does.
func (c *cluster) owner(zone string) *entryVM {
	kv, ok := c.ownership(zone)
	if !ok {
		return nil
	}
	for _, vm := range c.live() {
		if bytes.Contains(kv.Value, []byte(vm.name)) {
			return vm
		}
	}
	return nil
}

// waitOwner waits for an owner of a zone's shard and returns it.
func (c *cluster) waitOwner(zone string) *entryVM {
	var vm *entryVM
	c.waitFor(2*takeoverTarget, "an owner of "+zone, func() bool {
		vm = c.owner(zone)
		return vm != nil
	})
	return vm
}

// waitFor fails the test if done does not become true within the limit, and returns how long that took.
func (c *cluster) waitFor(limit time.Duration, what string, done func() bool) time.Duration {
	c.t.Helper()
	began := time.Now()
	for !done() {
		if time.Since(began) > limit {
			c.t.Fatalf("waited %s for %s", limit, what)
		}
		time.Sleep(pollInterval)
	}
	return time.Since(began)
}

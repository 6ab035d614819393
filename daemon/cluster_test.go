package daemon_test

import (
	"context"
	"errors"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/apiclient"
	"siskinstack.example/siskinstack/clock"
	"siskinstack.example/siskinstack/daemon"
	"siskinstack.example/siskinstack/refusal"
	"siskinstack.example/siskinstack/standin"
	"siskinstack.example/siskinstack/standin/server"
	"siskinstack.example/siskinstack/standin/site"
)

const (
	// bundleTarget is the time within which a bundle must be in force on every VM, keyTarget that after which no VM may accept
	// a withdrawn key (docs/design.md, 2.9).
	bundleTarget = 9 * time.Second
	keyTarget    = 3 * time.Second
	// readyLimit bounds the start of a cluster: a VM that has just started waits 3 s before it acquires a shard.
	readyLimit   = 15 * time.Second
	pollInterval = 10 * time.Millisecond
	team         = "booking"
)

// vm is one entry VM that runs in this process.
type vm struct {
	settings *siskinv1.Settings
	daemon   *daemon.Daemon
	cancel   context.CancelFunc
	ended    chan struct{}
}

// cluster is a small site on the loopback interface.
type cluster struct {
	t         *testing.T
	site      site.Site
	platform  *server.Platform
	operators map[string]apiclient.OperatorKey
	transport http.RoundTripper
	scheme    string
	vms       []*vm
	// key is a key of the team.
	key string
}

// newCluster starts a platform and makes the settings of three entry VMs, one per zone. change edits them.
func newCluster(t *testing.T, change func(*siskinv1.Settings)) *cluster {
	chosen := site.Kvarali()
	chosen.EntryVMs, chosen.Workers, chosen.Endpoints = 3, 6, 2
	running, err := server.Start(server.Options{
		Site: chosen, Clock: clock.Real{}, Plan: standin.CommandPlan,
		RequestDuration: func(string, []byte) time.Duration { return time.Millisecond },
	})
	assert.NilError(t, err)
	t.Cleanup(running.Close)
	c := &cluster{t: t, site: chosen, platform: running, operators: map[string]apiclient.OperatorKey{}, scheme: "http://"}
	transport := &http.Transport{MaxIdleConnsPerHost: 8}
	t.Cleanup(transport.CloseIdleConnections)
	c.transport = transport
	var operators []*siskinv1.Operator
	for _, name := range []string{"ann", "bob", "cem", "dia"} {
		key, err := apiclient.NewOperatorKey(name)
		assert.NilError(t, err)
		c.operators[name] = key
		operators = append(operators, key.Settings())
	}
	listens := freeAddresses(t, chosen)
	for _, settings := range chosen.Settings(listens, operators, running.URLFor) {
		running.Network.Register(settings.GetVm(), settings.GetZone(), settings.GetListen().GetPeers())
		settings.Limits = &siskinv1.Limits{ShutdownTimeoutMs: 2000}
		change(settings)
		c.vms = append(c.vms, &vm{settings: settings})
	}
	t.Cleanup(c.killAll)
	return c
}

const (
	// Ports for listeners are below the ephemeral port range (32768 and up). A free ephemeral port could be assigned to a
	// connection of another cluster before its VM listens.
	firstPort = 12_000
	portCount = 20_000
	portBlock = 10
)

// nextBlock counts the blocks of ports that this process has tried.
var nextBlock atomic.Int64

// freeAddresses returns addresses that no other cluster of this process gets. Other processes start at another block.
func freeAddresses(t *testing.T, chosen site.Site) []*siskinv1.Listen {
	for range portCount / portBlock {
		block := int64(os.Getpid())*31 + nextBlock.Add(1)
		first := firstPort + int(block%(portCount/portBlock))*portBlock
		if listens, err := chosen.Addresses(first); err == nil {
			return listens
		}
	}
	t.Fatal("no free ports")
	return nil
}

func unchanged(*siskinv1.Settings) {}

// startAll starts all VMs, brings a first bundle into force and issues a key.
func (c *cluster) startAll() {
	for _, m := range c.vms {
		c.start(m)
	}
	c.waitFor(readyLimit, "a first bundle", func() bool { return c.signOff(c.vms[0], "cem", c.site.Bundle(1)) == nil })
	c.waitInForce(1, bundleTarget, c.vms...)
	issued, err := c.operator(c.vms[0], "ann").IssueKey(c.t.Context(), team)
	assert.NilError(c.t, err)
	c.key = issued.Key
	for _, m := range c.vms {
		c.waitFor(readyLimit, m.settings.GetVm()+" to serve requests", func() bool { return c.send(m, c.key) == nil })
	}
}

func (c *cluster) start(m *vm) {
	var ctx context.Context
	ctx, m.cancel = context.WithCancel(context.Background())
	m.ended = make(chan struct{})
	dial := c.platform.Network.Dialer(m.settings.GetVm())
	m.daemon = daemon.New(m.settings, logr.Discard(), daemon.WithPeerDialer(dial))
	go func() {
		defer close(m.ended)
		if err := m.daemon.Run(ctx); err != nil {
			c.t.Errorf("%s ended: %v", m.settings.GetVm(), err)
		}
	}()
}

// kill stops a VM at once and waits until it has stopped.
func (c *cluster) kill(m *vm) {
	if m.cancel == nil {
		return
	}
	m.daemon.Kill()
	<-m.ended
	m.cancel()
	m.cancel = nil
}

func (c *cluster) killAll() {
	var all sync.WaitGroup
	for _, m := range c.vms {
		all.Go(func() { c.kill(m) })
	}
	all.Wait()
}

func (c *cluster) client(m *vm, key string) *apiclient.Client {
	client, err := apiclient.New(apiclient.Options{
		Servers: []string{c.scheme + m.settings.GetListen().GetCallers()}, Key: key, Transport: c.transport,
	})
	assert.NilError(c.t, err)
	return client
}

func (c *cluster) operator(m *vm, name string) *apiclient.Client {
	return c.client(m, c.operators[name].Bearer())
}

// send sends one idempotent request.
func (c *cluster) send(m *vm, key string) error {
	ctx, cancel := context.WithTimeout(c.t.Context(), 2*time.Second)
	defer cancel()
	response, err := c.client(m, key).Send(ctx, apiclient.Request{
		Service: c.site.Service, Body: []byte("x"), ContentType: "text/plain", Idempotent: true,
	})
	if err == nil && response.Status != http.StatusOK {
		return errors.New(http.StatusText(response.Status))
	}
	return err
}

// signOff proposes, reviews and signs a bundle on one VM. Steps whose outcome is unknown are retried.
func (c *cluster) signOff(m *vm, signer string, b *siskinv1.Bundle) error {
	ctx, cancel := context.WithTimeout(c.t.Context(), bundleTarget)
	defer cancel()
	proposal, err := retryUnknown(func() (*siskinv1.BundleProposal, error) { return c.operator(m, "ann").ProposeBundle(ctx, b, "") })
	if err != nil {
		return err
	}
	if proposal, err = retryUnknown(func() (*siskinv1.BundleProposal, error) {
		return c.operator(m, "bob").ReviewBundle(ctx, b.GetVersion(), proposal.GetContentSha256())
	}); err != nil {
		return err
	}
	return c.sign(ctx, m, signer, proposal)
}

func (c *cluster) sign(ctx context.Context, m *vm, signer string, proposal *siskinv1.BundleProposal) error {
	signature, err := apiclient.Sign(proposal, signer, c.operators[signer].SignOff)
	if err != nil {
		return err
	}
	_, err = retryUnknown(func() (*siskinv1.BundleProposal, error) {
		return c.operator(m, signer).SignOffBundle(ctx, proposal.GetBundle().GetVersion(), proposal.GetContentSha256(), signature)
	})
	return err
}

// retryUnknown retries a call whose outcome is unknown, up to 5 calls in all.
func retryUnknown[T any](call func() (T, error)) (T, error) {
	var result T
	var err error
	for range 5 {
		if result, err = call(); reasonOf(err) != refusal.AcceptanceUnknown {
			break
		}
	}
	return result, err
}

func reasonOf(err error) refusal.Reason {
	var refused *apiclient.Refusal
	if errors.As(err, &refused) {
		return refused.Reason
	}
	return ""
}

// version returns the version that a VM reports as in force on itself; 0 if it does not answer.
func (c *cluster) version(m *vm) int64 {
	ctx, cancel := context.WithTimeout(c.t.Context(), time.Second)
	defer cancel()
	status, err := c.operator(m, "ann").BundleStatus(ctx)
	if err != nil {
		return 0
	}
	return int64(status.Version)
}

func (c *cluster) waitInForce(version int64, limit time.Duration, vms ...*vm) time.Duration {
	c.t.Helper()
	began := time.Now()
	for {
		versions := map[string]int64{}
		missing := 0
		for _, m := range vms {
			versions[m.settings.GetVm()] = c.version(m)
			if versions[m.settings.GetVm()] != version {
				missing++
			}
		}
		if missing == 0 {
			return time.Since(began)
		}
		assert.Assert(c.t, time.Since(began) < limit, "waited %s for version %d, have %v", limit, version, versions)
		time.Sleep(pollInterval)
	}
}

// waitFor waits until done returns true and returns how long it took.
func (c *cluster) waitFor(limit time.Duration, what string, done func() bool) time.Duration {
	c.t.Helper()
	began := time.Now()
	for !done() {
		assert.Assert(c.t, time.Since(began) < limit, "waited %s for %s", limit, what)
		time.Sleep(pollInterval)
	}
	return time.Since(began)
}

// cutOffStore partitions a VM from the store.
func (c *cluster) cutOffStore(m *vm) {
	c.platform.Network.Partition(m.settings.GetVm(), server.StoreName)
}

// cutOffPeers partitions a VM from the other entry VMs.
func (c *cluster) cutOffPeers(m *vm) {
	for _, other := range c.vms {
		if other != m {
			c.platform.Network.Partition(m.settings.GetVm(), other.settings.GetVm())
		}
	}
}

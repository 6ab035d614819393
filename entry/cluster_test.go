package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"gotest.tools/v3/assert"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/claim"
	"siskinstack.example/siskinstack/clock"
	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/peer"
	"siskinstack.example/siskinstack/router"
	"siskinstack.example/siskinstack/standin"
	"siskinstack.example/siskinstack/standin/httpclient"
	"siskinstack.example/siskinstack/standin/server"
)

const (
	testService = "order"
	testZones   = 2
)

// memoryLog applies records immediately.
type memoryLog struct{ table *claim.Table }

func (l memoryLog) Append(_ context.Context, record *siskinv1.Record) (bool, error) {
	l.table.Apply(record)
	return true, nil
}

// cluster runs entry VMs and endpoints on loopback sockets, and a VM list.
type cluster struct {
	t         testing.TB
	endpoints *standin.Endpoints
	listed    []infra.VM
	list      *standin.VMList
	claims    *claim.Service
	service   *siskinv1.Service
	vms       []*testVM
	entryVMs  []router.EntryVM
	addresses map[string]string
}

// testVM is one entry VM.
type testVM struct {
	name, zone  string
	incarnation int64
	url         string
	server      *Server
	router      *router.Router
	listener    net.Listener
	peers       *grpc.Server
	clients     *peer.Clients
	stop        func()
}

// newCluster starts n entry VMs, spread over the zones.
func newCluster(t testing.TB, n int, options standin.EndpointOptions, endpointZones ...int) *cluster {
	c := prepareCluster(t, options, endpointZones...)
	c.start(n)
	return c
}

// prepareCluster starts the endpoints, which a test can still replace before start.
func prepareCluster(t testing.TB, options standin.EndpointOptions, endpointZones ...int) *cluster {
	table := claim.NewTable(claim.Limits{})
	c := &cluster{
		t: t, claims: claim.NewService(table, memoryLog{table}), addresses: map[string]string{},
		service: &siskinv1.Service{Name: testService, Slots: 8, Connections: 60, TimeoutMs: 10_000, MaxWaiting: 1000},
	}
	for i, zone := range endpointZones {
		c.listed = append(c.listed, infra.VM{
			Name: fmt.Sprintf("endpoint-%d", i), Role: infra.RoleEndpoint, Zone: zoneName(zone), Service: testService,
		})
	}
	c.endpoints = standin.NewEndpoints(clock.Real{}, c.listed, options)
	for i := range c.listed {
		c.serveEndpoint(i, server.NewEndpoint(c.listed[i].Name, c.endpoints))
	}
	return c
}

func (c *cluster) start(n int) {
	c.list = standin.NewVMList(clock.Real{}, 100*time.Millisecond, c.listed)
	for i := range n {
		c.entryVMs = append(c.entryVMs, router.EntryVM{Name: fmt.Sprintf("entry-%d", i), Zone: zoneName(i % testZones)})
		c.addresses[c.entryVMs[i].Name] = ""
	}
	listeners := make([]net.Listener, n)
	for i, vm := range c.entryVMs {
		listeners[i] = listen(c.t)
		c.addresses[vm.Name] = listeners[i].Addr().String()
	}
	for i := range n {
		c.vms = append(c.vms, c.startVM(i, 1, listeners[i]))
	}
}

func zoneName(i int) string { return fmt.Sprintf("zone-%d", i) }

func listen(t testing.TB) net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	return listener
}

// Owner implements peer.Directory: the last VM owns all shards, so that the others send claims over the peer RPC.
func (c *cluster) Owner(string) (string, bool) { return c.entryVMs[len(c.entryVMs)-1].Name, true }

// serveEndpoint replaces an endpoint by a server of the handler.
func (c *cluster) serveEndpoint(i int, handler http.Handler) {
	s := httptest.NewServer(handler)
	c.t.Cleanup(s.Close)
	c.listed[i].Address = s.Listener.Addr().String()
}

func (c *cluster) startVM(i int, incarnation int64, peers net.Listener) *testVM {
	vm := &testVM{name: c.entryVMs[i].Name, zone: c.entryVMs[i].Zone, incarnation: incarnation}
	vm.clients = peer.NewClients(c.addresses, insecure.NewCredentials())
	calls := httpclient.NewEndpoints(0)
	vm.router = router.New(router.Options{
		VM: vm.name, Zone: vm.zone, Incarnation: incarnation, EntryVMs: c.entryVMs, Endpoints: calls, VMs: c.list,
		Clock: clock.Real{}, Services: func() []*siskinv1.Service { return []*siskinv1.Service{c.service} },
		Peers: &peer.RequestClient{Clients: vm.clients}, Seed: uint64(i),
	})
	vm.peers = grpc.NewServer(grpc.MaxRecvMsgSize(peer.MaxMessageBytes))
	siskinv1.RegisterPeerServiceServer(vm.peers, &peer.Server{LocalRequests: vm.router, LocalClaims: c.claims})
	vm.server = New(Options{
		Auth: OpenAccess{}, Requests: vm.router, Shards: func() []string { return []string{"zone-0-0", "zone-1-0"} },
		Claims: claim.NewClient(claim.ClientOptions{
			Shards: &peer.ClaimRouter{VM: vm.name, Local: c.claims, Directory: c, Clients: vm.clients}, Names: func() []string { return []string{"zone-0-0", "zone-1-0"} },
			EntryVM: fmt.Sprintf("%s/%d", vm.name, incarnation), Clock: clock.Real{},
		}),
		Timeouts: Timeouts{Drain: 50 * time.Millisecond},
	})
	vm.listener = listen(c.t)
	vm.url = "http://" + vm.listener.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	vm.router.RefreshList(ctx)
	var tasks sync.WaitGroup
	tasks.Go(func() { vm.router.Run(ctx) })
	tasks.Go(func() { _ = vm.peers.Serve(peers) })
	tasks.Go(func() { _ = vm.server.Serve(vm.listener) })
	vm.stop = sync.OnceFunc(func() {
		cancel()
		vm.peers.Stop()
		_ = vm.server.http.Close()
		vm.clients.Close()
		calls.Close()
		tasks.Wait()
	})
	c.t.Cleanup(vm.stop)
	return vm
}

// reply is the response that a caller received, or the error of the call.
type reply struct {
	err     error
	status  int
	body    string
	refusal refusalBody
}

func (r reply) refused() bool { return r.refusal.Reason != "" }

// send sends one request to a VM.
func (c *cluster) send(vm *testVM, body string, headers ...string) reply {
	request, err := http.NewRequest(http.MethodPost, vm.url+"/v1/services/"+testService+"/requests", bytes.NewReader([]byte(body)))
	assert.NilError(c.t, err)
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	return do(request)
}

func do(request *http.Request) reply {
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	got := reply{err: err, status: response.StatusCode, body: string(content)}
	if response.Header.Get(HeaderReason) != "" {
		got.err = json.Unmarshal(content, &got.refusal)
	}
	return got
}

// sendAll sends n concurrent requests, spread over all VMs, each with a different body.
func (c *cluster) sendAll(n int, headers ...string) map[string]reply {
	var mu sync.Mutex // guards replies
	replies := map[string]reply{}
	var tasks sync.WaitGroup
	for i := range n {
		tasks.Go(func() {
			body := fmt.Sprintf("request %d", i)
			got := c.send(c.vms[i%len(c.vms)], body, headers...)
			mu.Lock()
			defer mu.Unlock()
			replies[body] = got
		})
	}
	tasks.Wait()
	return replies
}

// runs returns the number of runs by body.
func (c *cluster) runs() map[string]int {
	runs := map[string]int{}
	for _, run := range c.endpoints.Runs() {
		runs[run.Body]++
	}
	return runs
}

// eventually waits for a condition, at most 10 s.
func eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	for range 1000 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("not reached: %s", what)
}

func workFor(d time.Duration) standin.EndpointOptions {
	return standin.EndpointOptions{Slots: 8, RequestDuration: func(string, []byte) time.Duration { return d }}
}

package capacity_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"gotest.tools/v3/assert"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/bundle"
	"siskinstack.example/siskinstack/clock"
	"siskinstack.example/siskinstack/configview"
	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/membership"
	"siskinstack.example/siskinstack/peer"
	"siskinstack.example/siskinstack/resource"
	"siskinstack.example/siskinstack/standin"
	"siskinstack.example/siskinstack/standin/httpclient"
	"siskinstack.example/siskinstack/standin/server"
	"siskinstack.example/siskinstack/teamkey"
)

// heartbeatServer is a peer.Control that serves only heartbeats.
type heartbeatServer struct {
	peer.Control
	members *membership.Manager
}

func (s heartbeatServer) Heartbeat(_ context.Context, request *siskinv1.HeartbeatRequest) (*siskinv1.HeartbeatResponse, error) {
	return s.members.Receive(request)
}

// localReport returns the load of the given number of shards and the usage of the given number of teams in each.
func localReport(shards, teams int) membership.Local {
	local := membership.Local{ConfigRevision: 5_000_000, ConfigAge: 300 * time.Millisecond, BundleVersion: 4_500, StoreReachable: true}
	amount := &siskinv1.Resources{MilliCpu: 12_345_000, MemoryBytes: 23 << 40, Accelerators: 120}
	for i := range shards {
		name := fmt.Sprintf("taichung-%d-0", i+1)
		local.Shards = append(local.Shards, &siskinv1.ShardLoad{
			Shard: name, Epoch: 4_000_000, Free: amount, Total: amount, QueuedTasks: 12_000, RunningTasks: 10_000,
		})
		for team := range teams {
			local.Usage = append(local.Usage, &siskinv1.TeamUsage{Team: teamName(team), Shard: name, Running: amount, Queued: amount})
		}
	}
	return local
}

// BenchmarkHeartbeat measures a heartbeat between two entry VMs over gRPC, by the number of shards and teams reported.
func BenchmarkHeartbeat(b *testing.B) {
	for _, size := range []struct{ shards, teams int }{{1, 0}, {1, 6}, {1, 45}, {2, 45}} {
		b.Run(fmt.Sprintf("shards=%d/teams=%d", size.shards, size.teams), func(b *testing.B) { measureHeartbeat(b, localReport(size.shards, size.teams)) })
	}
}

func measureHeartbeat(b *testing.B, local membership.Local) {
	listener := listen(b)
	to := membership.NewManager(membership.Options{
		VM: "entry-1", Incarnation: 1_700_000_000_000, Clock: clock.Real{}, Peers: []membership.Peer{{VM: "entry-0"}},
		Local: func() membership.Local { return local },
	})
	serving := grpc.NewServer()
	siskinv1.RegisterPeerServiceServer(serving, &peer.Server{LocalControl: heartbeatServer{members: to}})
	go func() { _ = serving.Serve(listener) }()
	defer serving.Stop()
	var wire traffic
	dial := func(ctx context.Context, address string) (net.Conn, error) { return wire.dial(ctx, "tcp", address) }
	clients := peer.NewClients(map[string]string{"entry-1": listener.Addr().String()}, insecure.NewCredentials(), grpc.WithContextDialer(dial))
	defer clients.Close()
	now := clock.NewFake(time.Now())
	from := membership.NewManager(membership.Options{
		VM: "entry-0", Incarnation: 1_700_000_000_000, Clock: now, Peers: []membership.Peer{{VM: "entry-1"}},
		Sender: &peer.ControlClient{Clients: clients}, Local: func() membership.Local { return local },
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		from.Run(ctx)
	}()
	before := processorTime()
	for b.Loop() {
		heartbeatRound(now, from)
	}
	processor := processorTime() - before
	cancel()
	<-ended
	sent := from.Stats()
	n := float64(sent.Sent)
	b.ReportMetric(float64(sent.SentBytes)/n, "message-B")
	b.ReportMetric(float64(wire.out.Load())/n, "wire-out-B")
	b.ReportMetric(float64(wire.in.Load())/n, "wire-in-B")
	b.ReportMetric(float64(processor.Microseconds())/n, "both-ends-µs")
}

// heartbeatRound runs one round of heartbeats. The manager must be waiting for the next round, with no call in flight.
func heartbeatRound(now *clock.Fake, manager *membership.Manager) {
	before := manager.Stats().Sent
	for manager.Stats().Sent == before {
		now.Advance(membership.Interval)
		time.Sleep(200 * time.Microsecond)
	}
}

// BenchmarkRenewal measures the bytes and the owner's processor time of a renewal by the number of tasks on the worker.
func BenchmarkRenewal(b *testing.B) {
	for _, tasks := range []int{0, 1, 7, 28} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			vms := workersOf(benchZone, 1)
			vms[0].Capacity = resource.Vector{MilliCPU: 64_000, MemoryBytes: 128 * gib}
			var wire traffic
			client := httpclient.NewWithDialer(startStandin(b, 1), wire.dial)
			defer client.Close()
			authority := infra.Authority{Shard: benchShard, Epoch: 4_000_000}
			for i := range tasks {
				assert.NilError(b, client.Start(b.Context(), infra.StartRequest{
					Authority: authority, Worker: vms[0].Name, Team: "stitching", Lease: time.Hour, Command: []string{"serve", "-"},
					Task:      infra.TaskRef{Job: fmt.Sprintf("%s.%064d", benchShard, i), Attempt: 1},
					Resources: resource.Vector{MilliCPU: 2000, MemoryBytes: 4 * gib},
				}))
			}
			in, out, before, n := wire.in.Load(), wire.out.Load(), processorTime(), 0
			for b.Loop() {
				report, err := client.Renew(b.Context(), infra.RenewRequest{Authority: authority, Worker: vms[0].Name, Lease: time.Hour})
				assert.NilError(b, err)
				assert.Equal(b, len(report.Tasks), tasks)
				n++
			}
			b.ReportMetric(float64(wire.in.Load()-in)/float64(n), "in-B")
			b.ReportMetric(float64(wire.out.Load()-out)/float64(n), "out-B")
			b.ReportMetric(float64((processorTime()-before).Microseconds())/float64(n), "owner-µs")
		})
	}
}

// BenchmarkVMListUnchanged measures a read of the platform's VM list that has not changed since the last read, by the
// size of the fleet.
func BenchmarkVMListUnchanged(b *testing.B) {
	for _, workers := range []int{50, 1400, 9800} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			var wire traffic
			client := httpclient.NewWithDialer(startStandin(b, workers), wire.dial)
			defer client.Close()
			reader := client.VMs()
			_, err := reader.List(b.Context())
			assert.NilError(b, err)
			before, bytes, n := processorTime(), wire.in.Load()+wire.out.Load(), 0
			for b.Loop() {
				_, err := reader.List(b.Context())
				assert.NilError(b, err)
				n++
			}
			b.ReportMetric(float64(wire.in.Load()+wire.out.Load()-bytes)/float64(n), "both-ways-B")
			b.ReportMetric(float64((processorTime()-before).Microseconds())/float64(n), "reader-µs")
		})
	}
}

// BenchmarkVMList measures one read of the platform's VM list by the size of the fleet.
func BenchmarkVMList(b *testing.B) {
	for _, workers := range []int{50, 1400, 9800} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			var wire traffic
			client := httpclient.NewWithDialer(startStandin(b, workers), wire.dial)
			defer client.Close()
			before, empty, n := processorTime(), heap(), 0
			var list infra.VMs
			for b.Loop() {
				var err error
				list, err = client.VMs().List(b.Context())
				assert.NilError(b, err)
				n++
			}
			processor := processorTime() - before
			b.ReportMetric(float64(wire.in.Load())/float64(n), "in-B")
			b.ReportMetric(float64(processor.Microseconds())/float64(n), "reader-µs")
			b.ReportMetric(heap()-empty, "heap-B")
			assert.Equal(b, len(list.VMs), workers)
		})
	}
}

// BenchmarkLoadQuery measures a load query to an endpoint, on the endpoint's side of the connection.
func BenchmarkLoadQuery(b *testing.B) {
	for _, inFlight := range []int{0, 8} {
		b.Run(fmt.Sprintf("in-flight=%d", inFlight), func(b *testing.B) {
			var wire traffic
			vm := infra.VM{Name: "endpoint-0", Role: infra.RoleEndpoint, Zone: benchZone, Service: "orders"}
			endpoints := standin.NewEndpoints(clock.Real{}, []infra.VM{vm}, standin.EndpointOptions{
				Slots: 8, Connections: 60, RequestDuration: func(string, []byte) time.Duration { return time.Hour },
			})
			serving := &http.Server{Handler: server.NewEndpoint(vm.Name, endpoints), ReadHeaderTimeout: time.Second}
			listener := listen(b)
			go func() { _ = serving.Serve(meteredListener{listener, &wire}) }()
			defer func() { _ = serving.Close() }()
			ctx, cancel := context.WithCancel(b.Context())
			defer cancel()
			for i := range inFlight {
				go func() {
					_, _ = endpoints.Call(ctx, infra.EndpointRequest{Endpoint: vm.Name, RequestID: fmt.Sprintf("%032d", i), From: fmt.Sprintf("entry-%d@1700000000000", i%2)})
				}()
			}
			for endpoints.Running() < inFlight {
				time.Sleep(time.Millisecond)
			}
			client := httpclient.NewEndpoints(30)
			defer client.Close()
			n := 0
			for b.Loop() {
				_, err := client.Load(b.Context(), vm.Name, listener.Addr().String())
				assert.NilError(b, err)
				n++
			}
			b.ReportMetric(float64(wire.in.Load())/float64(n), "in-B")
			b.ReportMetric(float64(wire.out.Load())/float64(n), "out-B")
		})
	}
}

type noPeers struct{}

func (noPeers) States() []configview.PeerState { return nil }
func (noPeers) FetchConfig(context.Context, string, *siskinv1.FetchConfigRequest) (*siskinv1.FetchConfigResponse, error) {
	return nil, infra.ErrNotSent
}

// BenchmarkConfigChange measures the cost of a configuration change on an entry VM by the number of keys.
func BenchmarkConfigChange(b *testing.B) {
	for _, keys := range []int{200, 2000} {
		b.Run(fmt.Sprintf("keys=%d", keys), func(b *testing.B) { measureConfig(b, keys) })
	}
}

func measureConfig(b *testing.B, keys int) {
	var wire traffic
	url := startStandin(b, 1)
	client := httpclient.NewWithDialer(url, wire.dial)
	defer client.Close()
	writer := httpclient.New(url)
	defer writer.Close()
	registry := teamkey.NewRegistry(writer, clock.Real{})
	for i := range keys {
		_, _, err := registry.Issue(b.Context(), teamName(i%benchTeams), "alice")
		assert.NilError(b, err)
	}
	empty := heap()
	view := configview.New(configview.Options{Store: client, Clock: clock.Real{}, Logger: logr.Discard(), Signers: bundle.NewSigners(nil), Peers: noPeers{}})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	before := processorTime()
	go func() {
		defer close(ended)
		view.Run(ctx)
	}()
	for len(view.Snapshot().Keys()) < keys {
		time.Sleep(time.Millisecond)
	}
	listed, listing, perKey := float64(wire.in.Load()), processorTime()-before, (heap()-empty)/float64(keys)
	time.Sleep(time.Second)
	idleFrom, in, out := processorTime(), wire.in.Load(), wire.out.Load()
	time.Sleep(3 * time.Second)
	idle, idleIn, idleOut := processorTime()-idleFrom, float64(wire.in.Load()-in), float64(wire.out.Load()-out)
	in, out = wire.in.Load(), wire.out.Load()
	var waited time.Duration
	n := 0
	processor := processorTime()
	for b.Loop() {
		key, _, err := registry.Issue(b.Context(), teamName(n%benchTeams), "alice")
		assert.NilError(b, err)
		began := time.Now()
		for view.Snapshot().Key(key.ID) == nil {
			time.Sleep(100 * time.Microsecond)
		}
		waited += time.Since(began)
		n++
		time.Sleep(5 * time.Millisecond)
	}
	b.ReportMetric(float64((processorTime()-processor).Microseconds())/float64(n), "change-µs")
	b.ReportMetric(float64(wire.in.Load()-in)/float64(n), "change-in-B")
	b.ReportMetric(float64(wire.out.Load()-out)/float64(n), "change-out-B")
	b.ReportMetric(float64(waited.Microseconds())/float64(n), "seen-after-µs")
	b.ReportMetric(listed, "relist-B")
	b.ReportMetric(float64(listing.Microseconds()), "relist-µs")
	b.ReportMetric(perKey, "heap-B/key")
	b.ReportMetric(float64(idle.Microseconds())/3, "idle-µs/s")
	b.ReportMetric(idleIn/3, "idle-in-B/s")
	b.ReportMetric(idleOut/3, "idle-out-B/s")
	cancel()
	<-ended
}

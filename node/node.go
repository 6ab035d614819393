package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/clock"
	"siskinstack.example/siskinstack/controller"
	"siskinstack.example/siskinstack/dispatch"
	"siskinstack.example/siskinstack/election"
	"siskinstack.example/siskinstack/gateway"
	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/peer"
	"siskinstack.example/siskinstack/policy"
	"siskinstack.example/siskinstack/telemetry"
)

const (
	// leaseTTL is how long a machine that is silent keeps the controller's role. It spans several renewals in the slow
	// periods of the store.
	leaseTTL = time.Second
	// freshPart is the part of the revocation bound for which a configuration that cannot be confirmed is relied on.
	freshPart = 0.6
	// memoryPart is the part of the machine's memory that the runtime keeps to.
	memoryPart = 0.6
	// garbagePercent trades memory, of which there is enough, for less processor time.
	garbagePercent = 200
	// memberTimeout and memberPause bound the writing of the machine's entry.
	memberTimeout = 700 * time.Millisecond
	memberPause   = 200 * time.Millisecond
	// drainFirst is how long after the signal to stop the platform still sends new connections: two missed checks.
	drainFirst = 2 * time.Second
	// closeTime is kept of the grace period for closing the connections.
	closeTime = 1500 * time.Millisecond
	// bindTimeout bounds the wait for an address that an earlier process still holds.
	bindTimeout = 2 * time.Second
	bindPause   = 50 * time.Millisecond
	// headerTimeout bounds the reading of a request's header before the configuration is known.
	headerTimeout = 3 * time.Second
	// callerIdle is how long an unused connection of a caller is kept.
	callerIdle = 60 * time.Second
)

// Platform is what the adapter provides.
type Platform struct {
	Store   infra.TxnStore
	Fleet   infra.Fleet
	Advisor infra.Advisor
	// Machines is nil if the platform does not manage machines.
	Machines         infra.Machines
	EncodeWaveStatus func(number int64, completed bool) (key string, value []byte)
	WorkersPrefix    string
	DecodeWorker     func(infra.KeyValue) (infra.FleetWorker, error)
	Policy           policy.Codec
	// Frontend serves callers, Readiness the platform's question whether the machine takes connections.
	Frontend func(g *gateway.Gateway, bodyBytes func() int64) http.Handler
	Readiness func(ready func() error) http.Handler
}

// Node is the process of one machine.
type Node struct {
	settings Settings
	platform Platform
	log      logr.Logger
	registry *prometheus.Registry
	clock    clock.Clock

	incarnation int64
	speed       *speedometer
	view        *policy.View
	session     *election.Session
	elector     *election.Elector
	control     *controller.Controller
	gateway     *gateway.Gateway
	peers       *peer.ClusterClients
	leaving     atomic.Bool
}

// New assembles the process.
func New(settings Settings, platform Platform, log logr.Logger) *Node {
	n := &Node{
		settings: settings, platform: platform, log: log.WithValues("machine", settings.Machine),
		registry: telemetry.NewRegistry(), clock: clock.Boot{}, incarnation: time.Now().UnixMilli(),
		peers: peer.NewClusterClients(),
	}
	platform.Store = newMeteredStore(platform.Store, n.registry)
	n.platform.Store = platform.Store
	n.speed = newSpeedometer(n.log)
	n.view = policy.NewView(platform.Store, n.clock, n.log, platform.Policy)
	n.session = election.NewSession(platform.Store, n.clock, n.log, max(leaseTTL, settings.Store.MinTTL))
	n.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: telemetry.Namespace, Subsystem: "policy", Name: "age_seconds",
		Help: "Time since the configuration in force was last known to be current, in seconds.",
	}, func() float64 { return n.view.Age().Seconds() }))
	n.control = controller.New(controller.Options{
		Store: platform.Store, Fleet: platform.Fleet, Advisor: platform.Advisor, Peers: n.peers, Machines: platform.Machines,
		EncodeWaveStatus: platform.EncodeWaveStatus, Clock: n.clock, Log: n.log,
		Policy: n.view, WorkersPrefix: platform.WorkersPrefix, DecodeWorker: platform.DecodeWorker,
		Machine: settings.Machine, Zone: settings.Zone, Cores: n.cores, Metrics: controller.NewMetrics(n.registry),
		Bounds: controller.Bounds{LeaseMax: settings.Bounds.LeaseMax, MinHolderInterval: settings.Bounds.MinHolderInterval,
			MaintenanceTime: settings.Bounds.MaintenanceTime, Limits: dispatch.Limits{
				StatusKept: settings.Bounds.StatusKept,
			}},
	})
	n.elector = &election.Elector{
		Store: platform.Store, Session: n.session, Clock: n.clock, Log: n.log, Serve: n.control.Serve,
		AcquireDelay: n.deference, MayTakeOverEarly: func() bool { return n.deference() <= fitDeference },
		Self: &siskinv1.Leadership{
			Machine: settings.Machine, Incarnation: n.incarnation, Address: settings.Peers, Zone: settings.Zone,
		},
		AwaitExit: func(ctx context.Context, leader *siskinv1.Leadership) error {
			return peer.AwaitExit(ctx, leader.GetAddress())
		},
	}
	n.gateway = gateway.New(gateway.Options{
		Machine: settings.Machine, Store: platform.Store, Clock: n.clock, Log: n.log, Policy: n.view, Local: n.control, Peers: n.peers,
		Leader: n.elector.Leader, MaxConfigAge: n.freshFor(), Metrics: gateway.NewMetrics(n.registry),
	})
	return n
}

// cores returns what the machine's processors are worth at its present speed.
func (n *Node) cores() float64 {
	speed, _ := n.speed.factor()
	return n.settings.Cores * speed
}

// deference returns how long the machine leaves a free leadership to others at its present speed.
func (n *Node) deference() time.Duration {
	speed, _ := n.speed.factor()
	return n.settings.deference(speed)
}

func (n *Node) freshFor() time.Duration {
	return time.Duration(float64(n.settings.Bounds.Revocation) * freshPart)
}

// Run serves until ctx ends, and then for the grace period.
func (n *Node) Run(ctx context.Context) error {
	if n.settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(float64(n.settings.MemoryBytes) * memoryPart))
	}
	debug.SetGCPercent(garbagePercent)
	servers, err := n.listen(ctx)
	if err != nil {
		return err
	}
	n.log.Info("machine starts", "zone", n.settings.Zone, "incarnation", n.incarnation, "frontend", n.settings.Frontend)
	life, end := context.WithCancel(context.Background())
	lead, resign := context.WithCancel(life)
	var tasks, leads sync.WaitGroup
	tasks.Go(func() { n.speed.run(life) })
	tasks.Go(func() { n.view.Run(life) })
	leads.Go(func() { n.elector.Run(lead) })
	leads.Go(func() { n.keepMember(lead) })
	sessionContext, endSession := context.WithCancel(life)
	tasks.Go(func() { n.session.Run(sessionContext) })
	for _, s := range servers {
		tasks.Go(func() { s.serve(n.log) })
	}
	<-ctx.Done()
	n.log.Info("machine stops", "grace_ms", n.settings.Bounds.Grace.Milliseconds())
	n.leaving.Store(true)
	resign()
	leads.Wait()
	endSession()
	n.drain(servers)
	end()
	tasks.Wait()
	n.log.Info("machine stopped")
	return nil
}

// drain finishes what callers asked for while the platform moves them to other machines.
func (n *Node) drain(servers []*server) {
	began := time.Now()
	time.Sleep(min(drainFirst, max(0, n.settings.Bounds.Grace-closeTime)))
	for _, s := range servers {
		s.stopReuse()
	}
	time.Sleep(max(0, n.settings.Bounds.Grace-closeTime-time.Since(began)))
	ctx, cancel := context.WithTimeout(context.Background(), closeTime/2)
	defer cancel()
	for _, s := range servers {
		s.close(ctx, n.log)
	}
}

// keepMember keeps the machine's entry for the controller under the lease in force, with its present speed.
func (n *Node) keepMember(ctx context.Context) {
	for ctx.Err() == nil {
		changed := n.session.Changed()
		_, speedChanged := n.speed.factor()
		lease, valid := n.session.Lease()
		if valid {
			if err := n.writeMember(ctx, lease); err != nil {
				n.log.V(1).Info("entry of the machine not written", "reason", err.Error())
				_ = n.clock.Sleep(ctx, memberPause)
				continue
			}
		}
		select {
		case <-changed:
		case <-speedChanged:
		case <-ctx.Done():
		}
	}
}

func (n *Node) writeMember(ctx context.Context, lease infra.LeaseID) error {
	value, err := proto.Marshal(&siskinv1.Member{
		Machine: n.settings.Machine, Incarnation: n.incarnation, Address: n.settings.Peers, Zone: n.settings.Zone,
		Cores: n.cores(),
	})
	if err != nil {
		return err
	}
	call, cancel := context.WithTimeout(ctx, memberTimeout)
	defer cancel()
	_, err = n.platform.Store.Commit(call, infra.Txn{Writes: []infra.Write{{
		Key: controller.MemberKey(n.settings.Machine), Value: value, Lease: lease,
	}}})
	return err
}

// ready returns nil if the machine should get new connections.
func (n *Node) ready() error {
	if n.leaving.Load() {
		return eris.New("the machine stops")
	}
	if n.view.Current() == nil {
		return eris.New("no configuration yet")
	}
	if age := n.view.Age(); age > n.freshFor() {
		return eris.Errorf("configuration is %d ms old", age.Milliseconds())
	}
	return nil
}

func (n *Node) bodyBytes() int64 {
	if p := n.view.Current(); p != nil {
		return p.Limits.BodyBytes
	}
	return 0
}

// server is a listener with what serves it.
type server struct {
	listener net.Listener
	http     *http.Server
	grpc     *grpc.Server
}

func (s *server) serve(log logr.Logger) {
	var err error
	if s.grpc != nil {
		err = s.grpc.Serve(s.listener)
	} else {
		err = s.http.Serve(s.listener)
	}
	if err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, grpc.ErrServerStopped) {
		log.Error(err, "listener ended", "address", s.listener.Addr().String())
	}
}

// stopReuse ends connections after the answers under way.
func (s *server) stopReuse() {
	if s.http != nil {
		s.http.SetKeepAlivesEnabled(false)
	}
}

func (s *server) close(ctx context.Context, log logr.Logger) {
	if s.grpc != nil {
		s.grpc.Stop()
		return
	}
	if err := s.http.Shutdown(ctx); err != nil {
		log.Info("requests cut off at the end of the grace period", "address", s.listener.Addr().String(), "reason", err.Error())
	}
}

// listen opens all listeners.
func (n *Node) listen(ctx context.Context) ([]*server, error) {
	peers := grpc.NewServer(grpc.ReadBufferSize(peerBuffer), grpc.WriteBufferSize(peerBuffer))
	siskinv1.RegisterClusterServiceServer(peers, &peer.Cluster{
		Lookup: n.control.Lookup, Pending: n.control.Pending, Announced: n.control.Announced, Advisor: n.platform.Advisor,
		Store: n.platform.Store, HasStore: func() bool {
			_, valid := n.session.Lease()
			return valid
		},
	})
	front := n.platform.Frontend(n.gateway, n.bodyBytes)
	wanted := []struct {
		address string
		server  *server
	}{
		{n.settings.Frontend, &server{http: &http.Server{Handler: front, ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdle}}},
		{n.settings.Readiness, &server{http: &http.Server{Handler: n.platform.Readiness(n.ready), ReadHeaderTimeout: headerTimeout}}},
		{n.settings.Peers, &server{grpc: peers}},
		{n.settings.Metrics, &server{http: &http.Server{
			Handler: telemetry.AdminHandler(n.registry, n.ready), ReadHeaderTimeout: headerTimeout,
		}}},
	}
	var servers []*server
	for _, w := range wanted {
		if w.address == "" {
			continue
		}
		listener, err := bind(ctx, w.address)
		if err != nil {
			return nil, err
		}
		w.server.listener = listener
		servers = append(servers, w.server)
	}
	return servers, nil
}

// peerBuffer is the size of the buffers of a connection between machines, in bytes.
const peerBuffer = 4096

// bind listens on an address, and waits a moment for one that an earlier process still holds.
func bind(ctx context.Context, address string) (net.Listener, error) {
	deadline := time.Now().Add(bindTimeout)
	for {
		listener, err := net.Listen("tcp4", address)
		if err == nil {
			return listener, nil
		}
		if time.Now().After(deadline) || ctx.Err() != nil {
			return nil, eris.Wrapf(err, "listen on %s", address)
		}
		time.Sleep(bindPause)
	}
}

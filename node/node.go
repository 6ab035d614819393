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
	// leaseTTL is how long a machine that no longer renews its lease remains the controller. It covers several renewals
	// while the store is slow.
	leaseTTL = time.Second
	// configAgeFraction is the fraction of the revocation bound for which a configuration stays in use without confirmation
	// that it is current.
	configAgeFraction = 0.6
	// memoryFraction is the Go runtime's memory limit as a fraction of the machine's memory.
	memoryFraction = 0.6
	// gcPercent makes the garbage collector run less often: memory is sufficient, and CPU time is saved.
	gcPercent = 200
	// memberTimeout bounds a write of the machine's member entry, memberRetryDelay is the wait before a retry.
	memberTimeout    = 700 * time.Millisecond
	memberRetryDelay = 200 * time.Millisecond
	// drainDelay is how long the platform still sends new connections after the signal to stop: two failed readiness checks.
	drainDelay = 2 * time.Second
	// handoverReserve is the time before connections are closed at which a machine that stops hands the leadership over.
	handoverReserve = 500 * time.Millisecond
	// closeReserve is the part of the grace period that is reserved for closing connections.
	closeReserve = 1500 * time.Millisecond
	// bindTimeout bounds the wait for an address that an earlier process still uses.
	bindTimeout       = 2 * time.Second
	bindRetryInterval = 50 * time.Millisecond
	// headerTimeout bounds the reading of a request's header before the configuration is known.
	headerTimeout = 3 * time.Second
	// callerIdleTimeout is how long an idle connection of a caller is kept open.
	callerIdleTimeout = 60 * time.Second
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
	// Frontend returns the handler for callers, Readiness the one for the platform's readiness checks.
	Frontend  func(g *gateway.Gateway, maxBodyBytes func() int64) http.Handler
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
	speed       *speedMonitor
	view        *policy.View
	session     *election.Session
	elector     *election.Elector
	control     *controller.Controller
	gateway     *gateway.Gateway
	peers       *peer.ClusterClients
	// contact is nil if the machine does not refuse calls while it is cut off.
	contact *gateway.Contact
	leaving atomic.Bool
	// handover is closed when the machine, which is about to stop, has to end its term as the controller.
	handover chan struct{}
}

// New assembles the process.
func New(settings Settings, platform Platform, log logr.Logger) *Node {
	n := &Node{
		settings: settings, platform: platform, log: log.WithValues("machine", settings.Machine),
		registry: telemetry.NewRegistry(), clock: clock.Boot{}, incarnation: time.Now().UnixMilli(),
		peers: peer.NewClusterClients(), handover: make(chan struct{}),
	}
	platform.Store = newMeteredStore(platform.Store, n.registry)
	if settings.Scheduling.RefuseWhenCutOff {
		n.contact = gateway.NewContact(gateway.ContactOptions{
			Clock: n.clock, Log: n.log, Zone: settings.Zone, Registerer: n.registry,
			Leader: func() *siskinv1.Leadership { return n.elector.Leader() },
		})
		platform.Store = n.contact.ObserveStore(platform.Store)
	}
	n.platform.Store = platform.Store
	n.speed = newSpeedMonitor(n.log)
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
		JobLog: settings.Scheduling.JobLog,
		Bounds: controller.Bounds{LeaseMax: settings.Bounds.LeaseMax, MinHolderInterval: settings.Bounds.MinHolderInterval,
			MaintenanceTime: settings.Bounds.MaintenanceTime, Limits: dispatch.Limits{
				StatusKept: settings.Bounds.StatusKept, Features: settings.Scheduling.Features,
				Forecast: settings.Scheduling.AdmissionForecast,
			}},
	})
	n.elector = &election.Elector{
		Store: platform.Store, Session: n.session, Clock: n.clock, Log: n.log, Serve: n.control.Serve,
		AcquireDelay: n.acquireDelay, MayTakeOverEarly: func() bool { return n.acquireDelay() <= earlyTakeoverMaxDelay },
		Self: &siskinv1.Leadership{
			Machine: settings.Machine, Incarnation: n.incarnation, Address: settings.Peers, Zone: settings.Zone,
		},
		Handover: n.handover,
		AwaitRefusal: func(ctx context.Context, leader *siskinv1.Leadership) error {
			return peer.AwaitRefusal(ctx, leader.GetAddress())
		},
	}
	var forecast func() *siskinv1.Forecast
	if settings.Scheduling.AdmissionForecast {
		forecast = n.control.Forecast
	}
	n.gateway = gateway.New(gateway.Options{
		Machine: settings.Machine, Store: platform.Store, Clock: n.clock, Log: n.log, Policy: n.view, Local: n.control, Peers: n.peers,
		Leader: n.elector.Leader, MaxConfigAge: n.maxConfigAge(), Metrics: gateway.NewMetrics(n.registry), Contact: n.contact,
		Forecast: forecast,
	})
	return n
}

// cores returns the machine's usable cores, scaled by its current relative speed.
func (n *Node) cores() float64 {
	speed, _ := n.speed.relativeSpeed()
	return n.settings.Cores * speed
}

// acquireDelay returns how long the machine waits at its current speed before it acquires a free leadership.
func (n *Node) acquireDelay() time.Duration {
	speed, _ := n.speed.relativeSpeed()
	return n.settings.acquireDelay(speed)
}

func (n *Node) maxConfigAge() time.Duration {
	return time.Duration(float64(n.settings.Bounds.Revocation) * configAgeFraction)
}

// Run serves until ctx is done, and then drains for the grace period.
func (n *Node) Run(ctx context.Context) error {
	if n.settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(float64(n.settings.MemoryBytes) * memoryFraction))
	}
	debug.SetGCPercent(gcPercent)
	servers, err := n.listen(ctx)
	if err != nil {
		return err
	}
	n.log.Info("machine starts", "zone", n.settings.Zone, "incarnation", n.incarnation, "frontend", n.settings.Frontend,
		"scheduling", n.settings.Scheduling)
	runContext, endRun := context.WithCancel(context.Background())
	leadContext, stopElection := context.WithCancel(runContext)
	var tasks, leadTasks sync.WaitGroup
	tasks.Go(func() { n.speed.run(runContext) })
	tasks.Go(func() { n.view.Run(runContext) })
	if n.contact != nil {
		tasks.Go(func() { n.contact.Run(runContext, n.settings.Machine, n.peers) })
	}
	leadTasks.Go(func() { n.elector.Run(leadContext) })
	leadTasks.Go(func() { n.publishMember(leadContext) })
	sessionContext, endSession := context.WithCancel(runContext)
	tasks.Go(func() { n.session.Run(sessionContext) })
	for _, s := range servers {
		tasks.Go(func() { s.serve(n.log) })
	}
	<-ctx.Done()
	n.log.Info("machine stops", "grace_ms", n.settings.Bounds.Grace.Milliseconds())
	n.leaving.Store(true)
	stopElection()
	time.AfterFunc(n.handoverDelay(), func() { close(n.handover) })
	ended := make(chan struct{})
	go func() {
		// Of the two, only a term as the controller goes on until the handover.
		leadTasks.Wait()
		endSession()
		close(ended)
	}()
	n.drain(servers)
	<-ended
	endRun()
	tasks.Wait()
	n.log.Info("machine stopped")
	return nil
}

// handoverDelay returns how long after the signal to stop the machine goes on as the controller.
func (n *Node) handoverDelay() time.Duration {
	return max(0, n.settings.Bounds.Grace-closeReserve-handoverReserve)
}

// drain finishes requests in flight while the platform moves callers to other machines.
func (n *Node) drain(servers []*server) {
	began := time.Now()
	time.Sleep(min(drainDelay, max(0, n.settings.Bounds.Grace-closeReserve)))
	for _, s := range servers {
		s.disableKeepAlives()
	}
	time.Sleep(max(0, n.settings.Bounds.Grace-closeReserve-time.Since(began)))
	ctx, cancel := context.WithTimeout(context.Background(), closeReserve/2)
	defer cancel()
	for _, s := range servers {
		s.close(ctx, n.log)
	}
}

// publishMember writes the machine's member entry, which the controller reads, under each new lease and whenever the
// machine's speed changes.
func (n *Node) publishMember(ctx context.Context) {
	for ctx.Err() == nil {
		changed := n.session.Changed()
		_, speedChanged := n.speed.relativeSpeed()
		lease, valid := n.session.Lease()
		if valid {
			if err := n.writeMember(ctx, lease); err != nil {
				n.log.V(1).Info("member entry not written; retrying", "reason", err.Error())
				_ = n.clock.Sleep(ctx, memberRetryDelay)
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

// ready returns nil if the machine should receive new connections.
func (n *Node) ready() error {
	if n.leaving.Load() {
		return eris.New("machine is stopping")
	}
	if n.view.Current() == nil {
		return eris.New("no configuration yet")
	}
	if age := n.view.Age(); age > n.maxConfigAge() {
		return eris.Errorf("configuration is %d ms old", age.Milliseconds())
	}
	if silent, cutOff := n.contact.CutOff(); cutOff {
		return eris.Errorf("neither the store nor the controller has answered for %d ms", silent.Milliseconds())
	}
	return nil
}

func (n *Node) maxBodyBytes() int64 {
	if p := n.view.Current(); p != nil {
		return p.Limits.BodyBytes
	}
	return 0
}

// server is a listener and the HTTP or gRPC server on it.
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
		log.Error(err, "listener failed", "address", s.listener.Addr().String())
	}
}

// disableKeepAlives closes each HTTP connection after its current response.
func (s *server) disableKeepAlives() {
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
		log.Info("requests aborted at the end of the grace period", "address", s.listener.Addr().String(), "reason", err.Error())
	}
}

// listen opens the listeners of all configured addresses.
func (n *Node) listen(ctx context.Context) ([]*server, error) {
	peers := grpc.NewServer(grpc.ReadBufferSize(peerBuffer), grpc.WriteBufferSize(peerBuffer),
		grpc.UnaryInterceptor(peer.ContainPanics(n.log)))
	siskinv1.RegisterClusterServiceServer(peers, &peer.ClusterServer{
		Lookup: n.control.Lookup, Pending: n.control.Pending, OnAnnounce: n.control.Announced, Forecast: n.control.Forecast,
		Advisor: n.platform.Advisor,
		Store:   n.platform.Store, StoreReachable: func() bool {
			_, valid := n.session.Lease()
			return valid
		},
	})
	frontend := n.platform.Frontend(n.gateway, n.maxBodyBytes)
	specs := []struct {
		address string
		server  *server
	}{
		{n.settings.Frontend, &server{http: &http.Server{Handler: frontend, ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdleTimeout}}},
		{n.settings.Readiness, &server{http: &http.Server{Handler: n.platform.Readiness(n.ready), ReadHeaderTimeout: headerTimeout}}},
		{n.settings.Peers, &server{grpc: peers}},
		{n.settings.Metrics, &server{http: &http.Server{
			Handler: telemetry.AdminHandler(n.registry, n.ready), ReadHeaderTimeout: headerTimeout,
		}}},
	}
	var servers []*server
	for _, spec := range specs {
		if spec.address == "" {
			continue
		}
		listener, err := bind(ctx, spec.address)
		if err != nil {
			return nil, err
		}
		spec.server.listener = listener
		servers = append(servers, spec.server)
	}
	return servers, nil
}

// peerBuffer is the size of the buffers of a connection between machines, in bytes.
const peerBuffer = 4096

// bind listens on an address. It retries for bindTimeout, because an earlier process may still use the address.
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
		time.Sleep(bindRetryInterval)
	}
}

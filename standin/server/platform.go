package server

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"siskinstack.example/siskinstack/clock"
	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/standin"
	"siskinstack.example/siskinstack/standin/site"
)

// readHeaderTimeout bounds the time in which a connection must send its request headers.
const readHeaderTimeout = 5 * time.Second

// Options configures a simulated platform.
type Options struct {
	Site  site.Site
	Clock clock.Clock
	// Listen is the IP:port of the platform; empty selects a free loopback port. Endpoints always use free ports.
	Listen string
	// Plan is the behaviour of tasks; RequestDuration is how long a request takes.
	Plan            standin.RunPlan
	RequestDuration func(endpoint string, body []byte) time.Duration
}

// Platform is a running simulated platform with its endpoints.
type Platform struct {
	Store     *standin.Store
	VMs       *standin.VMList
	Workers   *standin.Workers
	Endpoints *standin.Endpoints
	Fleet     []infra.VM
	// Network holds the partitions between the VMs of the fleet, and between them and StoreName. They hold back calls that
	// name their VM, and connections between entry VMs that are made with Network.Dialer.
	Network *standin.Network
	// URL is the address of the platform; URLFor gives the one that names the calling VM.
	URL string

	servers []*http.Server
	serving sync.WaitGroup
}

// Start listens and serves until Close.
func Start(options Options) (*Platform, error) {
	address := options.Listen
	if address == "" {
		address = "127.0.0.1:0"
	}
	p := &Platform{Fleet: options.Site.Fleet(), Network: standin.NewNetwork()}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, eris.Wrap(err, "listen for platform calls")
	}
	endpointListeners, err := p.listenEndpoints()
	if err != nil {
		_ = listener.Close()
		return nil, err
	}
	p.Store = standin.NewStore(options.Clock)
	p.VMs = standin.NewVMList(options.Clock, options.Site.VMListLag, p.Fleet)
	p.Workers = standin.NewWorkers(options.Clock, p.Fleet, options.Plan)
	p.Endpoints = standin.NewEndpoints(options.Clock, p.Fleet, standin.EndpointOptions{
		Slots: int(options.Site.Slots), Connections: int(options.Site.Connections), RequestDuration: options.RequestDuration,
	})
	p.URL = "http://" + listener.Addr().String()
	l := newLinks(options.Clock, options.Site.ZoneDelay, p.Fleet, p.Network)
	p.serve(listener, withCaller(New(
		linkedStore{p.Store, l}, linkedVMs{p.VMs, l}, linkedWorkers{p.Workers, l},
	)))
	for name, endpointListener := range endpointListeners {
		limited := &limitedListener{Listener: endpointListener, name: name, endpoints: p.Endpoints}
		p.serve(limited, NewEndpoint(name, linkedEndpoints{p.Endpoints, l}))
	}
	return p, nil
}

// URLFor returns the address of the platform for one VM, so that faults and delays can be set per VM.
func (p *Platform) URLFor(vm string) string { return p.URL + "/from/" + vm }

// Close closes all servers and waits until they have stopped.
func (p *Platform) Close() {
	for _, server := range p.servers {
		_ = server.Close()
	}
	p.serving.Wait()
}

func (p *Platform) listenEndpoints() (map[string]net.Listener, error) {
	listeners := map[string]net.Listener{}
	for i := range p.Fleet {
		if p.Fleet[i].Role != infra.RoleEndpoint {
			continue
		}
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			for _, open := range listeners {
				_ = open.Close()
			}
			return nil, eris.Wrap(err, "listen for an endpoint")
		}
		listeners[p.Fleet[i].Name] = listener
		p.Fleet[i].Address = listener.Addr().String()
	}
	return listeners, nil
}

func (p *Platform) serve(listener net.Listener, handler http.Handler) {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	p.servers = append(p.servers, server)
	p.serving.Go(func() { _ = server.Serve(listener) })
}

// withCaller also serves handler under /from/{vm}, with the VM as the caller.
func withCaller(handler http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", handler)
	mux.HandleFunc("/from/{vm}/{path...}", func(w http.ResponseWriter, r *http.Request) {
		inner := r.Clone(standin.WithCaller(r.Context(), r.PathValue("vm")))
		inner.URL.Path = "/" + r.PathValue("path")
		handler.ServeHTTP(w, inner)
	})
	return mux
}

// limitedListener closes connections above the connection limit of an endpoint.
type limitedListener struct {
	net.Listener
	name      string
	endpoints *standin.Endpoints
}

// Accept returns the next connection within the limit.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		disconnect, ok := l.endpoints.Connect(l.name)
		if ok {
			return &countedConn{Conn: conn, disconnect: disconnect}, nil
		}
		_ = conn.Close()
	}
}

type countedConn struct {
	net.Conn
	disconnect func()
}

// Close closes the connection and no longer counts it.
func (c *countedConn) Close() error {
	c.disconnect()
	return c.Conn.Close()
}

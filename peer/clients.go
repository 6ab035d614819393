package peer

import (
	"sync"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
)

// Connector provides clients of the peers. Clients connects over gRPC; tests connect VMs inside one process.
type Connector interface {
	// Client returns a client of a peer by VM name.
	Client(vm string) (siskinv1.PeerServiceClient, error)
}

// Clients holds one connection to each configured peer.
type Clients struct {
	credentials credentials.TransportCredentials
	options     []grpc.DialOption

	mu          sync.Mutex // guards addresses and connections
	addresses   map[string]string
	connections map[string]*grpc.ClientConn
}

// NewClients returns clients for the peers at addresses, which are keyed by VM name.
func NewClients(addresses map[string]string, creds credentials.TransportCredentials, options ...grpc.DialOption) *Clients {
	return &Clients{credentials: creds, options: options, addresses: addresses, connections: map[string]*grpc.ClientConn{}}
}

// Client returns a client of a peer; the connection is established on first use.
func (c *Clients) Client(vm string) (siskinv1.PeerServiceClient, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if connection, ok := c.connections[vm]; ok {
		return siskinv1.NewPeerServiceClient(connection), nil
	}
	address, ok := c.addresses[vm]
	if !ok {
		return nil, eris.Errorf("VM %q is not a configured peer", vm)
	}
	options := append([]grpc.DialOption{grpc.WithTransportCredentials(c.credentials)}, c.options...)
	connection, err := grpc.NewClient("passthrough:///"+address, options...)
	if err != nil {
		return nil, eris.Wrapf(err, "connect to VM %q", vm)
	}
	c.connections[vm] = connection
	return siskinv1.NewPeerServiceClient(connection), nil
}

// Close closes all connections.
func (c *Clients) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, connection := range c.connections {
		_ = connection.Close()
	}
	c.connections = map[string]*grpc.ClientConn{}
}

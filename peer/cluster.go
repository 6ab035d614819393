package peer

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/infra"
)

const (
	// clusterBuffer is the size in bytes of a connection's read and write buffers. It is small because calls between
	// machines are small.
	clusterBuffer = 4096
	// reconnectMin and reconnectMax bound the delay between connection attempts. They are short because machines come
	// back within seconds.
	reconnectMin = 50 * time.Millisecond
	reconnectMax = 500 * time.Millisecond
	// connectTimeout bounds one connection attempt.
	connectTimeout = 500 * time.Millisecond
)

// ClusterServer serves the calls of other machines of the cluster.
type ClusterServer struct {
	siskinv1.UnimplementedClusterServiceServer
	// Lookup and Pending return the state of the controller; authoritative is false on other machines.
	Lookup  func(id string) (phase siskinv1.WorkflowPhase, known, authoritative bool)
	Pending func(queue string) (pending int, authoritative bool)
	// OnAnnounce applies a job or a cancellation that is already in the store. It reports whether this machine is the
	// controller.
	OnAnnounce func(request *siskinv1.AnnounceRequest) bool
	// Forecast returns the forecast of the controller, or nil if there is none.
	Forecast func() *siskinv1.Forecast
	Advisor  infra.Advisor
	// Store is called on behalf of other machines that it refuses to serve, as long as StoreReachable reports that it
	// serves this machine.
	Store          infra.TxnStore
	StoreReachable func() bool
}

// LookupWorkflow implements the service.
func (c *ClusterServer) LookupWorkflow(_ context.Context, request *siskinv1.LookupWorkflowRequest) (*siskinv1.LookupWorkflowResponse, error) {
	phase, known, authoritative := c.Lookup(request.GetId())
	return &siskinv1.LookupWorkflowResponse{Authoritative: authoritative, Known: known, Phase: phase}, nil
}

// CountPending implements the service.
func (c *ClusterServer) CountPending(_ context.Context, request *siskinv1.CountPendingRequest) (*siskinv1.CountPendingResponse, error) {
	pending, authoritative := c.Pending(request.GetQueue())
	return &siskinv1.CountPendingResponse{Authoritative: authoritative, Pending: int64(pending)}, nil
}

// Announce implements the service.
func (c *ClusterServer) Announce(_ context.Context, request *siskinv1.AnnounceRequest) (*siskinv1.AnnounceResponse, error) {
	response := &siskinv1.AnnounceResponse{}
	if c.OnAnnounce(request) && c.Forecast != nil {
		response.Forecast = c.Forecast()
	}
	return response, nil
}

// Advise implements the service.
func (c *ClusterServer) Advise(ctx context.Context, request *siskinv1.AdviseRequest) (*siskinv1.AdviseResponse, error) {
	advice, err := c.Advisor.Advise(ctx, request.GetStep(), request.GetWorkers())
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	response := &siskinv1.AdviseResponse{ValidMs: advice.Valid.Milliseconds()}
	for _, ticket := range advice.Tickets {
		response.Tickets = append(response.Tickets, &siskinv1.Ticket{Worker: ticket.Worker, Ticket: ticket.Ticket})
	}
	return response, nil
}

// ClusterClients calls other machines by their addresses.
type ClusterClients struct {
	mu    sync.Mutex // guards conns
	conns map[string]*grpc.ClientConn
}

// NewClusterClients returns clients without connections.
func NewClusterClients() *ClusterClients {
	return &ClusterClients{conns: map[string]*grpc.ClientConn{}}
}

func (c *ClusterClients) client(address string) (siskinv1.ClusterServiceClient, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn := c.conns[address]
	if conn == nil {
		var err error
		conn, err = grpc.NewClient("passthrough:///"+address,
			grpc.WithTransportCredentials(insecure.NewCredentials()),
			grpc.WithReadBufferSize(clusterBuffer), grpc.WithWriteBufferSize(clusterBuffer),
			grpc.WithConnectParams(grpc.ConnectParams{
				Backoff:           backoff.Config{BaseDelay: reconnectMin, Multiplier: 2, MaxDelay: reconnectMax},
				MinConnectTimeout: connectTimeout,
			}))
		if err != nil {
			return nil, err
		}
		c.conns[address] = conn
	}
	return siskinv1.NewClusterServiceClient(conn), nil
}

// closeOnTimeout closes a connection on which a call has timed out, because it may never deliver a response again. It
// returns err.
func (c *ClusterClients) closeOnTimeout(address string, err error) error {
	if err == nil || status.Code(err) != codes.DeadlineExceeded {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn := c.conns[address]; conn != nil {
		delete(c.conns, address)
		go func() { _ = conn.Close() }()
	}
	return err
}

// Lookup asks a machine for the state of a job.
func (c *ClusterClients) Lookup(ctx context.Context, address, id string) (*siskinv1.LookupWorkflowResponse, error) {
	client, err := c.client(address)
	if err != nil {
		return nil, err
	}
	response, err := client.LookupWorkflow(ctx, &siskinv1.LookupWorkflowRequest{Id: id})
	return response, c.closeOnTimeout(address, err)
}

// Pending asks a machine for the number of jobs of a queue that have not started.
func (c *ClusterClients) Pending(ctx context.Context, address, queue string) (*siskinv1.CountPendingResponse, error) {
	client, err := c.client(address)
	if err != nil {
		return nil, err
	}
	response, err := client.CountPending(ctx, &siskinv1.CountPendingRequest{Queue: queue})
	return response, c.closeOnTimeout(address, err)
}

// Announce notifies a machine of a job or a cancellation that is already in the store.
func (c *ClusterClients) Announce(ctx context.Context, address string, request *siskinv1.AnnounceRequest) (*siskinv1.AnnounceResponse, error) {
	client, err := c.client(address)
	if err != nil {
		return nil, err
	}
	response, err := client.Announce(ctx, request)
	return response, c.closeOnTimeout(address, err)
}

// Advise asks the advisor through another machine.
func (c *ClusterClients) Advise(ctx context.Context, address, step string, workers []string) (infra.Advice, error) {
	client, err := c.client(address)
	if err != nil {
		return infra.Advice{}, err
	}
	response, err := client.Advise(ctx, &siskinv1.AdviseRequest{Step: step, Workers: workers})
	if err := c.closeOnTimeout(address, err); err != nil {
		return infra.Advice{}, err
	}
	advice := infra.Advice{Valid: time.Duration(response.GetValidMs()) * time.Millisecond}
	for _, ticket := range response.GetTickets() {
		advice.Tickets = append(advice.Tickets, infra.Ticket{Worker: ticket.GetWorker(), Ticket: ticket.GetTicket()})
	}
	return advice, nil
}

package peer

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"gotest.tools/v3/assert"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/infra"
)

// hangingRequests accepts requests and does not respond.
type hangingRequests struct {
	Requests
	received chan struct{}
}

func (h hangingRequests) ServeForward(ctx context.Context, _ *siskinv1.ForwardRequest) (*siskinv1.ForwardResponse, error) {
	h.received <- struct{}{}
	<-ctx.Done()
	return nil, ctx.Err()
}

// TestForwardReportsNotSentOnlyIfUnsent guards against a second send of a request that the other VM has received, when
// that VM stops or does not respond, and against an unknown outcome for a VM that was never reached.
func TestForwardReportsNotSentOnlyIfUnsent(t *testing.T) {
	for _, stops := range []bool{true, false} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		server := grpc.NewServer()
		vm := hangingRequests{received: make(chan struct{}, 1)}
		siskinv1.RegisterPeerServiceServer(server, &Server{LocalRequests: vm})
		go func() { _ = server.Serve(listener) }()
		clients := NewClients(map[string]string{"b": listener.Addr().String()}, insecure.NewCredentials())
		client := &RequestClient{Clients: clients}
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		go func() {
			<-vm.received
			if stops {
				server.Stop()
			} else {
				cancel()
			}
		}()
		_, err = client.Forward(ctx, "b", &siskinv1.ForwardRequest{})
		assert.Assert(t, err != nil && !errors.Is(err, infra.ErrNotSent), "%v", err)
		cancel()
		server.Stop()
		clients.Close()
		// A call on an old connection that is about to break could have an unknown outcome, so the next calls use new ones.
		client.Clients = NewClients(map[string]string{"b": listener.Addr().String()}, insecure.NewCredentials())
		_, err = client.Forward(t.Context(), "b", &siskinv1.ForwardRequest{})
		assert.ErrorIs(t, err, infra.ErrNotSent)
		_, err = client.Forward(t.Context(), "unknown", &siskinv1.ForwardRequest{})
		assert.ErrorIs(t, err, infra.ErrNotSent)
		client.Clients.Close()
	}
}

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

// stuck takes requests and does not answer.
type stuck struct {
	Requests
	got chan struct{}
}

func (s stuck) ServeForward(ctx context.Context, _ *siskinv1.ForwardRequest) (*siskinv1.ForwardResponse, error) {
	s.got <- struct{}{}
	<-ctx.Done()
	return nil, ctx.Err()
}

// TestOnlyUnsentForwardIsNotSent guards against a second send of a request that the other VM has got, when that VM dies
// or is silent, and against an unknown outcome for a VM that was never reached.
func TestOnlyUnsentForwardIsNotSent(t *testing.T) {
	for _, dies := range []bool{true, false} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		server := grpc.NewServer()
		vm := stuck{got: make(chan struct{}, 1)}
		siskinv1.RegisterPeerServiceServer(server, &Server{LocalRequests: vm})
		go func() { _ = server.Serve(listener) }()
		clients := NewClients(map[string]string{"b": listener.Addr().String()}, insecure.NewCredentials())
		calls := &RequestClient{Clients: clients}
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		go func() {
			<-vm.got
			if dies {
				server.Stop()
			} else {
				cancel()
			}
		}()
		_, err = calls.Forward(ctx, "b", &siskinv1.ForwardRequest{})
		assert.Assert(t, err != nil && !errors.Is(err, infra.ErrNotSent), "%v", err)
		cancel()
		server.Stop()
		clients.Close()
		// With the old connections a call could still be put on one that is about to break, and be rightly unknown.
		calls.Clients = NewClients(map[string]string{"b": listener.Addr().String()}, insecure.NewCredentials())
		_, err = calls.Forward(t.Context(), "b", &siskinv1.ForwardRequest{})
		assert.ErrorIs(t, err, infra.ErrNotSent)
		_, err = calls.Forward(t.Context(), "unknown", &siskinv1.ForwardRequest{})
		assert.ErrorIs(t, err, infra.ErrNotSent)
		calls.Clients.Close()
	}
}

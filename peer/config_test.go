package peer_test

import (
	"context"
	"fmt"
	"net"
	"testing"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"gotest.tools/v3/assert"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/peer"
)

// largeConfig returns 5,000 entries of 1 KiB each.
type largeConfig struct{ peer.Control }

func (largeConfig) FetchConfig(context.Context, *siskinv1.FetchConfigRequest) (*siskinv1.FetchConfigResponse, error) {
	response := &siskinv1.FetchConfigResponse{Revision: 7}
	for i := range 5000 {
		response.Entries = append(response.Entries, &siskinv1.ConfigEntry{Key: fmt.Sprint(i), Value: make([]byte, 1024)})
	}
	return response, nil
}

// Guards against a VM that cannot fetch the configuration from its peers because it exceeds gRPC's default limit of
// 4 MiB.
func TestLargeConfigurationIsReceived(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := grpc.NewServer()
	siskinv1.RegisterPeerServiceServer(server, &peer.Server{LocalControl: largeConfig{}})
	go func() { _ = server.Serve(listener) }()
	defer server.Stop()
	clients := peer.NewClients(map[string]string{"b": listener.Addr().String()}, insecure.NewCredentials())
	defer clients.Close()
	client := &peer.ControlClient{Clients: clients}
	response, err := client.FetchConfig(t.Context(), "b", &siskinv1.FetchConfigRequest{})
	assert.NilError(t, err)
	assert.Equal(t, len(response.GetEntries()), 5000)
}

package peer

import (
	"errors"
	"net"
	"testing"

	"github.com/go-logr/logr"
	"google.golang.org/grpc"
	"gotest.tools/v3/assert"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/infra"
)

// Guards against one call of another machine that ends the process, and against a panic that is reported as a call
// without effect.
func TestPanicInAHandlerEndsOnlyTheCall(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	server := grpc.NewServer(grpc.UnaryInterceptor(ContainPanics(logr.Discard())))
	siskinv1.RegisterClusterServiceServer(server, &ClusterServer{
		Lookup: func(id string) (siskinv1.WorkflowPhase, bool, bool) {
			if id == "bad" {
				panic("bad message")
			}
			return siskinv1.WorkflowPhase_WORKFLOW_PHASE_RUNNING, true, true
		},
	})
	go func() { _ = server.Serve(listener) }()
	defer server.Stop()
	address, clients := listener.Addr().String(), NewClusterClients()
	_, err = clients.Lookup(t.Context(), address, "bad")
	assert.Assert(t, err != nil && !errors.Is(err, infra.ErrRefused) && !errors.Is(err, infra.ErrNotSent))
	response, err := clients.Lookup(t.Context(), address, "good")
	assert.NilError(t, err)
	assert.Assert(t, response.GetKnown())
}

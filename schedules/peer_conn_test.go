package schedules

import (
	"context"
	"strings"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
)

// peerConnector is a peer.Connector that calls the other VMs of a site in process, subject to the network's faults.
type peerConnector struct{ from *vm }

// Client implements peer.Connector.
func (c peerConnector) Client(name string) (siskinv1.PeerServiceClient, error) {
	if c.from.site.current(name) == nil {
		return nil, eris.Errorf("VM %q has not been started", name)
	}
	return siskinv1.NewPeerServiceClient(peerConn{from: c.from, to: name}), nil
}

// peerConn carries calls from one VM to the current process of another one.
type peerConn struct {
	from *vm
	to   string
}

// NewStream implements grpc.ClientConnInterface; the peer service has no streams.
func (c peerConn) NewStream(context.Context, *grpc.StreamDesc, string, ...grpc.CallOption) (grpc.ClientStream, error) {
	return nil, status.Error(codes.Unimplemented, "no streams")
}

// Invoke implements grpc.ClientConnInterface.
func (c peerConn) Invoke(ctx context.Context, method string, args, reply any, _ ...grpc.CallOption) error {
	to := c.from.site.current(c.to)
	answer, err := c.await(ctx, to, method, proto.Clone(args.(proto.Message)))
	if killed := c.from.process.wait(); killed != nil {
		return killed
	}
	if err != nil {
		return status.Error(codes.Unavailable, err.Error())
	}
	proto.Merge(reply.(proto.Message), answer)
	return nil
}

type callResult struct {
	answer proto.Message
	err    error
}

// await returns at the caller's deadline, even if the other VM is paused and continues the call later.
func (c peerConn) await(ctx context.Context, to *vm, method string, args proto.Message) (proto.Message, error) {
	done := make(chan callResult, 1)
	go func() {
		answer, err := c.exchange(ctx, to, method, args)
		done <- callResult{answer, err}
	}()
	select {
	case result := <-done:
		return result.answer, result.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (c peerConn) exchange(ctx context.Context, to *vm, method string, args proto.Message) (proto.Message, error) {
	net := c.from.site.network
	from := c.from.node()
	if err := c.from.process.wait(); err != nil {
		return nil, err
	}
	if err := net.deliver(ctx, from, to.node()); err != nil {
		return nil, err
	}
	if delay := net.delayOf(from, to.node()); delay > 0 {
		if err := c.from.site.clock.Sleep(ctx, delay); err != nil {
			return nil, err
		}
	}
	answer, err := serve(ctx, to, method, args)
	if net.consume(net.duplicate, from, to.node()) {
		answer, err = serve(ctx, to, method, args)
	}
	if err != nil {
		return nil, err
	}
	if net.consume(net.lose, from, to.node()) {
		return nil, errAnswerLost
	}
	return answer, net.deliver(ctx, to.node(), from)
}

// serve runs the call's handler on a VM.
func serve(ctx context.Context, to *vm, method string, args proto.Message) (proto.Message, error) {
	if err := to.process.wait(); err != nil {
		return nil, err
	}
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	name := method[strings.LastIndexByte(method, '/')+1:]
	for _, desc := range siskinv1.PeerService_ServiceDesc.Methods {
		if desc.MethodName != name {
			continue
		}
		answer, err := desc.Handler(to.server, ctx, func(into any) error {
			proto.Merge(into.(proto.Message), args)
			return nil
		}, nil)
		if killed := to.process.wait(); killed != nil {
			return nil, killed
		}
		if err != nil {
			return nil, err
		}
		return proto.Clone(answer.(proto.Message)), nil
	}
	return nil, eris.Errorf("method %q does not exist", method)
}

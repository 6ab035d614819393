package peer

import (
	"context"
	"runtime/debug"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// ContainPanics answers a call whose handler panics with codes.Internal, so that one message does not end the process.
// The status does not say that the call had no effect.
func ContainPanics(log logr.Logger) grpc.UnaryServerInterceptor {
	return func(ctx context.Context, request any, info *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (response any, err error) {
		defer func() {
			if cause := recover(); cause != nil {
				log.Error(eris.Errorf("panic: %v", cause), "call failed", "method", info.FullMethod, "stack", string(debug.Stack()))
				err = status.Errorf(codes.Internal, "handler of %s failed", info.FullMethod)
			}
		}()
		return handler(ctx, request)
	}
}

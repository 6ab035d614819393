package infra

import "context"

type permissionKey struct{}

// WithPermission returns a context for orders that may be sent only as long as permitted returns true. The sender asks
// again after the last wait before the first byte, for instance after a connection was opened: a process may be paused
// for longer than its permission lasts. An order that is not sent fails with ErrNotSent.
func WithPermission(ctx context.Context, permitted func() bool) context.Context {
	return context.WithValue(ctx, permissionKey{}, permitted)
}

// Permitted reports whether an order with this context may still be sent.
func Permitted(ctx context.Context) bool {
	permitted, ok := ctx.Value(permissionKey{}).(func() bool)
	return !ok || permitted()
}

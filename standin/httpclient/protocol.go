// Package httpclient is the adapter to a platform that speaks HTTP/JSON. Every call to the platform is a POST with a
// JSON body. A call to an endpoint is a POST with the caller's body, or a GET for its load. An error that the system
// must distinguish is named by the header Platform-Error.
package httpclient

import (
	"time"

	"siskinstack.example/siskinstack/infra"
)

// Paths of the platform's calls.
const (
	PathGet        = "/store/get"
	PathList       = "/store/list"
	PathPut        = "/store/put"
	PathDelete     = "/store/delete"
	PathGrant      = "/store/lease/grant"
	PathRenewLease = "/store/lease/renew"
	PathRevoke     = "/store/lease/revoke"
	PathWatch      = "/store/watch"
	PathVMs        = "/vms"
	PathStart      = "/workers/start"
	PathRenew      = "/workers/renew"
	PathStop       = "/workers/stop"
	PathCheckpoint = "/workers/checkpoint"
	PathThrottle   = "/workers/throttle"
	PathCall       = "/call"
	PathLoad       = "/load"
)

// Headers of the platform's protocol.
const (
	HeaderError      = "Platform-Error"
	HeaderRequestID  = "Request-Id"
	HeaderFrom       = "Request-From"
	HeaderIdempotent = "Request-Idempotent"
	// HeaderTimeout is the time in milliseconds until the caller's deadline.
	HeaderTimeout = "Request-Timeout-Ms"
)

// MaxBodyBytes bounds the body of a request to an endpoint and of its response.
const MaxBodyBytes = 8 << 20

// VMsRequest requests the list of VMs if its tag differs from Known.
type VMsRequest struct {
	Known string
}

// VMsResponse is the list of VMs, or the statement that it has not changed. Lag is always the current lag.
type VMsResponse struct {
	Tag       string
	Unchanged bool
	Lag       time.Duration
	VMs       []infra.VM
}

// KeyRequest names a key or a prefix.
type KeyRequest struct {
	Key      string
	Expected infra.Revision
}

// LeaseRequest names a lease or the TTL of a new one.
type LeaseRequest struct {
	Lease infra.LeaseID
	TTL   time.Duration
}

// Errors maps the values of HeaderError to errors.
var Errors = map[string]error{
	"not_found":        infra.ErrNotFound,
	"conflict":         infra.ErrConflict,
	"lease_expired":    infra.ErrLeaseExpired,
	"compacted":        infra.ErrCompacted,
	"too_large":        infra.ErrTooLarge,
	"not_sent":         infra.ErrNotSent,
	"stale_epoch":      infra.ErrStaleEpoch,
	"stale_attempt":    infra.ErrStaleAttempt,
	"no_room":          infra.ErrInsufficientCapacity,
	"worker_gone":      infra.ErrWorkerNotFound,
	"endpoint_busy":    infra.ErrEndpointBusy,
	"endpoint_leaving": infra.ErrEndpointLeaving,
}

package infra

import (
	"context"

	"github.com/rotisserie/eris"
)

// Errors of endpoints that prove that the request did not run. After any other error it may have run.
var (
	ErrEndpointBusy    = eris.New("endpoint has no free slot")
	ErrEndpointLeaving = eris.New("endpoint is leaving")
)

// Errors for responses that are discarded. The request may have run.
var (
	ErrResponseMismatch   = eris.New("response belongs to another request")
	ErrResponseIncomplete = eris.New("response is incomplete")
)

// EndpointRequest is one request to an endpoint.
type EndpointRequest struct {
	Endpoint  string
	Address   string
	RequestID string
	// From identifies the process that sends the request, for example by an entry VM's name and incarnation.
	From        string
	Body        []byte
	ContentType string
	Idempotent  bool
}

// EndpointResponse is the complete response to one request.
type EndpointResponse struct {
	// RequestID is the identifier that the endpoint returned; it must equal the one that was sent.
	RequestID   string
	Status      int
	Body        []byte
	ContentType string
}

// EndpointLoad is the load that an endpoint reports.
type EndpointLoad struct {
	// InFlight is the number of requests in flight of each sender, which EndpointRequest.From identifies.
	InFlight map[string]int `json:"in_flight"`
	Leaving  bool           `json:"leaving"`
}

// Endpoints sends requests to the endpoints of services. Errors that wrap ErrNotSent, ErrEndpointBusy or
// ErrEndpointLeaving mean that the request did not run.
type Endpoints interface {
	Call(ctx context.Context, request EndpointRequest) (EndpointResponse, error)
	Load(ctx context.Context, endpoint, address string) (EndpointLoad, error)
}

package httpclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/propagation"

	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/telemetry"
)

// maxLoadBytes bounds the response to a load query.
const maxLoadBytes = 64 << 10

// Endpoints calls endpoints over HTTP.
type Endpoints struct {
	http       *http.Client
	propagator propagation.TextMapPropagator
}

// NewEndpoints returns a client that opens at most the given number of connections to each endpoint; 0 sets no limit.
func NewEndpoints(connections int) *Endpoints {
	transport := newTransport(connections)
	// The response is passed on as the endpoint sent it.
	transport.DisableCompression = true
	return &Endpoints{
		http: &http.Client{
			Transport: transport,
			// Following a redirect would send the request a second time.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		propagator: telemetry.Propagator(),
	}
}

// Close closes the idle connections.
func (e *Endpoints) Close() { e.http.CloseIdleConnections() }

// Call implements infra.Endpoints. The response is read completely before it is returned. A response that names
// another request closes its connection, because the following responses on it would be mismatched as well.
func (e *Endpoints) Call(ctx context.Context, request infra.EndpointRequest) (infra.EndpointResponse, error) {
	var connection atomic.Pointer[net.Conn]
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { connection.Store(&info.Conn) },
	})
	call, err := e.newCall(traced, request)
	if err != nil {
		return infra.EndpointResponse{}, err
	}
	response, err := e.http.Do(call)
	if err != nil && connection.Load() == nil {
		return infra.EndpointResponse{}, eris.Wrap(infra.ErrNotSent, err.Error())
	}
	if err != nil {
		return infra.EndpointResponse{}, eris.Wrap(err, "call endpoint")
	}
	defer func() { _ = response.Body.Close() }()
	if responseID := response.Header.Get(HeaderRequestID); responseID != request.RequestID {
		_ = (*connection.Load()).Close()
		return infra.EndpointResponse{}, eris.Wrapf(infra.ErrResponseMismatch, "sent %q, received %q", request.RequestID, responseID)
	}
	if response.Header.Get(HeaderError) != "" {
		return infra.EndpointResponse{}, responseError(response)
	}
	return readResponse(response)
}

func (e *Endpoints) newCall(ctx context.Context, request infra.EndpointRequest) (*http.Request, error) {
	call, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+request.Address+PathCall, bytes.NewReader(request.Body))
	if err != nil {
		return nil, eris.Wrap(infra.ErrNotSent, err.Error())
	}
	// Without GetBody the transport does not resend the request on its own.
	call.GetBody = nil
	if request.ContentType != "" {
		call.Header.Set("Content-Type", request.ContentType)
	}
	call.Header.Set(HeaderRequestID, request.RequestID)
	call.Header.Set(HeaderFrom, request.From)
	call.Header.Set(HeaderIdempotent, strconv.FormatBool(request.Idempotent))
	if deadline, ok := ctx.Deadline(); ok {
		call.Header.Set(HeaderTimeout, strconv.FormatInt(max(0, time.Until(deadline).Milliseconds()), 10))
	}
	e.propagator.Inject(ctx, propagation.HeaderCarrier(call.Header))
	return call, nil
}

// readResponse reads the whole body. It rejects a body that is delimited by the end of the connection: without a
// length, a truncated response would look complete.
func readResponse(response *http.Response) (infra.EndpointResponse, error) {
	if response.ContentLength < 0 && !slices.Contains(response.TransferEncoding, "chunked") {
		return infra.EndpointResponse{}, eris.Wrap(infra.ErrResponseIncomplete, "response has no length")
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, MaxBodyBytes+1))
	if errors.Is(err, io.ErrUnexpectedEOF) {
		return infra.EndpointResponse{}, eris.Wrap(infra.ErrResponseIncomplete, err.Error())
	}
	if err != nil {
		return infra.EndpointResponse{}, eris.Wrap(err, "read response")
	}
	if len(body) > MaxBodyBytes {
		return infra.EndpointResponse{}, eris.Errorf("response is larger than %d bytes", MaxBodyBytes)
	}
	return infra.EndpointResponse{
		RequestID:   response.Header.Get(HeaderRequestID),
		Status:      response.StatusCode,
		Body:        body,
		ContentType: response.Header.Get("Content-Type"),
	}, nil
}

// Load implements infra.Endpoints.
func (e *Endpoints) Load(ctx context.Context, _, address string) (infra.EndpointLoad, error) {
	var load infra.EndpointLoad
	call, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+PathLoad, nil)
	if err != nil {
		return load, eris.Wrap(err, "build request")
	}
	response, err := e.http.Do(call)
	if err != nil {
		return load, sendError(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return load, responseError(response)
	}
	limited := io.LimitReader(response.Body, maxLoadBytes)
	return load, eris.Wrap(json.NewDecoder(limited).Decode(&load), "decode load")
}

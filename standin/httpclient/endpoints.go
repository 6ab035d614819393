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

// maxLoadBytes bounds the answer to a load question.
const maxLoadBytes = 64 << 10

// Endpoints calls endpoints over HTTP.
type Endpoints struct {
	http       *http.Client
	propagator propagation.TextMapPropagator
}

// NewEndpoints returns a caller that keeps at most connections to each endpoint; 0 sets no limit.
func NewEndpoints(connections int) *Endpoints {
	transport := newTransport(connections)
	// The answer is passed on as the endpoint sent it.
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

// Close drops the idle connections.
func (e *Endpoints) Close() { e.http.CloseIdleConnections() }

// Call implements infra.Endpoints. The answer is read whole before it is returned. An answer that names another
// request closes its connection, because the answers that follow on it would be shifted as well.
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
	if answered := response.Header.Get(HeaderRequestID); answered != request.RequestID {
		_ = (*connection.Load()).Close()
		return infra.EndpointResponse{}, eris.Wrapf(infra.ErrResponseMismatch, "sent %q, answered %q", request.RequestID, answered)
	}
	if response.Header.Get(HeaderError) != "" {
		return infra.EndpointResponse{}, answerError(response)
	}
	return readAnswer(response)
}

func (e *Endpoints) newCall(ctx context.Context, request infra.EndpointRequest) (*http.Request, error) {
	call, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+request.Address+PathCall, bytes.NewReader(request.Body))
	if err != nil {
		return nil, eris.Wrap(infra.ErrNotSent, err.Error())
	}
	// Without GetBody the transport does not send the request a second time on its own.
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

// readAnswer reads the whole body. A body that ends with the connection has no checkable length: a cut answer would
// look complete, so it is refused.
func readAnswer(response *http.Response) (infra.EndpointResponse, error) {
	if response.ContentLength < 0 && !slices.Contains(response.TransferEncoding, "chunked") {
		return infra.EndpointResponse{}, eris.Wrap(infra.ErrResponseIncomplete, "answer has no length")
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, MaxBodyBytes+1))
	if errors.Is(err, io.ErrUnexpectedEOF) {
		return infra.EndpointResponse{}, eris.Wrap(infra.ErrResponseIncomplete, err.Error())
	}
	if err != nil {
		return infra.EndpointResponse{}, eris.Wrap(err, "read answer")
	}
	if len(body) > MaxBodyBytes {
		return infra.EndpointResponse{}, eris.Errorf("answer is larger than %d bytes", MaxBodyBytes)
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
		return load, answerError(response)
	}
	limited := io.LimitReader(response.Body, maxLoadBytes)
	return load, eris.Wrap(json.NewDecoder(limited).Decode(&load), "decode load")
}

package httpclient

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	"go.opentelemetry.io/otel/propagation"
	"gotest.tools/v3/assert"

	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/telemetry"
)

func callEndpoint(t *testing.T, handler http.HandlerFunc) (infra.EndpointResponse, error) {
	t.Helper()
	s := httptest.NewServer(handler)
	t.Cleanup(s.Close)
	endpoints := NewEndpoints(4)
	t.Cleanup(endpoints.Close)
	return endpoints.Call(t.Context(), infra.EndpointRequest{Address: s.Listener.Addr().String(), RequestID: "r1"})
}

// TestMismatchedRefusalIsNoProof guards against a refusal of another request that is taken as proof that this one did
// not run.
func TestMismatchedRefusalIsNoProof(t *testing.T) {
	_, err := callEndpoint(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(HeaderError, "endpoint_busy")
		w.Header().Set(HeaderRequestID, "r0")
	})
	assert.ErrorIs(t, err, infra.ErrResponseMismatch)
}

// TestMismatchClosesConnection guards against reuse of a connection after a mismatched response: every later response on
// it would belong to the previous request.
func TestMismatchClosesConnection(t *testing.T) {
	var mu sync.Mutex // guards connections
	connections := map[string]bool{}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		connections[r.RemoteAddr] = true
		w.Header().Set(HeaderRequestID, "r0")
	}))
	defer s.Close()
	endpoints := NewEndpoints(4)
	defer endpoints.Close()
	for range 3 {
		_, err := endpoints.Call(t.Context(), infra.EndpointRequest{Address: s.Listener.Addr().String(), RequestID: "r1"})
		assert.ErrorIs(t, err, infra.ErrResponseMismatch)
	}
	mu.Lock()
	defer mu.Unlock()
	assert.Equal(t, len(connections), 3)
}

// TestRedirectIsNotFollowed guards against an HTTP client that sends a request a second time on a redirect.
func TestRedirectIsNotFollowed(t *testing.T) {
	calls := 0
	response, err := callEndpoint(t, func(w http.ResponseWriter, r *http.Request) {
		calls++
		w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
		http.Redirect(w, r, "/again", http.StatusTemporaryRedirect)
	})
	assert.NilError(t, err)
	assert.Equal(t, response.Status, http.StatusTemporaryRedirect)
	assert.Equal(t, calls, 1)
}

// TestTruncatedResponseIsRejected guards against a truncated response that is taken as complete.
func TestTruncatedResponseIsRejected(t *testing.T) {
	for _, head := range []string{"Content-Length: 100\r\n", "", "Transfer-Encoding: chunked\r\n"} {
		_, err := callEndpoint(t, func(w http.ResponseWriter, _ *http.Request) {
			connection, buffer, hijackErr := http.NewResponseController(w).Hijack()
			assert.NilError(t, hijackErr)
			_, _ = io.WriteString(buffer, "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n"+head+"\r\n4\r\nhalf")
			_ = buffer.Flush()
			_ = connection.Close()
		})
		assert.ErrorIs(t, err, infra.ErrResponseIncomplete, "%q", head)
	}
}

// TestNotSentOnlyWithoutConnection guards against "not sent" for a request that the endpoint has received, and against
// an unknown outcome for one that never had a connection.
func TestNotSentOnlyWithoutConnection(t *testing.T) {
	started := make(chan struct{})
	blocked := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		close(started)
		<-blocked
	}))
	defer s.Close()
	defer close(blocked)
	endpoints := NewEndpoints(1)
	defer endpoints.Close()
	request := infra.EndpointRequest{Address: s.Listener.Addr().String(), RequestID: "r1"}
	ctx, cancel := context.WithCancel(t.Context())
	first := make(chan error, 1)
	go func() {
		_, err := endpoints.Call(ctx, request)
		first <- err
	}()
	<-started
	// The only connection is in use, so the second call ends before it has one.
	short, cancelShort := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancelShort()
	_, err := endpoints.Call(short, request)
	assert.ErrorIs(t, err, infra.ErrNotSent)
	cancel()
	err = <-first
	assert.ErrorIs(t, err, context.Canceled)
	assert.Assert(t, !errors.Is(err, infra.ErrNotSent))
	_, err = endpoints.Call(t.Context(), infra.EndpointRequest{Address: "127.0.0.1:1", RequestID: "r1"})
	assert.ErrorIs(t, err, infra.ErrNotSent)
}

// TestTraceAndDeadlineReachEndpoint guards against a trace that is not propagated to the endpoint, and against an
// endpoint that keeps working after the deadline of its caller.
func TestTraceAndDeadlineReachEndpoint(t *testing.T) {
	const parent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
	var header http.Header
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		header = r.Header
		w.Header().Set(HeaderRequestID, "r1")
	}))
	defer s.Close()
	endpoints := NewEndpoints(1)
	defer endpoints.Close()
	ctx := telemetry.Propagator().Extract(t.Context(), propagation.MapCarrier{"traceparent": parent})
	ctx, cancel := context.WithTimeout(ctx, time.Minute)
	defer cancel()
	_, err := endpoints.Call(ctx, infra.EndpointRequest{Address: s.Listener.Addr().String(), RequestID: "r1"})
	assert.NilError(t, err)
	assert.Equal(t, header.Get("traceparent"), parent)
	left, err := strconv.Atoi(header.Get(HeaderTimeout))
	assert.Assert(t, err == nil && left > 0 && left <= 60_000)
}

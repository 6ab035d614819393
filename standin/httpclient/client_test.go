package httpclient

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"siskinstack.example/siskinstack/infra"
)

// TestConnectionsAreReused guards against a new connection for every response that is larger than one chunk.
func TestConnectionsAreReused(t *testing.T) {
	var connections atomic.Int64
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(infra.KeyValue{Key: strings.Repeat("k", 100_000)})
	}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			connections.Add(1)
		}
	}
	server.Start()
	defer server.Close()
	client := New(server.URL)
	defer client.Close()
	for range 10 {
		_, err := client.Get(context.Background(), "k")
		assert.NilError(t, err)
	}
	assert.Equal(t, connections.Load(), int64(1))
}

// TestErrorMapping guards against refused connections that are reported as unknown outcomes, and aborted ones that are
// reported as not sent.
func TestErrorMapping(t *testing.T) {
	ctx := context.Background()
	closed := New("http://127.0.0.1:1")
	_, err := closed.Put(ctx, infra.PutRequest{Key: "k"})
	assert.ErrorIs(t, err, infra.ErrNotSent)
	for code, known := range Errors {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(HeaderError, code)
			w.WriteHeader(http.StatusConflict)
		}))
		_, err := New(server.URL).Put(ctx, infra.PutRequest{Key: "k"})
		assert.ErrorIs(t, err, known)
		server.Close()
	}
	aborted := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer aborted.Close()
	_, err = New(aborted.URL).Put(ctx, infra.PutRequest{Key: "k"})
	assert.ErrorContains(t, err, "EOF")
}

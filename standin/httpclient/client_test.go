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

// TestConnectionsAreUsedAgain guards against a new connection for every answer that is too large for one chunk.
func TestConnectionsAreUsedAgain(t *testing.T) {
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

// TestErrorsKeepTheirMeaning guards against refused connections that count as unknown outcomes, and cut ones that count
// as not sent.
func TestErrorsKeepTheirMeaning(t *testing.T) {
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
	cut := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer cut.Close()
	_, err = New(cut.URL).Put(ctx, infra.PutRequest{Key: "k"})
	assert.ErrorContains(t, err, "EOF")
}

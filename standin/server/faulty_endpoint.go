package server

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"siskinstack.example/siskinstack/standin/httpclient"
)

// Fault is what a FaultyEndpoint does to one response.
type Fault int

// The faults.
const (
	FaultNone Fault = iota
	// FaultDelayed responds after responseDelay.
	FaultDelayed
	// FaultSwapped sends the response of the previous request, which may have arrived on another connection.
	FaultSwapped
	// FaultTruncated closes the connection before the last bytes.
	FaultTruncated
	// FaultDuplicated sends the response twice.
	FaultDuplicated
	// FaultMismatchedRefusal refuses as busy, with the identifier of another request.
	FaultMismatchedRefusal
	// FaultNoLength sends half the response without a length and closes the connection.
	FaultNoLength
	// FaultNoResponse closes the connection without a response.
	FaultNoResponse
)

const responseDelay = 300 * time.Millisecond

// FaultyEndpoint is an endpoint that writes raw HTTP/1.1 responses, with faults that an HTTP server cannot produce.
type FaultyEndpoint struct {
	requests atomic.Int64
	previous atomic.Value
	fault    func(request int64) Fault
}

// NewFaultyEndpoint returns an endpoint; fault chooses the fault of the nth request, counted from 1.
func NewFaultyEndpoint(fault func(request int64) Fault) *FaultyEndpoint {
	return &FaultyEndpoint{fault: fault}
}

// Requests returns how many requests have arrived.
func (e *FaultyEndpoint) Requests() int64 { return e.requests.Load() }

// Serve accepts connections until the listener is closed.
func (e *FaultyEndpoint) Serve(listener net.Listener) {
	for {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		go e.serveConn(connection)
	}
}

// serveConn handles requests until the connection ends.
func (e *FaultyEndpoint) serveConn(connection net.Conn) {
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if request.URL.Path == httpclient.PathLoad {
			_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n{\"in_flight\":{}}")
			continue
		}
		if !e.respond(connection, request.Header.Get(httpclient.HeaderRequestID), string(body)) {
			return
		}
	}
}

// respond writes one response and reports whether the connection stays open.
func (e *FaultyEndpoint) respond(w io.Writer, id, body string) bool {
	text := rawResponse(id, "done "+body)
	previous, _ := e.previous.Swap(text).(string)
	fault := e.fault(e.requests.Add(1))
	switch fault {
	case FaultDelayed:
		time.Sleep(responseDelay)
	case FaultSwapped:
		text = previous
	case FaultTruncated:
		text = text[:len(text)-3]
	case FaultDuplicated:
		text += text
	case FaultMismatchedRefusal:
		text = strings.Replace(rawResponse("another", ""), "\r\n", "\r\n"+httpclient.HeaderError+": endpoint_busy\r\n", 1)
	case FaultNoLength:
		text = "HTTP/1.1 200 OK\r\n" + httpclient.HeaderRequestID + ": " + id + "\r\n\r\ndone half"
	case FaultNoResponse:
		text = ""
	case FaultNone:
	}
	_, err := io.WriteString(w, text)
	return err == nil && fault != FaultTruncated && fault != FaultNoLength && fault != FaultNoResponse
}

func rawResponse(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", httpclient.HeaderRequestID, id, len(body), body)
}

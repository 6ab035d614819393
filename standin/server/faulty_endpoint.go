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

// Fault is what a hostile endpoint does to one answer.
type Fault int

// The faults.
const (
	FaultNone Fault = iota
	// FaultDelayed answers after lateAnswer.
	FaultDelayed
	// FaultSwapped sends the answer to the previous request, which may have come over another connection.
	FaultSwapped
	// FaultTruncated closes the connection before the last bytes.
	FaultTruncated
	// FaultDuplicated sends the answer twice.
	FaultDuplicated
	// FaultMismatchedRefusal refuses another request as busy.
	FaultMismatchedRefusal
	// FaultNoLength sends half the answer with no length and closes the connection.
	FaultNoLength
	// FaultNoResponse closes the connection without an answer.
	FaultNoResponse
)

const lateAnswer = 300 * time.Millisecond

// FaultyEndpoint is an endpoint that writes its answers by hand, with faults that no HTTP server makes.
type FaultyEndpoint struct {
	requests atomic.Int64
	previous atomic.Value
	fault    func(request int64) Fault
}

// NewFaultyEndpoint returns an endpoint; fault chooses what the nth request gets, from 1.
func NewFaultyEndpoint(fault func(request int64) Fault) *FaultyEndpoint {
	return &FaultyEndpoint{fault: fault}
}

// Requests returns how many requests have arrived.
func (h *FaultyEndpoint) Requests() int64 { return h.requests.Load() }

// Serve answers until the listener is closed.
func (h *FaultyEndpoint) Serve(listener net.Listener) {
	for {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		go h.serve(connection)
	}
}

// serve ends with its connection.
func (h *FaultyEndpoint) serve(connection net.Conn) {
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
		if !h.answer(connection, request.Header.Get(httpclient.HeaderRequestID), string(body)) {
			return
		}
	}
}

// answer reports whether the connection stays open.
func (h *FaultyEndpoint) answer(w io.Writer, id, body string) bool {
	whole := rawAnswer(id, "done "+body)
	previous, _ := h.previous.Swap(whole).(string)
	fault := h.fault(h.requests.Add(1))
	switch fault {
	case FaultDelayed:
		time.Sleep(lateAnswer)
	case FaultSwapped:
		whole = previous
	case FaultTruncated:
		whole = whole[:len(whole)-3]
	case FaultDuplicated:
		whole += whole
	case FaultMismatchedRefusal:
		whole = strings.Replace(rawAnswer("another", ""), "\r\n", "\r\n"+httpclient.HeaderError+": endpoint_busy\r\n", 1)
	case FaultNoLength:
		whole = "HTTP/1.1 200 OK\r\n" + httpclient.HeaderRequestID + ": " + id + "\r\n\r\ndone half"
	case FaultNoResponse:
		whole = ""
	case FaultNone:
	}
	_, err := io.WriteString(w, whole)
	return err == nil && fault != FaultTruncated && fault != FaultNoLength && fault != FaultNoResponse
}

func rawAnswer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", httpclient.HeaderRequestID, id, len(body), body)
}

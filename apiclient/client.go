// Package apiclient is the Go client of the HTTP API of entry VMs.
package apiclient

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

const (
	dialTimeout = time.Second
	// maxAnswerBytes bounds the body of an answer.
	maxAnswerBytes = 16 << 20
	// idleConnections allows a burst of concurrent calls without new connections.
	idleConnections = 64
)

// Headers of the API.
const (
	headerRequestID  = "Siskin-Request-Id"
	headerRequestKey = "Siskin-Request-Key"
	headerIdempotent = "Siskin-Idempotent"
	headerTimeout    = "Siskin-Timeout-Ms"
	headerUrgency    = "Siskin-Urgency"
)

// Options configures a client.
type Options struct {
	// Servers lists the caller addresses of entry VMs, as IP:port or URL. They are tried in turn.
	Servers []string
	// Key is a team key sk_<id>_<secret> or an operator key op_<name>_<token>; empty sends none.
	Key string
	// Transport replaces the default HTTP transport.
	Transport http.RoundTripper
}

// Client calls the API. It is safe for concurrent use.
type Client struct {
	servers []string
	key     string
	http    *http.Client
	// first is the index of the server that answered last; the next call begins there.
	first atomic.Int64
}

// New returns a client.
func New(options Options) (*Client, error) {
	c := &Client{key: options.Key, http: &http.Client{Transport: options.Transport}}
	if options.Transport == nil {
		c.http.Transport = NewTransport(nil)
	}
	for _, server := range options.Servers {
		address, err := baseURL(server)
		if err != nil {
			return nil, err
		}
		c.servers = append(c.servers, address)
	}
	if len(c.servers) == 0 {
		return nil, eris.New("no server is named")
	}
	return c, nil
}

// NewTransport returns the default transport, with bounded dialling. roots verify servers whose address begins with
// https; nil selects those of the machine.
func NewTransport(roots *x509.CertPool) *http.Transport {
	return &http.Transport{
		TLSClientConfig:     &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS12},
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     time.Minute,
	}
}

func baseURL(server string) (string, error) {
	if !strings.Contains(server, "://") {
		server = "http://" + server
	}
	parsed, err := url.Parse(server)
	if err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
		return "", eris.Errorf("server %q is neither IP:port nor an http or https URL", server)
	}
	return strings.TrimSuffix(server, "/"), nil
}

// Close drops the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// call is one call of the API.
type call struct {
	method  string
	path    string
	body    []byte
	headers map[string]string
	// repeatable is true if a second run has no further effect.
	repeatable bool
}

// answer is one complete answer.
type answer struct {
	status      int
	body        []byte
	contentType string
	requestID   string
}

// do tries the servers in turn. It goes on to the next one only if the call certainly did not run, or is repeatable.
func (c *Client) do(ctx context.Context, request call) (answer, error) {
	begin := int(c.first.Load())
	var failed error
	for i := range c.servers {
		index := (begin + i) % len(c.servers)
		got, err := c.send(ctx, c.servers[index], request)
		if err == nil {
			c.first.Store(int64(index))
			return got, nil
		}
		failed = worse(failed, err)
		if ctx.Err() != nil || !mayTryNext(request, err) {
			return answer{}, failed
		}
	}
	return answer{}, failed
}

// worse returns the error to report after several attempts: one that may have run hides none that did not.
func worse(before, now error) error {
	var unknown *TransportError
	if errors.As(before, &unknown) && unknown.Sent {
		var refused *Refusal
		if errors.As(now, &refused) && refused.NotRun {
			return before
		}
		if errors.As(now, &unknown) && !unknown.Sent {
			return before
		}
	}
	return now
}

func mayTryNext(request call, err error) bool {
	var refused *Refusal
	if errors.As(err, &refused) {
		return refused.NotRun && refused.Temporary()
	}
	var transport *TransportError
	if errors.As(err, &transport) {
		return request.repeatable || !transport.Sent
	}
	return false
}

func (c *Client) send(ctx context.Context, server string, request call) (answer, error) {
	httpRequest, err := http.NewRequestWithContext(ctx, request.method, server+request.path, bytes.NewReader(request.body))
	if err != nil {
		return answer{}, eris.Wrap(err, "build call")
	}
	if !request.repeatable {
		// Without GetBody the transport does not send the call a second time on its own.
		httpRequest.GetBody = nil
	}
	for name, value := range request.headers {
		httpRequest.Header.Set(name, value)
	}
	if c.key != "" {
		httpRequest.Header.Set("Authorization", "Bearer "+c.key)
	}
	response, err := c.http.Do(httpRequest)
	if err != nil {
		return answer{}, &TransportError{Server: server, Sent: wasSent(err), Cause: err}
	}
	defer func() { _ = response.Body.Close() }()
	got, err := read(response)
	if err != nil {
		return answer{}, &TransportError{Server: server, Sent: true, Cause: err}
	}
	return got, refusalOf(got)
}

func read(response *http.Response) (answer, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil {
		return answer{}, err
	}
	if len(body) > maxAnswerBytes {
		return answer{}, eris.Errorf("answer is larger than %d bytes", maxAnswerBytes)
	}
	return answer{
		status: response.StatusCode, body: body,
		contentType: response.Header.Get("Content-Type"), requestID: response.Header.Get(headerRequestID),
	}, nil
}

// wasSent reports whether a failed call may have reached the server.
func wasSent(err error) bool {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return false
	}
	return !errors.Is(err, syscall.ECONNREFUSED)
}

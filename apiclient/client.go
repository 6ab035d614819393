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
	// maxResponseBytes bounds the body of a response.
	maxResponseBytes = 16 << 20
	// idleConnections per server allow a burst of concurrent calls without new connections.
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
	// Servers lists the caller addresses of entry VMs, as IP:port or URL. They are tried in order.
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
	// preferred is the index of the server that last completed a call; the next call tries it first.
	preferred atomic.Int64
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
		return nil, eris.New("no server address is given")
	}
	return c, nil
}

// NewTransport returns the default transport, with a dial timeout. roots verify servers whose address begins with
// https; nil selects the system's certificates.
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

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// call describes one call of the API.
type call struct {
	method  string
	path    string
	body    []byte
	headers map[string]string
	// repeatable is true if sending the call again has no further effect.
	repeatable bool
}

// response is one complete response.
type response struct {
	status      int
	body        []byte
	contentType string
	requestID   string
}

// do tries the servers in order. It continues with the next one only if the call certainly did not run, or is
// repeatable.
func (c *Client) do(ctx context.Context, request call) (response, error) {
	start := int(c.preferred.Load())
	var reported error
	for i := range c.servers {
		index := (start + i) % len(c.servers)
		resp, err := c.send(ctx, c.servers[index], request)
		if err == nil {
			c.preferred.Store(int64(index))
			return resp, nil
		}
		reported = moreUncertain(reported, err)
		if ctx.Err() != nil || !mayTryNext(request, err) {
			return response{}, reported
		}
	}
	return response{}, reported
}

// moreUncertain returns the error to report after several attempts. An attempt that may have run takes precedence over
// a later one that did not run.
func moreUncertain(previous, latest error) error {
	var unknown *TransportError
	if errors.As(previous, &unknown) && unknown.Sent {
		var refused *Refusal
		if errors.As(latest, &refused) && refused.NotRun {
			return previous
		}
		if errors.As(latest, &unknown) && !unknown.Sent {
			return previous
		}
	}
	return latest
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

func (c *Client) send(ctx context.Context, server string, request call) (response, error) {
	httpRequest, err := http.NewRequestWithContext(ctx, request.method, server+request.path, bytes.NewReader(request.body))
	if err != nil {
		return response{}, eris.Wrap(err, "build request")
	}
	if !request.repeatable {
		// Without GetBody the transport does not resend the request on its own.
		httpRequest.GetBody = nil
	}
	for name, value := range request.headers {
		httpRequest.Header.Set(name, value)
	}
	if c.key != "" {
		httpRequest.Header.Set("Authorization", "Bearer "+c.key)
	}
	httpResponse, err := c.http.Do(httpRequest)
	if err != nil {
		return response{}, &TransportError{Server: server, Sent: mayHaveBeenSent(err), Cause: err}
	}
	defer func() { _ = httpResponse.Body.Close() }()
	resp, err := readResponse(httpResponse)
	if err != nil {
		return response{}, &TransportError{Server: server, Sent: true, Cause: err}
	}
	return resp, refusalOf(resp)
}

func readResponse(httpResponse *http.Response) (response, error) {
	body, err := io.ReadAll(io.LimitReader(httpResponse.Body, maxResponseBytes+1))
	if err != nil {
		return response{}, err
	}
	if len(body) > maxResponseBytes {
		return response{}, eris.Errorf("response is larger than %d bytes", maxResponseBytes)
	}
	return response{
		status: httpResponse.StatusCode, body: body,
		contentType: httpResponse.Header.Get("Content-Type"), requestID: httpResponse.Header.Get(headerRequestID),
	}, nil
}

// mayHaveBeenSent reports whether a failed call may have reached the server.
func mayHaveBeenSent(err error) bool {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return false
	}
	return !errors.Is(err, syscall.ECONNREFUSED)
}

package httpclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/propagation"

	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/telemetry"
)

const (
	dialTimeout = time.Second
	// idleConnections exceeds the number of workers in a zone at the sites of package site, so that an owner can renew all
	// of them at once without new connections.
	idleConnections = 64
)

// Client implements the platform's interfaces over HTTP/JSON.
type Client struct {
	url  string
	http *http.Client
}

// New returns a client of the platform at url.
func New(url string) *Client {
	return &Client{url: url, http: &http.Client{Transport: newTransport(0)}}
}

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewWithDialer returns a client of the platform at url that opens its connections with dial.
func NewWithDialer(url string, dial DialFunc) *Client {
	transport := newTransport(0)
	transport.DialContext = dial
	return &Client{url: url, http: &http.Client{Transport: transport}}
}

func newTransport(connectionsPerHost int) *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: idleConnections,
		MaxConnsPerHost:     connectionsPerHost,
		IdleConnTimeout:     time.Minute,
	}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

func post[Q, A any](ctx context.Context, c *Client, path string, request Q) (A, error) {
	var result A
	body, err := json.Marshal(request)
	if err != nil {
		return result, eris.Wrap(err, "encode request")
	}
	call, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url+path, bytes.NewReader(body))
	if err != nil {
		return result, eris.Wrap(err, "build request")
	}
	telemetry.Propagator().Inject(ctx, propagation.HeaderCarrier(call.Header))
	response, err := c.http.Do(call)
	if err != nil {
		return result, sendError(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return result, responseError(response)
	}
	// The body is read to its end because the connection of a partly read response is not reused.
	text, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil {
		return result, eris.Wrap(err, "read response")
	}
	if len(text) > maxResponseBytes {
		return result, eris.Errorf("response is larger than %d bytes", maxResponseBytes)
	}
	return result, eris.Wrap(json.Unmarshal(text, &result), "decode response")
}

// maxResponseBytes bounds one response: a listing of 200 log values of 512 KiB takes 140 MB in base64.
const maxResponseBytes = 256 << 20

// sendError marks errors that occurred before the connection was established as not sent.
func sendError(err error) error {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return eris.Wrap(infra.ErrNotSent, err.Error())
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		return eris.Wrap(infra.ErrNotSent, err.Error())
	}
	return err
}

// maxErrorBytes bounds the text of an error response.
const maxErrorBytes = 4 << 10

func responseError(response *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	if known, ok := Errors[response.Header.Get(HeaderError)]; ok {
		return known
	}
	return eris.Errorf("platform answered %s: %s", response.Status, bytes.TrimSpace(text))
}

func postNoResult[Q any](ctx context.Context, c *Client, path string, request Q) error {
	_, err := post[Q, struct{}](ctx, c, path, request)
	return err
}

// Get implements infra.Store.
func (c *Client) Get(ctx context.Context, key string) (infra.KeyValue, error) {
	return post[KeyRequest, infra.KeyValue](ctx, c, PathGet, KeyRequest{Key: key})
}

// List implements infra.Store.
func (c *Client) List(ctx context.Context, prefix string) (infra.Listing, error) {
	return post[KeyRequest, infra.Listing](ctx, c, PathList, KeyRequest{Key: prefix})
}

// Put implements infra.Store.
func (c *Client) Put(ctx context.Context, request infra.PutRequest) (infra.Revision, error) {
	return post[infra.PutRequest, infra.Revision](ctx, c, PathPut, request)
}

// Delete implements infra.Store.
func (c *Client) Delete(ctx context.Context, key string, expected infra.Revision) error {
	return postNoResult(ctx, c, PathDelete, KeyRequest{Key: key, Expected: expected})
}

// GrantLease implements infra.Store.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (infra.LeaseID, error) {
	return post[LeaseRequest, infra.LeaseID](ctx, c, PathGrant, LeaseRequest{TTL: ttl})
}

// RenewLease implements infra.Store.
func (c *Client) RenewLease(ctx context.Context, lease infra.LeaseID) error {
	return postNoResult(ctx, c, PathRenewLease, LeaseRequest{Lease: lease})
}

// RevokeLease implements infra.Store.
func (c *Client) RevokeLease(ctx context.Context, lease infra.LeaseID) error {
	return postNoResult(ctx, c, PathRevoke, LeaseRequest{Lease: lease})
}

// Watch implements infra.Store.
func (c *Client) Watch(ctx context.Context, request infra.WatchRequest) (infra.WatchResult, error) {
	return post[infra.WatchRequest, infra.WatchResult](ctx, c, PathWatch, request)
}

// VMs returns a reader of the platform's list of VMs.
func (c *Client) VMs() infra.VMList { return &vmList{client: c} }

// vmList caches the last list: an unchanged list is not sent again, because with 9,800 workers it takes two megabytes.
type vmList struct {
	client *Client

	mu  sync.Mutex // guards tag and vms
	tag string
	vms []infra.VM
}

// List implements infra.VMList.
func (l *vmList) List(ctx context.Context) (infra.VMs, error) {
	l.mu.Lock()
	known := l.tag
	l.mu.Unlock()
	response, err := post[VMsRequest, VMsResponse](ctx, l.client, PathVMs, VMsRequest{Known: known})
	if err != nil {
		return infra.VMs{}, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !response.Unchanged {
		l.tag, l.vms = response.Tag, response.VMs
	} else if response.Tag != l.tag {
		return infra.VMs{}, eris.New("list of VMs changed while it was read")
	}
	return infra.VMs{VMs: l.vms, Lag: response.Lag}, nil
}

// Start implements infra.Workers.
func (c *Client) Start(ctx context.Context, request infra.StartRequest) error {
	return postNoResult(ctx, c, PathStart, request)
}

// Renew implements infra.Workers.
func (c *Client) Renew(ctx context.Context, request infra.RenewRequest) (infra.WorkerReport, error) {
	return post[infra.RenewRequest, infra.WorkerReport](ctx, c, PathRenew, request)
}

// Stop implements infra.Workers.
func (c *Client) Stop(ctx context.Context, request infra.StopRequest) error {
	return postNoResult(ctx, c, PathStop, request)
}

// Checkpoint implements infra.Workers.
func (c *Client) Checkpoint(ctx context.Context, request infra.StopRequest) error {
	return postNoResult(ctx, c, PathCheckpoint, request)
}

// Throttle implements infra.Workers.
func (c *Client) Throttle(ctx context.Context, request infra.ThrottleRequest) error {
	return postNoResult(ctx, c, PathThrottle, request)
}

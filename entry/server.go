// Package entry serves callers over HTTP/JSON under /v1.
package entry

import (
	"cmp"
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"siskinstack.example/siskinstack/admission"
	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/claim"
	"siskinstack.example/siskinstack/peer"
	"siskinstack.example/siskinstack/router"
)

// Headers of the HTTP API for callers.
const (
	HeaderRequestID  = "Siskin-Request-Id"
	HeaderRequestKey = "Siskin-Request-Key"
	HeaderIdempotent = "Siskin-Idempotent"
	HeaderTimeout    = "Siskin-Timeout-Ms"
	HeaderUrgency    = "Siskin-Urgency"
	// HeaderReason distinguishes a refusal of the system from a response of an endpoint with the same status.
	HeaderReason = "Siskin-Reason"
)

// defaultMaxBodyBytes bounds a request body if the settings contain no limit.
const defaultMaxBodyBytes = 1 << 20

// Target is what a caller asks to use.
type Target struct {
	// Queue or Service is set for a submission or a request.
	Queue   string
	Service string
	// Read is true for calls that change nothing; they are served even if the view of the keys is stale.
	Read bool
}

// Authenticator decides for which team a caller acts. The error is a refusal: key_missing, key_unknown,
// key_withdrawn, key_wrong_team, or key_unverifiable if the view of the keys is stale and the target is not a read.
// Queues and services open to all need no bearer token; a target without queue and service always needs one.
type Authenticator interface {
	Authenticate(ctx context.Context, bearer string, target Target) (team string, err error)
}

// Decoder reads a JSON body into a message and refuses unknown fields.
type Decoder func(body []byte, into proto.Message) error

// Requests sends requests to services.
type Requests interface {
	Send(ctx context.Context, request router.Request) (router.Answer, error)
	Timeout(service string) (time.Duration, bool)
}

// Claims claims at-most-once requests.
type Claims interface {
	Begin(ctx context.Context, submission claim.Submission) (*claim.Handle, *siskinv1.RequestFinished, error)
	Wait()
}

// Route is a route of the server with its handler.
type Route struct {
	// Pattern is a pattern of http.ServeMux with method and path.
	Pattern string
	Handler http.HandlerFunc
}

// Options configures a Server. Work, Shards and Auth are required.
type Options struct {
	Work peer.Work
	// Shards lists the names of all shards.
	Shards func() []string
	// ShardLoad returns the last known load of a shard, higher for fuller; nil treats all loads as equal.
	ShardLoad func(shard string) float64
	Auth      Authenticator
	// Requests and Claims are nil if the VM serves no requests to services.
	Requests Requests
	Claims   Claims
	// Limiter is nil for the default limits.
	Limiter *admission.Limiter
	// Decode is nil for strict protojson.
	Decode       Decoder
	MaxBodyBytes int64
	Registry     prometheus.Registerer
	Tracer       trace.TracerProvider
	// Routes are additional routes, served with the same counters and spans.
	Routes   []Route
	Timeouts Timeouts
}

// Server is the HTTP server for callers.
type Server struct {
	options      Options
	metrics      *metrics
	tracer       trace.Tracer
	http         *http.Server
	shuttingDown atomic.Bool
	inFlight     atomic.Int64
}

// New returns a server.
func New(options Options) *Server {
	if options.Limiter == nil {
		options.Limiter = admission.New(admission.Limits{})
	}
	if options.Decode == nil {
		options.Decode = decodeStrict
	}
	if options.Tracer == nil {
		options.Tracer = noop.NewTracerProvider()
	}
	options.MaxBodyBytes = cmp.Or(options.MaxBodyBytes, defaultMaxBodyBytes)
	options.Timeouts = options.Timeouts.withDefaults()
	s := &Server{options: options, metrics: newMetrics(options.Registry), tracer: options.Tracer.Tracer("siskinstack/entry")}
	s.http = s.newHTTPServer()
	return s
}

func decodeStrict(body []byte, into proto.Message) error {
	return eris.Wrap(protojson.Unmarshal(body, into), "decode JSON")
}

// Handler returns the handler of all routes.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	for _, route := range s.builtinRoutes() {
		mux.Handle(route.Pattern, s.instrument(route))
	}
	for _, route := range s.options.Routes {
		mux.Handle(route.Pattern, s.instrument(route))
	}
	mux.Handle("/", s.instrument(Route{Pattern: "other", Handler: s.notFound}))
	return mux
}

func (s *Server) builtinRoutes() []Route {
	return []Route{
		{"POST /v1/work", s.submit},
		{"GET /v1/work", s.list},
		{"GET /v1/work/{id}", s.get},
		{"POST /v1/work/{id}/cancel", s.cancel},
		{"GET /v1/work/{id}/explain", s.explain},
		{"POST /v1/services/{service}/requests", s.request},
	}
}

// OpenAccess accepts every caller and takes the queue or service as the team. It is for tests and demonstrations.
type OpenAccess struct{}

// Authenticate implements Authenticator.
func (OpenAccess) Authenticate(_ context.Context, _ string, target Target) (string, error) {
	return cmp.Or(target.Queue, target.Service), nil
}

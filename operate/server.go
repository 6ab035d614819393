// Package operate serves the operators' routes over HTTP/JSON: teams, keys, bundles, zones and VMs.
package operate

import (
	"context"
	"net/http"
	"time"

	"github.com/go-logr/logr"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/bundle"
	"siskinstack.example/siskinstack/clock"
	"siskinstack.example/siskinstack/configview"
	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/refusal"
	"siskinstack.example/siskinstack/resource"
	"siskinstack.example/siskinstack/teamkey"
)

const (
	// DefaultMaxBodyBytes bounds a request body if the options set no limit. The largest valid bundle has 512 KiB in its
	// binary encoding.
	DefaultMaxBodyBytes = 1 << 20
	// requestTimeout bounds a request. A sign-off makes five store calls of a few milliseconds each, or up to 15 if responses
	// are lost.
	requestTimeout = 10 * time.Second
)

// TeamUsage is the resources of a team's running and queued work in the whole fleet.
type TeamUsage struct {
	Running resource.Vector
	Queued  resource.Vector
}

// ZoneUsage is the number of running and queued tasks of a zone.
type ZoneUsage struct {
	Running int64
	Queued  int64
}

// Usage reports the work of the fleet.
type Usage interface {
	Teams(ctx context.Context) (map[string]TeamUsage, error)
	Zone(ctx context.Context, zone string) (ZoneUsage, error)
}

// VMState is one VM of the fleet.
type VMState struct {
	Name    string `json:"name"`
	Role    string `json:"role"`
	Zone    string `json:"zone"`
	Rack    string `json:"rack"`
	Leaving bool   `json:"leaving"`
	// State is the membership status of an entry VM, or "listed" for any other VM in the platform's list.
	State string `json:"state"`
}

// VMs lists the VMs of the fleet.
type VMs interface {
	VMs(ctx context.Context) ([]VMState, error)
}

// VMBundle is the bundle in force on one entry VM.
type VMBundle struct {
	VM      string `json:"vm"`
	Version int64  `json:"version"`
	// AgeMs is the time since the store confirmed the VM's configuration, as the VM last reported it; negative if the store
	// has not done so since the start of the VM's process.
	AgeMs int64 `json:"age_ms"`
	// InForceAfterMs is the time from the sign-off until the bundle came into force on the VM; negative if it is unknown.
	InForceAfterMs int64 `json:"in_force_after_ms"`
	Reachable      bool  `json:"reachable"`
}

// BundleStates reports the bundle in force on each entry VM.
type BundleStates interface {
	BundleStates(ctx context.Context) ([]VMBundle, error)
}

// Options configure a server.
type Options struct {
	// Store has to be wrapped by View.WrapStore, so that this VM knows a change before it acknowledges it.
	Store        infra.Store
	Clock        clock.Clock
	Logger       logr.Logger
	View         *configview.View
	Operators    []*siskinv1.Operator
	Usage        Usage
	VMs          VMs
	BundleStates BundleStates
	// OnChange is called after each change of the configuration, unless it is nil. It must not block.
	OnChange func()
	// MaxBodyBytes bounds a request body; 0 selects DefaultMaxBodyBytes.
	MaxBodyBytes int64
}

// Server serves the operators' routes.
type Server struct {
	options   Options
	operators *teamkey.Operators
	keys      *teamkey.Registry
	bundles   *bundle.Registry
}

// New returns a server for the operators' routes.
func New(options Options) *Server {
	if options.MaxBodyBytes <= 0 {
		options.MaxBodyBytes = DefaultMaxBodyBytes
	}
	return &Server{
		options:   options,
		operators: teamkey.NewOperators(options.Operators),
		keys:      teamkey.NewRegistry(options.Store, options.Clock),
		bundles:   bundle.NewRegistry(options.Store, bundle.NewSigners(options.Operators)),
	}
}

// Patterns returns the patterns under which another mux has to mount Handler.
func Patterns() []string {
	return []string{"/v1/teams", "/v1/keys", "/v1/keys/", "/v1/bundles", "/v1/bundles/", "/v1/zones/", "/v1/vms"}
}

// Handler returns the handler of all routes.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	routes := map[string]handler{
		"GET /v1/teams":                       s.listTeams,
		"POST /v1/keys":                       s.issueKey,
		"GET /v1/keys":                        s.listKeys,
		"POST /v1/keys/{id}/withdraw":         s.withdrawKey,
		"POST /v1/bundles":                    s.propose,
		"GET /v1/bundles/status":              s.bundleStatus,
		"GET /v1/bundles/{version}":           s.getBundle,
		"GET /v1/bundles/{version}/diff":      s.diffBundle,
		"POST /v1/bundles/{version}/review":   s.review,
		"POST /v1/bundles/{version}/sign-off": s.signOff,
		"POST /v1/zones/{zone}/drain":         s.drainZone,
		"POST /v1/zones/{zone}/return":        s.returnZone,
		"GET /v1/zones/{zone}":                s.getZone,
		"GET /v1/vms":                         s.listVMs,
	}
	for pattern, handle := range routes {
		mux.HandleFunc(pattern, s.authenticated(handle))
	}
	mux.HandleFunc("/", s.authenticated(func(c *call) (any, error) {
		return nil, refusal.New(refusal.NotFound, "no route %s %s", c.http.Method, c.http.URL.Path)
	}))
	return mux
}

// call is one request of an authenticated operator.
type call struct {
	http     *http.Request
	writer   http.ResponseWriter
	operator string
	// status is the HTTP status of a successful response.
	status int
}

// handler handles one request. The response is a protobuf message or a value for encoding/json; an error is a refusal.
type handler func(*call) (any, error)

func (s *Server) authenticated(handle handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		requestID := newRequestID()
		operator, err := s.operators.Authenticate(r.Header.Get("Authorization"))
		if err != nil {
			writeRefusal(w, requestID, err)
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
		defer cancel()
		c := &call{http: r.WithContext(ctx), writer: w, operator: operator, status: http.StatusOK}
		response, err := handle(c)
		if err != nil {
			writeRefusal(w, requestID, err)
			return
		}
		writeResponse(w, requestID, c.status, response)
	}
}

// snapshot returns the newest configuration that this VM knows.
func (s *Server) snapshot() *configview.Snapshot { return s.options.View.Snapshot() }

// reportChange logs a change of the configuration and calls OnChange.
func (s *Server) reportChange(c *call, message string, details ...any) {
	s.options.Logger.Info(message, append([]any{"operator", c.operator}, details...)...)
	if s.options.OnChange != nil {
		s.options.OnChange()
	}
}

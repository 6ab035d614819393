package operate_test

import (
	"context"
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/protobuf/encoding/protojson"
	"gotest.tools/v3/assert"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/bundle"
	"siskinstack.example/siskinstack/clock"
	"siskinstack.example/siskinstack/configview"
	"siskinstack.example/siskinstack/operate"
	"siskinstack.example/siskinstack/resource"
	"siskinstack.example/siskinstack/standin"
)

// fakeFleet implements Usage, VMs and BundleStates with fixed values.
type fakeFleet struct{ err error }

func (f fakeFleet) Teams(context.Context) (map[string]operate.TeamUsage, error) {
	return map[string]operate.TeamUsage{"lab": {Running: resource.Vector{MilliCPU: 7}}}, f.err
}

func (f fakeFleet) Zone(context.Context, string) (operate.ZoneUsage, error) {
	return operate.ZoneUsage{Running: 3, Queued: 4}, f.err
}

func (f fakeFleet) VMs(context.Context) ([]operate.VMState, error) { return nil, f.err }

func (f fakeFleet) BundleStates(context.Context) ([]operate.VMBundle, error) {
	return []operate.VMBundle{{VM: "a", Version: 1, Reachable: true}}, f.err
}

type fixture struct {
	t       *testing.T
	store   *standin.Store
	view    *configview.View
	handler http.Handler
}

func newFixture(t *testing.T, fleet fakeFleet) *fixture {
	fake := clock.NewFake(time.UnixMilli(5000))
	var operators []*siskinv1.Operator
	for _, name := range []string{"ann", "bob", "cem"} {
		token := sha256.Sum256([]byte("token-" + name))
		public := signingKey(name).Public().(ed25519.PublicKey)
		operators = append(operators, &siskinv1.Operator{
			Name: name, TokenSha256: hex.EncodeToString(token[:]), SignOffKey: hex.EncodeToString(public),
		})
	}
	f := &fixture{t: t, store: standin.NewStore(fake)}
	f.view = configview.New(configview.Options{
		Store: f.store, Clock: fake, Logger: logr.Discard(), Signers: bundle.NewSigners(operators),
	})
	f.handler = operate.New(operate.Options{
		Store: f.view.WrapStore(f.store), Clock: fake, Logger: logr.Discard(), View: f.view, Operators: operators,
		Usage: fleet, VMs: fleet, BundleStates: fleet, MaxBodyBytes: 4096,
	}).Handler()
	return f
}

func signingKey(name string) ed25519.PrivateKey {
	seed := sha256.Sum256([]byte(name))
	return ed25519.NewKeyFromSeed(seed[:])
}

// call sends a request as an operator and returns the status and the body.
func (f *fixture) call(operator, route, body string) (int, string) {
	method, path, _ := strings.Cut(route, " ")
	request := httptest.NewRequestWithContext(f.t.Context(), method, path, strings.NewReader(body))
	if operator != "" {
		request.Header.Set("Authorization", "Bearer op_"+operator+"_token-"+operator)
	}
	recorder := httptest.NewRecorder()
	f.handler.ServeHTTP(recorder, request)
	assert.Assert(f.t, recorder.Header().Get("Siskin-Request-Id") != "")
	assert.Equal(f.t, recorder.Header().Get("Content-Type"), "application/json")
	return recorder.Code, recorder.Body.String()
}

// mustCall sends a request that has to succeed and decodes the response.
func (f *fixture) mustCall(operator, route, body string, status int, into any) {
	f.t.Helper()
	got, text := f.call(operator, route, body)
	assert.Equal(f.t, got, status, "%s: %s", route, text)
	assert.NilError(f.t, json.Unmarshal([]byte(text), into))
}

// mustRefuse sends a request that has to be refused, and returns the message.
func (f *fixture) mustRefuse(operator, route, body, reason string) string {
	f.t.Helper()
	status, text := f.call(operator, route, body)
	var refused struct {
		RequestID string `json:"request_id"`
		Reason    string `json:"reason"`
		Message   string `json:"message"`
		NotRun    *bool  `json:"not_run"`
	}
	assert.NilError(f.t, json.Unmarshal([]byte(text), &refused))
	assert.Equal(f.t, refused.Reason, reason, "%s: %d %s", route, status, text)
	assert.Assert(f.t, status >= 400 && refused.NotRun != nil && refused.RequestID != "")
	return refused.Message
}

const sampleBundle = `{"version": 1, "zones": [{"name": "z1", "region": "r"}],
	"teams": [{"name": "lab", "share": 1, "ceiling": {"milli_cpu": 1000, "memory_bytes": 1000}}]}`

// putInForce proposes, reviews and signs off a bundle.
func (f *fixture) putInForce(text string) {
	var p struct {
		Hash string `json:"content_sha256"`
	}
	f.mustCall("ann", "POST /v1/bundles", text, http.StatusCreated, &p)
	f.mustCall("bob", "POST /v1/bundles/1/review", `{"content_sha256": "`+p.Hash+`"}`, http.StatusOK, &p)
	_, stored := f.call("cem", "GET /v1/bundles/1", "")
	proposal := &siskinv1.BundleProposal{}
	assert.NilError(f.t, protojson.Unmarshal([]byte(stored), proposal))
	signed, err := bundle.Sign(proposal, "cem", signingKey("cem"))
	assert.NilError(f.t, err)
	signature := base64.StdEncoding.EncodeToString(signed)
	body := `{"content_sha256": "` + p.Hash + `", "signature": "` + signature + `"}`
	f.mustCall("cem", "POST /v1/bundles/1/sign-off", body, http.StatusOK, &p)
}

// Guards against an operator's task that can't be done with the routes: bundles, keys, zones, and the listings.
func TestOperatorWorkflow(t *testing.T) {
	f := newFixture(t, fakeFleet{})
	f.mustRefuse("ann", "POST /v1/keys", `{"team": "lab"}`, "bad_request")
	f.putInForce(sampleBundle)
	assert.Equal(t, f.view.Snapshot().BundleVersion(), int64(1))

	var key struct{ ID, Team, Key string }
	f.mustCall("ann", "POST /v1/keys", `{"team": "lab"}`, http.StatusCreated, &key)
	assert.Assert(t, strings.HasPrefix(key.Key, "sk_"+key.ID+"_"))
	var withdrawn struct{ Withdrawn bool }
	f.mustCall("bob", "POST /v1/keys/"+key.ID+"/withdraw", "", http.StatusOK, &withdrawn)
	assert.Assert(t, withdrawn.Withdrawn && f.view.Snapshot().Key(key.ID).GetWithdrawn())
	_, keys := f.call("bob", "GET /v1/keys", "")
	assert.Equal(t, keys, `{"keys":[{"id":"`+key.ID+`","team":"lab","withdrawn":true,"issued_by":"ann","issued_unix_ms":5000,"withdrawn_unix_ms":5000}]}`)

	var zone struct {
		Status struct{ State string }
		Queued int64
	}
	f.mustCall("ann", "POST /v1/zones/z1/drain", "", http.StatusOK, &struct{}{})
	f.mustCall("bob", "POST /v1/zones/z1/drain", "", http.StatusOK, &struct{}{})
	assert.Assert(t, f.view.Snapshot().IsDraining("z1"))
	assert.Equal(t, f.view.Snapshot().Zone("z1").GetChangedBy(), "ann", "a repeated drain changed the state again")
	f.mustCall("ann", "GET /v1/zones/z1", "", http.StatusOK, &zone)
	assert.Equal(t, zone.Status.State, "ZONE_STATE_DRAINING")
	assert.Equal(t, zone.Queued, int64(4))
	f.mustCall("ann", "POST /v1/zones/z1/return", "", http.StatusOK, &struct{}{})
	assert.Assert(t, !f.view.Snapshot().IsDraining("z1"))

	_, teams := f.call("ann", "GET /v1/teams", "")
	none := `{"milli_cpu":0,"memory_bytes":0,"accelerators":0}`
	assert.Equal(t, teams, `{"teams":[{"name":"lab","share":1,"ceiling":{"milli_cpu":1000,"memory_bytes":1000,"accelerators":0},`+
		`"running":{"milli_cpu":7,"memory_bytes":0,"accelerators":0},"queued":`+none+`}]}`)
	_, vms := f.call("ann", "GET /v1/vms", "")
	assert.Equal(t, vms, `{"vms":[]}`)
	_, status := f.call("ann", "GET /v1/bundles/status", "")
	assert.Equal(t, status, `{"version":1,"vms":[{"vm":"a","version":1,"age_ms":0,"in_force_after_ms":0,"reachable":true}]}`)
	next := strings.Replace(strings.Replace(sampleBundle, `"version": 1`, `"version": 2`, 1), `"share": 1`, `"share": 5`, 1)
	f.mustCall("ann", "POST /v1/bundles", next, http.StatusCreated, &struct{}{})
	_, diff := f.call("ann", "GET /v1/bundles/2/diff", "")
	assert.Equal(t, diff, `{"changes":[{"path":"$.version","from":"1","to":"2"},{"path":"$.teams[\"lab\"].share","from":"1","to":"5"}]}`)
}

// Guards against a route that needs no operator's token.
func TestEveryRouteNeedsAnOperator(t *testing.T) {
	f := newFixture(t, fakeFleet{})
	for _, route := range []string{
		"GET /v1/teams", "POST /v1/keys", "GET /v1/keys", "POST /v1/keys/x/withdraw", "POST /v1/bundles",
		"GET /v1/bundles/1", "GET /v1/bundles/1/diff", "POST /v1/bundles/1/review", "POST /v1/bundles/1/sign-off",
		"GET /v1/bundles/status", "POST /v1/zones/z1/drain", "POST /v1/zones/z1/return", "GET /v1/zones/z1", "GET /v1/vms",
		"DELETE /v1/vms", "GET /",
	} {
		f.mustRefuse("", route, "{}", "key_missing")
		f.mustRefuse("eve", route, "{}", "key_unknown")
	}
	assert.Equal(t, f.store.Counts().Writes+f.store.Counts().Reads, int64(0), "the store was called for an unauthenticated request")
}

// Guards against invalid input that is accepted in part, changes the configuration, or uses unbounded memory.
func TestInvalidInput(t *testing.T) {
	f := newFixture(t, fakeFleet{})
	f.putInForce(sampleBundle)
	writes := f.store.Counts().Writes
	large := `{"team": "` + strings.Repeat("x", 5000) + `"}`
	tests := []struct{ route, body, reason string }{
		{"POST /v1/keys", "", "bad_request"},
		{"POST /v1/keys", "null", "bad_request"},
		{"POST /v1/keys", `{"team": "lab", "team": "lab"}`, "bad_request"},
		{"POST /v1/keys", `{"team": "lab", "id": "mine"}`, "bad_request"},
		{"POST /v1/keys", `{"team": "lab"} {}`, "bad_request"},
		{"POST /v1/keys", strings.Repeat("[", 4000), "bad_request"},
		{"POST /v1/keys", large, "body_too_large"},
		{"POST /v1/keys", `{"team": "none"}`, "bad_request"},
		{"POST /v1/keys/..%2Fbundle%2Fcurrent/withdraw", "", "not_found"},
		{"POST /v1/keys/0123456789abcdef/withdraw", "", "not_found"},
		{"POST /v1/bundles", large, "body_too_large"},
		{"POST /v1/bundles", `{"version": 2}`, "bad_request"},
		{"POST /v1/bundles", sampleBundle, "conflict"},
		{"POST /v1/bundles/2/review", `{"content_sha256": "x"}`, "not_found"},
		{"POST /v1/bundles/1/review", `{"content_sha256": "x"}`, "conflict"},
		{"POST /v1/bundles/1/sign-off", `{"content_sha256": "x", "signature": "!"}`, "bad_request"},
		{"POST /v1/bundles/1/sign-off", `{"content_sha256": "x", "signature": ""}`, "conflict"},
		{"GET /v1/bundles/-1", "", "not_found"},
		{"GET /v1/bundles/01", "", "not_found"},
		{"GET /v1/bundles/99999999999999999999", "", "not_found"},
		{"GET /v1/bundles/7/diff", "", "not_found"},
		{"POST /v1/zones/z2/drain", "", "not_found"},
		{"POST /v1/zones/..%2Fx/drain", "", "not_found"},
		{"GET /v1/zones/" + strings.Repeat("z", 3000), "", "not_found"},
		{"PUT /v1/zones/z1", "", "not_found"},
	}
	for _, test := range tests {
		message := f.mustRefuse("ann", test.route, test.body, test.reason)
		assert.Assert(t, len(message) < 1000, "%s: message has %d bytes", test.route, len(message))
	}
	assert.Equal(t, f.store.Counts().Writes, writes)
	message := f.mustRefuse("ann", "POST /v1/bundles", `{"version": 2, "zones": [{"nam": 1}], "shards_per_zone": -1}`, "bad_request")
	for _, path := range []string{"$.zones[0].nam", "$.shards_per_zone", "$.teams"} {
		assert.Assert(t, strings.Contains(message, path), "%s is missing in %s", path, message)
	}
}

// Guards against a refusal that says that a request had no effect when that is unknown, and against internal errors that
// are reported as other refusals.
func TestInternalFaults(t *testing.T) {
	f := newFixture(t, fakeFleet{err: errors.New("no answer")})
	f.putInForce(sampleBundle)
	for _, route := range []string{"GET /v1/teams", "GET /v1/vms", "GET /v1/bundles/status", "GET /v1/zones/z1"} {
		f.mustRefuse("ann", route, "", "internal_error")
	}
	f.store.SetFaults(standin.StoreFaults{Down: true})
	f.mustRefuse("ann", "POST /v1/keys", `{"team": "lab"}`, "acceptance_unknown")
	f.mustRefuse("ann", "POST /v1/zones/z1/drain", "", "store_unavailable")
	f.mustRefuse("ann", "GET /v1/bundles/2", "", "store_unavailable")
	f.mustCall("ann", "GET /v1/bundles/1", "", http.StatusOK, &struct{}{})
}

package entry

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	"gotest.tools/v3/assert"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/refusal"
	"siskinstack.example/siskinstack/router"
)

// fakeWork stores jobs by identifier and refuses to list the shard named in down.
type fakeWork struct {
	mu   sync.Mutex // guards jobs
	jobs map[string]*siskinv1.WorkStatus
	down string
}

func (f *fakeWork) Submit(_ context.Context, r *siskinv1.SubmitWorkRequest) (*siskinv1.SubmitWorkResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, repeated := f.jobs[r.GetId()]
	f.jobs[r.GetId()] = &siskinv1.WorkStatus{Id: r.GetId(), Team: r.GetTeam(), Spec: r.GetSpec()}
	return &siskinv1.SubmitWorkResponse{Id: r.GetId(), Repeated: repeated}, nil
}

func (f *fakeWork) Get(_ context.Context, r *siskinv1.GetWorkRequest) (*siskinv1.GetWorkResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	status, ok := f.jobs[r.GetId()]
	if !ok {
		return nil, refusal.New(refusal.NotFound, "no work %q", r.GetId())
	}
	return &siskinv1.GetWorkResponse{Status: status}, nil
}

func (f *fakeWork) List(_ context.Context, r *siskinv1.ListWorkRequest) (*siskinv1.ListWorkResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.GetShard() == f.down {
		return nil, refusal.New(refusal.ShardUnavailable, "down")
	}
	response := &siskinv1.ListWorkResponse{}
	for id, status := range f.jobs {
		if strings.HasPrefix(id, r.GetShard()+".") && status.GetTeam() == r.GetTeam() && id > r.GetAfterId() {
			response.Work = append(response.Work, status)
		}
	}
	slices.SortFunc(response.Work, func(a, b *siskinv1.WorkStatus) int { return cmp.Compare(a.GetId(), b.GetId()) })
	response.Work = response.Work[:min(len(response.Work), int(r.GetLimit()))]
	return response, nil
}

func (f *fakeWork) Cancel(_ context.Context, r *siskinv1.CancelWorkRequest) (*siskinv1.CancelWorkResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.jobs[r.GetId()].CancelRequested = true
	return &siskinv1.CancelWorkResponse{Status: f.jobs[r.GetId()]}, nil
}

// teamKeys accepts two keys; queue "open" needs none.
type teamKeys struct{ stale bool }

func (k teamKeys) Authenticate(_ context.Context, bearer string, target Target) (string, error) {
	team, ok := map[string]string{"key-a": "a", "key-b": "b"}[bearer]
	switch {
	case target.Queue == "open":
		return "public", nil
	case bearer == "":
		return "", refusal.New(refusal.KeyMissing, "a key is needed")
	case k.stale && !target.Read:
		return "", refusal.New(refusal.KeyUnverifiable, "the view of the keys is not fresh")
	case !ok:
		return "", refusal.New(refusal.KeyUnknown, "unknown key")
	case target.Queue != "" && target.Queue != team:
		return "", refusal.New(refusal.KeyWrongTeam, "queue of another team")
	}
	return team, nil
}

const validSpec = `{"name":"n","kind":"WORK_KIND_BATCH","queue":"a","count":1,"each":{"milli_cpu":1}}`

func newTestServer(change func(*Options)) (*fakeWork, http.Handler) {
	work := &fakeWork{jobs: map[string]*siskinv1.WorkStatus{}}
	options := Options{Work: work, Auth: teamKeys{}, Shards: func() []string { return []string{"z-0", "z-1", "z-2"} }}
	if change != nil {
		change(&options)
	}
	return work, New(options).Handler()
}

func call(handler http.Handler, method, path, key, body string, headers ...string) (int, map[string]any) {
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, request)
	response := map[string]any{}
	_ = json.Unmarshal(recorder.Body.Bytes(), &response)
	return recorder.Code, response
}

// TestSubmissionRefusals guards against work that is accepted without the right key, or with a body that is too large,
// malformed, or has unknown or duplicate fields.
func TestSubmissionRefusals(t *testing.T) {
	for _, c := range []struct {
		name, key, body string
		reason          refusal.Reason
	}{
		{"no key", "", validSpec, refusal.KeyMissing},
		{"unknown key", "key-x", validSpec, refusal.KeyUnknown},
		{"other team", "key-b", validSpec, refusal.KeyWrongTeam},
		{"unknown field", "key-a", strings.Replace(validSpec, `"name"`, `"label":"x","name"`, 1), refusal.BadRequest},
		{"field twice", "key-a", strings.Replace(validSpec, `"name"`, `"name":"x","name"`, 1), refusal.BadRequest},
		{"no JSON", "key-a", "{", refusal.BadRequest},
		{"too large", "key-a", strings.Repeat(" ", 2000) + validSpec, refusal.BodyTooLarge},
	} {
		work, handler := newTestServer(func(o *Options) { o.MaxBodyBytes = 1000 })
		_, response := call(handler, "POST", "/v1/work", c.key, c.body)
		assert.Equal(t, response["reason"], string(c.reason), c.name)
		assert.Equal(t, response["not_run"], true, c.name)
		assert.Equal(t, len(work.jobs), 0, c.name)
	}
}

// TestAllViolationsAtOnce guards against a refusal that names only the first invalid field of a body.
func TestAllViolationsAtOnce(t *testing.T) {
	_, handler := newTestServer(nil)
	body := `{"queue":"a","kind":"WORK_KIND_SERVICE","each":{"milli_cpu":-1},"same_rack":true,"at_most_once":true,"max_attempts":200}`
	_, response := call(handler, "POST", "/v1/work", "key-a", body)
	for _, path := range []string{"$.name", "$.count", "$.each.milli_cpu", "$.each:", "$.same_rack", "$.at_most_once", "$.max_attempts"} {
		assert.Assert(t, strings.Contains(response["message"].(string), path), "%s in %v", path, response["message"])
	}
}

// TestStaleViewServesReadsOnly guards against work with a key that is accepted although the view of the keys is stale.
func TestStaleViewServesReadsOnly(t *testing.T) {
	work, handler := newTestServer(func(o *Options) { o.Auth = teamKeys{stale: true} })
	work.jobs["z-0.j"] = &siskinv1.WorkStatus{Id: "z-0.j", Team: "a"}
	_, response := call(handler, "POST", "/v1/work", "key-a", validSpec)
	assert.Equal(t, response["reason"], string(refusal.KeyUnverifiable))
	_, response = call(handler, "POST", "/v1/work/z-0.j/cancel", "key-a", "")
	assert.Equal(t, response["reason"], string(refusal.KeyUnverifiable))
	status, _ := call(handler, "GET", "/v1/work/z-0.j", "key-a", "")
	assert.Equal(t, status, http.StatusOK)
}

// TestRepeatedSubmissionFindsFirst guards against a second job for one request key when another VM, which lists the same
// shards in another order, gets the repeated submission, and against one identifier for two teams or keys.
func TestRepeatedSubmissionFindsFirst(t *testing.T) {
	_, handler := newTestServer(nil)
	_, other := newTestServer(func(o *Options) { o.Shards = func() []string { return []string{"z-2", "z-0", "z-1"} } })
	_, first := call(handler, "POST", "/v1/work", "key-a", validSpec, HeaderRequestKey, "k")
	_, again := call(other, "POST", "/v1/work", "key-a", validSpec, HeaderRequestKey, "k")
	assert.Equal(t, first["id"], again["id"])
	_, otherKey := call(handler, "POST", "/v1/work", "key-a", validSpec, HeaderRequestKey, "l")
	assert.Assert(t, first["id"] != otherKey["id"])
	_, otherTeam := call(handler, "POST", "/v1/work", "key-b", strings.Replace(validSpec, `"a"`, `"b"`, 1), HeaderRequestKey, "k")
	assert.Assert(t, first["id"] != otherTeam["id"])
}

// TestWithoutKeyLessLoadedShard guards against submissions that accumulate on a full shard.
func TestWithoutKeyLessLoadedShard(t *testing.T) {
	work, handler := newTestServer(func(o *Options) {
		o.ShardLoad = func(shard string) float64 { return map[string]float64{"z-0": 1}[shard] }
	})
	for range 300 {
		call(handler, "POST", "/v1/work", "key-a", validSpec)
	}
	full := 0
	for id := range work.jobs {
		if strings.HasPrefix(id, "z-0.") {
			full++
		}
	}
	// Both random choices select the full shard once in nine times.
	assert.Assert(t, full < 100, "%d of 300", full)
}

// TestWorkOfOtherTeamsIsHidden guards against a team that reads or cancels the work of another one.
func TestWorkOfOtherTeamsIsHidden(t *testing.T) {
	work, handler := newTestServer(nil)
	work.jobs["z-0.a"] = &siskinv1.WorkStatus{Id: "z-0.a", Team: "a", Spec: &siskinv1.WorkSpec{Queue: "a"}}
	work.jobs["z-0.p"] = &siskinv1.WorkStatus{Id: "z-0.p", Team: "public", Spec: &siskinv1.WorkSpec{Queue: "open"}}
	for _, key := range []string{"", "key-b"} {
		for _, path := range []string{"/v1/work/z-0.a", "/v1/work/z-0.a/explain"} {
			status, _ := call(handler, "GET", path, key, "")
			assert.Equal(t, status, http.StatusNotFound)
		}
		status, _ := call(handler, "POST", "/v1/work/z-0.a/cancel", key, "")
		assert.Equal(t, status, http.StatusNotFound)
	}
	assert.Assert(t, !work.jobs["z-0.a"].GetCancelRequested())
	status, _ := call(handler, "POST", "/v1/work/z-0.p/cancel", "", "")
	assert.Equal(t, status, http.StatusOK)
	assert.Assert(t, work.jobs["z-0.p"].GetCancelRequested())
}

// TestListNamesUnavailableShards guards against a list that looks complete while a shard is down, and against pages
// that skip or repeat work.
func TestListNamesUnavailableShards(t *testing.T) {
	work, handler := newTestServer(nil)
	for _, id := range []string{"z-0.1", "z-0.2", "z-1.1", "z-2.1"} {
		work.jobs[id] = &siskinv1.WorkStatus{Id: id, Team: "a"}
	}
	work.jobs["z-0.3"] = &siskinv1.WorkStatus{Id: "z-0.3", Team: "b"}
	var seen []string
	for after := ""; ; after = seen[len(seen)-1] {
		_, response := call(handler, "GET", "/v1/work?limit=3&after_id="+after, "key-a", "")
		page := response["work"].([]any)
		if len(page) == 0 {
			break
		}
		for _, status := range page {
			seen = append(seen, status.(map[string]any)["id"].(string))
		}
	}
	assert.DeepEqual(t, seen, []string{"z-0.1", "z-0.2", "z-1.1", "z-2.1"})
	work.down = "z-1"
	_, response := call(handler, "GET", "/v1/work", "key-a", "")
	assert.DeepEqual(t, response["unavailable_shards"], []any{"z-1"})
	assert.Equal(t, len(response["work"].([]any)), 3)
}

// TestPanicIsNotReportedAsNotRun guards against a connection that is closed without a response when a route panics, and
// against reporting "not run" for it.
func TestPanicIsNotReportedAsNotRun(t *testing.T) {
	_, handler := newTestServer(func(o *Options) {
		o.Routes = []Route{{"GET /v1/vms", func(http.ResponseWriter, *http.Request) { panic("fault") }}}
	})
	status, response := call(handler, "GET", "/v1/vms", "", "")
	assert.Equal(t, status, http.StatusInternalServerError)
	assert.Equal(t, response["not_run"], false)
}

// TestSlowCallerIsDisconnected guards against callers that hold a connection by never completing headers or body.
func TestSlowCallerIsDisconnected(t *testing.T) {
	work := &fakeWork{jobs: map[string]*siskinv1.WorkStatus{}}
	s := New(Options{Work: work, Auth: teamKeys{}, Timeouts: Timeouts{Read: 50 * time.Millisecond, ReadHeader: 50 * time.Millisecond}})
	listener := listen(t)
	go func() { _ = s.Serve(listener) }()
	defer func() { _ = s.http.Close() }()
	for _, start := range []string{"POST /v1/work HTTP/1.1\r\nHost: x\r\n", "POST /v1/work HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{"} {
		connection, err := net.Dial("tcp", listener.Addr().String())
		assert.NilError(t, err)
		_, _ = io.WriteString(connection, start)
		assert.NilError(t, connection.SetReadDeadline(time.Now().Add(10*time.Second)))
		_, err = io.ReadAll(connection)
		assert.NilError(t, err, "the server did not close the connection")
	}
}

// slowRequests responds after 200 ms with a body that exceeds the socket buffers.
type slowRequests struct{ cancelled atomic.Bool }

func (r *slowRequests) Send(ctx context.Context, _ router.Request) (router.Answer, error) {
	time.Sleep(200 * time.Millisecond)
	r.cancelled.Store(ctx.Err() != nil)
	return router.Answer{Status: http.StatusOK, Body: make([]byte, 64<<20)}, nil
}

func (r *slowRequests) Timeout(string) (time.Duration, bool) { return time.Minute, true }

// TestSlowReaderIsDisconnected guards against callers that keep a response in memory by not reading it, and against a
// read deadline that cancels a request whose body arrived in time.
func TestSlowReaderIsDisconnected(t *testing.T) {
	requests := &slowRequests{}
	s := New(Options{Auth: OpenAccess{}, Requests: requests, Timeouts: Timeouts{Read: 50 * time.Millisecond, Write: 50 * time.Millisecond}})
	listener := listen(t)
	go func() { _ = s.Serve(listener) }()
	defer func() { _ = s.http.Close() }()
	connection, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = connection.Close() }()
	_, _ = io.WriteString(connection, "POST /v1/services/s/requests HTTP/1.1\r\nHost: x\r\nSiskin-Idempotent: true\r\nContent-Length: 1\r\n\r\nx")
	eventually(t, "the request is in flight", func() bool { return s.InFlight() == 1 })
	eventually(t, "the response is abandoned", func() bool { return s.InFlight() == 0 })
	assert.Assert(t, !requests.cancelled.Load())
}

// TestCountersAndSpans guards against routes without counters and against a trace that does not continue the caller's.
func TestCountersAndSpans(t *testing.T) {
	registry := prometheus.NewRegistry()
	spans := tracetest.NewSpanRecorder()
	_, handler := newTestServer(func(o *Options) {
		o.Registry = registry
		o.Tracer = trace.NewTracerProvider(trace.WithSpanProcessor(spans))
	})
	parent := "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
	call(handler, "POST", "/v1/work", "key-a", validSpec, "traceparent", parent)
	call(handler, "GET", "/v1/work/none", "key-a", "")
	expected := `
# HELP siskin_entry_requests_total Answered requests of callers by route and status.
# TYPE siskin_entry_requests_total counter
siskin_entry_requests_total{route="GET /v1/work/{id}",status="404"} 1
siskin_entry_requests_total{route="POST /v1/work",status="202"} 1
`
	assert.NilError(t, testutil.GatherAndCompare(registry, bytes.NewBufferString(expected), "siskin_entry_requests_total"))
	assert.Equal(t, spans.Ended()[0].SpanContext().TraceID().String(), parent[3:35])
}

// FuzzRequestHeaders guards against headers that crash the parser or are accepted with a value outside its bounds.
func FuzzRequestHeaders(f *testing.F) {
	f.Add("true", "key", "100", "urgent", "Bearer sk_a_b")
	f.Add("TRUE", "\x00", "-1", "", "Basic x")
	f.Add("", "", "9223372036854775807", "can_wait", "Bearer ")
	f.Fuzz(func(t *testing.T, idempotent, key, timeout, urgency, authorization string) {
		header := http.Header{}
		header.Set(HeaderIdempotent, idempotent)
		header.Set(HeaderRequestKey, key)
		header.Set(HeaderTimeout, timeout)
		header.Set(HeaderUrgency, urgency)
		header.Set("Authorization", authorization)
		parsed, err := parseRequestHeaders(header)
		if err == nil {
			assert.Assert(t, len(parsed.requestKey) <= maxRequestKeyBytes && parsed.requestKey == key)
			assert.Assert(t, parsed.timeout >= 0 && parsed.timeout <= maxTimeout)
			assert.Equal(t, parsed.idempotent, idempotent == "true")
		}
		if token, err := parseBearer(header); err == nil {
			assert.Assert(t, authorization == "" || authorization == bearerPrefix+token)
		}
	})
}

// FuzzSubmissionBody guards against bodies that crash the server or are accepted with violations.
func FuzzSubmissionBody(f *testing.F) {
	f.Add([]byte(validSpec))
	f.Add([]byte(`{"count":-1,"each":null,"command":["a"]}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		work, handler := newTestServer(nil)
		status, response := call(handler, "POST", "/v1/work", "key-a", string(body))
		assert.Equal(t, status == http.StatusAccepted, len(work.jobs) == 1)
		assert.Assert(t, status == http.StatusAccepted || response["not_run"] == true)
		for _, job := range work.jobs {
			assert.NilError(t, validate(job.GetSpec()))
		}
	})
}

// FuzzPath guards against paths and queries that crash the server.
func FuzzPath(f *testing.F) {
	f.Add("work", "limit=1&after_id=x")
	f.Add("work/../services/x/requests", "limit=-1")
	f.Fuzz(func(t *testing.T, path, query string) {
		_, handler := newTestServer(nil)
		request := httptest.NewRequest(http.MethodGet, "/v1/", nil)
		request.URL.Path += path
		request.URL.RawQuery = query
		request.Header.Set("Authorization", "Bearer key-a")
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, request)
		assert.Assert(t, recorder.Code < 500, "%d", recorder.Code)
	})
}

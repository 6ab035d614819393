package daemon_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
)

// span holds the fields of a line of the trace file that the tests use.
type span struct {
	Name        string
	SpanContext struct{ TraceID, SpanID string }
	Parent      struct{ SpanID string }
	Resource    []struct {
		Key   string
		Value struct{ Value any }
	}
}

func (s span) vm() string {
	for _, attribute := range s.Resource {
		if attribute.Key == "siskin.vm" {
			name, _ := attribute.Value.Value.(string)
			return name
		}
	}
	return ""
}

// tracedTransport adds a traceparent header to each request.
type tracedTransport struct {
	http.RoundTripper
	traceparent string
}

func (r tracedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	request = request.Clone(request.Context())
	request.Header.Set("traceparent", r.traceparent)
	return r.RoundTripper.RoundTrip(request)
}

// callerSpan is the ID of the caller's span, the parent of the first span on an entry VM.
const callerSpan = "3333333333333333"

// traceparent returns the traceparent header of a sampled call of a trace, with callerSpan as the parent.
func traceparent(trace string) string { return "00-" + trace + "-" + callerSpan + "-01" }

// readTrace returns the spans of one trace from all files.
func readTrace(t *testing.T, files []string, trace string) []span {
	var spans []span
	for _, file := range files {
		content, err := os.ReadFile(file)
		assert.NilError(t, err)
		for line := range bytes.Lines(content) {
			var s span
			assert.NilError(t, json.Unmarshal(line, &s), "%s: a line is not a span: %s", file, line)
			if s.SpanContext.TraceID == trace {
				spans = append(spans, s)
			}
		}
	}
	return spans
}

// assertSpans checks that the spans of one trace include all names, and that the parent of each span is the caller's span or
// in the trace.
func assertSpans(t *testing.T, spans []span, names ...string) {
	t.Helper()
	known := map[string]bool{callerSpan: true}
	var found []string
	for _, s := range spans {
		known[s.SpanContext.SpanID] = true
		found = append(found, s.vm()+" "+s.Name)
	}
	for _, s := range spans {
		assert.Assert(t, known[s.Parent.SpanID], "%s %s has no parent in its trace: %s", s.vm(), s.Name, found)
	}
	for _, name := range names {
		assert.Assert(t, slices.Contains(found, name), "no span %q in %q", name, found)
	}
}

// Guards against a hop without a span, a trace that breaks between VMs, and spans that are not written to the configured
// trace file.
func TestEveryHopHasASpan(t *testing.T) {
	t.Parallel()
	folder := t.TempDir()
	var files []string
	c := newCluster(t, func(settings *siskinv1.Settings) {
		file := filepath.Join(folder, settings.GetVm()+".jsonl")
		files = append(files, file)
		// Only the traces of the test are sampled.
		settings.Telemetry = &siskinv1.Telemetry{TraceFile: file}
	})
	c.startAll()
	const requestTrace = "11111111111111111111111111111111"
	// The zone of the last VM has no endpoint, so it forwards every request.
	entry := c.vms[2]
	plain := c.transport
	c.transport = tracedTransport{plain, traceparent(requestTrace)}
	assert.NilError(t, c.send(entry, c.key))
	c.transport = plain
	owner, workTrace := c.submitToOtherOwner(entry)
	c.killAll()

	request := readTrace(t, files, requestTrace)
	var endpoint string
	for _, s := range request {
		if s.Name == "endpoint.call" {
			endpoint = s.vm()
		}
	}
	assert.Assert(t, endpoint != "" && endpoint != "entry-2", "endpoint was called by %q", endpoint)
	assertSpans(t, request, "entry-2 POST /v1/services/{service}/requests", "entry-2 router.send",
		"entry-2 siskin.v1.PeerService/Forward", endpoint+" siskin.v1.PeerService/Forward", endpoint+" endpoint.call")
	assertSpans(t, readTrace(t, files, workTrace), "entry-2 POST /v1/work", "entry-2 siskin.v1.PeerService/SubmitWork",
		owner+" siskin.v1.PeerService/SubmitWork", owner+" owner.submit", owner+" log.append", owner+" worker.start")
}

// submitToOtherOwner submits work through a VM until another VM owns the shard of the work. It waits for the end of each work,
// and each attempt has a trace of its own.
func (c *cluster) submitToOtherOwner(entry *vm) (owner, trace string) {
	plain := c.transport
	defer func() { c.transport = plain }()
	for i := range 100 {
		trace = fmt.Sprintf("%032x", 0x2000+i)
		c.transport = tracedTransport{plain, traceparent(trace)}
		submitted, err := c.client(entry, c.key).Submit(c.t.Context(), smallBatch(), fmt.Sprintf("try-%d", i))
		if err != nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		c.transport = plain
		c.waitFor(readyLimit, "the end of the work", func() bool {
			status, err := c.client(entry, c.key).Work(c.t.Context(), submitted.ID)
			return err == nil && status.GetSucceeded() == 1
		})
		shard, _, _ := strings.Cut(submitted.ID, ".")
		if owner = c.owner(shard); owner != "" && owner != entry.settings.GetVm() {
			return owner, trace
		}
	}
	c.t.Fatal("no work was accepted by another VM")
	return "", ""
}

// owner returns the VM that owns a shard.
func (c *cluster) owner(shard string) string {
	found, err := c.platform.Store.Get(c.t.Context(), "shards/"+shard)
	assert.NilError(c.t, err)
	for _, m := range c.vms {
		if bytes.Contains(found.Value, []byte(m.settings.GetVm())) {
			return m.settings.GetVm()
		}
	}
	return ""
}

func smallBatch() *siskinv1.WorkSpec {
	return &siskinv1.WorkSpec{
		Name: "small", Queue: team, Kind: siskinv1.WorkKind_WORK_KIND_BATCH, Count: 1, Command: []string{"sleep", "10ms"},
		Each: &siskinv1.Resources{MilliCpu: 1000, MemoryBytes: 1 << 30},
	}
}

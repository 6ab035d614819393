package joblog

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a trace that mixes jobs, loses the order between machines, or stops at a line that is not JSON.
func TestTraceOfOneJob(t *testing.T) {
	a := strings.NewReader(`not json
  1.2 edge-a {"ts":"2026-01-01T00:00:02Z","msg":"start","machine":"a","job":"j1","task":"j1.0.0.0","run":1}
{"ts":"2026-01-01T00:00:01.5Z","msg":"accepted","machine":"a","job":"j2"}
{"ts":"bad","msg":"accepted","machine":"a","job":"j1"}
`)
	b := strings.NewReader(`{"ts":"2026-01-01T00:00:01Z","msg":"accepted","machine":"b","job":"j1","ms":7}
{"ts":"2026-01-01T00:00:03Z","msg":"run ended","machine":"a","job":"j1","outcome":1}`)
	entries, err := Read("j1", a, b)
	assert.NilError(t, err)
	var out strings.Builder
	assert.NilError(t, Write(&out, entries))
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	assert.Equal(t, len(lines), 3)
	for i, want := range []string{"accepted", "start", "run ended"} {
		assert.Assert(t, strings.Contains(lines[i], want), lines[i])
	}
	assert.Assert(t, strings.HasPrefix(strings.TrimSpace(lines[1]), "1.000 s"), lines[1])
}

// Guards against an uncertain order of lines, caused by clock skew between machines, that is not marked.
func TestUncertainOrderIsMarked(t *testing.T) {
	entries, err := Read("j1", strings.NewReader(`{"ts":"2026-01-01T00:00:01.000Z","msg":"job taken in","machine":"a","job":"j1"}
{"ts":"2026-01-01T00:00:01.004Z","msg":"accepted","machine":"b","job":"j1"}
{"ts":"2026-01-01T00:00:01.005Z","msg":"status asked","machine":"b","job":"j1"}
{"ts":"2026-01-01T00:00:02.000Z","msg":"start","machine":"a","job":"j1"}`))
	assert.NilError(t, err)
	var out strings.Builder
	assert.NilError(t, Write(&out, entries))
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	assert.Equal(t, len(lines), 5)
	for i, uncertain := range []bool{false, true, false, false} {
		assert.Equal(t, strings.Contains(lines[i], uncertainMark), uncertain, lines[i])
	}
	assert.Assert(t, strings.HasPrefix(lines[4], uncertainMark), lines[4])
}

package jsoncheck_test

import (
	"strings"
	"testing"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/structpb"
	"gotest.tools/v3/assert"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/jsoncheck"
)

// Guards against a decoder that stops at the first error or reports it with the wrong path.
func TestDecodeReportsAllFindings(t *testing.T) {
	document := `{"vm": 7, "peers": [{"address": "a"}, {"port": "b"}, {"address": null, "address": "c"}],
		"limits": {"maxBodyBytes": 1, "max_body_bytes": 9223372036854775808, "max_queued_tasks": 1.5},
		"operators": {}, "telemetry": {"sample_ratio": "x"}}`
	findings, err := jsoncheck.Decode([]byte(document), &siskinv1.Settings{})
	assert.NilError(t, err)
	want := []string{
		"$.vm: is a number, not a string",
		"$.peers[1].port: unknown field",
		"$.peers[2].address: is null; leave the field out instead",
		"$.peers[2].address: duplicate key",
		"$.limits.maxBodyBytes: unknown field; the name is max_body_bytes",
		`$.limits.max_body_bytes: number "9223372036854775808" is out of range for int64`,
		`$.limits.max_queued_tasks: "1.5" is not an integer`,
		"$.operators: is an object, not a list",
		"$.telemetry.sample_ratio: is a string, not a number",
	}
	assert.DeepEqual(t, findings.Lines(), want)
}

// Guards against documents that other decoders interpret differently.
func TestDecodeRejectsAmbiguousDocuments(t *testing.T) {
	deep := strings.Repeat(`{"x":`, 9000) + "1" + strings.Repeat("}", 9000)
	tests := map[string]string{
		``:                               "$: document is empty",
		`{} {}`:                          "$: trailing data after the document at line 1, column 4",
		"{\n\"kind\": }":                 "$: not valid JSON at line 2, column 9: invalid character '}' looking for beginning of value",
		"{\"name\": \"\xff\"}":           "$: document is not valid UTF-8",
		`{"name": "[\\\"{\\\\", "x": 1}`: "$.x: unknown field",
		`{"name": "\ud800"}`:             "$.name: contains a character that is not valid Unicode",
		`[]`:                             "$: is a list, not an object",
		`{"kind": 2}`:                    "$.kind: is a number, not one of service, batch, gang",
		`{"kind": "Batch"}`:              `$.kind: unknown value "Batch", not one of service, batch, gang`,
		`{"count": 2147483648}`:          `$.count: number "2147483648" is out of range for int32`,
		`{"count": "01"}`:                `$.count: "01" is not an integer`,
		`{"a b": 1}`:                     `$["a b"]: unknown field`,
		`{"command": ["a", ["b"], "c"]}`: "$.command[1]: is a list, not a string",
		deep:                             "$: nested deeper than 32 levels",
	}
	for document, want := range tests {
		spec := &siskinv1.WorkSpec{Name: "kept"}
		findings, err := jsoncheck.Decode([]byte(document), spec)
		assert.NilError(t, err)
		assert.DeepEqual(t, findings.Lines(), []string{want})
		assert.Assert(t, proto.Equal(spec, &siskinv1.WorkSpec{}), "message is not empty after findings")
	}
}

// Guards against a malicious document whose report is as large as the document.
func TestDecodeLimitsFindings(t *testing.T) {
	document := `{"command": [` + strings.Repeat("1,", 100_000) + "1]}"
	findings, err := jsoncheck.Decode([]byte(document), &siskinv1.WorkSpec{})
	assert.NilError(t, err)
	assert.Equal(t, len(findings), 201)
}

// Guards against short enum names or numbers that are decoded as another value.
func TestDecodeAcceptsShortAndFullForms(t *testing.T) {
	spec := &siskinv1.WorkSpec{}
	document := `{"kind": "batch", "urgency": "URGENCY_CAN_WAIT", "ready_by_unix_ms": "1700000000000", "count": -1}`
	findings, err := jsoncheck.Decode([]byte(document), spec)
	assert.NilError(t, err)
	assert.NilError(t, findings.Err())
	want := &siskinv1.WorkSpec{
		Kind: siskinv1.WorkKind_WORK_KIND_BATCH, Urgency: siskinv1.Urgency_URGENCY_CAN_WAIT,
		ReadyByUnixMs: 1_700_000_000_000, Count: -1,
	}
	assert.Assert(t, proto.Equal(spec, want), "got %v", spec)
}

// Guards against a message type whose fields would be ignored silently.
func TestDecodeRejectsUnsupportedTypes(t *testing.T) {
	_, err := jsoncheck.Decode([]byte(`{}`), &structpb.Struct{})
	assert.ErrorIs(t, err, jsoncheck.ErrUnsupported)
}

// FuzzDecode guards against panics, and against accepting a document that changes when it is encoded and decoded again.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"version": 1, "zones": [{"name": "a"}], "queues": [{"default_urgency": "urgent"}]}`))
	f.Add([]byte(`{"teams": [{"ceiling": {"milli_cpu": "5"}}], "teams": null}`))
	f.Fuzz(func(t *testing.T, document []byte) {
		bundle := &siskinv1.Bundle{}
		findings, err := jsoncheck.Decode(document, bundle)
		assert.NilError(t, err)
		if len(findings) > 0 {
			return
		}
		written, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(bundle)
		assert.NilError(t, err)
		decoded := &siskinv1.Bundle{}
		findings, err = jsoncheck.Decode(written, decoded)
		assert.NilError(t, err)
		assert.NilError(t, findings.Err())
		assert.Assert(t, proto.Equal(bundle, decoded))
	})
}

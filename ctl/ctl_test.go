package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"encoding/pem"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/urfave/cli/v3"
	"gotest.tools/v3/assert"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/bundle"
)

// fakeResponse is the response of fakeServer to one route.
type fakeResponse struct {
	status int
	body   string
}

// fakeServer serves routes of the form "METHOD path" and returns its URL.
func fakeServer(t *testing.T, routes map[string]fakeResponse) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		response, ok := routes[r.Method+" "+r.URL.Path]
		if !ok {
			http.NotFound(w, r)
			return
		}
		w.Header().Set("Siskin-Request-Id", "r1")
		w.WriteHeader(response.status)
		_, _ = w.Write([]byte(response.body))
	}))
	t.Cleanup(server.Close)
	return server.URL
}

func execute(args ...string) (code int, out, errOut string) {
	var stdout, stderr bytes.Buffer
	app := &App{Out: &stdout, Err: &stderr}
	code = app.Execute(context.Background(), append([]string{"siskinctl"}, args...))
	return code, stdout.String(), stderr.String()
}

func refused(notRun bool) string {
	text, _ := json.Marshal(map[string]any{
		"request_id": "r1", "reason": "key_withdrawn", "message": "key is withdrawn", "not_run": notRun,
	})
	return string(text)
}

// TestExitCodes guards against scripts that mistake one kind of failure for another.
func TestExitCodes(t *testing.T) {
	server := fakeServer(t, map[string]fakeResponse{
		"GET /v1/vms":          {200, `{"vms":[]}`},
		"GET /v1/teams":        {401, refused(true)},
		"GET /v1/keys":         {409, refused(false)},
		"GET /v1/work/w":       {500, "broken"},
		"POST /v1/work":        {202, `{"id":"w","repeated":false}`},
		"GET /v1/zones/zone-1": {200, `not json`},
	})
	dir := t.TempDir()
	valid, invalid := filepath.Join(dir, "good.json"), filepath.Join(dir, "bad.json")
	assert.NilError(t, os.WriteFile(valid, []byte(`{"name":"n","count":1}`), secretMode))
	assert.NilError(t, os.WriteFile(invalid, []byte(`{"title":"n"}`), secretMode))
	for _, test := range []struct {
		want int
		args []string
	}{
		{ExitOK, []string{"vm", "list"}},
		{ExitOK, []string{"work", "submit", valid}},
		{ExitNotRun, []string{"team", "list"}},
		{ExitRefused, []string{"key", "list"}},
		{ExitFailure, []string{"work", "get", "w"}},
		{ExitFailure, []string{"zone", "status", "zone-1"}},
		{ExitFailure, []string{"--server", "127.0.0.1:1", "vm", "list"}},
		{ExitUsage, []string{"work", "submit", invalid}},
		{ExitUsage, []string{"bundle", "propose", valid}},
		{ExitUsage, []string{"work", "get"}},
		{ExitUsage, []string{"work", "get", "a", "b"}},
		{ExitUsage, []string{"work", "fetch", "a"}},
		{ExitUsage, []string{"--output", "xml", "vm", "list"}},
		{ExitUsage, []string{"--timeout", "0s", "vm", "list"}},
		{ExitUsage, []string{"vm", "list", "--colour"}},
		{ExitUsage, []string{"bundle", "sign-off", "7"}},
		{ExitUsage, []string{"bundle", "diff", "seven"}},
		{ExitUsage, []string{"demo", "--site", "elsewhere"}},
		{ExitUsage, nil},
	} {
		args := append([]string{}, test.args...)
		if len(args) == 0 || args[0] != "--server" {
			args = append([]string{"--server", server}, args...)
		}
		code, _, errOut := execute(args...)
		assert.Equal(t, code, test.want, "%v: %s", test.args, errOut)
	}
}

// TestWaits guards against waits that report success for failed work, or that show no progress.
func TestWaits(t *testing.T) {
	server := fakeServer(t, map[string]fakeResponse{
		"POST /v1/work":                {202, `{"id":"w"}`},
		"GET /v1/work/w":               {200, `{"id":"w","succeeded":1,"failed":1}`},
		"POST /v1/zones/zone-1/drain":  {200, `{"zone":"zone-1"}`},
		"GET /v1/zones/zone-1":         {200, `{"running":0}`},
		"POST /v1/zones/zone-2/drain":  {200, `{"zone":"zone-2"}`},
		"GET /v1/zones/zone-2":         {200, `{"running":"2"}`},
		"POST /v1/zones/unseen/drain":  {200, `{"zone":"unseen"}`},
		"GET /v1/zones/unseen":         {401, refused(true)},
		"POST /v1/zones/unseen/return": {200, `{}`},
	})
	file := filepath.Join(t.TempDir(), "work.json")
	assert.NilError(t, os.WriteFile(file, []byte(`{"name":"n","count":2}`), secretMode))
	for _, test := range []struct {
		want     int
		progress string
		args     []string
	}{
		{ExitFailure, "succeeded 1, failed 1", []string{"work", "submit", "--wait", file}},
		{ExitOK, "0 tasks still run", []string{"zone", "drain", "--wait", "zone-1"}},
		{ExitFailure, "2 tasks still run", []string{"zone", "drain", "--wait", "--wait-limit", "10ms", "zone-2"}},
		{ExitNotRun, "key_withdrawn", []string{"zone", "drain", "--wait", "unseen"}},
	} {
		code, _, errOut := execute(append([]string{"--server", server}, test.args...)...)
		assert.Equal(t, code, test.want, "%v: %s", test.args, errOut)
		assert.Assert(t, strings.Contains(errOut, test.progress), errOut)
	}
}

// TestTLS guards against calls to servers whose certificate is not verified.
func TestTLS(t *testing.T) {
	server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"vms":[]}`))
	}))
	defer server.Close()
	file := filepath.Join(t.TempDir(), "ca.pem")
	text := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: server.Certificate().Raw})
	assert.NilError(t, os.WriteFile(file, text, secretMode))
	code, _, errOut := execute("--server", server.URL, "--ca", file, "vm", "list")
	assert.Equal(t, code, ExitOK, errOut)
	code, _, errOut = execute("--server", server.URL, "vm", "list")
	assert.Equal(t, code, ExitFailure)
	assert.Assert(t, strings.Contains(errOut, "certificate"), errOut)
}

// TestOutput guards against JSON that scripts cannot parse and against tables without rows.
func TestOutput(t *testing.T) {
	server := fakeServer(t, map[string]fakeResponse{
		"GET /v1/work": {200, `{"work":[{"id":"w","team":"lab","queued":3,"accepted_unix_ms":"5","newer":1}],
			"unavailable_shards":["z-0"]}`},
		"GET /v1/teams": {200, `{"teams":[{"name":"lab","share":"2","ceiling":{"milli_cpu":"64000"},"running":{}}]}`},
	})
	code, out, errOut := execute("--server", server, "work", "list", "--output", "json")
	assert.Equal(t, code, ExitOK, errOut)
	var list struct {
		Work []struct {
			ID     string `json:"id"`
			Queued int    `json:"queued"`
		} `json:"work"`
		UnavailableShards []string `json:"unavailable_shards"`
	}
	assert.NilError(t, json.Unmarshal([]byte(out), &list))
	assert.Equal(t, list.Work[0].Queued, 3)
	assert.Equal(t, list.UnavailableShards[0], "z-0")
	_, out, _ = execute("--server", server, "work", "list")
	assert.Assert(t, strings.Contains(out, "QUEUED") && strings.Contains(out, "shard z-0 is unavailable"), out)
	_, out, _ = execute("--server", server, "team", "list")
	assert.Assert(t, strings.Contains(out, "lab") && strings.Contains(out, "64"), out)
}

// TestHelpExamples guards against help texts with example command lines that do not parse.
func TestHelpExamples(t *testing.T) {
	app := &App{Out: &bytes.Buffer{}, Err: &bytes.Buffer{}}
	examples := 0
	assert.NilError(t, app.command().Walk(func(cmd *cli.Command) error {
		if len(cmd.Commands) > 0 {
			return nil
		}
		lines := strings.Split(cmd.Description, "\n")
		assert.Assert(t, len(lines) > 1 && lines[0] == "Example:", "%s has no example", cmd.Name)
		assert.Assert(t, strings.Contains(cmd.Description, "Exit codes:"))
		words := strings.Fields(strings.ReplaceAll(lines[1], "'", ""))
		var errOut bytes.Buffer
		parser := &App{Out: &bytes.Buffer{}, Err: &errOut, parseOnly: true}
		assert.Equal(t, parser.Execute(context.Background(), words), ExitOK, "%s: %s", lines[1], errOut.String())
		assert.Assert(t, strings.Contains(lines[1], " "+cmd.Name), "example of %s shows another command", cmd.Name)
		examples++
		return nil
	}))
	assert.Equal(t, examples, 24)
}

// TestSignOff guards against a failing sign-off of content with the given hash, against signing content with another
// hash, which the signer has not read, and against private key files that are overwritten.
func TestSignOff(t *testing.T) {
	content := &siskinv1.Bundle{Version: 7, Comment: "c"}
	hash, err := bundle.ContentHash(content)
	assert.NilError(t, err)
	proposal, err := message(&siskinv1.BundleProposal{Bundle: content, Author: "alice", Reviewer: "bob", ContentSha256: hash})
	assert.NilError(t, err)
	server := fakeServer(t, map[string]fakeResponse{
		"GET /v1/bundles/7":           {200, string(proposal)},
		"POST /v1/bundles/7/sign-off": {200, string(proposal)},
		"GET /v1/bundles/status":      {200, `{"version":7,"vms":[{"vm":"e","version":"7","reachable":true},{"vm":"f"}]}`},
	})
	private := filepath.Join(t.TempDir(), "carol.pem")
	code, out, errOut := execute("--output", "json", "operator", "new-key", "--private-key", private, "carol")
	assert.Equal(t, code, ExitOK, errOut)
	var created struct {
		Key string `json:"key"`
	}
	assert.NilError(t, json.Unmarshal([]byte(out), &created))
	sign := []string{"--server", server, "--key", created.Key, "bundle", "sign-off", "--wait", "--private-key", private}
	code, _, errOut = execute(append(sign, "--content-sha256", hash, "7")...)
	assert.Equal(t, code, ExitOK, errOut)
	assert.Assert(t, strings.Contains(errOut, "in force on 1 of 1 reachable VMs"), errOut)
	code, _, errOut = execute(append(sign, "--content-sha256", "other", "7")...)
	assert.Equal(t, code, ExitFailure, errOut)
	code, _, _ = execute("operator", "new-key", "--private-key", private, "carol")
	assert.Equal(t, code, ExitFailure, "an existing private key file was overwritten")
}

package apiclient

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/bundle"
	"siskinstack.example/siskinstack/refusal"
	"siskinstack.example/siskinstack/standin/site"
)

// countingServer counts the calls that it receives.
type countingServer struct {
	*httptest.Server
	calls int
}

// serve responds to every call with a refusal, or with 200 if reason is empty; "cut" closes the connection instead.
func serve(t *testing.T, reason refusal.Reason) *countingServer {
	t.Helper()
	c := &countingServer{}
	c.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c.calls++
		switch reason {
		case "":
			_, _ = fmt.Fprint(w, `{"id":"x"}`)
		case "cut":
			panic(http.ErrAbortHandler)
		default:
			w.Header().Set(headerRequestID, "r")
			w.WriteHeader(reason.Status())
			_, _ = fmt.Fprintf(w, `{"request_id":"r","reason":%q,"not_run":%t}`, reason, reason.NotRun())
		}
	}))
	t.Cleanup(c.Close)
	return c
}

// TestFailover guards against sending calls that may have run to the next server, and against not sending calls that
// are safe to repeat.
func TestFailover(t *testing.T) {
	for _, test := range []struct {
		first   refusal.Reason
		key     string
		retried bool
	}{
		{refusal.Leaving, "", true},
		{refusal.StoreUnavailable, "k", true},
		{refusal.KeyUnknown, "k", false},
		{refusal.AcceptanceUnknown, "", false},
		{"cut", "", false},
		{"cut", "k", true},
	} {
		first, second := serve(t, test.first), serve(t, "")
		c, err := New(Options{Servers: []string{first.URL, second.URL}})
		assert.NilError(t, err)
		_, err = c.Submit(context.Background(), &siskinv1.WorkSpec{}, test.key)
		assert.Equal(t, err == nil, test.retried, "%+v: %v", test, err)
		assert.Equal(t, second.calls, map[bool]int{true: 1}[test.retried], "%+v", test)
		c.Close()
	}
}

// TestUnknownOutcomeIsKept guards against a later "not run" that hides an earlier attempt which may have run.
func TestUnknownOutcomeIsKept(t *testing.T) {
	first, second := serve(t, "cut"), serve(t, refusal.Leaving)
	c, err := New(Options{Servers: []string{first.URL, second.URL, "127.0.0.1:1"}})
	assert.NilError(t, err)
	defer c.Close()
	_, err = c.Submit(context.Background(), &siskinv1.WorkSpec{}, "k")
	var transport *TransportError
	assert.Assert(t, errors.As(err, &transport) && transport.Sent, "%v", err)
	assert.Equal(t, second.calls, 1)
}

// TestServiceErrorIsNoRefusal guards against an error of the service itself that is reported as a refusal with nothing run.
func TestServiceErrorIsNoRefusal(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(headerRequestID, "r")
		w.WriteHeader(http.StatusConflict)
		_, _ = fmt.Fprint(w, `{"request_id":"own","reason":"leaving","not_run":true}`)
	}))
	defer server.Close()
	c, err := New(Options{Servers: []string{server.URL}})
	assert.NilError(t, err)
	defer c.Close()
	response, err := c.Send(context.Background(), Request{Service: "s"})
	assert.NilError(t, err)
	assert.Equal(t, response.Status, http.StatusConflict)
}

// TestInvalidServers guards against invalid addresses that fail only at the first call.
func TestInvalidServers(t *testing.T) {
	for _, servers := range [][]string{nil, {""}, {"ftp://x"}, {"http://"}} {
		_, err := New(Options{Servers: servers})
		assert.Assert(t, err != nil, "%q", servers)
	}
}

// TestSign guards against signatures that do not verify with the key in the settings, and against signing content that
// does not match its hash.
func TestSign(t *testing.T) {
	key, err := NewOperatorKey("carol")
	assert.NilError(t, err)
	name, err := OperatorName(key.Bearer())
	assert.NilError(t, err)
	assert.Equal(t, name, "carol")
	text, err := EncodePrivateKey(key.SignOff)
	assert.NilError(t, err)
	private, err := DecodePrivateKey(text)
	assert.NilError(t, err)
	content := site.Kvarali().Bundle(3)
	hash, err := bundle.ContentHash(content)
	assert.NilError(t, err)
	proposal := &siskinv1.BundleProposal{Bundle: content, Author: "alice", Reviewer: "bob", ContentSha256: hash}
	proposal.Signature, err = Sign(proposal, "carol", private)
	assert.NilError(t, err)
	proposal.Signer = "carol"
	assert.NilError(t, bundle.NewSigners([]*siskinv1.Operator{key.Settings()}).Verify(proposal))
	content.Comment = "changed"
	_, err = Sign(proposal, "carol", private)
	assert.ErrorContains(t, err, "hash")
}

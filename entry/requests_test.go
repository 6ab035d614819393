package entry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"siskinstack.example/siskinstack/infra"
	"siskinstack.example/siskinstack/refusal"
	"siskinstack.example/siskinstack/standin"
	"siskinstack.example/siskinstack/standin/httpclient"
	"siskinstack.example/siskinstack/standin/server"
)

// serveFaulty replaces an endpoint by one that applies to its nth request the fault that the function returns for n.
func (c *cluster) serveFaulty(i int, fault func(n int64) server.Fault) *server.FaultyEndpoint {
	endpoint := server.NewFaultyEndpoint(fault)
	listener := listen(c.t)
	c.t.Cleanup(func() { _ = listener.Close() })
	go endpoint.Serve(listener)
	c.listed[i].Address = listener.Addr().String()
	return endpoint
}

func noResponse(int64) server.Fault { return server.FaultNoResponse }

// TestResponsesAreNeverSwapped guards against a response that reaches another caller, or only in part, when an endpoint
// sends late, reordered, truncated or duplicated responses or refusals.
func TestResponsesAreNeverSwapped(t *testing.T) {
	faults := []server.Fault{
		server.FaultDuplicated, server.FaultSwapped, server.FaultDelayed, server.FaultTruncated, server.FaultNoLength, server.FaultMismatchedRefusal,
	}
	// Three of four responses are correct: an endpoint that only fails is ejected and would receive few requests.
	fault := func(n int64) server.Fault {
		if n%4 != 0 {
			return server.FaultNone
		}
		return faults[(n/4)%int64(len(faults))]
	}
	c := prepareCluster(t, workFor(0), 0, 0, 0, 1, 1, 1)
	for i := range c.listed {
		c.serveFaulty(i, fault)
	}
	c.start(2)
	answered := 0
	for body, got := range c.sendAll(300, HeaderIdempotent, "true", HeaderTimeout, "2000") {
		assert.NilError(t, got.err)
		if got.refused() {
			continue
		}
		answered++
		assert.Equal(t, got.body, "done "+body)
	}
	t.Logf("%d of 300 answered", answered)
	assert.Assert(t, answered > 0)
}

// TestSentOnceAfterConnectionLoss guards against a second send of a request that is not idempotent when the endpoint
// closes the connection after it has received the request, and against reporting "not run" for it.
func TestSentOnceAfterConnectionLoss(t *testing.T) {
	c := prepareCluster(t, workFor(0), 0)
	endpoint := c.serveFaulty(0, noResponse)
	c.start(2)
	got := c.send(c.vms[0], "reindex", HeaderRequestKey, "k1")
	assert.Equal(t, got.refusal.Reason, string(refusal.EndpointFailed))
	assert.Assert(t, !got.refusal.NotRun)
	again := c.send(c.vms[1], "reindex", HeaderRequestKey, "k1")
	assert.Equal(t, again.refusal.Reason, string(refusal.OutcomeUnknown))
	assert.Equal(t, endpoint.Requests(), int64(1))
	withoutKey := c.send(c.vms[0], "booking")
	assert.Equal(t, withoutKey.refusal.Reason, string(refusal.EndpointFailed))
	assert.Equal(t, endpoint.Requests(), int64(2))
}

// TestIdempotentIsRetriedElsewhere guards against failing an idempotent request that another endpoint can answer.
func TestIdempotentIsRetriedElsewhere(t *testing.T) {
	c := prepareCluster(t, workFor(0), 0, 0)
	c.serveFaulty(0, noResponse)
	c.start(1)
	for i := range 8 {
		got := c.send(c.vms[0], fmt.Sprint(i), HeaderIdempotent, "true")
		assert.Equal(t, got.body, fmt.Sprintf("done %d", i))
	}
}

// TestRepeatedSubmissionThroughOtherVM guards against a second run of a request key, and against losing its response.
func TestRepeatedSubmissionThroughOtherVM(t *testing.T) {
	c := newCluster(t, 3, workFor(0), 0, 1)
	for i := range 6 {
		got := c.send(c.vms[i%3], "book", HeaderRequestKey, "k1")
		assert.Equal(t, got.body, "done book")
	}
	assert.Equal(t, c.runs()["book"], 1)
	got := c.send(c.vms[0], "book another", HeaderRequestKey, "k1")
	assert.Equal(t, got.refusal.Reason, string(refusal.RequestKeyReused))
}

// TestEntryVMStopsBetweenClaimAndResponse guards against a second run after the VM that held the claim has stopped.
func TestEntryVMStopsBetweenClaimAndResponse(t *testing.T) {
	c := newCluster(t, 2, workFor(2*time.Second), 0, 1)
	first := c.vms[0]
	go c.send(first, "reindex", HeaderRequestKey, "k1")
	eventually(t, "the request runs", func() bool { return c.runs()["reindex"] == 1 })
	got := c.send(c.vms[1], "reindex", HeaderRequestKey, "k1")
	assert.Equal(t, got.refusal.Reason, string(refusal.InProgress))
	c.vms[0].stop()
	assert.NilError(t, c.claims.Sweep(t.Context(), time.Now(), func(vm string) bool { return vm != "entry-0/1" }))
	got = c.send(c.vms[1], "reindex", HeaderRequestKey, "k1")
	assert.Equal(t, got.refusal.Reason, string(refusal.OutcomeUnknown))
	assert.Assert(t, !got.refusal.NotRun)
	assert.Equal(t, c.runs()["reindex"], 1)
}

// TestNotRunIsTrue guards against a refusal that reports "not run" for a request that an endpoint ran, with too few
// slots, an address that refuses connections and a leaving endpoint.
func TestNotRunIsTrue(t *testing.T) {
	options := standin.EndpointOptions{Slots: 2, RequestDuration: func(string, []byte) time.Duration { return 20 * time.Millisecond }}
	for _, headers := range [][]string{{HeaderIdempotent, "true", HeaderTimeout, "400"}, {HeaderTimeout, "250"}} {
		c := prepareCluster(t, options, 0, 0, 0, 1, 1)
		c.listed[1].Address = "127.0.0.1:1"
		c.start(2)
		c.endpoints.SetLeaving("endpoint-2")
		replies := c.sendAll(200, headers...)
		eventually(t, "all runs are over", func() bool { return c.endpoints.Running() == 0 })
		runs := c.runs()
		refused := 0
		for body, got := range replies {
			assert.NilError(t, got.err)
			if !got.refused() {
				assert.Equal(t, got.body, "done "+body)
				continue
			}
			refused++
			assert.Assert(t, !got.refusal.NotRun || runs[body] == 0, "%v", got.refusal)
		}
		t.Logf("%v: %d of %d refused", headers, refused, len(replies))
		assert.Assert(t, refused > 0)
	}
}

// TestSlotsOverSockets guards against more concurrent calls to an endpoint than its slots, when VMs lend slots to each
// other and one VM is replaced while calls of its predecessor run. The endpoint itself would accept many more.
func TestSlotsOverSockets(t *testing.T) {
	options := standin.EndpointOptions{Slots: 1000, RequestDuration: func(string, []byte) time.Duration { return 30 * time.Millisecond }}
	c := newCluster(t, 4, options, 0, 0)
	stop := time.Now().Add(4 * time.Second)
	for time.Now().Before(stop) {
		// Only one VM of the zone receives requests, so that it borrows slots.
		c.vms[1], c.vms[2], c.vms[3] = c.vms[0], c.vms[0], c.vms[0]
		for _, got := range c.sendAll(60, HeaderIdempotent, "true") {
			assert.NilError(t, got.err)
		}
	}
	peerListener := listen(t)
	replaced := c.vms[0]
	go func() {
		time.Sleep(50 * time.Millisecond)
		replaced.stop()
	}()
	c.sendAll(60, HeaderIdempotent, "true")
	c.vms[0] = c.startVM(0, 2, peerListener)
	c.vms[1], c.vms[2], c.vms[3] = c.vms[0], c.vms[0], c.vms[0]
	c.sendAll(100, HeaderIdempotent, "true")
	for _, name := range []string{"endpoint-0", "endpoint-1"} {
		t.Logf("%s peak %d", name, c.endpoints.PeakInFlight(name))
		assert.Assert(t, c.endpoints.PeakInFlight(name) <= 8)
		assert.Assert(t, c.endpoints.PeakInFlight(name) > 4, "no slot was lent")
	}
}

// TestLeavingEndpointGetsNoRequests guards against new requests to a leaving endpoint after the lag of the list and one
// interval of load queries, and against failing requests meanwhile.
func TestLeavingEndpointGetsNoRequests(t *testing.T) {
	c := prepareCluster(t, workFor(0), 0, 0)
	var calls atomic.Int64
	c.serveEndpoint(0, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == httpclient.PathCall {
			calls.Add(1)
		}
		w.Header().Set(httpclient.HeaderRequestID, r.Header.Get(httpclient.HeaderRequestID))
		_, _ = io.WriteString(w, `{"in_flight":{}}`)
	}))
	c.start(1)
	eventually(t, "the endpoint gets requests", func() bool {
		c.send(c.vms[0], "x", HeaderIdempotent, "true")
		return calls.Load() > 0
	})
	c.list.Update(func(vms []infra.VM) []infra.VM {
		vms[0].Leaving = true
		return vms
	})
	eventually(t, "the VM sees that the endpoint is leaving", func() bool { return c.vms[0].router.Status()[0].Leaving })
	before := calls.Load()
	for _, got := range c.sendAll(50, HeaderIdempotent, "true") {
		assert.Assert(t, !got.refused())
	}
	assert.Equal(t, calls.Load(), before)
}

// TestForwardedOnceOnly guards against requests that are forwarded more than once between zones, and against a zone
// without endpoints that does not use those of the other zone.
func TestForwardedOnceOnly(t *testing.T) {
	c := newCluster(t, 2, workFor(0), 1)
	got := c.send(c.vms[0], "x")
	assert.Equal(t, got.body, "done x")
	c.endpoints.SetLeaving("endpoint-0")
	eventually(t, "the endpoint's zone refuses requests", func() bool {
		return c.send(c.vms[1], "y").refusal.Reason == string(refusal.NoEndpoint)
	})
	got = c.send(c.vms[0], "z")
	assert.Equal(t, got.refusal.Reason, string(refusal.NoEndpoint))
	assert.Assert(t, got.refusal.NotRun)
	assert.Equal(t, c.runs()["z"]+c.runs()["y"], 0)
}

// TestForwardSkipsStoppedVM guards against an unknown outcome for a request that was never sent to the stopped VM.
func TestForwardSkipsStoppedVM(t *testing.T) {
	c := newCluster(t, 4, workFor(0), 1)
	c.vms[1].stop()
	for i := range 10 {
		got := c.send(c.vms[0], fmt.Sprint(i))
		assert.Equal(t, got.body, fmt.Sprintf("done %d", i))
	}
}

// TestTwoZonesWithoutEndpoints guards against two zones that forward a request back and forth while the list still
// shows endpoints in both.
func TestTwoZonesWithoutEndpoints(t *testing.T) {
	c := prepareCluster(t, workFor(0), 0, 1)
	c.endpoints.SetLeaving("endpoint-0")
	c.endpoints.SetLeaving("endpoint-1")
	c.start(2)
	got := c.send(c.vms[0], "x", HeaderTimeout, "1000")
	assert.Equal(t, got.refusal.Reason, string(refusal.NoEndpoint))
	assert.Assert(t, got.refusal.NotRun)
}

// TestShutdownCompletesRequests guards against a planned stop that cuts off requests in flight, or leaves readiness on.
func TestShutdownCompletesRequests(t *testing.T) {
	c := newCluster(t, 1, workFor(500*time.Millisecond), 0, 0, 0, 0)
	replies := make(chan map[string]reply)
	go func() { replies <- c.sendAll(20) }()
	eventually(t, "requests run", func() bool { return len(c.endpoints.Runs()) > 10 })
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	assert.NilError(t, c.vms[0].server.Shutdown(ctx))
	assert.Assert(t, c.vms[0].server.Ready() != nil)
	for body, got := range <-replies {
		assert.NilError(t, got.err)
		assert.Equal(t, got.body, "done "+body)
	}
	assert.Equal(t, c.vms[0].server.InFlight(), int64(0))
}

// TestShutdownIsBounded guards against a planned stop that waits indefinitely for one slow request.
func TestShutdownIsBounded(t *testing.T) {
	c := newCluster(t, 1, workFor(8*time.Second), 0)
	go c.send(c.vms[0], "slow", HeaderIdempotent, "true")
	eventually(t, "the request runs", func() bool { return len(c.endpoints.Runs()) == 1 })
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	assert.ErrorContains(t, c.vms[0].server.Shutdown(ctx), "1 requests were cut off")
}

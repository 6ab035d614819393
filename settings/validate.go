package settings

import (
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/hex"
	"math"
	"net/netip"
	"net/url"
	"strings"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/jsoncheck"
	"siskinstack.example/siskinstack/names"
)

// AdapterHTTP is the platform adapter that speaks HTTP/JSON.
const AdapterHTTP = "http"

// Validate returns the findings about the content of settings, including those about the TLS files they name.
func Validate(s *siskinv1.Settings) jsoncheck.Findings {
	var f jsoncheck.Findings
	names.Check(&f, "$.vm", s.GetVm())
	names.Check(&f, "$.zone", s.GetZone())
	checkListen(&f, s.GetListen())
	checkPeers(&f, s)
	checkPlatform(&f, s.GetPlatform())
	checkTLS(&f, "$.peer_tls", s.GetPeerTls(), true)
	checkTLS(&f, "$.caller_tls", s.GetCallerTls(), false)
	checkLimits(&f, s.GetLimits())
	checkOperators(&f, s.GetOperators())
	checkTelemetry(&f, s.GetTelemetry())
	return f
}

func checkListen(f *jsoncheck.Findings, listen *siskinv1.Listen) {
	if listen == nil {
		f.Add("$.listen", "is missing")
		return
	}
	used := names.Unique{}
	checkAddress(f, "$.listen.callers", listen.GetCallers())
	used.CheckValue(f, "$.listen.callers", listen.GetCallers())
	checkAddress(f, "$.listen.peers", listen.GetPeers())
	used.CheckValue(f, "$.listen.peers", listen.GetPeers())
	if listen.GetAdmin() != "" {
		checkAddress(f, "$.listen.admin", listen.GetAdmin())
		used.CheckValue(f, "$.listen.admin", listen.GetAdmin())
	}
}

// checkAddress checks an IP:port, and returns it and whether it is valid.
func checkAddress(f *jsoncheck.Findings, path, text string) (netip.AddrPort, bool) {
	if text == "" {
		f.Add(path, "is missing")
		return netip.AddrPort{}, false
	}
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		f.Add(path, "%.70q is not an IP:port", text)
		return netip.AddrPort{}, false
	}
	if address.Port() == 0 {
		f.Add(path, "%.70q has port 0; others need a fixed port", text)
		return netip.AddrPort{}, false
	}
	return address, true
}

func checkPeers(f *jsoncheck.Findings, s *siskinv1.Settings) {
	if len(s.GetPeers()) == 0 {
		f.Add("$.peers", "is missing; it lists all entry VMs, this one included")
		return
	}
	vms, addresses := names.Unique{}, names.Unique{}
	own := -1
	for i, peer := range s.GetPeers() {
		path := jsoncheck.Index("$.peers", i)
		vms.Check(f, path+".vm", peer.GetVm())
		names.Check(f, path+".zone", peer.GetZone())
		address, ok := checkAddress(f, path+".address", peer.GetAddress())
		if ok && address.Addr().IsUnspecified() {
			f.Add(path+".address", "%q can't be reached from other VMs", peer.GetAddress())
		}
		addresses.CheckValue(f, path+".address", peer.GetAddress())
		if peer.GetVm() == s.GetVm() && own < 0 {
			own = i
		}
	}
	if own < 0 {
		f.Add("$.peers", "does not list this VM, %.70q", s.GetVm())
		return
	}
	checkOwnPeer(f, jsoncheck.Index("$.peers", own), s, s.GetPeers()[own])
}

func checkOwnPeer(f *jsoncheck.Findings, path string, s *siskinv1.Settings, own *siskinv1.Peer) {
	if own.GetZone() != s.GetZone() {
		f.Add(path+".zone", "%.70q differs from $.zone, %.70q", own.GetZone(), s.GetZone())
	}
	listen, err := netip.ParseAddrPort(s.GetListen().GetPeers())
	if err != nil {
		return
	}
	address, err := netip.ParseAddrPort(own.GetAddress())
	if err != nil {
		return
	}
	if listen.Port() != address.Port() || !listen.Addr().IsUnspecified() && listen.Addr() != address.Addr() {
		f.Add(path+".address", "%q differs from $.listen.peers, %q", address, listen)
	}
}

func checkPlatform(f *jsoncheck.Findings, platform *siskinv1.Platform) {
	if platform == nil {
		f.Add("$.platform", "is missing")
		return
	}
	if platform.GetAdapter() != AdapterHTTP {
		f.Add("$.platform.adapter", "unknown adapter %.70q, not one of %s", platform.GetAdapter(), AdapterHTTP)
	}
	address, err := url.Parse(platform.GetUrl())
	switch {
	case platform.GetUrl() == "":
		f.Add("$.platform.url", "is missing")
	case err != nil || address.Host == "" || address.Scheme != "http" && address.Scheme != "https":
		f.Add("$.platform.url", "%.70q is not an http or https URL", platform.GetUrl())
	case address.User != nil || address.RawQuery != "" || address.Fragment != "":
		f.Add("$.platform.url", "has a user, query or fragment; only a base URL is allowed")
	}
}

// Upper bounds of the limits. They are far above any reasonable value and detect wrong units.
const (
	maxBodyBytes           = 64 << 20
	maxRequestsInFlight    = 1 << 20
	maxQueuedTasks         = 10_000_000
	maxShutdownTimeoutMs   = 600_000
	maxStoreCallsPerSecond = 2_000
)

func checkLimits(f *jsoncheck.Findings, l *siskinv1.Limits) {
	checkLimit(f, "max_body_bytes", l.GetMaxBodyBytes(), maxBodyBytes)
	checkLimit(f, "max_requests_in_flight", l.GetMaxRequestsInFlight(), maxRequestsInFlight)
	checkLimit(f, "max_team_requests_in_flight", l.GetMaxTeamRequestsInFlight(), maxRequestsInFlight)
	checkLimit(f, "max_queued_tasks", l.GetMaxQueuedTasks(), maxQueuedTasks)
	checkLimit(f, "shutdown_timeout_ms", l.GetShutdownTimeoutMs(), maxShutdownTimeoutMs)
	checkLimit(f, "store_calls_per_second", l.GetStoreCallsPerSecond(), maxStoreCallsPerSecond)
	total, team := l.GetMaxRequestsInFlight(), l.GetMaxTeamRequestsInFlight()
	if total > 0 && team > total {
		f.Add("$.limits.max_team_requests_in_flight", "%d is above max_requests_in_flight, %d", team, total)
	}
}

func checkLimit(f *jsoncheck.Findings, name string, value, largest int64) {
	if value < 0 || value > largest {
		f.Add("$.limits."+name, "%d is not between 0 and %d", value, largest)
	}
}

func checkOperators(f *jsoncheck.Findings, operators []*siskinv1.Operator) {
	operatorNames, tokens, keys := names.Unique{}, names.Unique{}, names.Unique{}
	for i, operator := range operators {
		path := jsoncheck.Index("$.operators", i)
		operatorNames.Check(f, path+".name", operator.GetName())
		checkHex(f, path+".token_sha256", operator.GetTokenSha256(), sha256.Size)
		tokens.CheckValue(f, path+".token_sha256", strings.ToLower(operator.GetTokenSha256()))
		// An operator without a sign-off key may author and review, but not sign.
		if operator.GetSignOffKey() != "" {
			checkHex(f, path+".sign_off_key", operator.GetSignOffKey(), ed25519.PublicKeySize)
		}
		keys.CheckValue(f, path+".sign_off_key", strings.ToLower(operator.GetSignOffKey()))
	}
}

func checkHex(f *jsoncheck.Findings, path, text string, size int) {
	value, err := hex.DecodeString(text)
	switch {
	case text == "":
		f.Add(path, "is missing")
	case err != nil:
		f.Add(path, "is not hexadecimal")
	case len(value) != size:
		f.Add(path, "has %d bytes instead of %d", len(value), size)
	}
}

func checkTelemetry(f *jsoncheck.Findings, t *siskinv1.Telemetry) {
	if t.GetOtlpAddress() != "" {
		checkAddress(f, "$.telemetry.otlp_address", t.GetOtlpAddress())
	}
	ratio := t.GetSampleRatio()
	if math.IsNaN(ratio) || ratio < 0 || ratio > 1 {
		f.Add("$.telemetry.sample_ratio", "%g is not between 0 and 1", ratio)
	}
}

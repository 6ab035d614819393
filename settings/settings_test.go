package settings_test

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"siskinstack.example/siskinstack/settings"
	"siskinstack.example/siskinstack/tlsfiles/tlstest"
)

const validSettings = `{
	"vm": "entry-0", "zone": "z1",
	"listen": {"callers": "0.0.0.0:8080", "peers": "0.0.0.0:8081", "admin": "127.0.0.1:8082"},
	"peers": [{"vm": "entry-0", "zone": "z1", "address": "10.0.0.1:8081"},
		{"vm": "entry-1", "zone": "z2", "address": "10.0.0.2:8081"}],
	"platform": {"adapter": "http", "url": "http://127.0.0.1:7000"}}`

// Guards against valid settings that are rejected, and against limits that stay at zero.
func TestValidSettingsGetDefaults(t *testing.T) {
	s, findings, err := settings.Parse([]byte(validSettings), ".")
	assert.NilError(t, err)
	assert.NilError(t, findings.Err())
	assert.Equal(t, s.GetLimits().GetMaxBodyBytes(), int64(settings.DefaultMaxBodyBytes))
	assert.Equal(t, s.GetLimits().GetStoreCallsPerSecond(), int64(settings.DefaultStoreCallsPerSecond))
}

// Guards against invalid settings that are accepted: the daemon could not work or would admit the wrong operator.
func TestEachErrorIsReported(t *testing.T) {
	token := strings.Repeat("ab", 32)
	tests := []struct{ old, new, want string }{
		{`"vm": "entry-0", "zone"`, `"vm": "Entry_0", "zone"`, `$.vm: "Entry_0" is not a name: 1 to 63 lower-case letters, digits and inner hyphens|$.peers: does not list this VM, "Entry_0"`},
		{`"vm": "entry-0", "zone"`, `"vm": 1, "zone"`, `$.vm: is a number, not a string|$.peers: does not list this VM, ""`},
		{`"zone": "z1",`, `"zone": "z3",`, `$.peers[0].zone: "z1" differs from $.zone, "z3"`},
		{`0.0.0.0:8080`, `host:8080`, `$.listen.callers: "host:8080" is not an IP:port`},
		{`0.0.0.0:8080`, `0.0.0.0:0`, `$.listen.callers: "0.0.0.0:0" has port 0; others need a fixed port`},
		{`0.0.0.0:8080`, `0.0.0.0:8081`, `$.listen.peers: "0.0.0.0:8081" is already used at $.listen.callers`},
		{`10.0.0.1:8081`, `10.0.0.1:9`, `$.peers[0].address: "10.0.0.1:9" differs from $.listen.peers, "0.0.0.0:8081"`},
		{`10.0.0.2:8081`, `10.0.0.1:8081`, `$.peers[1].address: "10.0.0.1:8081" is already used at $.peers[0].address`},
		{`10.0.0.2:8081`, `0.0.0.0:8081`, `$.peers[1].address: "0.0.0.0:8081" can't be reached from other VMs`},
		{`"entry-1"`, `"entry-0"`, `$.peers[1].vm: "entry-0" is already used at $.peers[0].vm`},
		{`"adapter": "http"`, `"adapter": "x"`, `$.platform.adapter: unknown adapter "x", not one of http`},
		{`http://127.0.0.1:7000`, `ftp://a`, `$.platform.url: "ftp://a" is not an http or https URL`},
		{`"vm": "entry-0",`, `"limits": {"max_body_bytes": -1}, "vm": "entry-0",`, `$.limits.max_body_bytes: -1 is not between 0 and 67108864`},
		{`"vm": "entry-0",`, `"telemetry": {"sample_ratio": 2}, "vm": "entry-0",`, `$.telemetry.sample_ratio: 2 is not between 0 and 1`},
		{`"vm": "entry-0",`, `"caller_tls": {"certificate": "none", "key": "none"}, "vm": "entry-0",`, `$.caller_tls.certificate: can't be read: open none: no such file or directory|$.caller_tls.key: can't be read: open none: no such file or directory`},
		{`"vm": "entry-0",`, `"operators": [{"name": "ann", "token_sha256": "` + token + `", "sign_off_key": "abcd"}, {"name": "ann", "token_sha256": "` + token + `"}], "vm": "entry-0",`,
			`$.operators[0].sign_off_key: has 2 bytes instead of 32|$.operators[1].name: "ann" is already used at $.operators[0].name|$.operators[1].token_sha256: "` + token + `" is already used at $.operators[0].token_sha256`},
	}
	for _, test := range tests {
		text := strings.Replace(validSettings, test.old, test.new, 1)
		assert.Assert(t, text != validSettings, "nothing replaced for %s", test.new)
		_, findings, err := settings.Parse([]byte(text), "")
		assert.NilError(t, err)
		assert.Equal(t, strings.Join(findings.Lines(), "|"), test.want)
	}
}

// Guards against unusable TLS files that are only detected at the first connection.
func TestTLSFilesMustMatch(t *testing.T) {
	folder, other := t.TempDir(), t.TempDir()
	ours, err := tlstest.NewAuthority("ours")
	assert.NilError(t, err)
	theirs, err := tlstest.NewAuthority("theirs")
	assert.NilError(t, err)
	_, err = ours.Write(folder, "entry-0")
	assert.NilError(t, err)
	files, err := theirs.Write(other, "entry-0")
	assert.NilError(t, err)
	text := strings.Replace(validSettings, `"vm": "entry-0",`,
		`"peer_tls": {"certificate": "certificate.pem", "key": "key.pem", "authority": "authority.pem"}, "vm": "entry-0",`, 1)
	assert.DeepEqual(t, lines(t, text, folder), []string{})

	foreign := strings.Replace(text, `"authority.pem"`, `"`+files.GetAuthority()+`"`, 1)
	assert.DeepEqual(t, lines(t, foreign, folder),
		[]string{"$.peer_tls.certificate: is not signed by the authority, so other entry VMs would refuse it"})

	key, err := os.ReadFile(files.GetKey())
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(folder+"/key.pem", key, 0o600))
	assert.DeepEqual(t, lines(t, text, folder),
		[]string{"$.peer_tls.certificate: does not match the key: tls: private key does not match public key"})
}

func lines(t *testing.T, text, folder string) []string {
	t.Helper()
	_, findings, err := settings.Parse([]byte(text), folder)
	assert.NilError(t, err)
	return findings.Lines()
}

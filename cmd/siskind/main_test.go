package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a daemon that starts with invalid settings, and against exit statuses that scripts can't tell apart.
func TestExitStatus(t *testing.T) {
	folder := t.TempDir()
	valid := `{"vm": "a", "zone": "z", "listen": {"callers": "127.0.0.1:1", "peers": "127.0.0.1:2"},
		"peers": [{"vm": "a", "zone": "z", "address": "127.0.0.1:2"}], "platform": {"adapter": "http", "url": "http://127.0.0.1:3"}}`
	invalid := `{"vm": "a", "zonne": "z", "listen": {"callers": "x"}, "platform": {"adapter": "http", "url": "http://127.0.0.1:3"}}`
	findings := "$.zonne: unknown field\n$.zone: is missing\n$.listen.callers: \"x\" is not an IP:port\n" +
		"$.listen.peers: is missing\n$.peers: is missing; it lists all entry VMs, this one included\n"
	tests := []struct {
		command, text  string
		status         int
		stdout, stderr string
	}{
		{"validate", valid, 0, "settings of a are valid\n", ""},
		{"validate", invalid, exitInvalidSettings, "", findings},
		{"run", invalid, exitInvalidSettings, "", findings},
	}
	for _, test := range tests {
		path := filepath.Join(folder, "settings.json")
		assert.NilError(t, os.WriteFile(path, []byte(test.text), 0o600))
		var stdout, stderr bytes.Buffer
		status := execute(context.Background(), []string{"siskind", test.command, "--config", path}, &stdout, &stderr)
		assert.Equal(t, status, test.status, "%s %s", test.command, stderr.String())
		assert.Equal(t, stdout.String(), test.stdout)
		assert.Equal(t, stderr.String(), test.stderr)
	}
	var stdout, stderr bytes.Buffer
	status := execute(context.Background(), []string{"siskind", "run", "--config", filepath.Join(folder, "none")}, &stdout, &stderr)
	assert.Equal(t, status, exitFailed)
}

// Package settings reads the JSON settings of a daemon, fills in defaults and reports all findings with their JSON path.
package settings

import (
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/jsoncheck"
)

// maxFileBytes bounds a settings file. A file with hundreds of peers and operators has well under 1 MiB.
const maxFileBytes = 1 << 20

// Defaults of the limits.
const (
	DefaultMaxBodyBytes            = 1 << 20
	DefaultMaxRequestsInFlight     = 2048
	DefaultMaxTeamRequestsInFlight = 1024
	DefaultMaxQueuedTasks          = 200_000
	DefaultShutdownTimeoutMs       = 30_000
	// DefaultStoreCallsPerSecond bounds reads and writes together. Its 40% for writes cover the 45 writes per second that a VM
	// with three busy shards needs. The total load on the store depends on the work and stays below this limit times the
	// number of VMs.
	DefaultStoreCallsPerSecond = 140
)

// Load reads settings from a file and fills in defaults. Relative paths of TLS files are resolved against the folder
// of the settings file. Settings with findings must not be used. The error concerns only reading the file.
func Load(path string) (*siskinv1.Settings, jsoncheck.Findings, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, nil, eris.Wrap(err, "read settings")
	}
	if info.Size() > maxFileBytes {
		return nil, nil, eris.Errorf("settings file %s is larger than %d bytes", path, maxFileBytes)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, eris.Wrap(err, "read settings")
	}
	return Parse(text, filepath.Dir(path))
}

// Parse decodes and validates settings and fills in defaults. Relative paths of TLS files are resolved against folder.
func Parse(text []byte, folder string) (*siskinv1.Settings, jsoncheck.Findings, error) {
	settings := &siskinv1.Settings{}
	findings, err := jsoncheck.DecodePartial(text, settings)
	if err != nil {
		return nil, nil, err
	}
	for _, files := range []*siskinv1.TlsFiles{settings.GetPeerTls(), settings.GetCallerTls()} {
		resolvePaths(files, folder)
	}
	settings = WithDefaults(settings)
	findings.Merge(Validate(settings))
	return settings, findings, nil
}

func resolvePaths(files *siskinv1.TlsFiles, folder string) {
	if files == nil {
		return
	}
	for _, path := range []*string{&files.Certificate, &files.Key, &files.Authority} {
		if *path != "" && !filepath.IsAbs(*path) {
			*path = filepath.Join(folder, *path)
		}
	}
}

// WithDefaults returns a copy of s in which limits that are zero are replaced by their defaults.
func WithDefaults(s *siskinv1.Settings) *siskinv1.Settings {
	filled := proto.CloneOf(s)
	if filled.Limits == nil {
		filled.Limits = &siskinv1.Limits{}
	}
	l := filled.Limits
	setDefault(&l.MaxBodyBytes, DefaultMaxBodyBytes)
	setDefault(&l.MaxRequestsInFlight, DefaultMaxRequestsInFlight)
	if l.MaxTeamRequestsInFlight == 0 {
		l.MaxTeamRequestsInFlight = min(DefaultMaxTeamRequestsInFlight, l.MaxRequestsInFlight)
	}
	setDefault(&l.MaxQueuedTasks, DefaultMaxQueuedTasks)
	setDefault(&l.ShutdownTimeoutMs, DefaultShutdownTimeoutMs)
	setDefault(&l.StoreCallsPerSecond, DefaultStoreCallsPerSecond)
	return filled
}

func setDefault(limit *int64, value int64) {
	if *limit == 0 {
		*limit = value
	}
}

// Package tlsfiles creates TLS configurations from PEM files and reloads the files when they change, so that certificates can
// be replaced without a restart.
package tlsfiles

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/clock"
)

// pollInterval is how often the files are checked for changes. Certificates are replaced days before they expire, so ten
// seconds are soon enough.
const pollInterval = 10 * time.Second

// loadedFiles is the content of the files when they were last loaded.
type loadedFiles struct {
	certificate tls.Certificate
	authority   *x509.CertPool // nil if no authority is configured
}

// Source loads one set of TLS files. Open connections keep the certificate of their handshake.
type Source struct {
	files   *siskinv1.TlsFiles
	clock   clock.Clock
	logger  logr.Logger
	current atomic.Pointer[loadedFiles]
	// versions is accessed by New and then only by Run.
	versions [3]fileVersion
}

// fileVersion is compared to detect a change of a file.
type fileVersion struct {
	modified time.Time
	size     int64
}

// New loads the files. They are reloaded only while Run runs.
func New(files *siskinv1.TlsFiles, c clock.Clock, logger logr.Logger) (*Source, error) {
	s := &Source{files: files, clock: c, logger: logger}
	s.versions = s.readVersions()
	loaded, err := s.load()
	if err != nil {
		return nil, err
	}
	s.current.Store(loaded)
	return s, nil
}

// Run reloads the files when they change, until ctx ends.
func (s *Source) Run(ctx context.Context) {
	for s.clock.Sleep(ctx, pollInterval) == nil {
		s.poll()
	}
}

// poll reloads the files if any has changed. Files are replaced one at a time, so they may not match in between: the last
// valid set stays in use, and the next poll tries again.
func (s *Source) poll() {
	versions := s.readVersions()
	if versions == s.versions {
		return
	}
	loaded, err := s.load()
	if err != nil {
		s.logger.Error(err, "changed TLS files are not usable; the previous ones stay in use", "certificate", s.files.GetCertificate())
		return
	}
	s.versions = versions
	s.current.Store(loaded)
	s.logger.Info("TLS files read again", "certificate", s.files.GetCertificate(), "not_after", loaded.certificate.Leaf.NotAfter)
}

func (s *Source) readVersions() [3]fileVersion {
	var versions [3]fileVersion
	for i, path := range []string{s.files.GetCertificate(), s.files.GetKey(), s.files.GetAuthority()} {
		if info, err := os.Stat(path); err == nil {
			versions[i] = fileVersion{modified: info.ModTime(), size: info.Size()}
		}
	}
	return versions
}

func (s *Source) load() (*loadedFiles, error) {
	certificate, err := tls.LoadX509KeyPair(s.files.GetCertificate(), s.files.GetKey())
	if err != nil {
		return nil, eris.Wrap(err, "read certificate and key")
	}
	loaded := &loadedFiles{certificate: certificate}
	if s.files.GetAuthority() == "" {
		return loaded, nil
	}
	content, err := os.ReadFile(s.files.GetAuthority())
	if err != nil {
		return nil, eris.Wrap(err, "read authority")
	}
	loaded.authority = x509.NewCertPool()
	if !loaded.authority.AppendCertsFromPEM(content) {
		return nil, eris.Errorf("%s contains no PEM certificate", s.files.GetAuthority())
	}
	return loaded, nil
}

// NotAfter returns when the certificate in use expires.
func (s *Source) NotAfter() time.Time { return s.current.Load().certificate.Leaf.NotAfter }

// Package tlsfiles makes TLS configurations from PEM files and reads the files again when they change, so that certificates
// are replaced without a restart.
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

// pollInterval is how often the modification times of the files are read. Certificates are replaced days before they
// expire, so ten seconds are soon enough.
const pollInterval = 10 * time.Second

// material is what the files held when they were last read.
type material struct {
	certificate tls.Certificate
	authority   *x509.CertPool // nil if no authority is named
}

// Source reads one set of TLS files. Connections that are open keep the certificate they started with.
type Source struct {
	files   *siskinv1.TlsFiles
	clock   clock.Clock
	logger  logr.Logger
	current atomic.Pointer[material]
	// versions is used by New and then by Run only.
	versions [3]fileVersion
}

// fileVersion tells whether a file has changed.
type fileVersion struct {
	modified time.Time
	size     int64
}

// New reads the files. Run has to be called for them to be read again.
func New(files *siskinv1.TlsFiles, c clock.Clock, logger logr.Logger) (*Source, error) {
	s := &Source{files: files, clock: c, logger: logger}
	s.versions = s.readVersions()
	read, err := s.read()
	if err != nil {
		return nil, err
	}
	s.current.Store(read)
	return s, nil
}

// Run reads the files again when they change, until ctx ends.
func (s *Source) Run(ctx context.Context) {
	for s.clock.Sleep(ctx, pollInterval) == nil {
		s.poll()
	}
}

// poll reads the files if any has changed. The files are replaced one after the other, so a set that does not match is
// tried again at the next poll, and the last good set stays in use.
func (s *Source) poll() {
	versions := s.readVersions()
	if versions == s.versions {
		return
	}
	read, err := s.read()
	if err != nil {
		s.logger.Error(err, "changed TLS files are not usable, the earlier ones stay in use", "certificate", s.files.GetCertificate())
		return
	}
	s.versions = versions
	s.current.Store(read)
	s.logger.Info("TLS files read again", "certificate", s.files.GetCertificate(), "not_after", read.certificate.Leaf.NotAfter)
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

func (s *Source) read() (*material, error) {
	certificate, err := tls.LoadX509KeyPair(s.files.GetCertificate(), s.files.GetKey())
	if err != nil {
		return nil, eris.Wrap(err, "read certificate and key")
	}
	read := &material{certificate: certificate}
	if s.files.GetAuthority() == "" {
		return read, nil
	}
	content, err := os.ReadFile(s.files.GetAuthority())
	if err != nil {
		return nil, eris.Wrap(err, "read authority")
	}
	read.authority = x509.NewCertPool()
	if !read.authority.AppendCertsFromPEM(content) {
		return nil, eris.Errorf("%s holds no PEM certificate", s.files.GetAuthority())
	}
	return read, nil
}

// NotAfter returns when the certificate in use expires.
func (s *Source) NotAfter() time.Time { return s.current.Load().certificate.Leaf.NotAfter }

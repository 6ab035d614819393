package daemon_test

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"math/big"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"gotest.tools/v3/assert"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/apiclient"
	"siskinstack.example/siskinstack/peer"
	"siskinstack.example/siskinstack/tlsfiles/tlstest"
)

// replaceLimit is twice the interval at which changed files are noticed.
const replaceLimit = 20 * time.Second

// secureCluster is a cluster with mutual TLS between VMs and TLS towards callers.
type secureCluster struct {
	*cluster
	authority *tlstest.Authority
	folders   map[string]string // folder of the files, by VM and use
	roots     *x509.CertPool
}

func newSecureCluster(t *testing.T) *secureCluster {
	authority, err := tlstest.NewAuthority("site")
	assert.NilError(t, err)
	s := &secureCluster{authority: authority, folders: map[string]string{}, roots: x509.NewCertPool()}
	s.cluster = newCluster(t, func(settings *siskinv1.Settings) {
		settings.PeerTls = s.issue(t, settings.GetVm(), "peers")
		settings.CallerTls = s.issue(t, settings.GetVm(), "callers")
		settings.CallerTls.Authority = ""
	})
	pem, err := os.ReadFile(s.vms[0].settings.GetPeerTls().GetAuthority())
	assert.NilError(t, err)
	assert.Assert(t, s.roots.AppendCertsFromPEM(pem))
	s.scheme = "https://"
	transport := apiclient.NewTransport(s.roots)
	t.Cleanup(transport.CloseIdleConnections)
	s.transport = transport
	return s
}

// issue writes a new certificate for a VM. Files of an earlier certificate are overwritten.
func (s *secureCluster) issue(t *testing.T, vm, use string) *siskinv1.TlsFiles {
	name := vm + "-" + use
	if s.folders[name] == "" {
		s.folders[name] = filepath.Join(t.TempDir(), name)
		assert.NilError(t, os.Mkdir(s.folders[name], 0o700))
	}
	files, err := s.authority.Write(s.folders[name], vm)
	assert.NilError(t, err)
	return files
}

// serial returns the serial number of the certificate that a server presents. certificate is that of the client.
func (s *secureCluster) serial(address string, certificate ...tls.Certificate) *big.Int {
	conn, err := tls.Dial("tcp", address, &tls.Config{
		MinVersion: tls.VersionTLS13, RootCAs: s.roots, Certificates: certificate, NextProtos: []string{"h2"},
	})
	assert.NilError(s.t, err)
	defer func() { _ = conn.Close() }()
	return conn.ConnectionState().PeerCertificates[0].SerialNumber
}

// fetchConfig calls a VM at its address for peers.
func (s *secureCluster) fetchConfig(m *vm, creds credentials.TransportCredentials) error {
	clients := peer.NewClients(map[string]string{"x": m.settings.GetListen().GetPeers()}, creds)
	defer clients.Close()
	ctx, cancel := context.WithTimeout(s.t.Context(), 5*time.Second)
	defer cancel()
	client, err := clients.Client("x")
	assert.NilError(s.t, err)
	_, err = client.FetchConfig(ctx, &siskinv1.FetchConfigRequest{}, grpc.WaitForReady(false))
	return err
}

// Guards against an entry VM that serves peers without a certificate of the site's authority or callers without TLS, and
// against a certificate replacement that needs a restart or cuts requests off.
func TestTransportSecurity(t *testing.T) {
	t.Parallel()
	s := newSecureCluster(t)
	s.startAll()
	m := s.vms[0]
	s.assertInsecureConnectionsRejected(t, m)

	certificate := loadPair(t, m.settings.GetPeerTls())
	callers, peers := m.settings.GetListen().GetCallers(), m.settings.GetListen().GetPeers()
	callerSerial, peerSerial := s.serial(callers), s.serial(peers, certificate)
	stop := s.sendContinuously(t)
	for _, other := range s.vms {
		s.issue(t, other.settings.GetVm(), "peers")
		s.issue(t, other.settings.GetVm(), "callers")
	}
	took := s.waitFor(replaceLimit, "new certificates", func() bool {
		return s.serial(callers).Cmp(callerSerial) != 0 && s.serial(peers, certificate).Cmp(peerSerial) != 0
	})
	s.kill(s.vms[1])
	s.start(s.vms[1])
	s.waitFor(readyLimit, "a restarted VM to serve requests", func() bool { return s.send(s.vms[1], s.key) == nil })
	sent := stop()
	t.Logf("certificates replaced after %s, %d requests meanwhile", took.Round(time.Millisecond), sent)
}

func loadPair(t *testing.T, files *siskinv1.TlsFiles) tls.Certificate {
	certificate, err := tls.LoadX509KeyPair(files.GetCertificate(), files.GetKey())
	assert.NilError(t, err)
	return certificate
}

func (s *secureCluster) assertInsecureConnectionsRejected(t *testing.T, m *vm) {
	otherAuthority, err := tlstest.NewAuthority("elsewhere")
	assert.NilError(t, err)
	foreign, err := otherAuthority.Write(t.TempDir(), "entry-1")
	assert.NilError(t, err)
	own := loadPair(t, s.vms[1].settings.GetPeerTls())
	withTLS := func(certificates ...tls.Certificate) credentials.TransportCredentials {
		return credentials.NewTLS(&tls.Config{MinVersion: tls.VersionTLS13, RootCAs: s.roots, Certificates: certificates})
	}
	assert.NilError(t, s.fetchConfig(m, withTLS(own)))
	assert.Assert(t, s.fetchConfig(m, withTLS()) != nil, "served a peer without a certificate")
	assert.Assert(t, s.fetchConfig(m, withTLS(loadPair(t, foreign))) != nil, "served a peer of another authority")
	assert.Assert(t, s.fetchConfig(m, insecure.NewCredentials()) != nil, "served a peer without TLS")
	originalScheme := s.scheme
	s.scheme = "http://"
	assert.Assert(t, s.send(m, s.key) != nil, "served a caller without TLS")
	s.scheme = originalScheme
}

// sendContinuously sends requests to the VMs that stay up until the returned function is called. None may fail.
func (s *secureCluster) sendContinuously(t *testing.T) (stop func() int) {
	ctx, cancel := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	var mu sync.Mutex // guards sent and failed
	sent, failed := 0, []error{}
	for _, m := range []*vm{s.vms[0], s.vms[2]} {
		callers.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				if i%10 == 0 {
					// New connections use the new certificates.
					s.transport.(*http.Transport).CloseIdleConnections()
				}
				err := s.send(m, s.key)
				mu.Lock()
				sent++
				if err != nil {
					failed = append(failed, err)
				}
				mu.Unlock()
				time.Sleep(pollInterval)
			}
		})
	}
	return func() int {
		cancel()
		callers.Wait()
		assert.Equal(t, len(failed), 0, "%d of %d requests failed: %v", len(failed), sent, failed)
		return sent
	}
}

package tlsfiles

import (
	"context"
	"crypto/tls"
	"net"
	"os"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"gotest.tools/v3/assert"

	siskinv1 "siskinstack.example/siskinstack/api/siskin/v1"
	"siskinstack.example/siskinstack/clock"
	"siskinstack.example/siskinstack/tlsfiles/tlstest"
)

func newAuthority(t *testing.T) *tlstest.Authority {
	authority, err := tlstest.NewAuthority("authority")
	assert.NilError(t, err)
	return authority
}

func newSource(t *testing.T, authority *tlstest.Authority) *Source {
	files, err := authority.Write(t.TempDir(), "entry")
	assert.NilError(t, err)
	source, err := New(files, clock.NewFake(time.Unix(0, 0)), logr.Discard())
	assert.NilError(t, err)
	return source
}

// rewrite replaces the files of a source and makes it reload them.
func rewrite(t *testing.T, s *Source, authority *tlstest.Authority) {
	folder := t.TempDir()
	files, err := authority.Write(folder, "entry")
	assert.NilError(t, err)
	for from, to := range map[string]string{
		files.GetCertificate(): s.files.GetCertificate(), files.GetKey(): s.files.GetKey(), files.GetAuthority(): s.files.GetAuthority(),
	} {
		assert.NilError(t, os.Rename(from, to))
		// The file system may record times coarsely, so the modification time is set ahead instead of waiting.
		later := time.Now().Add(time.Hour)
		assert.NilError(t, os.Chtimes(to, later, later))
	}
	s.poll()
}

// connect makes one TLS connection over loopback, exchanges a byte in both directions, and returns the serial number of
// the server's certificate.
func connect(t *testing.T, server, client *tls.Config) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	done := make(chan struct{})
	go func() {
		defer close(done)
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		secured := tls.Server(connection, server)
		defer func() { _ = secured.Close() }()
		var b [1]byte
		if _, err := secured.Read(b[:]); err == nil {
			_, _ = secured.Write(b[:])
		}
	}()
	defer func() { <-done }()
	dialer := &net.Dialer{Timeout: 5 * time.Second}
	connection, err := tls.DialWithDialer(dialer, "tcp", listener.Addr().String(), client)
	if err != nil {
		return "", err
	}
	defer func() { _ = connection.Close() }()
	if _, err := connection.Write([]byte{1}); err != nil {
		return "", err
	}
	// With TLS 1.3 a client learns at its first read that its certificate was rejected.
	if _, err := connection.Read(make([]byte, 1)); err != nil {
		return "", err
	}
	return connection.ConnectionState().PeerCertificates[0].SerialNumber.String(), nil
}

func peerServer(t *testing.T, s *Source) *tls.Config {
	config, err := s.PeerServerConfig()
	assert.NilError(t, err)
	return config
}

func peerClient(t *testing.T, s *Source) *tls.Config {
	config, err := s.PeerClientConfig("127.0.0.1")
	assert.NilError(t, err)
	return config
}

// Guards against entry VMs that accept a peer without a certificate or with one of another authority, as client or as server.
func TestMutualTLS(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	a, b, foreign := newSource(t, ours), newSource(t, ours), newSource(t, theirs)
	server := peerServer(t, a)
	_, err := connect(t, server, peerClient(t, b))
	assert.NilError(t, err)

	foreignClient := peerClient(t, foreign)
	_, err = connect(t, server, foreignClient)
	assert.Assert(t, err != nil, "client trusts a server of another authority")
	foreignClient.InsecureSkipVerify = true
	_, err = connect(t, server, foreignClient)
	assert.Assert(t, err != nil, "server trusts a client of another authority")
	_, err = connect(t, server, &tls.Config{InsecureSkipVerify: true})
	assert.Assert(t, err != nil, "server trusts a client without a certificate")

	wrongName := peerClient(t, b)
	wrongName.ServerName = "other"
	_, err = connect(t, server, wrongName)
	assert.Assert(t, err != nil, "client trusts a certificate of another name")
}

// Guards against certificates and authorities that are only replaced by a restart, on either side.
func TestReload(t *testing.T) {
	old, next := newAuthority(t), newAuthority(t)
	a, b := newSource(t, old), newSource(t, old)
	server, callers := peerServer(t, a), a.CallerServerConfig()
	first, err := connect(t, server, peerClient(t, b))
	assert.NilError(t, err)

	rewrite(t, a, old)
	second, err := connect(t, server, peerClient(t, b))
	assert.NilError(t, err)
	assert.Assert(t, first != second, "server still uses the previous certificate")
	third, err := connect(t, callers, &tls.Config{InsecureSkipVerify: true})
	assert.NilError(t, err)
	assert.Equal(t, third, second)

	rewrite(t, a, next)
	_, err = connect(t, server, peerClient(t, b))
	assert.Assert(t, err != nil, "client trusts the next authority before its files are replaced")
	rewrite(t, b, next)
	_, err = connect(t, server, peerClient(t, b))
	assert.NilError(t, err)
}

// Guards against gRPC connections that use the files loaded at the start, or skip the verification.
func TestCredentialsUseReloadedFiles(t *testing.T) {
	old, next := newAuthority(t), newAuthority(t)
	a, b := newSource(t, old), newSource(t, old)
	serverCredentials, err := a.ServerCredentials()
	assert.NilError(t, err)
	clientCredentials, err := b.ClientCredentials()
	assert.NilError(t, err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := grpc.NewServer(grpc.Creds(serverCredentials))
	siskinv1.RegisterPeerServiceServer(server, siskinv1.UnimplementedPeerServiceServer{})
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	defer func() {
		server.Stop()
		assert.NilError(t, <-served)
	}()
	call := func() codes.Code {
		connection, err := grpc.NewClient(listener.Addr().String(), grpc.WithTransportCredentials(clientCredentials))
		assert.NilError(t, err)
		defer func() { _ = connection.Close() }()
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		_, err = siskinv1.NewPeerServiceClient(connection).Heartbeat(ctx, &siskinv1.HeartbeatRequest{})
		return status.Code(err)
	}
	assert.Equal(t, call(), codes.Unimplemented)
	rewrite(t, a, next)
	assert.Equal(t, call(), codes.Unavailable)
	rewrite(t, b, next)
	assert.Equal(t, call(), codes.Unimplemented)
}

// Guards against failed connections while the files are replaced one at a time and do not match.
func TestUnusableFilesKeepPreviousOnes(t *testing.T) {
	authority := newAuthority(t)
	a, b := newSource(t, authority), newSource(t, authority)
	server := peerServer(t, a)
	first, err := connect(t, server, peerClient(t, b))
	assert.NilError(t, err)
	key, err := os.ReadFile(a.files.GetKey())
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(a.files.GetKey(), []byte("partial"), 0o600))
	a.poll()
	again, err := connect(t, server, peerClient(t, b))
	assert.NilError(t, err)
	assert.Equal(t, first, again)
	assert.NilError(t, os.WriteFile(a.files.GetKey(), key, 0o600))
	a.poll()
	_, err = connect(t, server, peerClient(t, b))
	assert.NilError(t, err)
}

// Guards against mutual TLS that verifies no peer because no authority is configured.
func TestMutualTLSRequiresAuthority(t *testing.T) {
	files, err := newAuthority(t).Write(t.TempDir(), "entry")
	assert.NilError(t, err)
	without := &siskinv1.TlsFiles{Certificate: files.GetCertificate(), Key: files.GetKey()}
	source, err := New(without, clock.Real{}, logr.Discard())
	assert.NilError(t, err)
	_, err = source.PeerServerConfig()
	assert.ErrorIs(t, err, ErrNoAuthority)
	_, err = source.PeerClientConfig("127.0.0.1")
	assert.ErrorIs(t, err, ErrNoAuthority)
}

package tlsfiles

import (
	"crypto/tls"

	"github.com/rotisserie/eris"
)

// Protocols that servers offer in ALPN.
const (
	ProtocolHTTP2 = "h2"
	ProtocolHTTP1 = "http/1.1"
)

// ErrNoAuthority means that mutual TLS is requested without a certificate authority to verify the peer with.
var ErrNoAuthority = eris.New("mutual TLS needs an authority")

// CallerServerConfig returns the configuration of a server for callers, which authenticate with keys instead of certificates.
func (s *Source) CallerServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: []string{ProtocolHTTP2, ProtocolHTTP1},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &s.current.Load().certificate, nil
		},
	}
}

// PeerServerConfig returns the configuration of a server that requires client certificates signed by the authority.
func (s *Source) PeerServerConfig() (*tls.Config, error) {
	if s.current.Load().authority == nil {
		return nil, ErrNoAuthority
	}
	config := &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{ProtocolHTTP2},
		ClientAuth: tls.RequireAndVerifyClientCert,
	}
	config.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		loaded := s.current.Load()
		if loaded.authority == nil {
			return nil, ErrNoAuthority
		}
		return &tls.Config{
			MinVersion:   tls.VersionTLS13,
			NextProtos:   []string{ProtocolHTTP2},
			ClientAuth:   tls.RequireAndVerifyClientCert,
			ClientCAs:    loaded.authority,
			Certificates: []tls.Certificate{loaded.certificate},
			// A resumed session would not be checked against an authority that has been replaced since.
			SessionTicketsDisabled: true,
		}, nil
	}
	return config, nil
}

// PeerClientConfig returns the configuration for one connection to another entry VM. The server's certificate has to be signed
// by the authority and to be valid for server, an IP address or a DNS name. The files in use at the time of the call apply,
// so the configuration must not be reused for later connections.
func (s *Source) PeerClientConfig(server string) (*tls.Config, error) {
	loaded := s.current.Load()
	if loaded.authority == nil {
		return nil, ErrNoAuthority
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   []string{ProtocolHTTP2},
		ServerName:   server,
		RootCAs:      loaded.authority,
		Certificates: []tls.Certificate{loaded.certificate},
	}, nil
}

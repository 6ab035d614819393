package tlsfiles

import (
	"context"
	"net"

	"google.golang.org/grpc/credentials"
)

// ServerCredentials returns gRPC credentials that accept only clients with a certificate of the authority.
func (s *Source) ServerCredentials() (credentials.TransportCredentials, error) {
	config, err := s.PeerServerConfig()
	if err != nil {
		return nil, err
	}
	return credentials.NewTLS(config), nil
}

// ClientCredentials returns gRPC credentials that use the files in use at the time of each handshake.
func (s *Source) ClientCredentials() (credentials.TransportCredentials, error) {
	config, err := s.PeerClientConfig("")
	if err != nil {
		return nil, err
	}
	return &clientCredentials{TransportCredentials: credentials.NewTLS(config), source: s}, nil
}

// clientCredentials replaces the client handshake, because the configuration inside gRPC's own credentials never changes.
type clientCredentials struct {
	credentials.TransportCredentials
	source *Source
}

// ClientHandshake verifies the server against its address, with the authority in use at the time of the call.
func (c *clientCredentials) ClientHandshake(ctx context.Context, authority string, connection net.Conn) (net.Conn, credentials.AuthInfo, error) {
	config, err := c.source.PeerClientConfig("")
	if err != nil {
		return nil, nil, err
	}
	return credentials.NewTLS(config).ClientHandshake(ctx, authority, connection)
}

// Clone returns a copy.
func (c *clientCredentials) Clone() credentials.TransportCredentials {
	return &clientCredentials{TransportCredentials: c.TransportCredentials.Clone(), source: c.source}
}

package tlsfiles

import (
	"context"
	"crypto/tls"
	"net"

	"google.golang.org/grpc/credentials"
)

// ServerConfig returns a TLS configuration for servers. Each handshake uses the
// most recently loaded files and requires a client certificate signed by the CA.
// protocols are the ALPN protocols, in order of preference.
func (s *Source) ServerConfig(protocols ...string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: protocols,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			m := s.latest()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				NextProtos:   protocols,
				Certificates: []tls.Certificate{m.cert},
				ClientCAs:    m.roots,
				ClientAuth:   tls.RequireAndVerifyClientCert,
			}, nil
		},
	}
}

// ClientConfig returns a TLS configuration for clients with the most recently
// loaded files. It does not follow later changes, so callers request a new one
// for each connection. protocols are the ALPN protocols, in order of preference.
func (s *Source) ClientConfig(protocols ...string) *tls.Config {
	m := s.latest()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   protocols,
		Certificates: []tls.Certificate{m.cert},
		RootCAs:      m.roots,
	}
}

// GRPCServer returns credentials for a gRPC server. Each handshake uses the most
// recently loaded files.
func (s *Source) GRPCServer() credentials.TransportCredentials {
	return credentials.NewTLS(s.ServerConfig("h2"))
}

// GRPCClient returns credentials for gRPC clients. Each handshake uses the most
// recently loaded files.
func (s *Source) GRPCClient() credentials.TransportCredentials {
	return &clientCredentials{source: s}
}

// clientCredentials uses the most recently loaded files for each handshake.
// credentials.NewTLS alone would keep the CA it was created with, so a client
// would reject servers whose certificates are signed by a new CA.
type clientCredentials struct{ source *Source }

func (c *clientCredentials) ClientHandshake(ctx context.Context, authority string, conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	return credentials.NewTLS(c.source.ClientConfig("h2")).ClientHandshake(ctx, authority, conn)
}

func (c *clientCredentials) ServerHandshake(conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	return c.source.GRPCServer().ServerHandshake(conn)
}

func (c *clientCredentials) Info() credentials.ProtocolInfo {
	return credentials.ProtocolInfo{SecurityProtocol: "tls"}
}

func (c *clientCredentials) Clone() credentials.TransportCredentials {
	return &clientCredentials{source: c.source}
}

func (c *clientCredentials) OverrideServerName(string) error { return nil }

package tlsfiles

import (
	"context"
	"crypto/tls"
	"net"

	"google.golang.org/grpc/credentials"
)

// ServerConfig returns a server's settings that follow the files: each
// handshake uses the latest ones and requires a client certificate of the CA.
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

// ClientConfig returns a client's settings as the files are now; take a new
// one for each connection.
func (s *Source) ClientConfig(protocols ...string) *tls.Config {
	m := s.latest()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   protocols,
		Certificates: []tls.Certificate{m.cert},
		RootCAs:      m.roots,
	}
}

// GRPCServer returns credentials for a grpc server.
func (s *Source) GRPCServer() credentials.TransportCredentials {
	return credentials.NewTLS(s.ServerConfig("h2"))
}

// GRPCClient returns credentials for grpc clients that follow the files.
func (s *Source) GRPCClient() credentials.TransportCredentials {
	return &clientCredentials{source: s}
}

// clientCredentials makes each handshake with the files' latest contents.
// credentials.NewTLS alone would keep the CA it was made with, so that a
// client would refuse servers that moved to a new one.
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

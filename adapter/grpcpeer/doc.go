// Package grpcpeer implements the protocol between daemons with grpc-go: Client
// implements port.Peers, and Server serves api/peer/v1 and passes the requests to
// a Handler.
//
// A client keeps one connection per peer and sets a deadline on every call. If a
// middlebox loses the state of a connection, that connection stays open but silent
// while new ones work. A call that exceeds its deadline therefore takes its
// connection out of use, and the next call opens a new one. HTTP/2 keepalive
// detects the same on a connection without calls.
//
// Each call sends the caller's cluster and protocol version in its metadata. A
// server refuses other clusters and newer protocols. The client converts these
// refusals and all other gRPC statuses into a *port.PeerError.
package grpcpeer

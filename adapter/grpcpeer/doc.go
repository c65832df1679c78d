// Package grpcpeer carries the protocol between daemons over grpc-go: Client
// implements port.Peers, Server offers api/peer/v1 and hands requests to a
// Handler.
//
// A client keeps one connection per peer and gives every call a deadline. A
// connection that something between the two ends has lost track of stays open
// and silent while new ones work; a call that ends by its deadline therefore
// closes its connection, and the next call opens a new one. HTTP/2 keepalive
// does the same for a connection that carries no calls.
//
// Each call names the caller's cluster and protocol version in its metadata.
// A server refuses other clusters and newer protocols; the refusals and all
// other gRPC statuses become a *port.PeerError.
package grpcpeer

package grpcpeer

import (
	"context"
	"strconv"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"github.com/guavarill/guavarill/port"
)

// Protocol is the version of the protocol between daemons that this program
// speaks. A server takes calls of this version and older ones, so daemons are
// upgraded one by one; a newer caller is refused and asks again with nothing
// lost, because every exchange is repeatable.
const Protocol uint32 = 1

const (
	clusterHeader  = "guavarill-cluster"
	protocolHeader = "guavarill-protocol"
)

// identity is what a caller says of itself in the metadata.
type identity struct {
	cluster  string
	protocol uint32
}

func (id identity) outgoing(ctx context.Context) context.Context {
	return metadata.AppendToOutgoingContext(ctx,
		clusterHeader, id.cluster,
		protocolHeader, strconv.FormatUint(uint64(id.protocol), 10))
}

// incomingIdentity reads the caller's identity; one that is missing or does not
// parse stays zero and is refused as another cluster's.
func incomingIdentity(ctx context.Context) identity {
	md, _ := metadata.FromIncomingContext(ctx)
	var id identity
	if v := md.Get(clusterHeader); len(v) == 1 {
		id.cluster = v[0]
	}
	if v := md.Get(protocolHeader); len(v) == 1 {
		n, err := strconv.ParseUint(v[0], 10, 32)
		if err == nil {
			id.protocol = uint32(n)
		}
	}
	return id
}

// The statuses of refusals. No other code is used for them, here or in a
// handler, so that a client can tell them apart.
const (
	codeOtherCluster  = codes.FailedPrecondition
	codeOtherProtocol = codes.Unimplemented
)

// peerError turns a call's failure into a *port.PeerError.
func peerError(address string, err error) *port.PeerError {
	return &port.PeerError{Peer: address, Kind: kindOf(status.Code(err)), Cause: err}
}

func kindOf(code codes.Code) port.PeerErrorKind {
	switch code {
	case codeOtherCluster:
		return port.PeerOtherCluster
	case codeOtherProtocol:
		return port.PeerOtherProtocol
	case codes.Unavailable, codes.DeadlineExceeded, codes.Canceled, codes.Unknown:
		return port.PeerUnreachable
	}
	return port.PeerRefused
}

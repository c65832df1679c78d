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
// implements. A server accepts calls of this version and older ones, so that
// daemons can be upgraded one at a time. A newer caller is refused and retries;
// nothing is lost, because every exchange can be repeated.
const Protocol uint32 = 1

const (
	clusterHeader  = "guavarill-cluster"
	protocolHeader = "guavarill-protocol"
)

// identity is the cluster and protocol version that a caller sends in the metadata
// of a call.
type identity struct {
	cluster  string
	protocol uint32
}

func (id identity) outgoing(ctx context.Context) context.Context {
	return metadata.AppendToOutgoingContext(ctx,
		clusterHeader, id.cluster,
		protocolHeader, strconv.FormatUint(uint64(id.protocol), 10))
}

// incomingIdentity reads the caller's identity from the metadata. Fields that are
// missing or malformed stay zero; a call without a cluster is then refused as a
// call from another cluster.
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

// The status codes of refusals. Neither this package nor a handler uses them for
// anything else, so that a client can distinguish the refusals.
const (
	codeOtherCluster  = codes.FailedPrecondition
	codeOtherProtocol = codes.Unimplemented
)

// peerError converts the error of a call into a *port.PeerError.
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

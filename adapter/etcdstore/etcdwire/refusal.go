package etcdwire

import (
	"google.golang.org/grpc/codes"

	"github.com/guavarill/guavarill/port"
)

// Kinds of errors returned by the store that package port does not define.
const (
	// KindRefused is a request that the store rejects as invalid or not
	// permitted. Retrying it cannot succeed.
	KindRefused port.StoreErrorKind = "refused by the store"
	// KindOverloaded is a call that failed because a resource is exhausted, for
	// example because the store's rate limit or space quota was exceeded.
	KindOverloaded port.StoreErrorKind = "refused by the store for its load"
)

// Status texts of the etcd API that this package and its users distinguish or
// send.
const (
	TextEmptyKey        = "etcdserver: key is not provided"
	TextTooManyOps      = "etcdserver: too many operations in txn request"
	TextDuplicateKey    = "etcdserver: duplicate key given in txn request"
	TextTooLarge        = "etcdserver: request is too large"
	TextCompacted       = "etcdserver: mvcc: required revision has been compacted"
	TextLeaseNotFound   = "etcdserver: requested lease not found"
	TextLeaseTTLTooLong = "etcdserver: too large lease TTL"
	TextTooManyRequests = "etcdserver: too many requests"
	TextNoSpace         = "etcdserver: mvcc: database space exceeded"
)

// Refusal is a gRPC error status returned by the store for a call.
type Refusal struct {
	Code codes.Code
	Text string
}

// Error implements error.
func (r *Refusal) Error() string { return r.Code.String() + ": " + r.Text }

// Classify returns the kind of failure that the status represents and whether the
// status proves that the call changed nothing.
//
// notDone is true only for statuses that the protocol returns before a change
// is proposed or while the proposal is validated, never after it was applied.
// The code ResourceExhausted alone proves nothing: a store over its space quota
// returns TextNoSpace for a put that it has applied, and the gRPC library uses
// the same code for a response that is too large to read. Treating either as
// not done would make a caller repeat a change that was made.
func (r *Refusal) Classify() (kind port.StoreErrorKind, notDone bool) {
	switch r.Code {
	case codes.InvalidArgument:
		return invalidArgumentKind(r.Text), true
	case codes.NotFound:
		return port.StoreLeaseNotFound, true
	case codes.OutOfRange:
		return port.StoreCompacted, true
	case codes.PermissionDenied, codes.Unauthenticated, codes.Unimplemented:
		return KindRefused, true
	case codes.ResourceExhausted:
		return KindOverloaded, r.Text == TextTooManyRequests
	case codes.DeadlineExceeded:
		return port.StoreTimeout, false
	default:
		return port.StoreUnavailable, false
	}
}

func invalidArgumentKind(text string) port.StoreErrorKind {
	switch text {
	case TextTooLarge, TextTooManyOps:
		return port.StoreTooLarge
	default:
		return KindRefused
	}
}

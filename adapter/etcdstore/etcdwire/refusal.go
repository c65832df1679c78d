package etcdwire

import (
	"google.golang.org/grpc/codes"

	"github.com/guavarill/guavarill/port"
)

// Kinds of refusal by the store that port does not name.
const (
	// KindRefused is a request the store rejects as wrong or not permitted:
	// sending it again cannot help.
	KindRefused port.StoreErrorKind = "refused by the store"
	// KindOverloaded is the store's own rate limit.
	KindOverloaded port.StoreErrorKind = "refused by the store for its load"
)

// The published texts of the refusals that the packages tell apart.
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

// Refusal is a gRPC status with which the store answered a call.
type Refusal struct {
	Code codes.Code
	Text string
}

// Error implements error.
func (r *Refusal) Error() string { return r.Code.String() + ": " + r.Text }

// Sort says what kind of failure a status is and whether it proves that the
// call changed nothing.
//
// The proof holds only for statuses that the protocol gives before a proposal
// or while checking one, never after it was applied. ResourceExhausted is no
// proof by its code alone: a store over its space quota answers TextNoSpace to
// a put that it has applied, and the client library uses the same code for an
// answer too large to read. Taking either for a refusal would make a caller
// repeat a change that was made.
func (r *Refusal) Sort() (kind port.StoreErrorKind, notDone bool) {
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

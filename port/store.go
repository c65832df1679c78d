package port

import (
	"context"
	"time"
)

// MaxValueBytes is the size of the largest value that the platform's store
// accepts.
const MaxValueBytes = 1 << 20

// KeyValue is a stored value with the store revisions that created and last
// changed it.
type KeyValue struct {
	Key            string
	Value          []byte
	CreateRevision int64
	ModRevision    int64
	Lease          LeaseID
}

// LeaseID identifies a lease of the store; 0 means no lease.
type LeaseID int64

// CompareKind selects the revision of a key that a condition compares.
type CompareKind int

// The kinds of condition. Both revisions of a key that does not exist are 0.
const (
	CompareCreateRevision CompareKind = iota
	CompareModRevision
)

// Condition is a precondition of a transaction: the revision of Key that Kind
// selects must equal Revision.
type Condition struct {
	Key      string
	Kind     CompareKind
	Revision int64
}

// Op is one change of a transaction: a put, or a delete if Delete is set. If
// RangeEnd is set as well, the delete covers all keys in [Key, RangeEnd).
type Op struct {
	Key      string
	Value    []byte
	Lease    LeaseID
	Delete   bool
	RangeEnd string
}

// TxnResult is the store's decision on a transaction.
type TxnResult struct {
	// Succeeded reports whether all conditions held and the changes were made.
	Succeeded bool
	// Revision is the revision of the store after the transaction.
	Revision int64
}

// WatchEvent is one change reported by a watch. If Err is set, it is the end of
// the watch instead, and no event follows.
type WatchEvent struct {
	KeyValue KeyValue
	Deleted  bool
	Revision int64
	Err      error
}

// Store is the platform's key-value service. Each method makes one call, which
// counts against the daemon's call budget and is never retried by the adapter.
// Errors are *StoreError; their Outcome tells whether a change may have been made.
//
// The adapter aborts a call when the store stops sending. The duration of a
// transfer depends on its size and on the link, so a context with a deadline
// aborts large transfers; set one only where the caller cannot wait longer.
type Store interface {
	// Get reads one key. The ModRevision of a key that does not exist is 0.
	Get(ctx context.Context, key string) (KeyValue, error)
	// List reads all keys that begin with prefix, in key order. It also returns
	// the revision of the store at the time of the read.
	List(ctx context.Context, prefix string) ([]KeyValue, int64, error)
	// Txn makes all changes if all conditions hold, and none otherwise.
	Txn(ctx context.Context, conditions []Condition, changes []Op) (TxnResult, error)
	// GrantLease creates a lease that expires after ttl without a renewal.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease for its full duration and returns that duration.
	KeepAlive(ctx context.Context, id LeaseID) (time.Duration, error)
	// RevokeLease ends a lease and deletes its keys.
	RevokeLease(ctx context.Context, id LeaseID) error
	// Watch reports the changes made after the given revision to keys that begin
	// with prefix, until ctx ends or the watch breaks.
	Watch(ctx context.Context, prefix string, after int64) (<-chan WatchEvent, error)
}

// KeyReader reads one key and watches it for changes. It returns the errors of a
// Store; StoreTooLarge means that there were more changes than a response may hold.
type KeyReader interface {
	Get(ctx context.Context, key string) (KeyValue, error)
	// AwaitChange waits until the key changes after the given revision. It also returns,
	// without a change, when the store ends the wait.
	AwaitChange(ctx context.Context, key string, after int64) (KeyChange, error)
}

// KeyChange is the result of a wait for a change of a key.
type KeyChange struct {
	// KeyValue is the key after its last change, if Changed is set.
	KeyValue KeyValue
	Changed  bool
	// Revision is the store revision up to which the state of the key is known.
	Revision int64
	// Unchanged is the time after the call was sent during which the key certainly
	// kept its previous value.
	Unchanged time.Duration
}

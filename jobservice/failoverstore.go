package jobservice

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/guavarill/guavarill/core/joblog"
	"github.com/guavarill/guavarill/port"
)

// RecordStore reads and writes records in the store. It is the part of a port.Store
// that callers' requests need.
type RecordStore interface {
	Get(ctx context.Context, key string) (port.KeyValue, error)
	Txn(ctx context.Context, conditions []port.Condition, changes []port.Op) (port.TxnResult, error)
}

// PeerStores gives access to the store through other daemons. Errors are those of a
// port.Store.
type PeerStores interface {
	// At returns the access through the daemon at the address.
	At(address string) RecordStore
}

// FailoverStore accesses the store directly or, while the store refuses this daemon,
// through another daemon. The store may serve some VMs and not others for several
// seconds, and requests would then be refused that another daemon could serve.
type FailoverStore struct {
	direct port.Store
	peers  PeerStores
	self   string
	log    *logrus.Entry
	// metrics counts the losses of direct access.
	metrics *Metrics
	// directFailed is set while direct access fails.
	directFailed atomic.Bool
	// members holds the other daemons as last read.
	members atomic.Pointer[[]Relay]
}

// NewFailoverStore returns a FailoverStore; Run keeps its state up to date. self is
// the name of this daemon among the members.
func NewFailoverStore(direct port.Store, peers PeerStores, self string, log *logrus.Logger, m *Metrics) *FailoverStore {
	s := &FailoverStore{direct: direct, peers: peers, self: self, log: log.WithField("component", "records"), metrics: m}
	s.members.Store(new([]Relay))
	return s
}

const (
	// directTimeout bounds a direct call. It exceeds the response time of a slow
	// store, and is short enough to try another daemon while the caller waits.
	directTimeout = 550 * time.Millisecond
	// peerTimeout bounds a call through another daemon.
	peerTimeout = 600 * time.Millisecond
	// peerTransferTimeout bounds a read of a large value through another daemon: the
	// largest takes 0.9 s over 10 Mbit/s.
	peerTransferTimeout = 3 * time.Second
	// peerTries is through how many other daemons a call is tried.
	peerTries = 2
	// probeInterval is the time between two probes of failed direct access, and
	// probeTimeout bounds one probe.
	probeInterval = 150 * time.Millisecond
	probeTimeout  = 400 * time.Millisecond
	// maxMembersAge is how old the known members may be.
	maxMembersAge = 3 * time.Second
)

// Available reports whether direct access to the store works.
func (s *FailoverStore) Available() bool { return !s.directFailed.Load() }

// PeerCount returns how many other daemons are known.
func (s *FailoverStore) PeerCount() int { return len(*s.members.Load()) }

// Get reads a key.
func (s *FailoverStore) Get(ctx context.Context, key string) (port.KeyValue, error) {
	var kv port.KeyValue
	err := s.try(ctx, func(ctx context.Context, r RecordStore) (err error) {
		kv, err = r.Get(ctx, key)
		return err
	})
	return kv, err
}

// GetViaPeer reads a key through another daemon.
func (s *FailoverStore) GetViaPeer(ctx context.Context, key string) (port.KeyValue, error) {
	var kv port.KeyValue
	err := s.tryPeers(ctx, peerTransferTimeout, nil, func(ctx context.Context, r RecordStore) (err error) {
		kv, err = r.Get(ctx, key)
		return err
	})
	return kv, err
}

// Txn makes changes under conditions. It may be attempted directly and through
// several daemons, so the conditions must no longer hold once the changes are made.
// The outcome of its error is OutcomeNotDone only if no attempt has made the changes.
func (s *FailoverStore) Txn(ctx context.Context, conditions []port.Condition, changes []port.Op) (port.TxnResult, error) {
	var result port.TxnResult
	err := s.try(ctx, func(ctx context.Context, r RecordStore) (err error) {
		result, err = r.Txn(ctx, conditions, changes)
		return err
	})
	return result, err
}

// try makes a call directly and then through other daemons until one attempt
// succeeds.
func (s *FailoverStore) try(ctx context.Context, call func(context.Context, RecordStore) error) error {
	var lastErr error
	if s.Available() {
		err := s.callWithTimeout(ctx, directTimeout, s.direct, call)
		if err == nil {
			return nil
		}
		s.markDirectFailed(ctx, err)
		lastErr = err
	}
	return s.tryPeers(ctx, peerTimeout, lastErr, call)
}

// tryPeers makes a call through other daemons until one attempt succeeds, each
// attempt bounded by limit. lastErr is the error of the previous attempt, nil if
// there was none.
func (s *FailoverStore) tryPeers(ctx context.Context, limit time.Duration, lastErr error, call func(context.Context, RecordStore) error) error {
	members := *s.members.Load()
	for _, i := range rand.Perm(len(members))[:min(peerTries, len(members))] {
		if ctx.Err() != nil {
			break
		}
		err := s.callWithTimeout(ctx, limit, s.peers.At(members[i].Address), call)
		if err == nil {
			return nil
		}
		lastErr = moreUncertain(lastErr, err)
	}
	if lastErr == nil {
		lastErr = &port.StoreError{Call: "try", Kind: port.StoreUnavailable, Outcome: port.OutcomeNotDone}
	}
	return lastErr
}

// callWithTimeout makes a call with a time limit.
func (s *FailoverStore) callWithTimeout(ctx context.Context, limit time.Duration, r RecordStore, call func(context.Context, RecordStore) error) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return call(ctx, r)
}

// moreUncertain returns b, or a if a leaves it unknown whether the change was made.
func moreUncertain(a, b error) error {
	if a != nil && !IsNotDone(a) {
		return a
	}
	return b
}

// markDirectFailed records that direct access has failed. A call that its caller
// canceled proves nothing and is ignored.
func (s *FailoverStore) markDirectFailed(ctx context.Context, err error) {
	if ctx.Err() != nil && errors.Is(err, context.Canceled) {
		return
	}
	if !s.directFailed.Swap(true) {
		s.metrics.storeLost.Inc()
		s.log.WithError(err).Warn(joblog.MessageStoreLost)
	}
}

// Run probes direct access while it fails, and otherwise refreshes the members, until
// ctx ends.
func (s *FailoverStore) Run(ctx context.Context) {
	var readAt time.Time
	for Pause(ctx, probeInterval) {
		if s.directFailed.Load() {
			s.probe(ctx)
			continue
		}
		if time.Since(readAt) > maxMembersAge {
			s.readMembers(ctx)
			readAt = time.Now()
		}
	}
}

func (s *FailoverStore) probe(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if _, err := s.direct.Get(ctx, leaderKey); err != nil {
		return
	}
	s.directFailed.Store(false)
	s.log.Info(joblog.MessageStoreRegained)
}

func (s *FailoverStore) readMembers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, directTimeout)
	defer cancel()
	entries, _, err := s.direct.List(ctx, membersPrefix)
	if err != nil {
		s.log.WithError(err).Debug("members not read; keeping those known")
		return
	}
	members := otherMembers(entries, s.self, s.log, s.metrics)
	s.members.Store(&members)
}

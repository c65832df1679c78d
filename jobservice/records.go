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

// RecordStore reads and writes records in the store. It is the part of a
// port.Store that callers' requests need.
type RecordStore interface {
	Get(ctx context.Context, key string) (port.KeyValue, error)
	Txn(ctx context.Context, conditions []port.Condition, changes []port.Op) (port.TxnResult, error)
}

// PeerStores reaches the store through another daemon. Errors are those of a
// port.Store.
type PeerStores interface {
	// At returns the way through the daemon at the address.
	At(address string) RecordStore
}

// FailoverStore reaches the store, or when it turns this daemon away, through
// another daemon. The store may serve some machines and not others for seconds,
// in which callers would be refused that another daemon could serve.
type FailoverStore struct {
	own   port.Store
	peers PeerStores
	self  string
	log   *logrus.Entry
	// metrics counts the times that the own way was lost.
	metrics *Metrics
	// away is set while the own way fails.
	away atomic.Bool
	// members holds the other daemons that were there last.
	members atomic.Pointer[[]Relay]
}

// NewFailoverStore makes a SharedRecords; Run keeps it informed. self is the
// name of this daemon among the members.
func NewFailoverStore(own port.Store, peers PeerStores, self string, log *logrus.Logger, m *Metrics) *FailoverStore {
	s := &FailoverStore{own: own, peers: peers, self: self, log: log.WithField("component", "records"), metrics: m}
	s.members.Store(new([]Relay))
	return s
}

const (
	// ownTimeout bounds a call on the own way: beyond the answers of a slow
	// store, and short enough to try another way while the caller waits.
	ownTimeout = 550 * time.Millisecond
	// peerTimeout bounds a call through another daemon.
	peerTimeout = 600 * time.Millisecond
	// peerTransferTimeout bounds a read of a large value through another daemon: the
	// largest takes 0.9 s over 10 Mbit/s.
	peerTransferTimeout = 3 * time.Second
	// peerTries is how many other daemons are asked.
	peerTries = 2
	// probeInterval is the time between two looks whether the own way is back,
	// and probeTimeout bounds one.
	probeInterval = 150 * time.Millisecond
	probeTimeout  = 400 * time.Millisecond
	// membersAge is how old the known members may be.
	membersAge = 3 * time.Second
)

// Available reports whether the own way to the store works.
func (s *FailoverStore) Available() bool { return !s.away.Load() }

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

// GetViaPeer reads a key by way of another daemon.
func (s *FailoverStore) GetViaPeer(ctx context.Context, key string) (port.KeyValue, error) {
	var kv port.KeyValue
	err := s.tryPeers(ctx, peerTransferTimeout, nil, func(ctx context.Context, r RecordStore) (err error) {
		kv, err = r.Get(ctx, key)
		return err
	})
	return kv, err
}

// Txn makes changes under conditions. It may be made on several ways, so the
// conditions must not hold any more once it is made. The outcome of its error
// is OutcomeNotDone only if it was made on no way.
func (s *FailoverStore) Txn(ctx context.Context, conditions []port.Condition, changes []port.Op) (port.TxnResult, error) {
	var result port.TxnResult
	err := s.try(ctx, func(ctx context.Context, r RecordStore) (err error) {
		result, err = r.Txn(ctx, conditions, changes)
		return err
	})
	return result, err
}

// try makes a call on the own way and then through others until one answers.
func (s *FailoverStore) try(ctx context.Context, call func(context.Context, RecordStore) error) error {
	var last error
	if s.Available() {
		err := s.bounded(ctx, ownTimeout, s.own, call)
		if err == nil {
			return nil
		}
		s.lost(ctx, err)
		last = err
	}
	return s.tryPeers(ctx, peerTimeout, last, call)
}

// tryPeers makes a call through other daemons until one answers, each for a time.
// last is the error of the tries before, nil if there were none.
func (s *FailoverStore) tryPeers(ctx context.Context, limit time.Duration, last error, call func(context.Context, RecordStore) error) error {
	members := *s.members.Load()
	for _, i := range rand.Perm(len(members))[:min(peerTries, len(members))] {
		if ctx.Err() != nil {
			break
		}
		err := s.bounded(ctx, limit, s.peers.At(members[i].Address), call)
		if err == nil {
			return nil
		}
		last = worse(last, err)
	}
	if last == nil {
		last = &port.StoreError{Call: "try", Kind: port.StoreUnavailable, Outcome: port.OutcomeNotDone}
	}
	return last
}

func (s *FailoverStore) bounded(ctx context.Context, limit time.Duration, r RecordStore, call func(context.Context, RecordStore) error) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return call(ctx, r)
}

// worse returns the error that says less about a change.
func worse(a, b error) error {
	if a != nil && !IsNotDone(a) {
		return a
	}
	return b
}

// lost notes that the own way has failed; a caller that has gone says nothing.
func (s *FailoverStore) lost(ctx context.Context, err error) {
	if ctx.Err() != nil && errors.Is(err, context.Canceled) {
		return
	}
	if !s.away.Swap(true) {
		s.metrics.storeAway.Inc()
		s.log.WithError(err).Warn(joblog.MessageStoreLost)
	}
}

// Run looks whether the own way is back while it fails, and keeps the members.
func (s *FailoverStore) Run(ctx context.Context) {
	var readAt time.Time
	for Pause(ctx, probeInterval) {
		if s.away.Load() {
			s.probe(ctx)
			continue
		}
		if time.Since(readAt) > membersAge {
			s.readMembers(ctx)
			readAt = time.Now()
		}
	}
}

func (s *FailoverStore) probe(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if _, err := s.own.Get(ctx, leaderKey); err != nil {
		return
	}
	s.away.Store(false)
	s.log.Info(joblog.MessageStoreRegained)
}

func (s *FailoverStore) readMembers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, ownTimeout)
	defer cancel()
	entries, _, err := s.own.List(ctx, membersPrefix)
	if err != nil {
		s.log.WithError(err).Debug("members not read; those known stay")
		return
	}
	members := others(entries, s.self, s.log, s.metrics)
	s.members.Store(&members)
}

package jobservice

import (
	"context"
	"sync/atomic"

	"github.com/guavarill/guavarill/port"
)

// revisions tracks the highest revision of the store that a daemon knows of. What has a
// lower revision was written before the answer that told of it, whatever the clocks say.
type revisions struct {
	highest atomic.Int64
	// elsewhere returns the highest revision in answers to other parts of the daemon; nil
	// if that is not tracked.
	elsewhere func() int64
}

// observe records that an answer of the store told of a revision.
func (r *revisions) observe(revision int64) {
	for {
		known := r.highest.Load()
		if revision <= known || r.highest.CompareAndSwap(known, revision) {
			return
		}
	}
}

// known returns the highest revision known now.
func (r *revisions) known() int64 {
	if r.elsewhere == nil {
		return r.highest.Load()
	}
	return max(r.highest.Load(), r.elsewhere())
}

// revisionStore is a RecordStore that observes the revisions in its answers.
type revisionStore struct {
	RecordStore
	revisions *revisions
}

// Get implements RecordStore.
func (s revisionStore) Get(ctx context.Context, key string) (port.KeyValue, error) {
	kv, err := s.RecordStore.Get(ctx, key)
	if err == nil {
		s.revisions.observe(kv.ModRevision)
	}
	return kv, err
}

// Txn implements RecordStore.
func (s revisionStore) Txn(ctx context.Context, conditions []port.Condition, changes []port.Op) (port.TxnResult, error) {
	result, err := s.RecordStore.Txn(ctx, conditions, changes)
	if err == nil && result.Succeeded {
		s.revisions.observe(result.Revision)
	}
	return result, err
}

// KnowRevisions makes the Intake use the revisions of the store that other parts of the
// daemon know of: a caller who repeats a submission after its rejection is told to wait
// until a daemon knows that the rejection is older. It must be called before the first
// request.
func (in *Intake) KnowRevisions(known func() int64) { in.revisions.elsewhere = known }

package jobservice

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/port"
)

const (
	// tombstoneInterval is the time between two reads of the entries of tombstones.
	tombstoneInterval = 10 * time.Second
	// minTombstoneTime is how long a tombstone stays after a leader has seen it, whatever
	// the clocks say: longer than any write is late.
	minTombstoneTime = 15 * time.Second
	// tombstoneClockError exceeds the possible difference or jump between the clocks of
	// two VMs.
	tombstoneClockError = 30 * time.Second
	// tombstoneBatch is how many tombstones are removed at once: a transaction has at
	// most 32 entries, and each of them takes three.
	tombstoneBatch = 10
	// tombstonePause is the time between two such transactions.
	tombstonePause = 100 * time.Millisecond
	// tombstoneCallTimeout bounds such a transaction.
	tombstoneCallTimeout = 2 * time.Second
)

// tombstones holds the tombstones that a leader has to remove.
type tombstones struct {
	mu    sync.Mutex
	known map[job.ID]knownTombstone
}

// knownTombstone is the revision of a tombstone and of its entry, and when both are
// removed.
type knownTombstone struct {
	revision int64
	due      time.Time
}

func newTombstones() *tombstones { return &tombstones{known: make(map[job.ID]knownTombstone)} }

// add adds a tombstone, unless its revision is known already.
func (s *tombstones) add(id job.ID, revision int64, due time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.known[id].revision != revision {
		s.known[id] = knownTombstone{revision: revision, due: due}
	}
}

// remove forgets the tombstone with a revision.
func (s *tombstones) remove(id job.ID, revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.known[id].revision == revision {
		delete(s.known, id)
	}
}

// dueTombstone is a tombstone that is to be removed.
type dueTombstone struct {
	id       job.ID
	revision int64
}

// due returns the tombstones that are to be removed.
func (s *tombstones) due(now time.Time) []dueTombstone {
	s.mu.Lock()
	defer s.mu.Unlock()
	var due []dueTombstone
	for id, k := range s.known {
		if !now.Before(k.due) {
			due = append(due, dueTombstone{id, k.revision})
		}
	}
	return due
}

// takeTombstones moves the tombstones from the progress records that an earlier leader
// left to those that this term removes. The machine must not know them: it would go on
// to ignore their ids after they have been removed here.
func (t *term) takeTombstones(accepted *jobRecords[job.Accepted], progress *jobRecords[job.Progress]) {
	for id, p := range progress.byID {
		if p.State != job.Canceled || accepted.byID[id] != nil {
			continue
		}
		kv := progress.items[id]
		if s := tombstoneIn(kv.Value); s != nil {
			t.addTombstone(id, kv.ModRevision, s)
			delete(progress.byID, id)
		}
	}
}

// addTombstone adds the tombstone of a job. The time that has passed counts, because
// tombstones would never be removed if it began anew while leaders change quickly. That of
// a rejected job, which nobody is shown, only has to outlast late writes.
func (t *term) addTombstone(id job.ID, revision int64, s *tombstone) {
	o := &t.leader.o
	passed := max(o.Clock.Wall().Sub(time.UnixMilli(s.FinalAtMs))-tombstoneClockError, 0)
	left := max(o.Machine.KeepFinal-passed, minTombstoneTime)
	if s.Rejected {
		left = minTombstoneTime
	}
	t.tombstones.add(id, revision, o.Clock.Now().Add(left))
}

// removeTombstones periodically reads the entries of tombstones, and removes the
// tombstones whose time has passed.
func (t *term) removeTombstones(ctx context.Context) {
	for Pause(ctx, tombstoneInterval) {
		if err := t.readTombstones(ctx); err != nil {
			t.leader.log.WithError(err).Debug("tombstones not read; retrying")
		}
		for batch := range slices.Chunk(t.tombstones.due(t.leader.o.Clock.Now()), tombstoneBatch) {
			if err := t.removeBatch(ctx, batch); err != nil {
				t.leader.log.WithError(err).Debug("tombstones not removed; retrying")
				break
			}
			Pause(ctx, tombstonePause)
		}
	}
}

// readTombstones adds the tombstones that daemons have stored since the last read.
func (t *term) readTombstones(ctx context.Context) error {
	entries, _, err := t.leader.o.Store.List(ctx, tombstonePrefix)
	if err != nil {
		return err
	}
	for _, kv := range entries {
		id, err := jobIDFromKey(kv.Key, tombstonePrefix)
		if err != nil {
			t.leader.o.Metrics.ReportUnreadable(t.leader.log, kindTombstone, kv, err, invalidKeyConsequence)
			continue
		}
		s, err := decodeTombstone(kv.Value)
		if err != nil {
			t.leader.o.Metrics.ReportUnreadable(t.leader.log, kindTombstone, kv, err, "the tombstone is removed after the next take-over")
			continue
		}
		t.addTombstone(id, kv.ModRevision, s)
	}
	return nil
}

// removeBatch removes tombstones and their entries. One that cannot be removed together
// with the others is removed by itself. An error is a *port.StoreError.
func (t *term) removeBatch(ctx context.Context, batch []dueTombstone) error {
	removed, err := t.removeAll(ctx, batch)
	if err != nil || removed {
		return err
	}
	for _, d := range batch {
		if err := t.removeOne(ctx, d); err != nil {
			return err
		}
	}
	return nil
}

// removeAll removes tombstones and their entries if all of them are unchanged, and
// reports whether they were.
func (t *term) removeAll(ctx context.Context, batch []dueTombstone) (bool, error) {
	var conditions []port.Condition
	var changes []port.Op
	for _, d := range batch {
		conditions = append(conditions, port.Condition{Key: progressKey(d.id), Kind: port.CompareModRevision, Revision: d.revision})
		changes = append(changes, port.Op{Key: progressKey(d.id), Delete: true}, port.Op{Key: tombstoneKey(d.id), Delete: true})
	}
	removed, err := t.tombstoneTxn(ctx, conditions, changes)
	if removed {
		for _, d := range batch {
			t.tombstones.remove(d.id, d.revision)
		}
	}
	return removed, err
}

// removeOne removes a tombstone and its entry or, if the tombstone is no longer there
// or has changed, the entry alone. An entry that has changed as well stays, and is
// read anew.
func (t *term) removeOne(ctx context.Context, d dueTombstone) error {
	removed, err := t.removeAll(ctx, []dueTombstone{d})
	if err != nil || removed {
		return err
	}
	condition := []port.Condition{{Key: tombstoneKey(d.id), Kind: port.CompareModRevision, Revision: d.revision}}
	if _, err := t.tombstoneTxn(ctx, condition, []port.Op{{Key: tombstoneKey(d.id), Delete: true}}); err != nil {
		return err
	}
	t.tombstones.remove(d.id, d.revision)
	return nil
}

func (t *term) tombstoneTxn(ctx context.Context, conditions []port.Condition, changes []port.Op) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, tombstoneCallTimeout)
	defer cancel()
	result, err := t.leader.o.Store.Txn(ctx, conditions, changes)
	return result.Succeeded, err
}

package jobservice

import (
	"context"
	"maps"
	"slices"
	"sync"

	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/core/jobsched"
	"github.com/guavarill/guavarill/port"
)

// asideReads bounds the jobs that are looked at each time. A damage of all
// records must not spend the daemon's share of the store's reads.
const asideReads = 3

// asideSet holds the jobs that are set aside because their records cannot be read.
type asideSet struct {
	mu   sync.Mutex
	jobs map[job.ID]struct{}
	// last is the one that was looked at last.
	last job.ID
}

func newAsideSet() *asideSet { return &asideSet{jobs: make(map[job.ID]struct{})} }

func (s *asideSet) add(id job.ID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.jobs[id] = struct{}{}
}

func (s *asideSet) remove(id job.ID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.jobs, id)
}

func (s *asideSet) has(id job.ID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.jobs[id]
	return ok
}

// next returns the jobs whose turn it is to be looked at.
func (s *asideSet) next() []job.ID {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := slices.Sorted(maps.Keys(s.jobs))
	from, _ := slices.BinarySearch(ids, s.last+"\x00")
	turn := slices.Concat(ids[from:], ids[:from])
	turn = turn[:min(asideReads, len(turn))]
	if len(turn) > 0 {
		s.last = turn[len(turn)-1]
	}
	return turn
}

// followAside reads the records of jobs that are set aside again and again, and
// hands those to the machine that can be read, or are gone. A watch would not do:
// the record that was repaired may be the job's progress, which is not watched.
func (t *term) followAside(ctx context.Context) {
	for Pause(ctx, asideInterval) {
		for _, id := range t.aside.next() {
			ev, err := t.reread(ctx, id)
			if err != nil {
				t.leader.log.WithError(err).WithField("job", id).Debug("job stays set aside")
				continue
			}
			t.aside.remove(id)
			for _, key := range []string{acceptedKey(id), progressKey(id)} {
				t.leader.o.Metrics.unreadable.forgetRead(key, nil)
			}
			t.postStored(ctx, ev)
		}
	}
}

// reread reads the records of a job. An error is a *port.StoreError or a
// *job.RecordError.
func (t *term) reread(ctx context.Context, id job.ID) (jobsched.JobReread, error) {
	ev := jobsched.JobReread{ID: id}
	kv, err := t.leader.get(ctx, acceptedKey(id))
	if err != nil {
		return ev, err
	}
	var acceptedErr, progressErr error
	if kv.ModRevision != 0 {
		ev.Record, acceptedErr = job.DecodeAccepted(kv.Value)
		t.tellDamage(kindAccepted, kv, acceptedErr)
	}
	if kv, err = t.leader.get(ctx, progressKey(id)); err != nil {
		return ev, err
	}
	if kv.ModRevision != 0 {
		ev.Progress, progressErr = job.DecodeProgress(kv.Value)
		t.tellDamage(kindProgress, kv, progressErr)
	}
	return ev, settleRecords(ev.Record, ev.Progress, acceptedErr, progressErr)
}

func (t *term) tellDamage(kind string, kv port.KeyValue, err error) {
	if err != nil {
		t.leader.o.Metrics.ReportUnreadable(t.leader.log, kind, kv, err, asideConsequence)
	}
}

// asideConsequence is what the log says of a job's records that cannot be read.
const asideConsequence = "nothing of the job is started until it can"

// settleRecords returns an error unless a job's records are enough to go on with
// it, each of which is nil when it is not there or cannot be read. They are also
// enough when one of them can be read and says that the job is over:
//
//   - A final progress record. The accepted record is removed with it; what is
//     there under its key since is not a job's.
//   - An accepted record that is canceled. Had the job ended otherwise, it would
//     have been removed.
func settleRecords(accepted *job.Accepted, progress *job.Progress, acceptedErr, progressErr error) error {
	switch {
	case progressErr == nil && progress != nil && progress.State.Final():
		return nil
	case acceptedErr != nil:
		return acceptedErr
	case progressErr != nil && accepted != nil && accepted.Canceled:
		return nil
	case progressErr != nil:
		return progressErr
	case accepted != nil && progress != nil:
		return progress.CheckAgainst(&accepted.Spec)
	}
	return nil
}

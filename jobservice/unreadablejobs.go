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

// recheckBatch bounds the jobs that are looked at each time. A damage of all
// records must not spend the daemon's share of the store's reads.
const recheckBatch = 3

// unreadableJobs holds the jobs that are set aside because their records cannot be read.
type unreadableJobs struct {
	mu   sync.Mutex
	jobs map[job.ID]struct{}
	// last is the one that was looked at last.
	last job.ID
}

func newUnreadableJobs() *unreadableJobs { return &unreadableJobs{jobs: make(map[job.ID]struct{})} }

func (s *unreadableJobs) add(id job.ID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.jobs[id] = struct{}{}
}

func (s *unreadableJobs) remove(id job.ID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.jobs, id)
}

func (s *unreadableJobs) has(id job.ID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.jobs[id]
	return ok
}

// next returns the jobs whose turn it is to be looked at.
func (s *unreadableJobs) next() []job.ID {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := slices.Sorted(maps.Keys(s.jobs))
	from, _ := slices.BinarySearch(ids, s.last+"\x00")
	turn := slices.Concat(ids[from:], ids[:from])
	turn = turn[:min(recheckBatch, len(turn))]
	if len(turn) > 0 {
		s.last = turn[len(turn)-1]
	}
	return turn
}

// recheckUnreadableJobs reads the records of jobs that are set aside again and again, and
// hands those to the machine that can be read, or are gone. A watch would not do:
// the record that was repaired may be the job's progress, which is not watched.
func (t *term) recheckUnreadableJobs(ctx context.Context) {
	for Pause(ctx, recheckInterval) {
		for _, id := range t.unreadableJobs.next() {
			ev, err := t.reread(ctx, id)
			if err != nil {
				t.leader.log.WithError(err).WithField("job", id).Debug("job stays set aside")
				continue
			}
			t.unreadableJobs.remove(id)
			for _, key := range []string{acceptedKey(id), progressKey(id)} {
				t.leader.o.Metrics.unreadable.clearReadable(key, nil)
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
		t.reportDamage(kindAccepted, kv, acceptedErr)
	}
	if kv, err = t.leader.get(ctx, progressKey(id)); err != nil {
		return ev, err
	}
	if kv.ModRevision != 0 {
		ev.Progress, progressErr = job.DecodeProgress(kv.Value)
		t.reportDamage(kindProgress, kv, progressErr)
	}
	return ev, checkJobRecords(ev.Record, ev.Progress, acceptedErr, progressErr)
}

func (t *term) reportDamage(kind string, kv port.KeyValue, err error) {
	if err != nil {
		t.leader.o.Metrics.ReportUnreadable(t.leader.log, kind, kv, err, unreadableJobConsequence)
	}
}

// unreadableJobConsequence is what the log says of a job's records that cannot be read.
const unreadableJobConsequence = "nothing of the job is started until it can"

// checkJobRecords returns an error unless a job's records are enough to go on with
// it, each of which is nil when it is not there or cannot be read. They are also
// enough when one of them can be read and says that the job is over:
//
//   - A final progress record. The accepted record is removed with it; what is
//     there under its key since is not a job's.
//   - An accepted record that is canceled. Had the job ended otherwise, it would
//     have been removed.
func checkJobRecords(accepted *job.Accepted, progress *job.Progress, acceptedErr, progressErr error) error {
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

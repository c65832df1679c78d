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

// recheckBatch bounds the jobs that are rechecked each time. Damage to all records
// must not use up the daemon's share of the store's reads.
const recheckBatch = 3

// unreadableJobs holds the jobs that are not scheduled because their records cannot
// be read.
type unreadableJobs struct {
	mu   sync.Mutex
	jobs map[job.ID]struct{}
	// last is the job that was rechecked last.
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

// next returns the jobs to recheck next, in rotation.
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

// recheckUnreadableJobs periodically reads the records of unreadable jobs, and passes
// a job to the machine when its records can be read again or are gone. A watch is not
// enough, because the repaired record may be the job's progress, which is not
// watched.
func (t *term) recheckUnreadableJobs(ctx context.Context) {
	for Pause(ctx, recheckInterval) {
		for _, id := range t.unreadableJobs.next() {
			ev, err := t.reread(ctx, id)
			if err != nil {
				t.leader.log.WithError(err).WithField("job", id).Debug("records of the job not read; the job remains set aside")
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

// reportDamage reports a job's record if err is the error of decoding it.
func (t *term) reportDamage(kind string, kv port.KeyValue, err error) {
	if err != nil {
		t.leader.o.Metrics.ReportUnreadable(t.leader.log, kind, kv, err, unreadableJobConsequence)
	}
}

// unreadableJobConsequence is the consequence that the log states for a job's records
// that cannot be read.
const unreadableJobConsequence = "no task of the job is started until it can be read"

// checkJobRecords returns an error unless a job's records are sufficient to continue
// the job. A record is nil if it is not stored or cannot be decoded. The records are
// also sufficient if one of them can be decoded and says that the job is over:
//
//   - A final progress record. The accepted record is removed together with it, so a
//     later value under the accepted key is not a job's.
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

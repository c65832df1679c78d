package jobservice

import (
	"context"

	"github.com/guavarill/guavarill/core/jobsched"
	"github.com/guavarill/guavarill/core/workerentry"
)

// exportEntryCounts updates the metrics of the workers' entries. If the leader is too
// busy to answer, they are updated with the next list.
func (t *term) exportEntryCounts(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listInterval)
	defer cancel()
	var counts workerentry.Counts
	if err := t.leader.query(ctx, func(m *jobsched.Machine) { counts = m.TakeEntryCounts() }); err != nil {
		t.leader.log.WithError(err).Debug("entries not counted; retrying with the next list")
		return
	}
	t.leader.o.Metrics.setEntries(counts)
}

// setEntries updates the metrics from a leader's counts.
func (m *Metrics) setEntries(counts workerentry.Counts) {
	for _, fault := range workerentry.Faults() {
		m.entriesUnusable.WithLabelValues(fault.String()).Set(float64(counts.Unusable[fault]))
	}
	for change, count := range counts.Changes {
		m.entryChanges.WithLabelValues(change.String()).Add(float64(count))
	}
}

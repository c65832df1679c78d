package jobservice

import (
	"context"

	"github.com/guavarill/guavarill/core/jobsched"
)

// countEntries tells the metrics how the workers' entries fare. A leader that is
// too busy to say is asked again with the next list.
func (t *term) countEntries(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listInterval)
	defer cancel()
	var counts jobsched.EntryCounts
	if err := t.leader.ask(ctx, func(m *jobsched.Machine) { counts = m.TakeEntryCounts() }); err != nil {
		t.leader.log.WithError(err).Debug("entries not counted; tried again")
		return
	}
	t.leader.o.Metrics.setEntries(counts)
}

// setEntries takes in the counts of a leader.
func (m *Metrics) setEntries(counts jobsched.EntryCounts) {
	for _, fault := range jobsched.EntryFaults() {
		m.entriesUnusable.WithLabelValues(fault.String()).Set(float64(counts.Unusable[fault]))
	}
	for turn, count := range counts.Changes {
		m.entryTurns.WithLabelValues(turn.String()).Add(float64(count))
	}
}

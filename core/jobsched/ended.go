package jobsched

import (
	"cmp"
	"slices"
	"time"

	"github.com/guavarill/guavarill/core/job"
)

// retainFinal keeps the id of a job that is over until its record may go.
func (m *Machine) retainFinal(id job.ID) {
	m.final[id] = m.now.Add(m.options.KeepFinal)
	m.expiry = append(m.expiry, id)
}

// finalClockError is beyond what the clocks of two VMs are apart, or jump: a state is
// kept for at least as long as promised.
const finalClockError = 30 * time.Second

// retainRecoveredFinal keeps the ids of jobs that were over under an earlier leader until
// their records may go: counted from each take-over anew, that would be never while
// leaders follow each other quickly.
func (m *Machine) retainRecoveredFinal(progress map[job.ID]*job.Progress, wall time.Time) {
	for id, p := range progress {
		if p.State.Final() {
			m.final[id] = m.now.Add(m.finalLeft(p.FinalAtMs, wall))
			m.expiry = append(m.expiry, id)
		}
	}
	slices.SortFunc(m.expiry, func(a, b job.ID) int { return cmp.Or(m.final[a].Compare(m.final[b]), cmp.Compare(a, b)) })
}

// finalLeft returns for how long the record of a job is kept yet that came to its final
// state at a time of day, 0 for one that is not known.
func (m *Machine) finalLeft(overAtMs int64, wall time.Time) time.Duration {
	if overAtMs == 0 || wall.IsZero() {
		return m.options.KeepFinal
	}
	passed := max(wall.Sub(time.UnixMilli(overAtMs))-finalClockError, 0)
	return max(m.options.KeepFinal-passed, 0)
}

// expireFinal removes the records of jobs that were over long ago.
func (m *Machine) expireFinal() {
	for len(m.expiry) > 0 && !m.now.Before(m.final[m.expiry[0]]) {
		id := m.expiry[0]
		m.expiry = m.expiry[1:]
		delete(m.final, id)
		m.restarts.forget(id)
		m.removals = append(m.removals, id)
	}
}

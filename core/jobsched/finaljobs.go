package jobsched

import (
	"cmp"
	"slices"
	"time"

	"github.com/guavarill/guavarill/core/job"
)

// retainFinal keeps the id of a final job until its record may be removed.
func (m *Machine) retainFinal(id job.ID) {
	m.final[id] = m.now.Add(m.options.KeepFinal)
	m.expiry = append(m.expiry, id)
}

// finalClockError exceeds the possible difference or jump between the clocks of two
// VMs, so that a final state is kept for at least the promised time.
const finalClockError = 30 * time.Second

// retainRecoveredFinal keeps the ids of jobs that became final under an earlier
// leader. The retention time is counted from the time stored in their records: if
// it restarted at each takeover, records would never be removed while leaders
// change quickly.
func (m *Machine) retainRecoveredFinal(progress map[job.ID]*job.Progress, wall time.Time) {
	for id, p := range progress {
		if p.State.Final() {
			m.final[id] = m.now.Add(m.finalLeft(p.FinalAtMs, wall))
			m.expiry = append(m.expiry, id)
		}
	}
	slices.SortFunc(m.expiry, func(a, b job.ID) int { return cmp.Or(m.final[a].Compare(m.final[b]), cmp.Compare(a, b)) })
}

// finalLeft returns how much longer the record of a job is kept that became final
// at the given time of day. If overAtMs is 0 or wall is zero, that is the whole
// KeepFinal.
func (m *Machine) finalLeft(overAtMs int64, wall time.Time) time.Duration {
	if overAtMs == 0 || wall.IsZero() {
		return m.options.KeepFinal
	}
	passed := max(wall.Sub(time.UnixMilli(overAtMs))-finalClockError, 0)
	return max(m.options.KeepFinal-passed, 0)
}

// expireFinal removes the records of jobs whose retention time has passed.
func (m *Machine) expireFinal() {
	for len(m.expiry) > 0 && !m.now.Before(m.final[m.expiry[0]]) {
		id := m.expiry[0]
		m.expiry = m.expiry[1:]
		delete(m.final, id)
		m.restarts.forget(id)
		m.removals = append(m.removals, id)
	}
}

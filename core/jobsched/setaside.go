package jobsched

import (
	"time"

	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/core/joblog"
)

// refusedRetryInterval is the time until an entry that the store refused and that
// belongs to no job is stored again: it is smaller once there are fewer workers.
const refusedRetryInterval = 10 * time.Second

// setAsideUnstorable ends a job whose record the store refuses. Its record in a final
// state is small.
func (m *Machine) setAsideUnstorable(id job.ID, reason string) {
	j := m.jobs.Get(id)
	if j == nil {
		return
	}
	m.emit(Note{Decision: joblog.MessageJobSetAside, Job: id, Reason: "its record cannot be stored: " + reason})
	if !j.state.Final() {
		m.conclude(j, job.Failed, "its record cannot be stored: "+reason, 0)
		return
	}
	if len(m.restarts.requested[id]) > 0 {
		// They are all that a final record has beside the state.
		m.restarts.forget(id)
		return
	}
	m.dirty.Delete(id)
	m.dropIfFinal(j)
}

// setAsideExtras keeps entries that belong to no job out of the next commits.
func (m *Machine) setAsideExtras(roster, learned bool, reason string) {
	if learned {
		m.commit.learnedAt = m.now.Add(refusedRetryInterval)
	}
	if roster {
		m.roster.refusedUntil = m.now.Add(refusedRetryInterval)
	}
	if !roster && !learned {
		// Only the ledger is left, which nothing can be stored without.
		m.commit.retryAt = m.now.Add(summaryInterval)
	}
	m.emit(Note{Decision: joblog.MessageEntryRefused, Reason: describeExtras(roster, learned) + " cannot be stored: " + reason})
}

func describeExtras(roster, learned bool) string {
	switch {
	case roster:
		return "the roster, so that new workers are not used,"
	case learned:
		return "the interference estimates"
	}
	return "the ledger"
}

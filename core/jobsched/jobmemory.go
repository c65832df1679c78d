package jobsched

import (
	"fmt"

	"github.com/guavarill/guavarill/core/joblog"
	"github.com/guavarill/guavarill/core/jobmemory"
)

// jobMemory is what jobs take of the memory for them.
type jobMemory struct {
	// used is what they take, in bytes, and published what was told last.
	used, published int64
	// revision is the store's revision up to which all accepted jobs are known.
	revision int64
	// noted is set while the log says that the memory is used up.
	noted bool
}

// countMemory counts what a job takes now.
func (m *Machine) countMemory(j *jobState) {
	size := j.cost.Of(len(j.occurrences))
	m.memory.used += size - j.memoryBytes
	j.memoryBytes = size
}

// mayTakeMemory reports whether another occurrence of a job may begin. Beside one that is
// open none does while the memory is used up: how many will be open at a time is not known
// when a job is accepted.
func (m *Machine) mayTakeMemory(j *jobState) bool {
	return len(j.occurrences) == 0 || m.options.JobMemoryBytes == 0 || m.memory.used+j.cost.Occurrence <= m.options.JobMemoryBytes
}

// JobMemory returns what the jobs take of the memory for them.
func (m *Machine) JobMemory() jobmemory.Usage {
	return jobmemory.Usage{UsedBytes: m.memory.used, LimitBytes: m.options.JobMemoryBytes, Revision: m.memory.revision}
}

// publishMemory returns the same, which is about to be told to all daemons.
func (m *Machine) publishMemory() jobmemory.Usage {
	m.memory.published = m.memory.used
	m.noteMemory()
	return m.JobMemory()
}

// memoryIsNews reports whether the daemons are to be told before the next regular commit.
func (m *Machine) memoryIsNews() bool {
	return m.JobMemory().IsNews(m.memory.used - m.memory.published)
}

const (
	// usedUpShare is the share of the memory for jobs from which on it counts as used
	// up, and freeShare that from which down it is free again.
	usedUpShare = 0.7
	freeShare   = 0.5
)

// noteMemory notes when the memory for jobs is used up, and when it is free again.
func (m *Machine) noteMemory() {
	limit := float64(m.options.JobMemoryBytes)
	if limit == 0 {
		return
	}
	share := float64(m.memory.used) / limit
	usedUp := share >= usedUpShare || m.memory.noted && share > freeShare
	if usedUp == m.memory.noted {
		return
	}
	m.memory.noted = usedUp
	decision := joblog.MessageJobMemoryFree
	if usedUp {
		decision = joblog.MessageJobMemoryUsedUp
	}
	m.emit(Note{Decision: decision, Reason: fmt.Sprintf("%d jobs take %d of %d bytes", m.jobs.Len(), m.memory.used, m.options.JobMemoryBytes)})
}

package jobsched

import (
	"fmt"
	"time"

	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/core/joblog"
	"github.com/guavarill/guavarill/core/jobmemory"
)

func (m *Machine) jobAccepted(ev JobAccepted) {
	m.memory.revision = max(m.memory.revision, ev.Revision)
	if _, over := m.final[ev.ID]; over || m.unreadable[ev.ID] != nil {
		// The record of an unreadable job arrives with a JobReread.
		return
	}
	j := m.jobs.Get(ev.ID)
	if j == nil {
		j = m.addJob(ev.ID, ev.Record)
		m.emit(Note{Decision: joblog.MessageJobTakenIn, Job: ev.ID, Lag: m.since(ev.Record.AcceptedAtMs), Reason: fmt.Sprintf(
			"queue %s, accepted %s ago under configuration %d", ev.Record.Queue.Name,
			m.age(j), ev.Record.ConfigVersion)})
		m.applyLimits(j)
		m.measureArrival(j)
	}
	if ev.Record.Canceled && !j.state.Final() {
		m.cancel(j, ev.Record)
	}
	m.changed = true
}

func (m *Machine) addJob(id job.ID, record *job.Accepted) *jobState {
	j := &jobState{
		id: id, record: record, fingerprint: record.Queue.Fingerprint(), takenInAt: m.now, state: job.Queued,
		occurrences: make(map[int]*occurrence), cost: jobmemory.CostOf(&record.Spec),
	}
	m.jobs.Set(id, j)
	m.countMemory(j)
	return j
}

// applyLimits determines how many occurrences of a job may be open. It ends a job that
// exceeds the limits of a declaration, which an earlier version may have accepted: it can
// never be carried out.
func (m *Machine) applyLimits(j *jobState) {
	spec := &j.record.Spec
	err := spec.CheckLimits()
	switch {
	case err == nil:
		j.openLimit = spec.OpenOccurrences(j.record.Queue.MaxAttempts)
	case j.record.Canceled:
		m.cancel(j, j.record)
	default:
		m.conclude(j, job.Failed, "it can never be carried out: "+err.Error(), 0)
	}
}

// beginOccurrence begins the next occurrence. gap is the attempt number that counts
// as used for all of its tasks.
func (m *Machine) beginOccurrence(j *jobState, gap int) *occurrence {
	o := newOccurrence(j, j.next)
	j.occurrences[j.next] = o
	j.next++
	m.countMemory(j)
	for _, s := range o.steps {
		s.times.readyAt = m.now
		for _, t := range s.tasks {
			t.last = gap
		}
		m.pending.Set(s, struct{}{})
	}
	if m.orphans > 0 {
		m.claimOrphans(o)
	}
	m.changed = true
	return o
}

// beginDueOccurrences begins the occurrences that have become due.
func (m *Machine) beginDueOccurrences() {
	for _, j := range m.jobs.All() {
		for !j.state.Final() && j.next < j.total() && j.mayOpen() && m.mayTakeMemory(j) && m.due(j) {
			// An earlier leader may have begun the next repetition of a recovered
			// job without recording that.
			gap := 0
			if j.next < j.recoveredEnd {
				gap = attemptGap
			}
			m.beginOccurrence(j, gap)
			if j.record.Spec.Schedule != nil {
				m.markDirty(j)
			}
		}
	}
}

func (m *Machine) due(j *jobState) bool {
	s := j.record.Spec.Schedule
	return s == nil || !m.wall.Before(s.Due(j.next))
}

func (m *Machine) markDirty(j *jobState) { m.dirty.Set(j.id, struct{}{}) }

// task returns the task with the given key. It returns nil if the job is over or
// unknown, or if the occurrence has not begun.
func (m *Machine) task(key job.TaskKey) *task {
	j := m.jobs.Get(key.Job)
	if j == nil || j.state.Final() {
		return nil
	}
	for j.recovered && key.Occurrence >= j.next && j.mayHaveBegun(key.Occurrence) {
		// An earlier leader began this occurrence, and those before it, without
		// recording that.
		m.beginOccurrence(j, attemptGap)
	}
	if o := j.occurrences[key.Occurrence]; o != nil {
		return o.task(key)
	}
	return nil
}

// waiting counts, by queue, the unscheduled jobs that have not begun.
func (m *Machine) waiting() map[string]int {
	counts := make(map[string]int)
	for _, j := range m.jobs.All() {
		if !j.begun && !j.state.Final() && j.record.Spec.Schedule == nil {
			counts[j.record.Queue.Name]++
		}
	}
	return counts
}

// age returns the time since the job was accepted.
func (m *Machine) age(j *jobState) time.Duration { return m.since(j.record.AcceptedAtMs) }

// since returns the time since a moment that another daemon has stored, in
// milliseconds since 1970. It is never negative, although that daemon's clock may
// be ahead of the leader's.
func (m *Machine) since(ms int64) time.Duration {
	return max(m.wall.Sub(time.UnixMilli(ms)), 0).Round(time.Millisecond)
}

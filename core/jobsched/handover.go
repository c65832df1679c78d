package jobsched

import (
	"time"

	"github.com/guavarill/guavarill/core/faultsearch"
)

// HandOver returns the last commit of a leader that hands over the leadership. Its
// roster closes every worker whose attempts are known, so that the next leader
// holds back only tasks that were left on workers that do not answer it. The notes
// are those emitted since the last Advance. The caller must send no further orders,
// since the roster would not list them.
func (m *Machine) HandOver(now, wall time.Time) (Commit, []Note) {
	m.now, m.wall = now, wall
	m.dropTrials()
	m.commit.search = faultsearch.Search{}
	commit := m.newCommit()
	commit.Learned = m.learner.Export()
	for _, l := range m.rosterLines(m.handoverStatusOf) {
		commit.Roster = append(commit.Roster, l.entry)
	}
	commit.RosterValid = true
	m.deposed = true
	return commit, m.drainNotes()
}

// drainNotes removes the pending effects and returns the notes among them.
func (m *Machine) drainNotes() []Note {
	var notes []Note
	for _, e := range m.out {
		if n, ok := e.(Note); ok {
			notes = append(notes, n)
		}
	}
	m.out = nil
	return notes
}

// handoverStatusOf returns what the last roster of a leader states about a worker.
func (m *Machine) handoverStatusOf(w *worker) rosterStatus {
	if w.attemptsUnknown {
		return rosterStatus{bounded: true}
	}
	return rosterStatus{closed: true, bounded: true, attempts: w.outstanding()}
}

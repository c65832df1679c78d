package jobsched

import (
	"slices"
	"time"

	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/core/model"
)

const (
	// commitInterval is the least time between the sending of two commits: ends
	// that come within it share a call to the store.
	commitInterval = 20 * time.Millisecond
	// summaryInterval is how often a commit is made for the sake of its summary
	// alone; readers take a summary of 2 s as current.
	summaryInterval = time.Second
	// maxCommitEntries bounds the entries of one commit. The store takes 32, of
	// which the commit itself needs five: its condition, the ledger, the roster,
	// the fleet and what was learned.
	maxCommitEntries = 27
	// learnedInterval is the time between two stores of what was learned.
	learnedInterval = 3 * time.Second
)

// commitState follows the one commit that may be in flight.
type commitState struct {
	number   uint64
	inFlight bool
	// stored is whether a commit of the term is stored. Before that nothing is
	// started and no lease is renewed.
	stored bool
	sentAt time.Time
	// ends holds the ends whose consequences the commit makes durable; nil when
	// records had to wait for the next.
	ends map[model.Incarnation]int64
	jobs []job.ID
	// restarts are those of the jobs' records.
	restarts map[job.ID]job.Restarts
	// trials are those of the jobs' records.
	trials map[job.TaskKey]job.Trial
	// learnedAt is when what was learned was stored last.
	learnedAt time.Time
}

// unackedEnd is the end of an attempt that was taken in and not yet acknowledged.
type unackedEnd struct {
	number  int64
	task    job.TaskKey
	attempt int
	// held keeps it and what comes after it from being acknowledged.
	held bool
}

// sendCommit stores what has changed. A worker may forget an end only when what
// followed from it is stored: with the commit that leaves the record of its job,
// and of those of the ends before it, not waiting.
//
// A commit that leaves no record waiting at all may never come: with a store
// that takes 150 ms and a hundred jobs a second workers kept hundreds of ends.
func (m *Machine) sendCommit() {
	c := &m.commit
	m.expireFinal()
	if c.inFlight || m.now.Sub(c.sentAt) < commitInterval {
		return
	}
	rosterDue := m.rosterDue()
	if m.dirty.Len() == 0 && len(m.removals) == 0 && !rosterDue {
		m.acknowledgeEnds(m.ackableEnds())
		if m.now.Sub(c.sentAt) < m.quietInterval() {
			return
		}
	}
	commit := m.newCommit()
	if rosterDue {
		m.addRoster(&commit)
	}
	m.addRosterAge(&commit)
	if m.now.Sub(c.learnedAt) >= learnedInterval {
		commit.Learned = m.learner.Export()
		c.learnedAt = m.now
	}
	c.restarts = restartsIn(commit.Puts)
	c.trials = trialsIn(commit.Puts)
	c.ends = m.ackableEnds()
	c.number++
	c.inFlight = true
	c.sentAt = m.now
	m.emit(commit)
}

// quietInterval is the time between two commits when nothing has changed.
func (m *Machine) quietInterval() time.Duration {
	if m.unresolved.Len() > 0 {
		return rosterAgeInterval
	}
	return summaryInterval
}

// newCommit returns the next commit, with as many records as it has room for.
func (m *Machine) newCommit() Commit {
	commit := Commit{
		Number: m.commit.number + 1, Summary: m.summary(), UnseenCrash: m.checkUnseenCrash(), RosterLostLeft: m.rosterLostLeft(),
	}
	m.commit.jobs = m.fillCommit(&commit)
	return commit
}

// fillCommit moves records from the dirty set into the commit, those of jobs
// that are over first: their callers wait for them.
func (m *Machine) fillCommit(commit *Commit) []job.ID {
	room := maxCommitEntries
	ids := m.fillRecords(commit, true, &room)
	ids = append(ids, m.fillRecords(commit, false, &room)...)
	n := min(room, len(m.removals))
	commit.RemoveProgress = append(commit.RemoveProgress, m.removals[:n]...)
	m.removals = m.removals[n:]
	return ids
}

// fillRecords moves as many records as there is room for, of jobs that are over
// or of the others. A job that is over takes two entries.
func (m *Machine) fillRecords(commit *Commit, final bool, room *int) []job.ID {
	var ids []job.ID
	entries := 1
	if final {
		entries = 2
	}
	for id := range m.dirty.All() {
		if *room < entries {
			break
		}
		j := m.jobs.Get(id)
		if j.state.Final() != final {
			continue
		}
		*room -= entries
		commit.Puts = append(commit.Puts, ProgressRecord{ID: id, Progress: m.progressOf(j)})
		if final {
			commit.RemoveAccepted = append(commit.RemoveAccepted, id)
		}
		ids = append(ids, id)
		m.dirty.Delete(id)
	}
	return ids
}

// ackableEnds returns, for each worker, the last end before any whose job has a
// record that waits to be stored.
func (m *Machine) ackableEnds() map[model.Incarnation]int64 {
	ends := make(map[model.Incarnation]int64)
	for id, w := range m.workers.All() {
		for _, e := range w.unackedEnds {
			if e.held || m.dirty.Has(e.task.Job) || m.isEndDeferred(w, e) {
				break
			}
			ends[id] = e.number
		}
	}
	return ends
}

func (m *Machine) acknowledgeEnds(ends map[model.Incarnation]int64) {
	for id, number := range ends {
		w := m.workers.Get(id)
		if w == nil || number <= w.lastAckedEnd {
			continue
		}
		w.lastAckedEnd = number
		w.unackedEnds = slices.DeleteFunc(w.unackedEnds, func(e unackedEnd) bool { return e.number <= number })
		w.renewAt = m.now
	}
}

func (m *Machine) committed(ev Committed) {
	c := &m.commit
	if !c.inFlight || ev.Number != c.number {
		return
	}
	c.inFlight = false
	c.stored = true
	m.acknowledgeEnds(c.ends)
	for _, id := range c.jobs {
		if j := m.jobs.Get(id); j != nil {
			m.dropIfFinal(j)
		}
	}
	m.applyStoredRoster()
	m.markTrialsStored(c.trials)
	for id, stored := range c.restarts {
		mergeRestarts(&m.restarts.stored, id, stored)
		m.changed = true
	}
	c.ends, c.jobs, c.restarts, c.trials = nil, nil, nil, nil
}

// restartsIn returns the restarts in some records.
func restartsIn(records []ProgressRecord) map[job.ID]job.Restarts {
	found := make(map[job.ID]job.Restarts)
	for _, r := range records {
		if len(r.Progress.Restarts) > 0 {
			found[r.ID] = r.Progress.Restarts
		}
	}
	return found
}

func (m *Machine) summary() Summary {
	return Summary{WrittenMs: m.wall.UnixMilli(), Waiting: m.waiting()}
}

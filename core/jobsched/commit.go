package jobsched

import (
	"slices"
	"time"

	"github.com/guavarill/guavarill/core/faultsearch"
	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/core/model"
)

const (
	// commitInterval is the minimum time between two commits that do not fill up: ends
	// that arrive within it share a call to the store.
	commitInterval = 20 * time.Millisecond
	// summaryInterval is the time between commits made only to refresh the summary;
	// readers accept a summary that is up to 2 s old.
	summaryInterval = time.Second
	// maxCommitEntries bounds the entries of one commit. The store accepts 32, of
	// which the commit itself needs five: its condition, the ledger, the roster,
	// the fleet and the interference estimates.
	maxCommitEntries = 27
	// learnedInterval is the time between two commits with the interference
	// estimates.
	learnedInterval = 3 * time.Second
)

// commitState tracks the commit that may be in flight.
type commitState struct {
	number   uint64
	inFlight bool
	// stored is whether a commit of this term has been stored. Before that nothing
	// is started and no lease is renewed.
	stored bool
	sentAt time.Time
	// ends holds, for each worker, the last end that can be acknowledged once the
	// commit is stored.
	ends map[model.Incarnation]int64
	jobs []job.ID
	// restarts holds the restarts in the records of the commit.
	restarts map[job.ID]job.Restarts
	// trials holds the trials in the records of the commit.
	trials map[job.TaskKey]job.Trial
	// done holds how many occurrences of each job are done in the records of the
	// commit.
	done map[job.ID]int
	// sent is the commit in flight. search is the search for the entry at fault after
	// the store has refused one; no commit is sent before retryAt then.
	sent    Commit
	search  faultsearch.Search
	retryAt time.Time
	// learnedAt is when the interference estimates were last committed.
	learnedAt time.Time
}

// unackedEnd is an end that has been processed but not acknowledged.
type unackedEnd struct {
	number  int64
	task    job.TaskKey
	attempt int
	// withheld keeps this end and all later ones from being acknowledged.
	withheld bool
}

// sendCommit stores what has changed. A worker may forget an end only when its
// consequence is stored: with the first commit after which neither the record of
// its job, nor those of the jobs of earlier ends, wait to be stored.
//
// Ends are not held until a commit that leaves no record at all waiting, since such
// a commit may never come: with a store that takes 150 ms and a hundred jobs a
// second, workers accumulated hundreds of ends.
func (m *Machine) sendCommit() {
	c := &m.commit
	m.expireFinal()
	gathering := m.now.Sub(c.sentAt) < commitInterval && m.dirty.Len() < maxCommitEntries
	if c.inFlight || gathering || m.now.Before(c.retryAt) {
		return
	}
	if c.search.IsOn() {
		commit := m.newCommit()
		m.addRosterAge(&commit)
		m.dispatchCommit(commit)
		return
	}
	rosterDue := m.rosterDue()
	if m.dirty.Len() == 0 && len(m.removals) == 0 && !rosterDue {
		m.acknowledgeEnds(m.ackableEnds())
		if m.now.Sub(c.sentAt) < m.quietInterval() && !m.memoryIsNews() {
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
	m.dispatchCommit(commit)
}

// dispatchCommit sends a commit.
func (m *Machine) dispatchCommit(commit Commit) {
	c := &m.commit
	c.sent = commit
	c.restarts = restartsIn(commit.Puts)
	c.trials = trialsIn(commit.Puts)
	c.done = m.doneIn(commit.Puts)
	c.ends = m.ackableEnds()
	c.number++
	c.inFlight = true
	c.sentAt = m.now
	m.emit(commit)
}

// quietInterval is the time between two commits while nothing changes.
func (m *Machine) quietInterval() time.Duration {
	if m.unresolved.Len() > 0 {
		return rosterAgeInterval
	}
	return summaryInterval
}

// newCommit returns the next commit with as many records as fit.
func (m *Machine) newCommit() Commit {
	commit := Commit{
		Number: m.commit.number + 1, Summary: m.summary(), UnseenCrash: m.checkUnseenCrash(), RosterLostLeft: m.rosterLostLeft(),
	}
	m.commit.jobs = m.fillCommit(&commit)
	return commit
}

// fillCommit moves records from the dirty set into the commit, those of final jobs
// first because their callers are waiting for them. It returns the ids of the jobs.
func (m *Machine) fillCommit(commit *Commit) []job.ID {
	if m.commit.search.IsOn() {
		return m.fillSuspects(commit)
	}
	room := maxCommitEntries
	ids := m.fillRecords(commit, true, &room)
	ids = append(ids, m.fillRecords(commit, false, &room)...)
	n := min(room, len(m.removals))
	commit.RemoveProgress = append(commit.RemoveProgress, m.removals[:n]...)
	m.removals = m.removals[n:]
	return ids
}

// fillRecords moves the records of final jobs, or of the others, into the commit as
// long as there is room. A final job takes two entries.
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
		m.fillRecord(commit, id)
		ids = append(ids, id)
	}
	return ids
}

// fillRecord moves the record of a job from the dirty set into the commit.
func (m *Machine) fillRecord(commit *Commit, id job.ID) {
	j := m.jobs.Get(id)
	commit.Puts = append(commit.Puts, ProgressRecord{ID: id, Progress: m.progressOf(j)})
	if j.state.Final() {
		commit.RemoveAccepted = append(commit.RemoveAccepted, id)
	}
	m.dirty.Delete(id)
}

// ackableEnds returns, for each worker, the last end that can be acknowledged: the
// one before the first end that is withheld, deferred, or whose job has a record
// waiting to be stored.
func (m *Machine) ackableEnds() map[model.Incarnation]int64 {
	ends := make(map[model.Incarnation]int64)
	for id, w := range m.workers.All() {
		for _, e := range w.unackedEnds {
			if e.withheld || m.dirty.Has(e.task.Job) || m.isEndDeferred(w, e) {
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
	m.markDoneStored(c.done)
	for id, stored := range c.restarts {
		mergeRestarts(&m.restarts.stored, id, stored)
		m.changed = true
	}
	for _, fault := range c.search.Stored(c.jobs, m.dirty.Has) {
		m.setAsideFault(fault)
	}
	c.clearSent()
}

// UnstoredJobs returns the number of jobs with changes that wait to be stored.
func (m *Machine) UnstoredJobs() int { return m.dirty.Len() }

// UnacknowledgedWorkers returns the number of workers with ends that they may not forget
// yet. Such a worker answers at once when it is asked, and tells a later end only when it
// is asked again.
func (m *Machine) UnacknowledgedWorkers() int {
	count := 0
	for _, w := range m.workers.All() {
		if len(w.unackedEnds) > 0 {
			count++
		}
	}
	return count
}

// restartsIn returns the restarts in the given records.
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
	return Summary{WrittenMs: m.wall.UnixMilli(), Waiting: m.waiting(), Forecast: m.Forecast(), JobMemory: m.publishMemory()}
}

package jobsched

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/guavarill/guavarill/core/job"
)

// A leader that takes over must not start a task that may run elsewhere. What it
// knows of that comes from the workers that answer it and, for those that do not,
// from the stored roster. Two things go wrong without the statements that the
// roster makes of its workers. One worker that cannot answer, because it has left
// or is cut off, holds back every job; and a bound that is counted from each
// take-over anew never ends while leaders follow each other quickly. One notices
// by long-running tasks that wait for 9 to 14 s while daemons are restarted in
// turn and workers are replaced.
//
// So each leader writes down, as far as it knows, what may run on the workers
// where it starts nothing, and how long leases last where it renews none. It keeps
// to what is written: to start something on such a worker, or to renew a lease
// there, it stores a roster first that no longer says so.

// RosterEntry is a worker of the stored roster, with what its writer knew of it.
type RosterEntry struct {
	WorkerEntry
	// Closed says that at most Attempts are there, and that nothing is started
	// there before a later roster is stored. On a worker that is not closed
	// anything may run.
	Closed   bool            `json:",omitempty"`
	Attempts []RosterAttempt `json:",omitempty"`
	// LeaseLeft is how long leases there last at most, from the moment of writing
	// on; negative when they have ended. It is nil where leases are renewed.
	LeaseLeft *time.Duration `json:",omitempty"`
}

// RosterAttempt is an attempt that may run, or whose end its worker may still
// have to tell.
type RosterAttempt struct {
	Task    job.TaskKey `json:"task"`
	Attempt int         `json:"n"`
	// GivenUp is set when it was declared lost.
	GivenUp bool `json:"givenUp,omitempty"`
}

// rosterMark is what a roster says of a worker, in short.
type rosterMark struct {
	// closed is RosterEntry.Closed, bounded whether there is a LeaseLeft.
	closed, bounded bool
	// attempts is how many attempts are listed.
	attempts int
}

// rosterState follows what is stored of the roster.
type rosterState struct {
	// changed is set when a worker that is on the stored roster was forgotten.
	changed bool
	// lookedAt is when the workers' marks were compared with what is stored.
	lookedAt time.Time
	// stands is whether the machine itself has stored a roster. What an earlier
	// leader's roster says of its workers holds at a take-over only.
	stands bool
	// sentAt is when the roster that was sent last was written.
	sentAt time.Time
	// sent is the roster that is being stored.
	sent []rosterLine
}

// rosterLine is a worker's part of a roster: what should be said, and what is. The
// two differ where there is no room for all attempts.
type rosterLine struct {
	worker *worker
	mark   rosterMark
	entry  RosterEntry
}

const (
	// rosterPatience is how long a worker may be silent before the roster says that
	// nothing is started there: a lost answer is followed by another within 0.5 s.
	rosterPatience = time.Second
	// answerPatience is how long after a take-over the roster says nothing yet of
	// workers that have not answered: those that are well answer within 0.5 s. A
	// leader that is lost before that leaves no word of them.
	answerPatience = 500 * time.Millisecond
	// rosterInterval is the time between two looks at whether a roster is due, and
	// rosterIntervalEach what each worker adds to it: a roster of 1,100 workers has
	// 0.3 MB, and a look at them takes 14 us.
	rosterInterval     = 100 * time.Millisecond
	rosterIntervalEach = 500 * time.Microsecond
	// rosterAttempts is how many attempts a roster lists at most, 45 bytes each: a
	// value of the store has room for 1 MiB.
	rosterAttempts = 10_000
	// rosterAgeInterval is how often the age of the roster is stored at least while
	// it bounds a hold: as much of the time that has passed does not count for the
	// next leader.
	rosterAgeInterval = 250 * time.Millisecond
	// leaseLeftLeast is the least LeaseLeft that is told: longer ago than a worker
	// is waited for.
	leaseLeftLeast = -time.Minute
)

// markOf returns what the roster should say of a worker now.
func (m *Machine) markOf(w *worker) rosterMark {
	switch {
	case !w.answered && w.onRoster && m.now.Before(m.recoveredAt.Add(answerPatience)):
		return w.mark
	case w.unaccounted:
		return rosterMark{bounded: true}
	case w.takesTasks(m.now):
		return rosterMark{}
	}
	return rosterMark{closed: true, bounded: !w.answered, attempts: w.accountable()}
}

// takesTasks reports whether tasks are to be started on the worker, now or as
// soon as it answers.
func (w *worker) takesTasks(now time.Time) bool {
	silent := !w.silentSince.IsZero() && now.Sub(w.silentSince) >= rosterPatience
	return w.answered && w.listed && !w.entry.Draining && !silent
}

// accountable counts the attempts that may run on the worker, or whose ends it may
// still have to tell.
func (w *worker) accountable() int { return w.attempts.Len() + len(w.taken) + len(w.lost) }

// rosterDue reports whether a roster is to be stored. It looks from time to time
// only.
func (m *Machine) rosterDue() bool {
	r := &m.roster
	interval := rosterInterval + time.Duration(m.workers.Len())*rosterIntervalEach
	if m.now.Before(m.rosterLostUntil) || m.now.Sub(r.lookedAt) < interval {
		return false
	}
	r.lookedAt = m.now
	if r.changed || !r.stands && !m.now.Before(m.recoveredAt.Add(answerPatience)) {
		return true
	}
	for _, w := range m.workers.All() {
		if !w.onRoster || w.mark != m.markOf(w) {
			return true
		}
	}
	return false
}

// addRoster adds a roster to a commit. What it forbids is kept to from now on,
// what it allows is made use of when it is stored: which of the two rosters the
// next leader reads is not known until then.
func (m *Machine) addRoster(commit *Commit) {
	r := &m.roster
	lines := m.rosterLines(m.markOf)
	r.sent = lines
	for _, l := range lines {
		commit.Roster = append(commit.Roster, l.entry)
		l.worker.closed = l.worker.closed || l.entry.Closed
		l.worker.bounded = l.worker.bounded || l.entry.LeaseLeft != nil
	}
	r.changed = false
	r.sentAt = m.now
}

// addRosterAge adds to a commit whether what the stored roster says holds, and
// for how long it has been so.
func (m *Machine) addRosterAge(commit *Commit) {
	commit.RosterStands = m.roster.stands || commit.Roster != nil
	if commit.RosterStands {
		commit.RosterAge = m.now.Sub(m.roster.sentAt)
	}
}

// rosterStored takes in that the roster which was sent last is stored.
func (m *Machine) rosterStored() {
	r := &m.roster
	if r.sent == nil {
		return
	}
	for _, l := range r.sent {
		w := l.worker
		w.onRoster = true
		w.mark, w.closed, w.bounded = l.mark, l.entry.Closed, l.entry.LeaseLeft != nil
	}
	r.sent = nil
	r.stands = true
	m.changed = true
}

// HandOver returns the last commit of a leader that gives the lead up: every
// worker is closed, so that the next leader waits for none of them, but for tasks
// that were left on a worker which does not answer it. The notes are those of the
// events since the last Advance. No order must be sent after the call.
func (m *Machine) HandOver(now, wall time.Time) (Commit, []Note) {
	m.now, m.wall = now, wall
	commit := m.newCommit()
	commit.Learned = m.learner.Export()
	if !m.now.Before(m.rosterLostUntil) {
		for _, l := range m.rosterLines(m.lastMarkOf) {
			commit.Roster = append(commit.Roster, l.entry)
		}
		commit.RosterStands = true
	}
	m.deposed = true
	return commit, m.takeNotes()
}

// takeNotes returns the notes among the effects that were not carried out.
func (m *Machine) takeNotes() []Note {
	var notes []Note
	for _, e := range m.out {
		if n, ok := e.(Note); ok {
			notes = append(notes, n)
		}
	}
	m.out = nil
	return notes
}

// lastMarkOf returns what the last roster of a leader says of a worker.
func (m *Machine) lastMarkOf(w *worker) rosterMark {
	if w.unaccounted {
		return rosterMark{bounded: true}
	}
	return rosterMark{closed: true, bounded: true, attempts: w.accountable()}
}

// rosterOrder returns the workers in the order of the roster: those that are in
// doubt first, whose attempts must have room on it.
func (m *Machine) rosterOrder() []*worker {
	order := slices.Collect(m.everyWorker())
	doubt := func(w *worker) int {
		if w.takesTasks(m.now) {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(order, func(a, b *worker) int { return cmp.Compare(doubt(a), doubt(b)) })
	return order
}

// rosterLines returns the roster with the marks given. A worker whose attempts
// have no room on it is told as one on which anything may run.
func (m *Machine) rosterLines(markOf func(*worker) rosterMark) []rosterLine {
	lines := make([]rosterLine, 0, m.workers.Len())
	room := rosterAttempts
	for _, w := range m.rosterOrder() {
		l := rosterLine{worker: w, mark: markOf(w), entry: RosterEntry{WorkerEntry: w.entry}}
		if l.mark.bounded {
			left := max(w.leaseBound.Sub(m.now), leaseLeftLeast)
			l.entry.LeaseLeft = &left
		}
		if l.mark.closed && w.accountable() <= room {
			room -= w.accountable()
			l.entry.Closed, l.entry.Attempts = true, w.rosterAttempts()
		}
		lines = append(lines, l)
	}
	return lines
}

// rosterAttempts lists what may run on the worker, and what it may still tell of.
func (w *worker) rosterAttempts() []RosterAttempt {
	var list []RosterAttempt
	for key := range w.attempts.All() {
		list = append(list, RosterAttempt{Task: key.task, Attempt: key.attempt})
	}
	for _, e := range w.taken {
		list = append(list, RosterAttempt{Task: e.task, Attempt: e.attempt})
	}
	for _, key := range slices.SortedFunc(maps.Keys(w.lost), attemptKey.compare) {
		list = append(list, RosterAttempt{Task: key.task, Attempt: key.attempt, GivenUp: true})
	}
	return list
}

// recoverWorker takes in a worker of the roster that an earlier leader stored.
// stands is whether that was the last leader, whose word on its workers holds, and
// age how long ago it is at least.
func (m *Machine) recoverWorker(e RosterEntry, stands bool, age time.Duration) {
	w := newWorker(e.WorkerEntry)
	w.onRoster = true
	w.leaseBound = m.earlierLeasesEnd()
	m.workers.Set(w.id, w)
	if stands && e.LeaseLeft != nil {
		w.leaseBound = m.recoveredAt.Add(*e.LeaseLeft - age)
	}
	if stands && e.Closed {
		m.inherit(w, e.Attempts)
		return
	}
	w.unaccounted = true
	m.unresolved.Set(w.id, w.leaseBound)
}

// inherit takes in what an earlier leader left on a worker. Until the worker has
// answered, its attempts count like unanswered starts: their tasks are not
// started elsewhere before the leases there have ended.
func (m *Machine) inherit(w *worker, attempts []RosterAttempt) {
	for _, r := range attempts {
		key := attemptKey{task: r.Task, attempt: r.Attempt}
		t := m.task(r.Task)
		switch {
		case w.attempts.Has(key):
		case r.GivenUp:
			w.lost[key] = struct{}{}
			if t != nil {
				t.givenUp = true
			}
		case t != nil && !t.done:
			m.addAttempt(t, w, r.Attempt, phaseDoubtful).inherited = true
		case m.aside[r.Task.Job] != nil:
			a := m.addUnwanted(w, &RunningAttempt{Key: r.Task, Attempt: r.Attempt})
			a.phase, a.inherited = phaseDoubtful, true
		}
	}
}

// dropInherited forgets what was inherited on a worker that has just answered:
// its own report is taken in instead, in the same step.
func (m *Machine) dropInherited(w *worker) {
	for _, a := range w.attempts.All() {
		if a.inherited {
			m.endAttempt(a, endLost, "")
		}
	}
}

// dropOutdated forgets inherited attempts of a task before the one with the given
// number. The leader that started that one knew those to be over, and its roster
// was older.
func (m *Machine) dropOutdated(t *task, number int) {
	for _, a := range slices.Clone(t.attempts) {
		if a.inherited && a.key.attempt < number {
			m.endAttempt(a, endLost, "")
		}
	}
}

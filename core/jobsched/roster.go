package jobsched

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/core/model"
)

// A leader that takes over must not start a task that may run elsewhere. What it
// knows of that comes from the workers that answer it and, for those that do not,
// from the stored roster. Were the roster a mere list of workers, two things would
// go wrong. One worker that cannot answer, because it has left or is cut off, would
// hold back every job; and a bound that is counted from each take-over anew would
// never end while leaders follow each other quickly. One would notice by
// long-running tasks that are not started while daemons are restarted in turn and
// workers are replaced.
//
// So each leader writes down, as far as it knows, what may run on the workers
// where it starts nothing, and how long leases last where it renews none: the
// roster's statements. It keeps to them: to start something on such a worker, or
// to renew a lease there, it stores a roster first that no longer says so.
//
// The statements stand, which means that the next leader may rely on them, for as
// long as their writer leads, and on from there until that next leader has stored
// a commit of its own: only then may it start anything.

// RosterEntry is a worker of the stored roster, with what its writer knew of it.
type RosterEntry struct {
	WorkerEntry
	// Closed says that at most Attempts are there, and that nothing is started
	// there before a later roster is stored. On a worker that is not closed
	// anything may run.
	Closed   bool            `json:",omitempty"`
	Attempts []RosterAttempt `json:",omitempty"`
	// Full is the largest capacity that is known of the worker's VM, in each
	// dimension, if it is larger than Capacity.
	Full model.Resources `json:",omitzero"`
	// Health is set if the worker fails what it starts.
	Health *WorkerHealth `json:",omitempty"`
	// LeaseLeft is how long leases there last at most, from the moment of writing
	// on; negative when they have ended. It is nil where leases may be renewed, so
	// that no such bound is known.
	LeaseLeft *time.Duration `json:",omitempty"`
}

// FullCapacity returns the largest capacity that is known of the worker's VM.
func (e *RosterEntry) FullCapacity() model.Resources { return e.Capacity.Max(e.Full) }

// RosterAttempt is an attempt that may run, or whose end its worker may still
// have to tell.
type RosterAttempt struct {
	Task    job.TaskKey `json:"task"`
	Attempt int         `json:"n"`
	// Lost is set when it was declared lost.
	Lost bool `json:"givenUp,omitempty"`
	// StalledFor is for how long it has stood still at Percent; 0 if it has not, or not
	// for long.
	StalledFor time.Duration `json:"still,omitempty"`
	Percent    int           `json:"percent,omitempty"`
}

// rosterStatus is what a roster should say of a worker, in short. A roster is due
// when a worker's mark is another one than when the stored roster was written.
type rosterStatus struct {
	// closed is whether RosterEntry.Closed should be set, bounded whether there
	// should be a LeaseLeft.
	closed, bounded bool
	// attempts is how many attempts should be listed.
	attempts int
	// failures is RosterEntry.Health's, 0 without one.
	failures int
}

// rosterState follows what is stored of the roster.
type rosterState struct {
	// outdated is set when a roster is due whatever the marks are: a worker was
	// forgotten, or the stored roster could not be read.
	outdated bool
	// checkedAt is when the workers' marks were compared with what is stored.
	checkedAt time.Time
	// valid is whether the machine itself has stored a roster: its first commit
	// ends what an earlier leader's roster says.
	valid bool
	// sentAt is when the roster that was sent last was written.
	sentAt time.Time
	// inFlight is the roster that is being stored.
	inFlight []rosterLine
}

// rosterLine is a worker's part of a roster: mark is what should be said, entry
// what is said. The two differ where there is no room for all attempts.
type rosterLine struct {
	worker *worker
	status rosterStatus
	entry  RosterEntry
}

const (
	// rosterUnreachableAfter is how long a worker may be silent before the roster says that
	// nothing is started there: a lost answer is followed by another within 0.5 s.
	rosterUnreachableAfter = time.Second
	// firstAnswerTime is how long after a take-over the roster says nothing yet of
	// workers that have not answered: those that are well answer within 0.5 s. If the
	// leader is lost meanwhile, after its first commit, anything may run there to
	// its successor.
	firstAnswerTime = 500 * time.Millisecond
	// rosterInterval is the time between two looks at whether a roster is due, and
	// rosterIntervalEach what each worker adds to it: a roster of 1,100 workers has
	// 0.3 MB, and is stored at most once in 0.65 s.
	rosterInterval          = 100 * time.Millisecond
	rosterIntervalPerWorker = 500 * time.Microsecond
	// maxRosterAttempts is how many attempts a roster lists at most, 45 bytes each:
	// a value of the store has room for 1 MiB.
	maxRosterAttempts = 10_000
	// rosterAgeInterval is the time between two commits, each with the age of the
	// roster, while all older jobs wait for a worker. The next leader counts the
	// bounds on from the last of them: up to this much longer is waited with each
	// leader that is lost.
	rosterAgeInterval = 250 * time.Millisecond
	// minLeaseLeft is the least LeaseLeft that is told. It is beyond
	// silentPatience, the longest that a worker is waited for after its leases.
	minLeaseLeft = -time.Minute
)

// rosterStatusOf returns what the roster should say of a worker now.
func (m *Machine) rosterStatusOf(w *worker) rosterStatus {
	mark := m.startStatusOf(w)
	mark.failures = 0
	if w.health.isOnProbation(m.now) {
		mark.failures = w.health.failures
	}
	return mark
}

// startStatusOf returns what it should say of starts and leases there.
func (m *Machine) startStatusOf(w *worker) rosterStatus {
	switch {
	case !w.answered && w.onRoster && m.now.Before(m.recoveredAt.Add(firstAnswerTime)):
		return w.rosterStatus
	case w.attemptsUnknown:
		return rosterStatus{bounded: true}
	case w.ended:
		return rosterStatus{closed: true, attempts: w.outstanding()}
	case w.acceptsTasks(m.now):
		return rosterStatus{}
	}
	return rosterStatus{closed: true, bounded: !w.answered, attempts: w.outstanding()}
}

// acceptsTasks reports whether tasks are to be started on the worker, now or as
// soon as it answers.
func (w *worker) acceptsTasks(now time.Time) bool {
	silent := !w.unreachableSince.IsZero() && now.Sub(w.unreachableSince) >= rosterUnreachableAfter
	return w.answered && w.listed && !w.entry.Draining && !silent
}

// outstanding counts the attempts that may run on the worker, or whose ends it may
// still have to tell: those that rosterAttempts lists.
func (w *worker) outstanding() int {
	if w.ended {
		return w.attempts.Len()
	}
	return w.attempts.Len() + len(w.unackedEnds) + len(w.lost)
}

// rosterDue reports whether a roster is to be stored. It looks from time to time
// only.
func (m *Machine) rosterDue() bool {
	r := &m.roster
	interval := rosterInterval + time.Duration(m.workers.Len())*rosterIntervalPerWorker
	if m.now.Sub(r.checkedAt) < interval {
		return false
	}
	r.checkedAt = m.now
	if r.outdated || !r.valid && !m.now.Before(m.recoveredAt.Add(firstAnswerTime)) {
		return true
	}
	for _, w := range m.workers.All() {
		if !w.onRoster || w.rosterStatus != m.rosterStatusOf(w) {
			return true
		}
	}
	return false
}

// addRoster adds a roster to a commit. What it rules out is kept to from now on,
// what it no longer rules out is made use of when it is stored: which of the two
// rosters the next leader reads is not known until then.
func (m *Machine) addRoster(commit *Commit) {
	r := &m.roster
	lines := m.rosterLines(m.rosterStatusOf)
	r.inFlight = lines
	for _, l := range lines {
		commit.Roster = append(commit.Roster, l.entry)
		l.worker.closed = l.worker.closed || l.entry.Closed
		l.worker.bounded = l.worker.bounded || l.entry.LeaseLeft != nil
	}
	r.outdated = false
	r.sentAt = m.now
}

// addRosterAge adds to a commit whether the statements of the stored roster stand,
// and how old they are.
func (m *Machine) addRosterAge(commit *Commit) {
	commit.RosterValid = m.roster.valid || commit.Roster != nil
	if commit.RosterValid {
		commit.RosterAge = m.now.Sub(m.roster.sentAt)
	}
}

// applyStoredRoster takes in that the roster which was sent last is stored.
func (m *Machine) applyStoredRoster() {
	r := &m.roster
	if r.inFlight == nil {
		return
	}
	for _, l := range r.inFlight {
		w := l.worker
		w.onRoster = true
		w.rosterStatus, w.closed, w.bounded = l.status, l.entry.Closed, l.entry.LeaseLeft != nil
	}
	r.inFlight = nil
	r.valid = true
	m.changed = true
}

// HandOver returns the last commit of a leader that gives the lead up. Its roster
// closes every worker of which it is known what may run there, so that the next
// leader holds back only the tasks that were left on workers which do not answer
// it. The notes are those of the events since the last Advance. The caller sends
// no order any more: the roster would not list it.
func (m *Machine) HandOver(now, wall time.Time) (Commit, []Note) {
	m.now, m.wall = now, wall
	m.dropTrials()
	commit := m.newCommit()
	commit.Learned = m.learner.Export()
	for _, l := range m.rosterLines(m.handoverStatusOf) {
		commit.Roster = append(commit.Roster, l.entry)
	}
	commit.RosterValid = true
	m.deposed = true
	return commit, m.drainNotes()
}

// drainNotes returns the notes among the effects that were not carried out.
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

// handoverStatusOf returns what the last roster of a leader says of a worker.
func (m *Machine) handoverStatusOf(w *worker) rosterStatus {
	if w.attemptsUnknown {
		return rosterStatus{bounded: true}
	}
	return rosterStatus{closed: true, bounded: true, attempts: w.outstanding()}
}

// rosterOrder returns the workers in the order of the roster: those that take no
// tasks first, so that their attempts find room on it before those of the others.
func (m *Machine) rosterOrder() []*worker {
	order := slices.Collect(m.everyWorker())
	rank := func(w *worker) int {
		if w.acceptsTasks(m.now) {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(order, func(a, b *worker) int { return cmp.Compare(rank(a), rank(b)) })
	return order
}

// rosterLines returns the roster with the marks given. A worker whose attempts
// have no room on it is told as one on which anything may run.
func (m *Machine) rosterLines(markOf func(*worker) rosterStatus) []rosterLine {
	lines := make([]rosterLine, 0, m.workers.Len())
	room := maxRosterAttempts
	for _, w := range m.rosterOrder() {
		if w.ended && w.attempts.Len() == 0 {
			continue
		}
		l := rosterLine{worker: w, status: markOf(w), entry: RosterEntry{WorkerEntry: w.entry, Health: w.health.handoverRecord(m.now)}}
		if w.full != w.entry.Capacity {
			l.entry.Full = w.full
		}
		if l.status.bounded {
			left := max(w.leaseBound.Sub(m.now), minLeaseLeft)
			l.entry.LeaseLeft = &left
		}
		if l.status.closed && w.outstanding() <= room {
			room -= w.outstanding()
			l.entry.Closed, l.entry.Attempts = true, w.rosterAttempts(m.now)
		}
		lines = append(lines, l)
	}
	return lines
}

// minReportedStall is the least time without progress that is handed over: reports are
// half a second apart, and most attempts advance with each.
const minReportedStall = 750 * time.Millisecond

// stalledFor returns for how long an attempt has stood still, 0 if that is not long.
func (a *attempt) stalledFor(now time.Time) time.Duration {
	still := now.Sub(a.lastAdvance())
	if a.phase != phaseRunning || a.percent >= 100 || a.throttle < fullSpeed || still < minReportedStall {
		return 0
	}
	return still
}

// rosterAttempts lists what may run on the worker, and what it may still tell of.
func (w *worker) rosterAttempts(now time.Time) []RosterAttempt {
	var list []RosterAttempt
	for key, a := range w.attempts.All() {
		still, percent := a.stalledFor(now), 0
		if still > 0 {
			percent = a.percent
		}
		list = append(list, RosterAttempt{Task: key.task, Attempt: key.attempt, StalledFor: still, Percent: percent})
	}
	if w.ended {
		return list
	}
	for _, e := range w.unackedEnds {
		list = append(list, RosterAttempt{Task: e.task, Attempt: e.attempt})
	}
	for _, key := range slices.SortedFunc(maps.Keys(w.lost), attemptKey.compare) {
		list = append(list, RosterAttempt{Task: key.task, Attempt: key.attempt, Lost: true})
	}
	return list
}

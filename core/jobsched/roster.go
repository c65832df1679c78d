package jobsched

import (
	"time"

	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/core/workerhealth"
)

// A leader that takes over must not start a task that may be running elsewhere. It
// learns what is running from the workers that answer it and, for those that do
// not, from the stored roster. If the roster were a plain list of workers, two
// things would go wrong. A single worker that cannot answer, because it has left or
// is partitioned, would hold back every job. And a waiting time counted from each
// takeover would never end while leaders change quickly. Both show as long-running
// tasks that are not started while daemons are restarted one by one and workers are
// replaced.
//
// So each leader stores guarantees in the roster: for workers on which it starts
// nothing, which attempts may be running there, and for those whose leases it does
// not renew, when they end. It keeps these guarantees: before it starts an attempt
// on such a worker or renews a lease there, it stores a roster without them.
//
// The guarantees are valid, so that the next leader may rely on them, while their
// writer leads and after that until the next leader has stored its first commit.
// The next leader starts nothing before that commit.

// RosterEntry is a worker on the stored roster, with what the writer knew about it.
type RosterEntry struct {
	WorkerEntry
	// Closed guarantees that no attempts other than Attempts are on the worker, and
	// that nothing is started there before a later roster is stored. On a worker
	// that is not closed anything may be running.
	Closed   bool            `json:",omitempty"`
	Attempts []RosterAttempt `json:",omitempty"`
	// Full is the largest known capacity of the worker's VM, in each dimension;
	// zero if it equals Capacity.
	Full model.Resources `json:",omitzero"`
	// Health is set if the worker is on probation.
	Health *workerhealth.Record `json:",omitempty"`
	// LeaseLeft is the maximum time until the leases there end, from the moment of
	// writing; negative if they have ended. It is nil if leases may be renewed, so
	// that their end is not bounded.
	LeaseLeft *time.Duration `json:",omitempty"`
	// SilentFor is how long ago, from the moment of writing, the worker was last
	// heard; 0 if it answers, or if no leader has told. It shows the next leader
	// which workers fell silent together.
	SilentFor time.Duration `json:",omitempty"`
	// Slowness is how many times as long as elsewhere tasks take on the worker, or took
	// before it was forgotten; 0 if it does not count as slow. A new leader cannot always
	// learn it: an earlier one may have moved all work that shows it.
	Slowness float64 `json:",omitempty"`
}

// FullCapacity returns the largest known capacity of the worker's VM.
func (e *RosterEntry) FullCapacity() model.Resources { return e.Capacity.Max(e.Full) }

// RosterAttempt is an attempt that may be running, or whose end the worker may
// still report.
type RosterAttempt struct {
	Task    job.TaskKey `json:"task"`
	Attempt int         `json:"n"`
	// Lost is set if the attempt was declared lost.
	Lost bool `json:"givenUp,omitempty"`
	// StalledFor is the working time, at full speed, in which the attempt has made no
	// progress beyond Percent; 0 if it is not stalled or only briefly.
	StalledFor time.Duration `json:"still,omitempty"`
	Percent    int           `json:"percent,omitempty"`
	// SeenFor is how long the attempt has been seen running, and SeenAgo how long
	// before the moment of writing its worker last reported it; both 0 if the next
	// leader does not need them.
	SeenFor time.Duration `json:"seen,omitempty"`
	SeenAgo time.Duration `json:"seenAgo,omitempty"`
	// SeenFromStart is whether SeenFor is the time since its start; otherwise it may
	// have been running for longer.
	SeenFromStart bool `json:"seenFromStart,omitempty"`
}

// rosterState tracks the stored roster.
type rosterState struct {
	// outdated is set if a roster is due regardless of the workers' status: a
	// worker was forgotten or its full capacity has grown, or the stored roster
	// could not be read.
	outdated bool
	// checkedAt is when the workers' status was last compared with the stored
	// roster.
	checkedAt time.Time
	// valid is whether this machine has stored a roster: its first commit ends the
	// guarantees of an earlier leader's roster.
	valid bool
	// sentAt is when the last sent roster was written.
	sentAt time.Time
	// storedAt is when the roster that is stored was written, and refusedUntil when the
	// next one may be sent after the store has refused one.
	storedAt, refusedUntil time.Time
	// inFlight is the roster that is being stored.
	inFlight []rosterLine
}

const (
	// rosterUnreachableAfter is how long a worker must be unreachable before the
	// roster closes it: after a lost answer the next one arrives within 0.5 s.
	rosterUnreachableAfter = time.Second
	// firstAnswerTime is how long after a takeover the roster makes no statement
	// about workers that may still answer; healthy ones answer within 0.5 s. If
	// the leader is lost in the meantime, after its first commit, its successor
	// must assume that anything may be running there.
	firstAnswerTime = 500 * time.Millisecond
	// rosterInterval is the time between two checks whether a roster is due;
	// rosterIntervalPerWorker is what each worker adds to it. A roster of 1,100
	// workers has 0.3 MB and is stored at most once in 0.65 s.
	rosterInterval          = 100 * time.Millisecond
	rosterIntervalPerWorker = 500 * time.Microsecond
	// maxRosterAttempts bounds the attempts listed on a roster, 45 bytes each: a
	// value in the store may have 1 MiB.
	maxRosterAttempts = 10_000
	// rosterAgeInterval is the time between two commits, each with the age of the
	// roster, while older jobs are held back because of a worker. The next leader
	// counts the bounds from the last of them, so that each lost leader prolongs
	// the wait by up to this time.
	rosterAgeInterval = 250 * time.Millisecond
	// minLeaseLeft is the lowest LeaseLeft that is stored. Its absolute value
	// exceeds listedLossGrace, the longest time that a worker is waited for after
	// its leases.
	minLeaseLeft = -time.Minute
)

// rosterDue reports whether a roster has to be stored. It checks this only once per
// interval.
func (m *Machine) rosterDue() bool {
	r := &m.roster
	interval := rosterInterval + time.Duration(m.workers.Len())*rosterIntervalPerWorker
	if m.now.Sub(r.checkedAt) < interval || m.now.Before(r.refusedUntil) {
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

// addRoster adds a roster to a commit. Its new guarantees are kept from now on,
// while those it drops are kept until it is stored: until then it is unknown which
// of the two rosters the next leader would read.
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

// addRosterAge sets whether the guarantees of the stored roster are valid, and the
// roster's age.
func (m *Machine) addRosterAge(commit *Commit) {
	commit.RosterValid = m.roster.valid || commit.Roster != nil
	if commit.RosterValid {
		commit.RosterAge = m.now.Sub(m.roster.sentAt)
	}
}

// applyStoredRoster updates the workers after the last sent roster has been stored.
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
	r.storedAt = r.sentAt
	r.valid = true
	m.changed = true
}

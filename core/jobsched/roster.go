package jobsched

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/core/model"
	"github.com/guavarill/guavarill/core/workerhealth"
	"github.com/guavarill/guavarill/core/workerspeed"
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

// rosterStatus is a short form of what the roster should state about a worker. A
// roster is due when the status of a worker differs from the one on the stored
// roster.
type rosterStatus struct {
	// closed is whether RosterEntry.Closed should be set; bounded is whether
	// LeaseLeft should be set.
	closed, bounded bool
	// attempts is the number of attempts to list.
	attempts int
	// failures is the value in RosterEntry.Health, or 0 without one.
	failures int
	// slow and unproven are what RosterEntry.Slowness states.
	slow, unproven bool
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

// rosterLine is a worker's part of a roster. status is what the roster should
// state; entry is what it does state. They differ if there is no room for all
// attempts.
type rosterLine struct {
	worker *worker
	status rosterStatus
	entry  RosterEntry
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

// rosterStatusOf returns what the roster should state about a worker now.
func (m *Machine) rosterStatusOf(w *worker) rosterStatus {
	status := m.startStatusOf(w)
	status.failures, status.slow, status.unproven = 0, w.speed.slow, w.speed.unproven
	if w.health.IsOnProbation(m.now) {
		status.failures = w.health.Failures()
	}
	return status
}

// startStatusOf returns what the roster should state about starts and leases on a
// worker.
func (m *Machine) startStatusOf(w *worker) rosterStatus {
	switch {
	case !w.answered && w.onRoster && m.mayStillAnswer(w):
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

// mayStillAnswer reports whether a worker that has not answered yet is expected to do
// so soon. A worker that leaves or was silent before the takeover is not: what is
// known of it goes into the first commit, since that ends what the earlier roster
// says, and the next leader may follow at any moment.
func (m *Machine) mayStillAnswer(w *worker) bool {
	leaves := w.entry.Draining || m.listed && !w.listed
	silent := !w.lastReportAt.IsZero()
	return !leaves && !silent && m.now.Before(m.recoveredAt.Add(firstAnswerTime))
}

// acceptsTasks reports whether tasks may be started on the worker, now or as soon
// as it answers.
func (w *worker) acceptsTasks(now time.Time) bool {
	unreachable := !w.unreachableSince.IsZero() && now.Sub(w.unreachableSince) >= rosterUnreachableAfter
	return w.answered && w.listed && !w.entry.Draining && !unreachable
}

// outstanding counts the attempts that may be running on the worker, or whose ends
// it may still report: those that rosterAttempts lists.
func (w *worker) outstanding() int {
	if w.ended {
		return w.attempts.Len()
	}
	return w.attempts.Len() + len(w.unackedEnds) + len(w.lost)
}

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

// rosterOrder returns the workers in the order of the roster. Those that accept no
// tasks come first, so that there is room for their attempts.
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

// rosterLines returns a roster with the status that statusOf returns for each
// worker. A worker whose attempts do not fit is listed as not closed, so that
// anything may be running there.
func (m *Machine) rosterLines(statusOf func(*worker) rosterStatus) []rosterLine {
	lines := make([]rosterLine, 0, m.workers.Len())
	room := maxRosterAttempts
	crashed := make(map[*step]bool)
	for _, w := range m.rosterOrder() {
		if w.ended && w.attempts.Len() == 0 {
			continue
		}
		l := rosterLine{worker: w, status: statusOf(w), entry: RosterEntry{WorkerEntry: w.entry, Health: w.health.Record(m.now)}}
		if w.full != w.entry.Capacity {
			l.entry.Full = w.full
		}
		if !w.unreachableSince.IsZero() && !w.lastReportAt.IsZero() {
			l.entry.SilentFor = m.now.Sub(w.lastReportAt)
		}
		if w.isDoubtful() {
			l.entry.Slowness = max(m.slownessOf(w), workerspeed.NormalBelow)
		}
		if l.status.bounded {
			left := max(w.leaseBound.Sub(m.now), minLeaseLeft)
			l.entry.LeaseLeft = &left
		}
		if l.status.closed && w.outstanding() <= room {
			room -= w.outstanding()
			l.entry.Closed, l.entry.Attempts = true, w.rosterAttempts(m.now, crashed)
		}
		lines = append(lines, l)
	}
	return lines
}

// minReportedStall is the minimum time without progress that is handed over:
// reports are half a second apart, and most attempts advance with each.
const minReportedStall = 750 * time.Millisecond

// stalledFor returns for how much working time an attempt has made no progress; 0 if
// less than minReportedStall.
func (a *attempt) stalledFor(now time.Time) time.Duration {
	if a.phase != phaseRunning || a.percent >= fullPercent {
		return 0
	}
	a.work(now)
	if a.pace.stood < minReportedStall {
		return 0
	}
	return a.pace.stood
}

// rosterAttempts lists the attempts that may be running on the worker, and those
// whose ends it may still report. crashed is the cache of needsRunTime.
func (w *worker) rosterAttempts(now time.Time, crashed map[*step]bool) []RosterAttempt {
	var list []RosterAttempt
	for key, a := range w.attempts.All() {
		stalled, percent := a.stalledFor(now), 0
		if stalled > 0 {
			percent = a.percent
		}
		r := RosterAttempt{Task: key.task, Attempt: key.attempt, StalledFor: stalled, Percent: percent}
		if a.needsRunTime(crashed) {
			a.addRunTime(&r, now)
		}
		list = append(list, r)
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

package jobsched

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/guavarill/guavarill/core/runpace"
	"github.com/guavarill/guavarill/core/workerspeed"
)

// rosterLine is a worker's part of a roster. status is what the roster should
// state; entry is what it does state. They differ if there is no room for all
// attempts.
type rosterLine struct {
	worker *worker
	status rosterStatus
	entry  RosterEntry
}

// outstanding counts the attempts that may be running on the worker, or whose ends
// it may still report: those that rosterAttempts lists.
func (w *worker) outstanding() int {
	if w.ended {
		return w.attempts.Len()
	}
	return w.attempts.Len() + len(w.unackedEnds) + len(w.lost)
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
	if a.phase != phaseRunning || a.percent >= runpace.FullPercent {
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

package jobsched

import (
	"slices"

	"github.com/guavarill/guavarill/core/faultsearch"
	"github.com/guavarill/guavarill/core/job"
)

// commitRefused returns the entries of a refused commit to those that have to be stored,
// and sets the one at fault aside or continues the search for it. An entry that is larger
// than the store accepts is named by the event; any other one has to be searched for.
func (m *Machine) commitRefused(ev CommitRefused) {
	c := &m.commit
	if !c.inFlight || ev.Number != c.number {
		return
	}
	sent, group := c.sent, c.jobs
	m.returnEntries()
	if ev.names() {
		for _, id := range ev.Jobs {
			m.setAsideUnstorable(id, ev.Reason)
		}
		if ev.Roster || ev.Learned {
			m.setAsideExtras(ev.Roster, ev.Learned, ev.Reason)
		}
		return
	}
	extras := faultsearch.Extras{Roster: sent.Roster != nil, Learned: sent.Learned != nil}
	m.setAsideFault(c.search.Refused(group, extras, ev.Reason))
}

// setAsideFault sets aside what the search for the entry at fault has found, if anything.
func (m *Machine) setAsideFault(f faultsearch.Fault) {
	if f.Record != "" {
		m.setAsideUnstorable(f.Record, f.Reason)
	}
	if f.InExtras {
		m.setAsideExtras(f.Extras.Roster, f.Extras.Learned, f.Reason)
	}
}

// names reports whether the event names the entries at fault.
func (ev *CommitRefused) names() bool { return len(ev.Jobs) > 0 || ev.Roster || ev.Learned }

// returnEntries returns the entries of the commit in flight to those that have to be
// stored.
func (m *Machine) returnEntries() {
	c := &m.commit
	c.inFlight = false
	m.removals = append(slices.Clone(c.sent.RemoveProgress), m.removals...)
	for _, id := range c.jobs {
		if j := m.jobs.Get(id); j != nil {
			m.markDirty(j)
		}
	}
	if r := &m.roster; r.inFlight != nil {
		r.inFlight, r.outdated, r.sentAt = nil, true, r.storedAt
	}
	c.clearSent()
}

// clearSent forgets the commit that was in flight.
func (c *commitState) clearSent() {
	c.ends, c.jobs, c.restarts, c.trials, c.done = nil, nil, nil, nil, nil
	c.sent = Commit{}
}

// fillSuspects moves the records that the search asks for into the commit. It returns the
// ids of the jobs.
func (m *Machine) fillSuspects(commit *Commit) []job.ID {
	var group []job.ID
	for _, id := range m.commit.search.Group() {
		if m.dirty.Has(id) {
			m.fillRecord(commit, id)
			group = append(group, id)
		}
	}
	return group
}

// Without returns the commit without the entries that a refusal names, or, if it names
// none, without all but the roster, and then without that too.
func (c Commit) Without(refused CommitRefused) Commit {
	dropped := func(id job.ID) bool { return !refused.names() || slices.Contains(refused.Jobs, id) }
	isBare := len(c.Puts) == 0 && c.Learned == nil && len(c.RemoveProgress) == 0
	c.Puts = slices.DeleteFunc(slices.Clone(c.Puts), func(p ProgressRecord) bool { return dropped(p.ID) })
	c.RemoveAccepted = slices.DeleteFunc(slices.Clone(c.RemoveAccepted), dropped)
	if !refused.names() {
		c.RemoveProgress = nil
	}
	if refused.Learned || !refused.names() {
		c.Learned = nil
	}
	if refused.Roster || !refused.names() && isBare {
		c.Roster, c.RosterValid, c.RosterAge = nil, false, 0
	}
	return c
}

package jobsched

import (
	"slices"

	"github.com/guavarill/guavarill/core/job"
)

// A commit is stored whole or not at all, so one entry that the store refuses for good
// would keep back all others. Such an entry is found and set aside: an entry that is
// larger than the store accepts is named by CommitRefused, any other one is found by
// halving. The records of the refused commit are stored in ever smaller groups, without
// anything else, until a record is refused alone and the commit without it is not.

// commitSearch is the search for the entry at fault of a refused commit.
type commitSearch struct {
	// suspects lists the jobs whose records may be at fault; the next commit holds the
	// first half of them. It is empty while no search is on.
	suspects []job.ID
	// refusedAlone is the job whose record was refused alone; the next commit holds no
	// record. It is empty if there is none.
	refusedAlone job.ID
	// found is set once a record was set aside in this search.
	found bool
	// roster and learned are whether the refused commit had these entries, one of which
	// is at fault if no record is.
	roster, learned bool
	// reason is why the store refused the last commit.
	reason string
}

func (s *commitSearch) isOn() bool { return len(s.suspects) > 0 }

// commitRefused returns the entries of a refused commit to those that have to be stored,
// and sets the one at fault aside or continues the search for it.
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
	s := &c.search
	switch {
	case !s.isOn():
		s.suspects, s.roster, s.learned = slices.Clone(group), sent.Roster != nil, sent.Learned != nil
	case s.refusedAlone != "":
		// No record is at fault: the store refuses the commit without any.
		*s = commitSearch{}
		m.setAsideExtras(false, false, ev.Reason)
		return
	case len(group) > 1:
		s.suspects = slices.Clone(group)
	case len(group) == 1:
		s.refusedAlone = group[0]
	}
	s.reason = ev.Reason
	m.endSearchIfDone()
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

// fillSuspects moves the records of the first half of the suspects into the commit. It
// returns the ids of the jobs.
func (m *Machine) fillSuspects(commit *Commit) []job.ID {
	s := &m.commit.search
	if s.refusedAlone != "" {
		return nil
	}
	var group []job.ID
	for _, id := range s.suspects[:(len(s.suspects)+1)/2] {
		if m.dirty.Has(id) {
			m.fillRecord(commit, id)
			group = append(group, id)
		}
	}
	return group
}

// searchCommitStored continues the search after a commit was stored: what was in it is
// not at fault, and a record that was refused alone is.
func (m *Machine) searchCommitStored() {
	s := &m.commit.search
	if !s.isOn() {
		return
	}
	stored := m.commit.jobs
	if id := s.refusedAlone; id != "" {
		m.setAsideUnstorable(id, s.reason)
		stored, s.refusedAlone, s.found = []job.ID{id}, "", true
	}
	s.suspects = slices.DeleteFunc(s.suspects, func(id job.ID) bool { return slices.Contains(stored, id) || !m.dirty.Has(id) })
	m.endSearchIfDone()
}

// endSearchIfDone ends a search without suspects. If it found no record at fault,
// another entry of the refused commit is.
func (m *Machine) endSearchIfDone() {
	s := &m.commit.search
	if s.isOn() {
		return
	}
	if !s.found {
		// The estimates are set aside first: nothing depends on them.
		m.setAsideExtras(s.roster && !s.learned, s.learned, s.reason)
	}
	*s = commitSearch{}
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

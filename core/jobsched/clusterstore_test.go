package jobsched

import (
	"encoding/json"
	"slices"
	"testing"

	"github.com/guavarill/guavarill/core/job"
)

func (c *cluster) commit(e Commit) {
	if c.storeDown {
		c.held = append(c.held, e)
		return
	}
	m := c.machine
	if c.refuse != nil {
		if refused := c.refuse(e); refused != nil {
			refused.Number = e.Number
			c.sendEvent(m, 2*orderDelay+c.storeDelay, func() Event { return *refused })
			return
		}
	}
	c.after(orderDelay+c.storeDelay, func() {
		if m == c.machine {
			c.store(e)
		}
	})
	c.sendEvent(m, 2*orderDelay+c.storeDelay, func() Event { return Committed{Number: e.Number} })
}

func (c *cluster) store(e Commit) {
	c.summary = e.Summary
	c.rosterValid, c.rosterAge, c.unseenCrash = e.RosterValid, e.RosterAge, e.UnseenCrash
	c.rosterLostLeft = e.RosterLostLeft
	if e.Roster != nil {
		c.roster = reencodeRoster(c.t, e.Roster)
		if c.earlierVersion {
			c.roster = asEarlierVersion(c.roster)
		}
		c.rosterDamaged = false
	}
	if e.Learned != nil {
		c.learned = e.Learned
	}
	for _, p := range e.Puts {
		old := c.progress[p.ID]
		if old != nil && old.State.Final() && p.Progress.State != old.State {
			c.t.Errorf("job %s was %s and is %s", p.ID, old.State, p.Progress.State)
		}
		c.checkSize(p)
		c.progress[p.ID] = reencodeProgress(c.t, p.Progress)
		switch p.Progress.State {
		case job.Completed:
			c.checkCompleted(p.ID)
		case job.Failed:
			c.checkFailed(p.ID)
		}
	}
	for _, id := range e.RemoveAccepted {
		delete(c.accepted, id)
	}
	for _, id := range e.RemoveProgress {
		delete(c.progress, id)
	}
}

// reencodeRoster encodes and decodes a roster.
func reencodeRoster(t testing.TB, roster []RosterEntry) []RosterEntry {
	data, err := json.Marshal(roster)
	if err != nil {
		t.Fatal(err)
	}
	var read []RosterEntry
	if err := json.Unmarshal(data, &read); err != nil {
		t.Fatal(err)
	}
	return read
}

// asEarlierVersion returns a roster as the previous version would have written it:
// with one entry for each id.
func asEarlierVersion(roster []RosterEntry) []RosterEntry {
	var lines []RosterEntry
	for _, e := range roster {
		e.StartedMs, e.SilentFor = 0, 0
		i := slices.IndexFunc(lines, func(other RosterEntry) bool { return other.ID == e.ID })
		if i < 0 {
			lines = append(lines, e)
			continue
		}
		line := &lines[i]
		line.Attempts = append(line.Attempts, e.Attempts...)
		line.Closed = line.Closed && e.Closed
		if line.LeaseLeft != nil && (e.LeaseLeft == nil || *e.LeaseLeft > *line.LeaseLeft) {
			line.LeaseLeft = e.LeaseLeft
		}
	}
	return lines
}

// reencodeProgress encodes and decodes a record.
func reencodeProgress(t testing.TB, p *job.Progress) *job.Progress {
	q, err := job.DecodeProgress(p.Encode())
	if err != nil {
		t.Fatal(err)
	}
	return q
}

// restoreStore ends the store outage and sends the commits that were held back.
func (c *cluster) restoreStore() {
	c.storeDown = false
	for _, e := range c.held {
		c.commit(e)
	}
	c.held = nil
}

package jobsched

import (
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/guavarill/guavarill/core/job"
	"github.com/guavarill/guavarill/core/joblog"
)

// holds reports whether a commit holds the record of a job that is not over.
func holds(c Commit, id job.ID) bool {
	return slices.ContainsFunc(c.Puts, func(p ProgressRecord) bool { return p.ID == id && !p.Progress.State.Final() })
}

// TestRefusedRecordDoesNotBlockOthers guards against a commit that is repeated forever
// because the store refuses one of its records for good: no other job was shown as
// completed any more, and no end was acknowledged.
func TestRefusedRecordDoesNotBlockOthers(t *testing.T) {
	for name, named := range map[string]bool{"named": true, "not named": false} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 1, 6)
			c.keepNotes = true
			c.run(time.Second)
			steps := []job.Step{makeStep(2, 500, 200*time.Millisecond), makeStep(2, 500, 200*time.Millisecond, 0)}
			refusedJob := c.submit(1, "batch", steps...)
			c.setAside = func(id job.ID) bool { return id == refusedJob }
			c.refuse = func(commit Commit) *CommitRefused {
				if !holds(commit, refusedJob) {
					return nil
				}
				refused := &CommitRefused{Reason: "too large"}
				if named {
					refused.Jobs = []job.ID{refusedJob}
				}
				return refused
			}
			var others []job.ID
			for i := range 40 {
				others = append(others, c.submit(10+i, "batch", steps...))
			}
			c.run(5 * time.Second)
			for _, id := range others {
				if s := c.state(id); s != job.Completed {
					t.Errorf("job %s is %s", id, s)
				}
			}
			c.checkSetAside(refusedJob)
		})
	}
}

// checkSetAside checks that a job was ended because its record cannot be stored, and
// that the notes say so of no other job.
func (c *cluster) checkSetAside(id job.ID) {
	c.t.Helper()
	if s := c.state(id); s != job.Failed {
		c.t.Errorf("the job at fault is %s", s)
	}
	var decisions []string
	for _, n := range c.notes {
		switch {
		case n.Job == id && (n.Decision == joblog.MessageJobSetAside || n.Decision == joblog.JobFinalMessage(job.Failed)):
			decisions = append(decisions, n.Decision)
			if !strings.Contains(n.Reason, "its record cannot be stored: too large") {
				c.t.Errorf("%s: %s", n.Decision, n.Reason)
			}
		case n.Decision == joblog.MessageJobSetAside:
			c.t.Errorf("job %s was set aside: %s", n.Job, n.Reason)
		}
	}
	if want := []string{joblog.MessageJobSetAside, joblog.JobFinalMessage(job.Failed)}; !slices.Equal(decisions, want) {
		c.t.Errorf("decisions %q, want %q", decisions, want)
	}
}

// mayBeSetAside reports whether a job may fail because the store refuses its record.
func (c *cluster) mayBeSetAside(id job.ID) bool { return c.setAside != nil && c.setAside(id) }

// TestRefusedExtrasDoNotBlockRecords checks that records are stored while the store
// refuses the roster or the interference estimates, or for a while everything, and that
// no job is ended for it.
func TestRefusedExtrasDoNotBlockRecords(t *testing.T) {
	refusals := map[string]func(c *cluster, commit Commit) *CommitRefused{
		"roster": func(_ *cluster, commit Commit) *CommitRefused {
			return refuseIf(commit.Roster != nil, CommitRefused{Reason: "too large"})
		},
		"roster, named": func(_ *cluster, commit Commit) *CommitRefused {
			return refuseIf(commit.Roster != nil, CommitRefused{Reason: "too large", Roster: true})
		},
		"estimates": func(_ *cluster, commit Commit) *CommitRefused {
			return refuseIf(commit.Learned != nil, CommitRefused{Reason: "too large"})
		},
		"everything": func(c *cluster, _ Commit) *CommitRefused {
			return refuseIf(c.now.Sub(testEpoch) < 4*time.Second, CommitRefused{Reason: "not valid"})
		},
	}
	for name, refuse := range refusals {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 1, 6)
			c.run(1500 * time.Millisecond)
			refused := 0
			c.refuse = func(commit Commit) *CommitRefused {
				r := refuse(c, commit)
				if r != nil {
					refused++
				}
				return r
			}
			c.addWorker(7)
			var ids []job.ID
			for i := range 40 {
				ids = append(ids, c.submit(10+i, "batch", makeStep(2, 500, 200*time.Millisecond)))
			}
			c.run(8 * time.Second)
			for _, id := range ids {
				if s := c.state(id); s != job.Completed {
					t.Errorf("job %s is %s", id, s)
				}
			}
			if refused == 0 {
				t.Error("no commit was refused")
			}
		})
	}
}

func refuseIf(refused bool, r CommitRefused) *CommitRefused {
	if !refused {
		return nil
	}
	return &r
}

// TestNothingRunsTwiceWithRefusedRecords plays days of faults on which the store refuses
// the records of some jobs for good. Those jobs may fail; all others must not notice.
func TestNothingRunsTwiceWithRefusedRecords(t *testing.T) {
	const days = 8
	for seed := range uint64(days) {
		playFaults(t, seed, func(c *cluster) {
			c.planned = rand.New(rand.NewPCG(seed, plannedStream))
			refused := func(p ProgressRecord) bool { return p.ID[len(p.ID)-1] == '7' && !p.Progress.State.Final() }
			c.refuse = func(commit Commit) *CommitRefused {
				return refuseIf(slices.ContainsFunc(commit.Puts, refused), CommitRefused{Reason: "too large"})
			}
			c.setAside = func(id job.ID) bool { return id[len(id)-1] == '7' }
		})
	}
}

// TestFinalCommitWithoutRefusedEntries checks what a last commit is reduced to when the
// store refuses it.
func TestFinalCommitWithoutRefusedEntries(t *testing.T) {
	const a, b = job.ID("a"), job.ID("b")
	whole := Commit{
		Puts: []ProgressRecord{{ID: a}, {ID: b}}, RemoveAccepted: []job.ID{a}, RemoveProgress: []job.ID{"c"},
		Roster: []RosterEntry{{}}, RosterValid: true,
	}
	if c := whole.Without(CommitRefused{Jobs: []job.ID{a}}); len(c.Puts) != 1 || c.Puts[0].ID != b || len(c.RemoveAccepted) != 0 || c.Roster == nil {
		t.Errorf("without a named job: %+v", c)
	}
	if c := whole.Without(CommitRefused{Roster: true}); c.Roster != nil || c.RosterValid || len(c.Puts) != 2 {
		t.Errorf("without a named roster: %+v", c)
	}
	bare := whole.Without(CommitRefused{})
	if len(bare.Puts) != 0 || len(bare.RemoveAccepted) != 0 || len(bare.RemoveProgress) != 0 || bare.Roster == nil || !bare.RosterValid {
		t.Errorf("without any record: %+v", bare)
	}
	if c := bare.Without(CommitRefused{}); c.Roster != nil || c.RosterValid {
		t.Errorf("without the roster: %+v", c)
	}
}

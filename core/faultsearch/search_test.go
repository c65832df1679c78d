package faultsearch

import (
	"fmt"
	"slices"
	"testing"

	"github.com/guavarill/guavarill/core/job"
)

const reason = "refused"

// store refuses commits with one of some records, or with entries besides records.
type store struct {
	records []job.ID
	extras  Extras
	ledger  bool
	commits int
}

func (s *store) refuses(jobs []job.ID, extras Extras) bool {
	s.commits++
	isAtFault := func(id job.ID) bool { return slices.Contains(s.records, id) }
	return s.ledger || s.extras.Roster && extras.Roster || s.extras.Learned && extras.Learned || slices.ContainsFunc(jobs, isAtFault)
}

// play stores records and other entries in one commit if it can, and searches for those at
// fault while the store refuses one. It returns what was found and the records stored.
func (s *store) play(t *testing.T, waiting []job.ID, extras Extras) (faults []Fault, stored []job.ID) {
	t.Helper()
	var search Search
	waiting = slices.Clone(waiting)
	isWaiting := func(id job.ID) bool { return slices.Contains(waiting, id) }
	remove := func(ids ...job.ID) {
		waiting = slices.DeleteFunc(waiting, func(id job.ID) bool { return slices.Contains(ids, id) })
	}
	for range 300 {
		group, with := slices.Clone(waiting), extras
		if search.IsOn() {
			group, with = slices.Clone(search.Group()), Extras{}
		} else if len(waiting) == 0 && extras == (Extras{}) {
			return faults, stored
		}
		var found []Fault
		if s.refuses(group, with) {
			found = []Fault{search.Refused(group, with, reason)}
		} else {
			stored = append(stored, group...)
			remove(group...)
			if with != (Extras{}) {
				extras = Extras{}
			}
			found = search.Stored(group, isWaiting)
		}
		for _, f := range found {
			if f == (Fault{}) {
				continue
			}
			faults = append(faults, f)
			remove(f.Record)
			extras.Roster = extras.Roster && !f.Extras.Roster
			extras.Learned = extras.Learned && !f.Extras.Learned
			if f.InExtras && f.Extras == (Extras{}) {
				return faults, stored
			}
		}
	}
	t.Fatal("the search does not end")
	return nil, nil
}

func jobIDs(n int) []job.ID {
	var ids []job.ID
	for i := range n {
		ids = append(ids, job.ID(fmt.Sprint("job-", i)))
	}
	return ids
}

// TestRecordsAtFaultAreFound guards against a search that takes a sound record for the one
// at fault, misses one, or keeps others from being stored.
func TestRecordsAtFaultAreFound(t *testing.T) {
	// maxCommits is for a record among 27: one with all, two for each halving, one with the
	// record alone and one without it.
	const maxCommits = 1 + 2*5 + 2
	for n := 1; n <= 27; n++ {
		jobs := jobIDs(n)
		for _, atFault := range [][]job.ID{{jobs[0]}, {jobs[n-1]}, {jobs[n/2]}, {jobs[0], jobs[n-1]}} {
			atFault = slices.Compact(atFault)
			s := store{records: atFault}
			faults, stored := s.play(t, jobs, Extras{Roster: true, Learned: true})
			var found []job.ID
			for _, f := range faults {
				if f.InExtras || f.Reason != reason {
					t.Errorf("of %d, at fault %v: found %+v", n, atFault, f)
				}
				found = append(found, f.Record)
			}
			slices.Sort(found)
			slices.Sort(atFault)
			if !slices.Equal(found, atFault) || len(stored) != n-len(atFault) {
				t.Errorf("of %d, at fault %v: found %v, stored %d", n, atFault, found, len(stored))
			}
			if most := len(atFault)*maxCommits + 1; s.commits > most {
				t.Errorf("of %d, at fault %v: %d commits, want at most %d", n, atFault, s.commits, most)
			}
		}
	}
}

// TestOtherEntriesAreAtFaultIfNoRecordIs checks which of the other entries is taken to be
// at fault once all records are stored.
func TestOtherEntriesAreAtFaultIfNoRecordIs(t *testing.T) {
	roster, learned := Extras{Roster: true}, Extras{Learned: true}
	tests := []struct {
		had  Extras
		want []Extras
	}{
		{roster, []Extras{roster}},
		{learned, []Extras{learned}},
		{Extras{Roster: true, Learned: true}, []Extras{learned, roster}},
	}
	for _, test := range tests {
		for _, n := range []int{0, 1, 5} {
			s := store{extras: test.had}
			faults, stored := s.play(t, jobIDs(n), test.had)
			var found []Extras
			for _, f := range faults {
				if f.Record != "" || !f.InExtras || f.Reason != reason {
					t.Errorf("with %d records and %+v: found %+v", n, test.had, f)
				}
				found = append(found, f.Extras)
			}
			if !slices.Equal(found, test.want) || len(stored) != n {
				t.Errorf("with %d records and %+v: found %+v, stored %d, want %+v", n, test.had, found, len(stored), test.want)
			}
		}
	}
}

// TestNoRecordIsAtFaultIfACommitWithoutAnyIsRefused guards against records that are set
// aside although the store refuses every commit.
func TestNoRecordIsAtFaultIfACommitWithoutAnyIsRefused(t *testing.T) {
	s := store{ledger: true}
	faults, stored := s.play(t, jobIDs(9), Extras{Roster: true})
	if want := (Fault{InExtras: true, Reason: reason}); len(faults) != 1 || faults[0] != want || len(stored) > 0 {
		t.Errorf("found %+v, stored %v, want %+v", faults, stored, want)
	}
}

// TestRecordsThatWaitNoLongerAreNotSuspect guards against a search that goes on for a
// record that has gone meanwhile.
func TestRecordsThatWaitNoLongerAreNotSuspect(t *testing.T) {
	jobs := jobIDs(4)
	var s Search
	s.Refused(jobs, Extras{}, reason)
	faults := s.Stored(s.Group(), func(id job.ID) bool { return id == jobs[3] })
	if len(faults) > 0 || !slices.Equal(s.Group(), jobs[3:]) {
		t.Errorf("found %+v, still suspect %v, want %v", faults, s.Group(), jobs[3:])
	}
}

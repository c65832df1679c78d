package faultsearch

import (
	"slices"

	"github.com/guavarill/guavarill/core/job"
)

// Search is the search for the entry at fault of a refused commit. Its zero value is off.
type Search struct {
	// suspects lists the jobs whose records may be at fault; the next commit holds the
	// first half of them. It is empty while no search is on.
	suspects []job.ID
	// refusedAlone is the job whose record was refused alone; the next commit holds no
	// record. It is empty if there is none.
	refusedAlone job.ID
	// found is set once a record was found in this search.
	found bool
	// extras are those of the refused commit, one of which is at fault if no record is.
	extras Extras
	// reason is why the store refused the last commit.
	reason string
}

// Extras tells which entries besides the records of jobs a commit has.
type Extras struct{ Roster, Learned bool }

// Fault is what a step of the search has found. Its zero value is nothing.
type Fault struct {
	// Record is the job whose record is at fault; empty if none is.
	Record job.ID
	// InExtras is set if no record is at fault. Extras are then those at fault, or none if
	// the store refuses the commit without any of them as well.
	InExtras bool
	Extras   Extras
	// Reason is why the store refused the commit with the fault.
	Reason string
}

// IsOn reports whether a search is on.
func (s *Search) IsOn() bool { return len(s.suspects) > 0 }

// Group returns the jobs whose records the next commit of the search holds.
func (s *Search) Group() []job.ID {
	if s.refusedAlone != "" {
		return nil
	}
	return s.suspects[:(len(s.suspects)+1)/2]
}

// Refused begins or continues the search after the store has refused a commit with the
// records of the given jobs.
func (s *Search) Refused(jobs []job.ID, extras Extras, reason string) Fault {
	switch {
	case !s.IsOn():
		s.suspects, s.extras = slices.Clone(jobs), extras
	case s.refusedAlone != "":
		// No record is at fault: the store refuses the commit without any.
		*s = Search{}
		return Fault{InExtras: true, Reason: reason}
	case len(jobs) > 1:
		s.suspects = slices.Clone(jobs)
	case len(jobs) == 1:
		s.refusedAlone = jobs[0]
	}
	s.reason = reason
	return s.endIfDone()
}

// Stored continues the search after a commit with the records of the given jobs was
// stored: what was in it is not at fault, and a record that was refused alone is.
// isWaiting reports whether the record of a job waits to be stored.
func (s *Search) Stored(jobs []job.ID, isWaiting func(job.ID) bool) []Fault {
	if !s.IsOn() {
		return nil
	}
	var faults []Fault
	if id := s.refusedAlone; id != "" {
		faults = append(faults, Fault{Record: id, Reason: s.reason})
		jobs, s.refusedAlone, s.found = []job.ID{id}, "", true
	}
	s.suspects = slices.DeleteFunc(s.suspects, func(id job.ID) bool { return slices.Contains(jobs, id) || !isWaiting(id) })
	if last := s.endIfDone(); last.InExtras {
		faults = append(faults, last)
	}
	return faults
}

// endIfDone ends a search without suspects. If it found no record at fault, another entry
// of the refused commit is.
func (s *Search) endIfDone() Fault {
	if s.IsOn() {
		return Fault{}
	}
	var fault Fault
	if !s.found {
		// The estimates are taken to be at fault first: nothing depends on them.
		extras := Extras{Roster: s.extras.Roster && !s.extras.Learned, Learned: s.extras.Learned}
		fault = Fault{InExtras: true, Extras: extras, Reason: s.reason}
	}
	*s = Search{}
	return fault
}

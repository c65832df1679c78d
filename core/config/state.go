package config

import (
	peerv1 "github.com/guavarill/guavarill/api/peer/v1"
	"github.com/guavarill/guavarill/core/model"
)

// DeltaResult is the outcome of State.ApplyDelta.
type DeltaResult string

// The results of State.ApplyDelta.
const (
	// DeltaInstalled: the delta's revision is now current.
	DeltaInstalled DeltaResult = "installed"
	// DeltaAlreadyInstalled: the current revision is at least the delta's.
	DeltaAlreadyInstalled DeltaResult = "already installed"
	// DeltaGap: the delta's base is above the current revision. A peer's
	// DeltaSince, called with the current revision, returns a usable delta or
	// the whole configuration.
	DeltaGap DeltaResult = "begins above the current revision"
	// DeltaWholeNeeded: no configuration is held yet, or the delta is damaged, or
	// its result differs from the sender's configuration. The whole
	// configuration is needed.
	DeltaWholeNeeded DeltaResult = "whole needed"
)

// State is the configuration that one daemon holds, with the history of recent
// changes from which deltas for peers are made. Its revision never decreases.
// It is not safe for concurrent use; the value returned by Current is.
type State struct {
	current *Accepted
	history history
}

// NewState returns a State that holds no configuration.
func NewState() *State { return &State{} }

// Current returns the configuration in force on this daemon, or nil if none has
// been installed.
func (s *State) Current() *Accepted { return s.current }

// Revision returns the current revision, or 0 if no configuration has been
// installed.
func (s *State) Revision() model.Revision { return revisionOf(s.current) }

// InstallStored installs a configuration that was read from the store. It
// returns false, and changes nothing, unless a is newer than the current one: a
// delayed read, or a store restored from a backup, must not bring an old
// configuration back into force.
func (s *State) InstallStored(a *Accepted) bool {
	if a == nil || a.Revision <= s.Revision() {
		return false
	}
	s.install(a)
	return true
}

func (s *State) install(a *Accepted) {
	if s.current == nil {
		s.history.reset(a.Revision)
	} else {
		s.history.add(a.Revision, changedSubjects(s.current, a))
	}
	s.current = a
}

// DeltaSince returns a delta that moves a peer to the current revision from
// base or from any revision between the two. The delta holds the whole
// configuration if base is 0, if base is older than the history, or if the
// changes are at least as many as the subjects of the whole. DeltaSince returns
// nil if there is nothing newer than base. Pass 0 for a peer that requested the
// whole configuration.
func (s *State) DeltaSince(base model.Revision) *peerv1.ConfigDelta {
	if base >= s.Revision() {
		return nil
	}
	subjects, known := s.history.changedAfter(base)
	if base == 0 || !known || len(subjects) >= s.size() {
		return wholeDelta(s.current)
	}
	return deltaOf(s.current, base, subjects)
}

// size returns the number of workloads and teams in the current configuration.
func (s *State) size() int {
	return len(s.current.Workloads) + len(s.current.teams)
}

// ApplyDelta moves the state to the delta's revision. The state is unchanged
// unless the result is DeltaInstalled.
//
// Every delta is verified by hash. Otherwise a damaged delta, or one made
// against a different configuration with the same revision number, would leave
// a daemon with a mixture that no operator ever declared. As that mixture would
// have the newest revision, no later exchange would repair it.
//
// The error says why a delta was not usable: a *DecodeError or a *HashError. A
// *HashError together with DeltaAlreadyInstalled means that the sender holds a
// different configuration under the same revision; only the store can tell which
// of the two is right.
func (s *State) ApplyDelta(d *peerv1.ConfigDelta) (DeltaResult, error) {
	revision := model.Revision(d.GetRevision())
	if revision <= s.Revision() {
		return DeltaAlreadyInstalled, s.checkSameRevision(d)
	}
	if d.GetBaseRevision() == 0 {
		return s.applyWhole(d)
	}
	if s.current == nil {
		return DeltaWholeNeeded, nil
	}
	if model.Revision(d.GetBaseRevision()) > s.current.Revision {
		return DeltaGap, nil
	}
	return s.applyChanges(d)
}

func (s *State) checkSameRevision(d *peerv1.ConfigDelta) error {
	if s.current == nil || model.Revision(d.GetRevision()) != s.current.Revision {
		return nil
	}
	return checkHash(s.current, d)
}

func (s *State) applyWhole(d *peerv1.ConfigDelta) (DeltaResult, error) {
	next, err := Decode(d.GetWhole())
	if err != nil {
		return DeltaWholeNeeded, err
	}
	return s.installChecked(next, d)
}

func (s *State) applyChanges(d *peerv1.ConfigDelta) (DeltaResult, error) {
	next := draftFrom(s.current)
	next.revision = model.Revision(d.GetRevision())
	next.writers = nil
	for _, change := range d.GetChanges() {
		if err := next.apply(change); err != nil {
			return DeltaWholeNeeded, err
		}
	}
	return s.installChecked(next.build(), d)
}

func (s *State) installChecked(next *Accepted, d *peerv1.ConfigDelta) (DeltaResult, error) {
	if uint64(next.Revision) != d.GetRevision() {
		return DeltaWholeNeeded, &DecodeError{Kind: DecodeRevision}
	}
	if err := checkHash(next, d); err != nil {
		return DeltaWholeNeeded, err
	}
	s.install(next)
	return DeltaInstalled, nil
}

func checkHash(have *Accepted, d *peerv1.ConfigDelta) error {
	if have.hash == d.GetHash() {
		return nil
	}
	return &HashError{
		Base:     model.Revision(d.GetBaseRevision()),
		Revision: model.Revision(d.GetRevision()),
		Want:     d.GetHash(),
		Have:     have.hash,
	}
}

package config

import (
	peerv1 "github.com/guavarill/guavarill/api/peer/v1"
	"github.com/guavarill/guavarill/core/model"
)

// DeltaResult says what became of a delta.
type DeltaResult string

// The results of State.ApplyDelta.
const (
	// DeltaInstalled: the delta's revision is now current.
	DeltaInstalled DeltaResult = "installed"
	// DeltaAlready: the current revision is the delta's or higher.
	DeltaAlready DeltaResult = "already installed"
	// DeltaGap: the delta begins above the current revision. A delta from the
	// current revision is needed; DeltaSince of it gives that or the whole.
	DeltaGap DeltaResult = "begins above the current revision"
	// DeltaNeedWhole: nothing is held, or the delta is damaged or does not
	// lead to what its sender holds. The whole is needed.
	DeltaNeedWhole DeltaResult = "whole needed"
)

// State is the configuration that one daemon holds, with what is needed to
// bring peers up to date. It never moves to a lower revision. It is not safe
// for concurrent use; what Current returns is.
type State struct {
	current *Accepted
	history history
}

// NewState returns a state that holds no configuration.
func NewState() *State { return &State{} }

// Current returns the configuration in force here, nil until one is known.
func (s *State) Current() *Accepted { return s.current }

// Revision returns the current revision, 0 until one is known.
func (s *State) Revision() model.Revision { return revisionOf(s.current) }

// InstallStored takes a configuration that was read from the store. It returns
// false, and changes nothing, unless a is newer than the current one: a read
// that was delayed, or a store restored from a backup, must not bring an old
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
		s.history.restart(a.Revision)
	} else {
		s.history.add(a.Revision, changedSubjects(s.current, a))
	}
	s.current = a
}

// DeltaSince returns what brings a peer at base, or at any revision from base
// to the current one, to the current one. It is whole when base is 0 or too old
// and nil when there is nothing newer than base. Pass 0 for a peer that asked
// for the whole.
func (s *State) DeltaSince(base model.Revision) *peerv1.ConfigDelta {
	if base >= s.Revision() {
		return nil
	}
	subjects, known := s.history.after(base)
	if base == 0 || !known || len(subjects) >= s.size() {
		return wholeDelta(s.current)
	}
	return deltaOf(s.current, base, subjects)
}

// size is how many subjects a whole carries.
func (s *State) size() int {
	return len(s.current.Workloads) + len(s.current.teams)
}

// ApplyDelta moves to the delta's revision. Unless the result is
// DeltaInstalled, the state is as before.
//
// Every delta is checked by hash. Without that, a damaged one, or one that was
// made against a configuration which only shares its number with the one held
// here, would leave a daemon running a mixture that no operator ever wrote,
// under the newest revision, so that nothing would ever repair it.
//
// The error says why a delta was not usable: a *DecodeError or a *HashError. A
// *HashError beside DeltaAlready means that the sender holds something else
// under the same revision; only the store can tell who is right.
func (s *State) ApplyDelta(d *peerv1.ConfigDelta) (DeltaResult, error) {
	revision := model.Revision(d.GetRevision())
	if revision <= s.Revision() {
		return DeltaAlready, s.checkSameRevision(d)
	}
	if d.GetBaseRevision() == 0 {
		return s.applyWhole(d)
	}
	if s.current == nil {
		return DeltaNeedWhole, nil
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
		return DeltaNeedWhole, err
	}
	return s.installChecked(next, d)
}

func (s *State) applyChanges(d *peerv1.ConfigDelta) (DeltaResult, error) {
	next := draftFrom(s.current)
	next.revision = model.Revision(d.GetRevision())
	next.writers = nil
	for _, change := range d.GetChanges() {
		if err := next.apply(change); err != nil {
			return DeltaNeedWhole, err
		}
	}
	return s.installChecked(next.seal(), d)
}

func (s *State) installChecked(next *Accepted, d *peerv1.ConfigDelta) (DeltaResult, error) {
	if uint64(next.Revision) != d.GetRevision() {
		return DeltaNeedWhole, &DecodeError{Kind: DecodeRevision}
	}
	if err := checkHash(next, d); err != nil {
		return DeltaNeedWhole, err
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

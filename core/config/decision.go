package config

import (
	"errors"

	"github.com/guavarill/guavarill/core/manifest"
	"github.com/guavarill/guavarill/core/model"
)

// decider works out what an operator's change makes of the configuration that
// was read. It may be asked again about a later one, and then answers for what
// the operator saw first.
type decider struct {
	request ApplyRequest
	decided bool
	// base is the revision that the change is for.
	base model.Revision
	// generations are those that a cancellation is for.
	generations map[string]uint64
}

// decide returns the next configuration, or how the operation ends. When
// nothing would change it ends so whatever its base is: an operator who sends
// again after a lost answer must not be told of a conflict with themself.
func (d *decider) decide(current *Accepted) (*Accepted, Diff, ApplyResult) {
	d.pin(current)
	next, diff, err := d.derive(current)
	if err == nil && next == current {
		return nil, Diff{}, ApplyNoChange{Revision: revisionOf(current)}
	}
	if d.conflicts(current) {
		return nil, Diff{}, d.conflict(current)
	}
	if err != nil {
		return nil, Diff{}, refusal(err)
	}
	return next, diff, nil
}

func (d *decider) derive(current *Accepted) (*Accepted, Diff, error) {
	if d.request.Manifest == nil {
		return Cancel(current, d.request.Cancel, d.request.Writer)
	}
	return Accept(current, d.request.Manifest, d.request.Shards, d.request.Writer)
}

// pin keeps what the first configuration read was.
func (d *decider) pin(current *Accepted) {
	if d.decided {
		return
	}
	d.decided = true
	d.base = revisionOf(current)
	if d.request.Base != nil {
		d.base = *d.request.Base
	}
	d.generations = generationsOf(current, d.request.Cancel)
}

func generationsOf(a *Accepted, names []string) map[string]uint64 {
	generations := make(map[string]uint64, len(names))
	for _, name := range names {
		if a != nil && a.has(name) {
			generations[name] = a.Workloads[name].Generation
		}
	}
	return generations
}

// conflicts reports whether another change came between. A cancellation whose
// base was left open bears any change but one to the workloads it names: it
// would otherwise end a declaration that the operator has not seen.
func (d *decider) conflicts(current *Accepted) bool {
	if d.request.Manifest != nil || d.request.Base != nil {
		return CheckBase(current, d.base) != nil
	}
	now := generationsOf(current, d.request.Cancel)
	for name, generation := range d.generations {
		if now[name] != generation {
			return true
		}
	}
	return false
}

func (d *decider) conflict(current *Accepted) ApplyResult {
	result := ApplyConflict{Base: d.base, Current: revisionOf(current)}
	if current != nil && len(current.Writers) > 0 {
		result.Writer = current.Writers[0]
	}
	return result
}

func refusal(err error) ApplyResult {
	result := ApplyRefused{Cause: err}
	var invalid *manifest.InvalidError
	if errors.As(err, &invalid) {
		result.Problems = invalid.Problems
	}
	return result
}

// WriterOf returns who made the given revision, and whether that is still
// known.
func (a *Accepted) WriterOf(revision model.Revision) (string, bool) {
	if revision > a.Revision || a.Revision-revision >= model.Revision(len(a.Writers)) {
		return "", false
	}
	return a.Writers[a.Revision-revision], true
}

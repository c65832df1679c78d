package config

import (
	"errors"

	"github.com/guavarill/guavarill/core/manifest"
	"github.com/guavarill/guavarill/core/model"
)

// decider derives the next configuration from an operator's request and the
// configuration that was read. It can decide again after a lost race; conflicts
// are then still judged against the configuration that was read first.
type decider struct {
	request ApplyRequest
	pinned  bool
	// base is the revision that the change replaces.
	base model.Revision
	// generations holds, by workload, the generations that a cancellation ends.
	generations map[string]uint64
}

// decide returns the next configuration, or the result with which the operation
// ends. If nothing would change, the result is ApplyNoChange whatever the base
// is: an operator who repeats a request after a lost response must not get a
// conflict with their own change.
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

// saysNothingToDo reports whether the result tells the operator that there is nothing to
// do: the configuration is already as requested, or has no workload to cancel.
func (d *decider) saysNothingToDo(result ApplyResult) bool {
	switch result.(type) {
	case ApplyNoChange:
		return true
	case ApplyRefused:
		return d.request.Manifest == nil
	}
	return false
}

func (d *decider) derive(current *Accepted) (*Accepted, Diff, error) {
	if d.request.Manifest == nil {
		return Cancel(current, d.request.Cancel, d.request.Writer)
	}
	return Accept(current, d.request.Manifest, d.request.Shards, d.request.Writer)
}

// pin records, on the first call, the base revision and the generations of the
// workloads to cancel.
func (d *decider) pin(current *Accepted) {
	if d.pinned {
		return
	}
	d.pinned = true
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

// conflicts reports whether another change was made since the base. A
// cancellation without a requested base conflicts only with changes of the
// workloads that it names, since it would otherwise cancel a declaration that
// the operator has not seen.
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

// WriterOf returns the writer id of the given revision, and whether it is
// known. Only the writers of the latest MaxWriters revisions are kept.
func (a *Accepted) WriterOf(revision model.Revision) (string, bool) {
	if revision > a.Revision || a.Revision-revision >= model.Revision(len(a.Writers)) {
		return "", false
	}
	return a.Writers[a.Revision-revision], true
}

package config

import (
	ledgerv1 "github.com/guavarill/guavarill/api/ledger/v1"
	peerv1 "github.com/guavarill/guavarill/api/peer/v1"
	"github.com/guavarill/guavarill/core/manifest"
	"github.com/guavarill/guavarill/core/model"
)

func wholeDelta(a *Accepted) *peerv1.ConfigDelta {
	return &peerv1.ConfigDelta{
		Revision: uint64(a.Revision),
		Hash:     a.hash,
		Whole:    a.Encode(),
	}
}

// deltaOf returns a delta with the state in a of the given subjects. It applies
// to receivers at base or any later revision.
func deltaOf(a *Accepted, base model.Revision, subjects []string) *peerv1.ConfigDelta {
	d := &peerv1.ConfigDelta{
		BaseRevision: uint64(base),
		Revision:     uint64(a.Revision),
		Hash:         a.hash,
		Changes:      make([]*peerv1.WorkloadChange, 0, len(subjects)),
	}
	for _, subject := range subjects {
		d.Changes = append(d.Changes, changeOf(a, base, subject))
	}
	return d
}

func changeOf(a *Accepted, base model.Revision, subject string) *peerv1.WorkloadChange {
	if subject == floorName {
		return &peerv1.WorkloadChange{Name: floorName, Accepted: &ledgerv1.AcceptedWorkload{Generation: a.GenerationFloor}}
	}
	if team, ok := teamOf(subject); ok {
		return teamChange(a, subject, team)
	}
	if w, ok := a.Workloads[subject]; ok {
		return workloadChange(w, base, subject)
	}
	change := &peerv1.WorkloadChange{Name: subject, Removed: true}
	if r, ok := a.Retired[subject]; ok {
		change.Accepted = r.encode("")
	}
	return change
}

func teamChange(a *Accepted, subject, team string) *peerv1.WorkloadChange {
	t, ok := a.teams[team]
	if !ok {
		return &peerv1.WorkloadChange{Name: subject, Removed: true}
	}
	return &peerv1.WorkloadChange{Name: subject, Declaration: t.spec.Canonical()}
}

// workloadChange omits the declaration if it is not newer than base, since the
// receiver already has it. Each change in a burst of cancellations is therefore
// only a few bytes.
func workloadChange(w AcceptedWorkload, base model.Revision, name string) *peerv1.WorkloadChange {
	change := &peerv1.WorkloadChange{Name: name, Accepted: w.encode("")}
	if w.Changed > base {
		change.Declaration = w.Spec.Canonical()
	}
	return change
}

// apply applies one change to the draft. The error is a *DecodeError.
func (d *draft) apply(change *peerv1.WorkloadChange) error {
	name := change.GetName()
	if name == floorName {
		d.floor = change.GetAccepted().GetGeneration()
		return nil
	}
	if team, ok := teamOf(name); ok {
		return d.applyTeam(team, change)
	}
	if change.GetRemoved() {
		d.applyRemoval(name, change.GetAccepted())
		return nil
	}
	return d.applyWorkload(name, change)
}

func (d *draft) applyTeam(team string, change *peerv1.WorkloadChange) error {
	if change.GetRemoved() {
		delete(d.teams, team)
		return nil
	}
	spec, err := manifest.LoadTeam(change.GetDeclaration())
	if err != nil {
		return &DecodeError{Kind: DecodeDocument, Subject: change.GetName(), Cause: err}
	}
	if spec.Name != team {
		return &DecodeError{Kind: DecodeRecords, Subject: change.GetName()}
	}
	d.putTeam(spec)
	return nil
}

func (d *draft) applyRemoval(name string, record *ledgerv1.AcceptedWorkload) {
	delete(d.workloads, name)
	if record == nil {
		delete(d.retired, name)
		return
	}
	d.retired[name] = decodeRetired(record)
}

func (d *draft) applyWorkload(name string, change *peerv1.WorkloadChange) error {
	decided := decodeWorkload(change.GetAccepted())
	if len(change.GetDeclaration()) == 0 {
		return d.applyDecision(name, decided)
	}
	spec, err := manifest.LoadWorkload(change.GetDeclaration())
	if err != nil {
		return &DecodeError{Kind: DecodeDocument, Subject: name, Cause: err}
	}
	if spec.Name != name {
		return &DecodeError{Kind: DecodeRecords, Subject: name}
	}
	d.putWorkload(spec, decided)
	return nil
}

// applyDecision replaces the accepted values of a workload and keeps the
// declaration that the receiver already has.
func (d *draft) applyDecision(name string, decided AcceptedWorkload) error {
	have, ok := d.workloads[name]
	if !ok {
		return &DecodeError{Kind: DecodeRecords, Subject: name}
	}
	decided.Spec = have.Spec
	decided.digest = have.digest
	d.workloads[name] = decided
	return nil
}
